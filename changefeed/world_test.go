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
	waiting   []func()
	// loss and copies are the shares of datagrams that are lost and that come twice.
	loss, copies float64
	calls        map[CallReason]int
	bytes        int
	violations   []string
}

// entry is a played entry. Its state is the revision that it knows.
type entry struct {
	world       *world
	name        string
	clockOffset time.Duration
	follower    *Follower
	log         *Log
	revision    uint64
	calling     bool
	callAfter   time.Duration
	dead, cut   bool
	// outage is set after a call that failed.
	outage      bool
	frozenUntil time.Duration
	// calmSince is when the entry was last disturbed.
	calmSince time.Duration
	provenAt  time.Duration
	wakeID    int
	// valuesRead is the revision up to which long values were read by themselves.
	valuesRead uint64
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

func (w *world) storeRevision() uint64 { return uint64(len(w.changedAt)) }

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
		if e.revision > 0 {
			if peer, nonce, ok := e.follower.Ask(now); ok {
				e.send(peer, nonce)
			}
		}
		reason, wait := e.follower.Call(now)
		if reason != CallNone && !e.calling && now >= e.callAfter {
			e.call(reason, wait)
		}
		next := e.follower.Next(now)
		if reason != CallNone && !e.calling {
			next = min(next, e.callAfter)
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
	began, after, answered := e.clock(), e.revision, false
	end := func(pause time.Duration) {
		e.calling, e.callAfter = false, e.clock()+pause
		e.wake()
	}
	respond := func() {
		if answered {
			return
		}
		answered = true
		revision, gone := w.storeRevision(), after < w.compacted
		w.AfterFunc(storeDelay, func() {
			e.do(func() {
				if e.outage = e.cut; e.cut {
					w.AfterFunc(storeTimeout, func() { e.do(func() { end(200 * time.Millisecond) }) })
					return
				}
				if gone || after == 0 {
					e.log.Reset(revision)
				} else {
					e.log.Append(changes(after, revision), revision)
				}
				e.advance(revision)
				e.follower.Prove(began)
				e.prove(began)
				pause := time.Duration(0)
				if revision > after {
					pause = e.follower.BatchPause()
				}
				end(pause)
			})
		})
	}
	w.AfterFunc(storeDelay, func() {
		if w.storeRevision() > after || wait == 0 {
			respond()
			return
		}
		w.waiting = append(w.waiting, respond)
		w.AfterFunc(wait, respond)
	})
}

// longEvery is the number of changes of which one has a long value.
const longEvery = 20

// changes returns the changes with revisions above after up to and including to.
func changes(after, to uint64) []directory.Item {
	var items []directory.Item
	for r := after + 1; r <= to; r++ {
		length := 200
		if r%longEvery == 0 {
			length = 2 * MaxValueBytes
		}
		items = append(items, directory.Item{Key: fmt.Sprint("key-", r), Value: make([]byte, length), Revision: r})
	}
	return items
}

func (e *entry) advance(revision uint64) { e.revision = max(e.revision, revision) }

// prove checks that the entry knows all changes made before the time as of which it counts as current.
func (e *entry) prove(at time.Duration) {
	e.log.Prove(at)
	at -= e.clockOffset
	e.provenAt = max(e.provenAt, at)
	for r := e.revision; r < e.world.storeRevision(); r++ {
		if e.world.changedAt[r] < at {
			e.world.violate("%s at revision %d counts as current as of %v, but revision %d was written at %v", e.name, e.revision, at, r+1, e.world.changedAt[r])
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
	w, after, responder := e.world, e.revision, e.world.byName[peer]
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
	provenAt, proves := e.follower.Hear(e.clock(), peer, nonce, c)
	items, to, omitted, ok := c.After(e.revision, func(_ string, revision uint64) bool { return e.valuesRead >= revision })
	switch {
	case c.TooOld:
	case !ok:
		e.follower.AskAgain(e.clock())
	default:
		e.log.Append(items, to)
		for _, i := range items {
			if e.revision++; i.Revision != e.revision {
				e.world.violate("%s takes revision %d for %d", e.name, i.Revision, e.revision)
			}
		}
		e.advance(to)
		switch {
		case omitted != nil && e.outage:
			e.follower.FallBehind()
		case omitted != nil:
			e.readValue()
		case proves:
			e.outage = false
			e.follower.Prove(provenAt)
			e.prove(provenAt)
		}
	}
	e.wake()
}

// readValue plays the read of a long value; the store refuses it to entries that are cut off.
func (e *entry) readValue() {
	e.world.calls[callForValue]++
	e.world.AfterFunc(2*storeDelay, func() {
		e.do(func() {
			if e.outage = e.cut; e.cut {
				e.follower.FallBehind()
			} else {
				e.valuesRead = e.world.storeRevision()
				e.follower.AskAgain(e.clock())
			}
			e.wake()
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
		if r := e.revision; r < w.storeRevision() && w.Now()-w.changedAt[r] > bound {
			w.violate("%s at revision %d does not know revision %d of %v", e.name, r, r+1, w.changedAt[r])
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
