package changefeed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"aspenyard.example/bench/virtual"
	"aspenyard.example/directory"
	"aspenyard.example/randomtest"
)

func TestMain(m *testing.M) { randomtest.Main(m) }

// Times of the played store and network.
const (
	bound        = 5 * time.Second
	storeTimeout = 700 * time.Millisecond
	storeDelay   = 2 * time.Millisecond
	bootOffset   = time.Hour // differs by entry, so that a proof that compares two clocks is noticed
	leaseTTL     = 12 * time.Second
)

// world plays a store and entries in virtual time.
type world struct {
	virtual.Clock
	random  *rand.Rand
	entries []*entry
	byName  map[string]*entry
	// changedAt holds the time of each change; the revision of the i-th is i+1. Watches after
	// revisions below compacted fail.
	changedAt []time.Duration
	compacted uint64
	// restoredAt holds when each era but the first began.
	restoredAt []time.Duration
	waiting    []func()
	// loss and copies are the shares of datagrams that are lost and that come twice.
	loss, copies float64
	calls        map[CallReason]int
	bytes        int
	violations   []string
}

// entry is a played entry. Its state is the position that it knows.
type entry struct {
	world       *world
	name        string
	clockOffset time.Duration
	follower    *Follower
	log         *Log
	at          directory.Position
	// needsFullRead is set while the state is of an earlier era than the store, readNotBefore when it may be read.
	needsFullRead bool
	readNotBefore time.Duration
	calling       bool
	callAfter     time.Duration
	dead, cut     bool
	// outage is set after a call that failed.
	outage      bool
	frozenUntil time.Duration
	// calmSince is when the entry was last disturbed.
	calmSince time.Duration
	provenAt  time.Duration
	wakeID    int
	// valueAwaited is the last long value that is known of and was not read, awaitedSince when the first of
	// them became known. readingValue is set while one is being read.
	valueAwaited directory.Position
	awaitedSince time.Duration
	readingValue bool
}

func newWorld(seed uint64, entries int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), calls: map[CallReason]int{}, byName: map[string]*entry{}}
	var members []Member
	for i := range entries {
		members = append(members, Member{fmt.Sprintf("entry-%d", i), fmt.Sprintf("dc-%d", i%5)})
	}
	for i, m := range members {
		e := &entry{world: w, name: m.Name, clockOffset: time.Duration(i+1) * bootOffset, log: &Log{}}
		e.follower = NewFollower(Config{Name: m.Name, DataCentre: m.DataCentre, Bound: bound, SoloWait: bound - storeTimeout}, w.random)
		e.follower.SetMembers(members)
		w.entries = append(w.entries, e)
		w.byName[e.name] = e
		w.AfterFunc(time.Duration(w.random.IntN(300))*time.Millisecond, e.wake)
	}
	return w
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	w.AfterFunc(until-w.Now(), func() {}) // so that the clock ends there
	w.RunUntil(until)
}

// change makes a change in the store.
func (w *world) change() {
	w.changedAt = append(w.changedAt, w.Now())
	waiting := w.waiting
	w.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}

func (w *world) storeAt() directory.Position {
	return directory.At(directory.StatedEra(uint64(1+len(w.restoredAt))), uint64(len(w.changedAt)))
}

// restore replaces the store's state by a copy without its last changes.
func (w *world) restore(lost int) {
	w.changedAt = w.changedAt[:max(len(w.changedAt)-lost, 1)]
	w.compacted = min(w.compacted, uint64(len(w.changedAt)))
	w.restoredAt = append(w.restoredAt, w.Now())
}

// remove ends an entry; the others see its registration end later.
func (w *world) remove(e *entry) {
	e.dead = true
	w.AfterFunc(leaseTTL, func() {
		var members []Member
		for _, other := range w.entries {
			if !other.dead {
				members = append(members, Member{other.name, other.follower.config.DataCentre})
			}
		}
		for _, other := range w.entries {
			other.follower.SetMembers(members)
		}
	})
}

func (w *world) freeze(e *entry, until time.Duration) {
	e.frozenUntil, e.calmSince = until, max(e.calmSince, until)
}

// do runs something at an entry, after its suspension.
func (e *entry) do(run func()) {
	switch {
	case e.dead:
	case e.world.Now() < e.frozenUntil:
		e.world.AfterFunc(e.frozenUntil-e.world.Now(), func() { e.do(run) })
	default:
		run()
	}
}

