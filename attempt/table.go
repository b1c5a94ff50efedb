// Package attempt tracks the attempts of requests: Table holds an agent's reservations and
// determines whether an attempt did not run, runs, has finished or is no longer known;
// Claim makes a request run at most once; Retrier decides on retries; Quarantine detects
// requests that crash endpoints. The package reads no clock and does no I/O: the time is an
// argument.
//
// An agent issues a reservation number before it can receive a run request, and a run
// request starts only if it names a valid reservation. A number that was withdrawn or has
// expired is deleted, because an unknown number never starts anything. So "did not run"
// needs no tombstone, which would have to be kept longer than any message can be delayed.
package attempt

import (
	"container/heap"
	"time"
)

// Reservation identifies a reservation of one incarnation of an agent. Its field names are
// part of the stored claims.
type Reservation struct {
	// Incarnation is that of the agent. A new incarnation accepts no number of an
	// earlier one.
	Incarnation uint64
	// Number rises from 1 and is not reused within an incarnation.
	Number uint64
}

// State is the state of a reservation, as far as the agent knows it.
type State int

// The states. DidNotRun is final: the request did not run and will not. Forgotten means
// that the agent cannot tell: the number belongs to another incarnation, or its record was
// deleted after the retention time.
const (
	DidNotRun State = iota + 1
	Reserved
	Running
	Finished
	Forgotten
)

// Outcome is the outcome of a started attempt. The agent stores the response that it sent.
type Outcome any

// record is what the table holds of one reservation.
type record struct {
	reservation Reservation
	state       State
	expires     time.Time
	outcome     Outcome
	index       int // in the expiry heap; -1 if it does not expire
}

// Table holds the attempts of one incarnation of an agent. It is not safe for concurrent
// use: it belongs to the control thread.
type Table struct {
	incarnation uint64
	lease       time.Duration
	retention   time.Duration
	lastNumber  uint64
	// forgotten is the highest number of a started attempt that was deleted. An unknown
	// number up to it may have run.
	forgotten uint64
	records   map[uint64]*record
	expiry    expiryHeap
}

// NewTable returns the empty table of a new incarnation. lease is how long a reservation
// is valid without a run request, retention how long an outcome is kept.
func NewTable(incarnation uint64, lease, retention time.Duration) *Table {
	return &Table{incarnation: incarnation, lease: lease, retention: retention, records: map[uint64]*record{}}
}

// Reserve issues a reservation, whose lease starts at now.
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

// Accept accepts the run request of a reservation, whose lease then no longer expires: the
// stream of the run request keeps it open instead. Accept returns false if the run request
// must never start, because its reservation is unknown, expired or already used.
//
// A run request can wait in a socket while this process is suspended. The clock goes on
// meanwhile, so an expired lease is detected here even if no sweep has run since.
func (t *Table) Accept(now time.Time, reservation Reservation) bool {
	r := t.find(reservation)
	if r == nil || r.state != Reserved || r.index < 0 || now.After(r.expires) {
		return false
	}
	heap.Remove(&t.expiry, r.index)
	return true
}

// Start marks an accepted attempt as running. It returns true once for a reservation; only
// then may the request run.
func (t *Table) Start(reservation Reservation) bool {
	r := t.find(reservation)
	if r == nil || r.state != Reserved || r.index >= 0 {
		return false
	}
	r.state = Running
	return true
}

// Finish records the outcome of a started attempt, which is kept for the retention time.
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

// Discard deletes a reservation that has not started.
func (t *Table) Discard(reservation Reservation) {
	if r := t.find(reservation); r != nil && r.state == Reserved {
		t.remove(r)
	}
}

// Peek returns the state of a reservation and its outcome if it has finished. Unlike
// Withdraw it leaves a valid reservation as it is; one whose lease has expired is deleted.
func (t *Table) Peek(now time.Time, reservation Reservation) (State, Outcome) {
	if r := t.find(reservation); r != nil && r.state == Reserved {
		if r.index < 0 || !now.After(r.expires) {
			return Reserved, nil
		}
	}
	return t.Withdraw(reservation)
}

// Withdraw deletes a reservation that has not started and returns DidNotRun. Otherwise it
// returns the reservation's state, and its outcome if it has finished.
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

// Sweep deletes expired reservations and outcomes past their retention time. It returns
// the expired reservations, so that the calling code can free what they hold.
func (t *Table) Sweep(now time.Time) []Reservation {
	var expired []Reservation
	for len(t.expiry) > 0 && now.After(t.expiry[0].expires) {
		r := t.expiry[0]
		if r.state == Reserved {
			expired = append(expired, r.reservation)
		} else {
			t.forgotten = max(t.forgotten, r.reservation.Number)
		}
		t.remove(r)
	}
	return expired
}

// Len returns the number of attempts in the table, finished ones included.
func (t *Table) Len() int { return len(t.records) }

// Open returns the number of attempts that are reserved or running.
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

// expiryHeap is a heap of records by expiry. It implements heap.Interface and keeps the
// records' index.
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
