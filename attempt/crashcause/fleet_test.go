package crashcause

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/attempt/verdict"
)

// fleet plays entries that send prompts to endpoints and exchange findings, in virtual time.
type fleet struct {
	random  *rand.Rand
	entries []*Tracker
	// recipients are the entries that each entry sends its heartbeats to, every interval.
	recipients [][]int
	interval   time.Duration
	now        time.Time
	events     map[int64][]func()
	endpoint   uint32
	requests   uint32
	// crashes are the times of the crashes under each part that crashes endpoints, sends those of the requests with it.
	crashes, sends map[Part][]time.Time
	// refused and sound count the sound requests of each second.
	refused, sound map[int]int
	// store is nil in a fleet whose entries do not start anew. claiming are the entries that claim a trial, claims how often one
	// was to be written.
	store    *fleetStore
	claiming map[*Tracker]bool
	claims   int
	// starting are the entries that have not read the store yet, ended those that were killed.
	starting, ended map[*Tracker]bool
}

const (
	fleetTick = 10 * time.Millisecond
	// contact is the time within which entries must know of a crash, in the users' rules.
	contact = 3 * time.Second
	// heartbeatLoss is the share of heartbeats that are lost.
	heartbeatLoss = 0.02
	fanout        = 100
)

func newFleet(entries int, seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), interval: 100 * time.Millisecond, now: start, events: map[int64][]func(){},
		crashes: map[Part][]time.Time{}, sends: map[Part][]time.Time{}, refused: map[int]int{}, sound: map[int]int{},
	}
	if entries > 50 {
		f.interval = 300 * time.Millisecond
	}
	for range entries {
		tracker := NewTracker()
		tracker.SetNodes(entries)
		f.entries = append(f.entries, tracker)
		f.recipients = append(f.recipients, f.random.Perm(entries)[:min(entries, fanout)])
	}
	return f
}

// after runs an action later.
func (f *fleet) after(d time.Duration, action func()) {
	at := int64(f.now.Add(max(d, fleetTick)).Sub(start) / fleetTick)
	f.events[at] = append(f.events[at], action)
}

// run plays the fleet until a time after its start; each runs at every tick.
func (f *fleet) run(until time.Duration, each func()) {
	for since := time.Duration(0); since < until; since += fleetTick {
		f.now = start.Add(since)
		for _, action := range f.events[int64(since/fleetTick)] {
			action()
		}
		delete(f.events, int64(since/fleetTick))
		each()
		f.exchange(since)
	}
}

// exchange sends the heartbeats that are due; entries take turns, and one in ten heartbeats is full.
func (f *fleet) exchange(since time.Duration) {
	ticks := int(f.interval / fleetTick)
	tick := int(since / fleetTick)
	for i := tick % ticks; i < len(f.entries); i += ticks {
		findings := f.entries[i].Findings(f.now, tick/ticks%(int(time.Second/f.interval)+1) == 0, 32)
		if len(findings) == 0 {
			continue
		}
		for _, to := range f.recipients[i] {
			if recipient := f.entries[to]; f.random.Float64() > heartbeatLoss {
				f.after(fleetTick, func() {
					changes := recipient.Merge(f.now, findings)
					changes.Blamed = slices.DeleteFunc(changes.Blamed, func(part Part) bool { return !recipient.Known(f.now, part).Local })
					changes.Cleared = nil
					f.report(recipient, changes)
				})
			}
		}
	}
}

// send sends a request through an entry drawn at random, and once more if its endpoint crashes and that is allowed.
// bad is its part that crashes endpoints, 0 for a sound request. It is in flight beside the others of beside.
func (f *fleet) send(parts []Part, bad Part, beside ...[]Part) {
	entry := f.entries[f.random.IntN(len(f.entries))]
	if f.starting[entry] {
		return
	}
	f.requests++
	request := f.requests
	entry.RecordRequest("service", parts)
	trial := false
	if _, left := entry.Blamed(f.now, parts); left > 0 {
		if trial = entry.TakeTrial(f.now, parts, f.random.Float64()); !trial {
			f.count(bad, f.refused)
			f.claim(entry, parts)
			return
		}
	}
	f.count(bad, f.sound)
	if bad == 0 {
		f.after(time.Second, func() {
			if !f.ended[entry] {
				f.report(entry, entry.RecordAnswer(f.now, parts))
			}
		})
		return
	}
	f.attempt(entry, parts, bad, request, trial, trial, beside)
}