func (e *entry) clock() time.Duration { return e.world.Now() + e.clockOffset }

func (e *entry) wake() {
	e.do(func() {
		now := e.clock()
		if !e.at.IsZero() && !e.needsFullRead {
			if peer, nonce, ok := e.follower.Ask(now); ok {
				e.send(peer, nonce)
			}
		}
		reason, wait := e.follower.Call(now)
		notBefore := e.callAfter
		if e.needsFullRead {
			reason, wait, notBefore = callForState, 0, max(e.callAfter, e.readNotBefore)
		}
		if reason != CallNone && !e.calling && now >= notBefore {
			e.call(reason, wait)
		}
		next := e.follower.Next(now)
		if e.needsFullRead {
			next = now + bound // only the read is due
		}
		if reason != CallNone && !e.calling {
			next = min(next, notBefore)
		}
		e.wakeID++
		id := e.wakeID
		e.world.AfterFunc(max(next-now, time.Millisecond), func() {
			if id == e.wakeID {
				e.wake()
			}
		})
	})
}

// call plays a call to the store.
func (e *entry) call(reason CallReason, wait time.Duration) {
	w := e.world
	w.calls[reason]++
	e.calling = true
	began, after, answered := e.clock(), e.at, false
	end := func(pause time.Duration) {
		e.calling, e.callAfter = false, e.clock()+pause
		e.wake()
	}
	respond := func() {
		if answered {
			return
		}
		answered = true
		at, gone := w.storeAt(), after.Revision() < w.compacted || after.Revision() > w.storeAt().Revision()
		w.AfterFunc(storeDelay, func() {
			e.do(func() {
				if e.outage = e.cut; e.cut {
					w.AfterFunc(storeTimeout, func() { e.do(func() { end(200 * time.Millisecond) }) })
					return
				}
				if reason != callForState && !after.IsZero() && !at.SameEra(after) {
					e.needsFullRead, e.readNotBefore = true, e.clock()+e.follower.ReadDelay(e.clock())
					end(0)
					return
				}
				if gone || after.IsZero() || e.needsFullRead {
					e.log.Reset(at)
				} else {
					e.log.Append(changes(after, at), at)
				}
				e.advance(at)
				e.follower.Prove(began)
				e.prove(began)
				pause := time.Duration(0)
				if at.After(after) {
					pause = e.follower.BatchPause()
				}
				end(pause)
			})
		})
	}
	w.AfterFunc(storeDelay, func() {
		if !after.AtLeast(w.storeAt()) || wait == 0 {
			respond()
			return
		}
		w.waiting = append(w.waiting, respond)
		w.AfterFunc(wait, respond)
	})
}

// longEvery is the number of changes of which one has a long value.
const longEvery = 20

// callForState stands for a read of the whole state after a loss.
const callForState CallReason = "state"

// changes returns the changes after a position up to and including to.
func changes(after, to directory.Position) []directory.Item {
	var items []directory.Item
	for r := after.Revision() + 1; r <= to.Revision(); r++ {
		length := 200
		if r%longEvery == 0 {
			length = 2 * MaxValueBytes
		}
		items = append(items, directory.Item{Key: fmt.Sprint("key-", r), Value: make([]byte, length), At: directory.At(to.Era(), r)})
	}
	return items
}

// advance makes an entry know a position. In a later era the state was read in full.
func (e *entry) advance(at directory.Position) {
	if !e.at.IsZero() && !at.SameEra(e.at) {
		e.valueAwaited = directory.Position{}
		e.follower.BeginEra()
		e.needsFullRead = false
		e.at = at
	}
	e.at = e.at.Later(at)
	if e.at.IsZero() {
		e.at = at
	}
}

// prove checks that the entry knows all changes made before the time as of which it counts as current.
func (e *entry) prove(at time.Duration) {
	e.log.Prove(at)
	at -= e.clockOffset
	e.provenAt = max(e.provenAt, at)
	if !e.at.SameEra(e.world.storeAt()) {
		if ended := e.world.restoredAt[e.at.Era().Stated()-1]; at > ended {
			e.world.violate("%s at %v counts as current as of %v, but its era ended at %v", e.name, e.at, at, ended)
		}
		return
	}
	for r := e.at.Revision(); r < e.world.storeAt().Revision(); r++ {
		if e.world.changedAt[r] < at {
			e.world.violate("%s at %v counts as current as of %v, but revision %d was written at %v", e.name, e.at, at, r+1, e.world.changedAt[r])
			return
		}
	}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.Now())+fmt.Sprintf(format, args...))
}

