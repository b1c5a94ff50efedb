// Package attempt decides what an agent may say about one attempt at a request:
// whether it did not run, runs, has finished, or is no longer known. It is pure:
// time comes in as an argument and nothing is sent from here.
//
// The agent issues a reservation number before any order can be given, and an
// order starts only if it names a live reservation. A number that is withdrawn
// or has lapsed is simply forgotten, because an unknown number never starts
// anything. So "did not run" needs no tombstone that would have to outlive
// every delayed message.
package attempt

import (
	"container/heap"
	"time"
)

// Reservation names one reservation of one agent's life.
type Reservation struct {
	// Incarnation is the agent's life; a new one issues and honours none of the
	// numbers of the lives before.
	Incarnation uint64
	// Number rises from 1 and is never reused.
	Number uint64
}

// State is what the agent knows of a reservation.
type State int

// DidNotRun is final. Forgotten means that the agent cannot tell: the number
// belongs to another incarnation, or its record was dropped after retention.
const (
	DidNotRun State = iota + 1
	Reserved
	Running
	Finished
	Forgotten
)

// Outcome is how a started attempt ended; the agent stores what it told.
type Outcome any

type record struct {
	reservation Reservation
	state       State
	expires     time.Time
	outcome     Outcome
	index       int
}

// Table holds an agent's attempts. Not safe for concurrent use: it belongs to
// the control loop.
type Table struct {
	incarnation uint64
	lease       time.Duration
	retention   time.Duration
	lastNumber  uint64
	// forgotten is the highest number of a started attempt that was dropped. At
	// or below it, an unknown number may have run.
	forgotten uint64
	records   map[uint64]*record
	expiry    expiryHeap
}

// NewTable makes the table of a new incarnation. lease is how long a
// reservation waits for its order; retention how long an outcome is kept.
func NewTable(incarnation uint64, lease, retention time.Duration) *Table {
	return &Table{incarnation: incarnation, lease: lease, retention: retention, records: map[uint64]*record{}}
}

// Reserve issues a reservation. Its lease starts now.
func (t *Table) Reserve(now time.Time) Reservation {
	t.lastNumber++
	r := &record{
		reservation: Reservation{Incarnation: t.incarnation, Number: t.lastNumber},
		state:       Reserved,
		expires:     now.Add(t.lease),
	}
	t.records[t.lastNumber] = r
	heap.Push(&t.expiry, r)
	return r.reservation
}

// Accept turns a reservation into a queued order: its lease no longer lapses,
// since from here the order's own stream keeps it. It tells whether the order
// may go on; false means it never starts, whenever it arrives.
//
// An order can sit in a socket while this process is frozen. The clock goes on
// meanwhile, so the lapsed lease is seen here even if no sweep has run since.
func (t *Table) Accept(now time.Time, reservation Reservation) bool {
	r := t.find(reservation)
	if r == nil || r.state != Reserved || r.index < 0 || now.After(r.expires) {
		return false
	}
	heap.Remove(&t.expiry, r.index)
	return true
}

// Start marks the moment from which the work may run. Only one caller ever gets
// true for a reservation.
func (t *Table) Start(reservation Reservation) bool {
	r := t.find(reservation)
	if r == nil || r.state != Reserved || r.index >= 0 {
		return false
	}
	r.state = Running
	return true
}

// Finish records the outcome of a started attempt and keeps it for retention.
func (t *Table) Finish(now time.Time, reservation Reservation, outcome Outcome) {
	r := t.find(reservation)
	if r == nil || r.state != Running {
		return
	}
	r.state = Finished
	r.outcome = outcome
	r.expires = now.Add(t.retention)
	heap.Push(&t.expiry, r)
}

// Discard ends a claimed order that never started.
func (t *Table) Discard(reservation Reservation) {
	if r := t.find(reservation); r != nil && r.state == Reserved {
		t.remove(r)
	}
}

// Peek tells the state of a reservation and changes nothing.
func (t *Table) Peek(now time.Time, reservation Reservation) (State, Outcome) {
	if r := t.find(reservation); r != nil && r.state == Reserved {
		if r.index < 0 || !now.After(r.expires) {
			return Reserved, nil
		}
	}
	return t.Withdraw(reservation)
}

// Withdraw cancels a reservation that has not started and returns DidNotRun, or
// tells the true state.
func (t *Table) Withdraw(reservation Reservation) (State, Outcome) {
	if reservation.Incarnation != t.incarnation || reservation.Number == 0 || reservation.Number > t.lastNumber {
		return Forgotten, nil
	}
	r := t.records[reservation.Number]
	if r == nil {
		if reservation.Number <= t.forgotten {
			return Forgotten, nil
		}
		return DidNotRun, nil
	}
	if r.state == Reserved {
		t.remove(r)
		return DidNotRun, nil
	}
	return r.state, r.outcome
}

// Sweep drops lapsed reservations and old outcomes, and returns the former so
// that their memory is freed.
func (t *Table) Sweep(now time.Time) []Reservation {
	var lapsed []Reservation
	for len(t.expiry) > 0 && now.After(t.expiry[0].expires) {
		r := t.expiry[0]
		if r.state == Reserved {
			lapsed = append(lapsed, r.reservation)
		} else {
			t.forgotten = max(t.forgotten, r.reservation.Number)
		}
		t.remove(r)
	}
	return lapsed
}

// Len counts the attempts known.
func (t *Table) Len() int { return len(t.records) }

// Open counts the attempts that are reserved or running.
func (t *Table) Open() int {
	n := 0
	for _, r := range t.records {
		if r.state == Reserved || r.state == Running {
			n++
		}
	}
	return n
}

func (t *Table) find(reservation Reservation) *record {
	if reservation.Incarnation != t.incarnation {
		return nil
	}
	return t.records[reservation.Number]
}

func (t *Table) remove(r *record) {
	if r.index >= 0 {
		heap.Remove(&t.expiry, r.index)
	}
	delete(t.records, r.reservation.Number)
}

// expiryHeap orders records by expiry; index is -1 for a record outside it.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	r.index = -1
	return r
}