func (f *fleet) count(bad Part, in map[int]int) {
	if bad == 0 {
		in[int(f.now.Sub(start)/time.Second)]++
	}
}

// attempt sends a request that crashes its endpoint, and with it requests of other entries that are in flight there.
func (f *fleet) attempt(entry *Tracker, parts []Part, bad Part, request uint32, trial, last bool, beside [][]Part) {
	f.sends[bad] = append(f.sends[bad], f.now)
	f.after(60*time.Millisecond, func() {
		f.endpoint++
		f.crashes[bad] = append(f.crashes[bad], f.now)
		endpoint := f.endpoint
		for i, other := range beside {
			f.entries[f.random.IntN(len(f.entries))].RecordCrash(f.now, other, endpoint, request+uint32(1_000_000*(i+1)))
		}
		if f.ended[entry] {
			return
		}
		f.report(entry, entry.RecordCrash(f.now, parts, endpoint, request))
		if trial {
			for _, part := range entry.ConfirmBlame(parts) {
				f.report(entry, Changes{Blamed: []Part{part}})
			}
		}
		if _, left := entry.Blamed(f.now, parts); left == 0 && !last {
			f.after(fleetTick, func() { f.attempt(entry, parts, bad, request, false, true, beside) })
		}
	})
}

// sentLater counts the requests with a part that were sent more than contact after the fifth crash under it.
func (f *fleet) sentLater(bad Part) (n int) {
	if len(f.crashes[bad]) < 5 {
		return 0
	}
	for _, at := range f.sends[bad] {
		if at.Sub(f.crashes[bad][4]) > contact {
			n++
		}
	}
	return n
}

// Guards against parts that are sent on after the fifth crash, by entries that saw none of the crashes among others,
// and against refusing sound requests with other parts of the same prompts, whatever the number of entries, of such
// parts and their rate, beside losses of racks.
func TestAFleetStopsSendingThePartsThatCrashEndpoints(t *testing.T) {
	for _, entries := range []int{4, 68, 341} {
		for _, c := range []struct {
			parts     int
			perSecond float64
			racks     bool
		}{{1, 0.5, true}, {3, 10, true}, {1, 10, false}, {3, 2, false}} {
			if entries > 300 && !c.racks {
				continue // the cases with racks take ten seconds each
			}
			t.Run(fmt.Sprintf("%d entries, %d parts, %v a second, racks %v", entries, c.parts, c.perSecond, c.racks), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(entries, uint64(entries))
				firstPart := func() Part { return Part(1 + min(f.random.IntN(60), f.random.IntN(60))) }
				f.run(30*time.Second, func() {
					if f.random.Float64() < 50*fleetTick.Seconds() {
						f.send([]Part{firstPart(), 1000 + firstPart()}, 0)
					}
					if f.now.Sub(start) > 5*time.Second && f.random.Float64() < c.perSecond*fleetTick.Seconds() {
						bad := Part(5000 + f.random.IntN(c.parts))
						f.send([]Part{firstPart(), bad, 1000 + firstPart()}, bad, []Part{firstPart(), 1000 + firstPart()}, []Part{firstPart(), Part(10_000 + f.requests)})
					}
					if c.racks && f.now.Sub(start)%(7*time.Second) == 0 {
						for range 12 {
							f.endpoint++
							f.entries[f.random.IntN(entries)].RecordCrash(f.now, []Part{firstPart(), 1000 + firstPart()}, f.endpoint, f.endpoint)
						}
					}
				})
				lost := 0
				for second := 5 + int(2*contact/time.Second) + 3; second < 30; second++ {
					lost += f.refused[second]
				}
				t.Logf("crashes %d, sent later %d, sound requests refused later %d", len(f.crashes[5000]), f.sentLater(5000), lost)
				for part := range c.parts {
					is.True(f.sentLater(Part(5000+part)) <= 3)
				}
				is.Equal(lost, 0)
			})
		}
	}
}