const datagramBytes = 150 // of the header, the identity of the sender and the fixed fields

// transmit plays a datagram.
func (w *world) transmit(to *entry, bytes int, deliver func()) {
	w.bytes += bytes
	if w.random.Float64() < w.loss {
		return
	}
	w.AfterFunc(time.Duration(1+w.random.IntN(4))*time.Millisecond, func() { to.do(deliver) })
	if w.random.Float64() < w.copies {
		w.AfterFunc(time.Duration(1+w.random.IntN(2000))*time.Millisecond, func() { to.do(deliver) })
	}
}

// send plays a request to another entry and its response.
func (e *entry) send(peer string, nonce uint64) {
	w, after, responder := e.world, e.at, e.world.byName[peer]
	w.transmit(responder, datagramBytes, func() {
		for _, c := range responder.log.Respond(responder.clock(), after) {
			bytes := datagramBytes
			for _, i := range c.Items {
				bytes += len(i.Key) + len(i.Value) + itemOverheadBytes
			}
			w.transmit(e, bytes, func() { e.hear(peer, nonce, &c) })
		}
	})
}

func (e *entry) hear(peer string, nonce uint64, c *Chunk) {
	provenAt, proves := e.follower.Hear(e.clock(), peer, nonce, e.at.Era(), c)
	items, to, ok := c.After(e.at)
	switch {
	case e.needsFullRead:
	case c.Era() > e.at.Era():
		e.follower.FallBehind()
	case c.TooOld || c.Era() != e.at.Era():
	case !ok:
		e.follower.AskAgain(e.clock())
	default:
		e.log.Append(items, to)
		for _, i := range items {
			if next := directory.At(e.at.Era(), e.at.Revision()+1); i.At != next {
				e.world.violate("%s takes %v for %v", e.name, i.At, next)
			}
			e.at = i.At
			if i.Omitted {
				if e.valueAwaited.IsZero() {
					e.awaitedSince = e.world.Now()
				}
				e.valueAwaited = i.At
			}
		}
		e.advance(to)
		e.readValue()
		if proves {
			e.outage = false
			e.follower.Prove(provenAt)
			e.prove(provenAt)
		}
	}
	e.wake()
}

// readValue plays the read of a long value; the store refuses it to entries that are cut off.
func (e *entry) readValue() {
	if e.readingValue || e.valueAwaited.IsZero() {
		return
	}
	e.readingValue = true
	e.world.calls[callForValue]++
	e.world.AfterFunc(2*storeDelay, func() {
		e.do(func() {
			e.readingValue = false
			if e.cut {
				e.world.AfterFunc(200*time.Millisecond, func() { e.do(e.readValue) })
				return
			}
			e.valueAwaited = directory.Position{}
		})
	})
}

const callForValue CallReason = "value"

// checkBound checks that the entries that were calm for the bound know all changes that are older than it.
func (w *world) checkBound() {
	for _, e := range w.entries {
		if e.dead || e.cut || w.Now() < e.calmSince+bound {
			continue
		}
		if !e.at.SameEra(w.storeAt()) && len(w.restoredAt) > 0 && !e.at.IsZero() {
			if began := w.restoredAt[len(w.restoredAt)-1]; w.Now()-began > bound {
				w.violate("%s at %v does not know the era that began at %v", e.name, e.at, began)
			}
			continue
		}
		if r := e.at.Revision(); r < w.storeAt().Revision() && w.Now()-w.changedAt[r] > bound {
			w.violate("%s at %v does not know revision %d of %v", e.name, e.at, r+1, w.changedAt[r])
		}
		if !e.valueAwaited.IsZero() && w.Now()-e.awaitedSince > bound {
			w.violate("%s at %v has not read the value of %v", e.name, e.at, e.valueAwaited)
		}
	}
}

// failOn reports the first violations.
func (w *world) failOn(t testing.TB) {
	t.Helper()
	for _, v := range w.violations[:min(len(w.violations), 3)] {
		t.Error(v)
	}
}
