package crashcause

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
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
	for rank := range entries {
		tracker := NewTracker()
		tracker.SetNodes(rank, entries)
		f.entries = append(f.entries, tracker)
		f.recipients = append(f.recipients, f.random.Perm(entries)[:min(entries, fanout)])
	}
	return f
}

// after runs an action later.
func (f *fleet) after(d time.Duration, action func()) {
	at := int64(f.now.Add(d).Sub(start) / fleetTick)
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
			if f.random.Float64() > heartbeatLoss {
				f.after(fleetTick, func() { f.entries[to].Merge(f.now, findings) })
			}
		}
	}
}

// send sends a request through an entry drawn at random, and once more if its endpoint crashes and that is allowed.
// bad is its part that crashes endpoints, 0 for a sound request. It is in flight beside the others of beside.
func (f *fleet) send(parts []Part, bad Part, beside ...[]Part) {
	entry := f.entries[f.random.IntN(len(f.entries))]
	f.requests++
	request := f.requests
	entry.RecordRequest("service", parts)
	trial := false
	if _, left := entry.Blamed(f.now, parts); left > 0 {
		if trial = entry.TakeTrial(f.now, parts, f.random.Float64()); !trial {
			f.count(bad, f.refused)
			return
		}
	}
	f.count(bad, f.sound)
	if bad == 0 {
		f.after(time.Second, func() { entry.RecordAnswer(f.now, parts) })
		return
	}
	f.attempt(entry, parts, bad, request, trial, beside)
}

func (f *fleet) count(bad Part, in map[int]int) {
	if bad == 0 {
		in[int(f.now.Sub(start)/time.Second)]++
	}
}

// attempt sends a request that crashes its endpoint, and with it requests of other entries that are in flight there.
func (f *fleet) attempt(entry *Tracker, parts []Part, bad Part, request uint32, last bool, beside [][]Part) {
	f.sends[bad] = append(f.sends[bad], f.now)
	f.after(60*time.Millisecond, func() {
		f.endpoint++
		f.crashes[bad] = append(f.crashes[bad], f.now)
		endpoint := f.endpoint
		for i, other := range beside {
			f.entries[f.random.IntN(len(f.entries))].RecordCrash(f.now, other, endpoint, request+uint32(1_000_000*(i+1)))
		}
		entry.RecordCrash(f.now, parts, endpoint, request)
		if _, left := entry.Blamed(f.now, parts); left == 0 && !last {
			f.after(fleetTick, func() { f.attempt(entry, parts, bad, request, true, beside) })
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