// fleetStore is the store of a fleet: verdicts, each with the number of its writes, which entries read when they start and
// follow with a delay. Writes that do not know the last one are rejected.
type fleetStore struct {
	verdicts  map[Part]verdict.Verdict
	writes    map[Part]int
	writtenAt map[Part]time.Time
	// awayUntil is until when all calls fail.
	awayUntil time.Time
}

const (
	storeCall = 50 * time.Millisecond
	// watchDelay is the longest time after which an entry knows of a write.
	watchDelay = 400 * time.Millisecond
	// claimSpread is the time over which entries begin to claim the same trial, for each entry.
	claimSpread, maxClaimSpread = 5 * time.Millisecond, 1500 * time.Millisecond
	writeRetry                  = time.Second
	// recoverWithin is the time after a start within which requests must be served, in the users' rules.
	recoverWithin              = 12 * time.Second
	restartTime, restartSpread = 700 * time.Millisecond, 300 * time.Millisecond
)

// put writes what an entry knows of a part until it is written; change, unless nil, changes it further and reports
// whether to write at all. written, unless nil, is called after the write.
func (f *fleet) put(entry *Tracker, part Part, change func(v *verdict.Verdict) bool, written func(v verdict.Verdict)) {
	if f.ended[entry] {
		return
	}
	known := f.store.writes[part]
	next := verdict.Merge(f.stored(part), entry.Known(f.now, part).Verdict, Stands)
	if change != nil && !change(&next) {
		return
	}
	f.after(storeCall, func() {
		switch {
		case f.now.Before(f.store.awayUntil):
			f.after(writeRetry, func() { f.put(entry, part, change, written) })
		case f.store.writes[part] != known:
			entry.MergeStored(f.now, part, f.stored(part))
			f.put(entry, part, change, written)
		default:
			f.store.verdicts[part], f.store.writes[part], f.store.writtenAt[part] = next, known+1, f.now
			if written != nil {
				written(next)
			}
			writtenAt := f.now
			for _, other := range f.entries {
				f.after(time.Duration(f.random.Float64()*float64(watchDelay)), func() { other.MergeStored(f.now, part, next.Later(f.now.Sub(writtenAt))) })
			}
		}
	})
}

// stored returns what the store has of a part.
func (f *fleet) stored(part Part) verdict.Verdict {
	return f.store.verdicts[part].Later(f.now.Sub(f.store.writtenAt[part]))
}

// report writes what has changed to the store.
func (f *fleet) report(entry *Tracker, changes Changes) {
	if f.store != nil {
		for _, part := range slices.Concat(changes.Blamed, changes.Cleared) {
			f.put(entry, part, nil, nil)
		}
	}
}

// claim claims the trial of a part if one is due.
func (f *fleet) claim(entry *Tracker, parts []Part) {
	part, due := entry.ClaimDue(f.now, parts)
	if f.store == nil || !due || f.claiming[entry] {
		return
	}
	f.claiming[entry] = true
	spread := min(time.Duration(len(f.entries))*claimSpread, maxClaimSpread)
	f.after(time.Duration(f.random.Float64()*float64(spread)), func() {
		delete(f.claiming, entry)
		f.put(entry, part, func(v *verdict.Verdict) bool {
			if _, due := entry.ClaimDue(f.now, parts); !due {
				return false
			}
			f.claims++
			v.Trials++
			return true
		}, func(v verdict.Verdict) { entry.GrantTrial(f.now, part, v.Trials) })
	})
}

// restart replaces all entries by new ones, which read the store as soon as they can.
func (f *fleet) restart() {
	for i := range f.entries {
		tracker := NewTracker()
		tracker.SetNodes(len(f.entries))
		f.ended[f.entries[i]] = true
		f.entries[i], f.starting[tracker] = tracker, true
		f.after(restartTime+time.Duration(f.random.Float64()*float64(restartSpread)), func() { f.read(tracker) })
	}
}

// read lets an entry that starts read the store.
func (f *fleet) read(entry *Tracker) {
	if f.now.Before(f.store.awayUntil) {
		f.after(restartSpread, func() { f.read(entry) })
		return
	}
	delete(f.starting, entry)
	for part := range f.store.verdicts {
		entry.MergeStored(f.now, part, f.stored(part))
	}
}

// Guards against a part that crashes endpoints and is tried by every entry at each start, and against sound prompts that
// are refused for long after a start of all entries because of a verdict that nobody could try, or that was taken back
// while the store was away.
func TestAFleetThatStartsAnewTriesAStoredVerdictOnce(t *testing.T) {
	for _, entries := range []int{1, 4, 40, 300} {
		for _, c := range []struct {
			name   string
			guilty bool
			// from is when the first start is, after the last crash; interval the time between starts. The store is
			// away from awayFrom on after the last crash.
			from, awayFrom, away time.Duration
			starts               int
			interval             time.Duration
		}{
			{"guilty", true, time.Second, 0, 0, 1, 8 * time.Second},
			{"guilty, four starts", true, time.Second, 0, 0, 4, 8 * time.Second},
			{"guilty, started before early trials, every two seconds", true, 400 * time.Millisecond, 0, 0, 10, 2 * time.Second},
			{"guilty, started after early trials", true, 3 * time.Second, 0, 0, 2, 8 * time.Second},
			{"guilty, store away at the verdict", true, 4 * time.Second, 0, 2 * time.Second, 2, 8 * time.Second},
			{"guilty, store away at the start", true, time.Second, time.Second, 3 * time.Second, 2, 8 * time.Second},
			{"innocent", false, time.Second, 0, 0, 1, 8 * time.Second},
			{"innocent, cleared", false, 5 * time.Second, 0, 0, 1, 8 * time.Second},
			{"innocent, store away as it is cleared", false, 5 * time.Second, 400 * time.Millisecond, 4800 * time.Millisecond, 1, 8 * time.Second},
			{"innocent, store away at the start", false, time.Second, time.Second, 3 * time.Second, 1, 8 * time.Second},
		} {
			t.Run(fmt.Sprintf("%d entries, %s", entries, c.name), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(entries, uint64(entries))
				f.store = &fleetStore{verdicts: map[Part]verdict.Verdict{}, writes: map[Part]int{}, writtenAt: map[Part]time.Time{}}
				f.claiming, f.starting, f.ended = map[*Tracker]bool{}, map[*Tracker]bool{}, map[*Tracker]bool{}
				const part, firstCrash = Part(5000), 2 * time.Second
				const lastCrash = firstCrash + (crashesToBlame-1)*2*momentLength
				crashes := 0
				starts := map[int]bool{}
				for n := range c.starts {
					starts[int((lastCrash+c.from+time.Duration(n)*c.interval)/fleetTick)] = true
				}
				f.run(lastCrash+c.from+time.Duration(c.starts)*c.interval, func() {
					since := f.now.Sub(start)
					if since >= firstCrash && crashes < crashesToBlame && since%(2*momentLength) == 0 {
						crashes++
						f.endpoint++
						f.crashes[part] = append(f.crashes[part], f.now)
						entry := f.entries[f.random.IntN(entries)]
						f.report(entry, entry.RecordCrash(f.now, []Part{part, Part(10_000 + crashes)}, f.endpoint, f.endpoint))
					}
					if c.away > 0 && since == lastCrash+c.awayFrom {
						f.store.awayUntil = f.now.Add(c.away)
					}
					if starts[int(since/fleetTick)] {
						f.restart()
					}
					if since < lastCrash+momentLength {
						return // what is in flight then ends unseen
					}
					if f.random.Float64() < 50*fleetTick.Seconds() {
						f.requests++
						bad := Part(0)
						if c.guilty {
							bad = part
						}
						f.send([]Part{part, Part(20_000 + f.requests)}, bad)
					}
				})
				lost := 0
				servedBy := lastCrash + max(c.from, c.awayFrom+c.away) + recoverWithin
				for second := int(servedBy/time.Second) + 1; second < 60; second++ {
					lost += f.refused[second]
				}
				t.Logf("crashes %d, sent later %d, claims written %d, refused %v", len(f.crashes[part]), f.sentLater(part), f.claims, f.refused)
				if c.guilty {
					is.True(f.sentLater(part) <= 3)
				} else {
					is.Equal(lost, 0)
				}
			})
		}
	}
}
