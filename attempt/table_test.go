package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testLease     = 2 * time.Second
	testRetention = time.Minute
)

var testStart = time.Unix(1_780_000_000, 0)

// Guards against a request that runs after the agent has said that it did not. The run
// request waits in the socket of a paused agent until its lease has expired, and the agent
// reads it before any sweep has run.
func TestExpiredReservationIsRefusedBeforeSweep(t *testing.T) {
	is := is.New(t)
	table := NewTable(1, testLease, testRetention)
	r := table.Reserve(testStart)
	is.True(!table.Accept(testStart.Add(testLease+time.Millisecond), r)) // expired
	is.Equal(table.Sweep(testStart.Add(2*testLease)), []Reservation{r})
	state, _ := table.Withdraw(r)
	is.Equal(state, DidNotRun)
}

// Guards against a second run when a run request is delivered twice.
func TestReservationStartsOnce(t *testing.T) {
	is := is.New(t)
	table := NewTable(1, testLease, testRetention)
	r := table.Reserve(testStart)
	is.True(table.Accept(testStart, r))
	is.True(!table.Accept(testStart, r))
	is.True(table.Start(r))
	is.True(!table.Start(r))
}

// Guards against the response "did not run" for a request that ran, once its outcome is
// deleted after the retention time and its number is unknown.
func TestDroppedOutcomeIsForgotten(t *testing.T) {
	is := is.New(t)
	table := NewTable(1, testLease, testRetention)
	ran := table.Reserve(testStart)
	table.Accept(testStart, ran)
	table.Start(ran)
	table.Finish(testStart, ran, "done")
	table.Sweep(testStart.Add(2 * testRetention))
	state, _ := table.Withdraw(ran)
	is.Equal(state, Forgotten)
	other, _ := table.Withdraw(Reservation{Incarnation: 2, Number: 1})
	is.Equal(other, Forgotten) // a number of another incarnation
}

// tableModel records what the table has done: which reservations started and finished, and
// which of them it has reported as not run.
type tableModel struct {
	table          *Table
	now            time.Time
	issued         []Reservation
	started        map[Reservation]int
	reportedNotRun map[Reservation]bool
	finished       map[Reservation]bool
	incarnation    uint64
}

// TestTableAgainstModel runs random reservations, run requests, delays, withdrawals, sweeps
// and restarts of the agent. No reservation starts twice, and none that is reported as not
// run has started or starts later.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{
			now: testStart, incarnation: 1, table: NewTable(1, testLease, testRetention), started: map[Reservation]int{},
			reportedNotRun: map[Reservation]bool{}, finished: map[Reservation]bool{},
		}
		pick := func(t *rapid.T) Reservation {
			if len(m.issued) == 0 {
				return Reservation{Incarnation: 1, Number: rapid.Uint64Range(0, 3).Draw(t, "number")}
			}
			return rapid.SampledFrom(m.issued).Draw(t, "reservation")
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(*rapid.T) { m.issued = append(m.issued, m.table.Reserve(m.now)) },
			"claim":   func(t *rapid.T) { m.table.Accept(m.now, pick(t)) },
			"start": func(t *rapid.T) {
				if r := pick(t); m.table.Start(r) {
					m.started[r]++
				}
			},
			"finish": func(t *rapid.T) {
				r := pick(t)
				m.table.Finish(m.now, r, r.Number)
				m.finished[r] = m.started[r] > 0
			},
			"withdraw": func(t *rapid.T) { m.query(t, pick(t), false) },
			"peek":     func(t *rapid.T) { m.query(t, pick(t), true) },
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond)
			},
			"sweep": func(*rapid.T) { m.table.Sweep(m.now) },
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					m.incarnation++
					m.table = NewTable(m.incarnation, testLease, testRetention)
				}
			},
			"": m.check,
		})
	})
}

func (m *tableModel) query(t *rapid.T, r Reservation, peek bool) {
	var state State
	var outcome Outcome
	if peek {
		state, outcome = m.table.Peek(m.now, r)
	} else {
		state, outcome = m.table.Withdraw(r)
	}
	switch state {
	case DidNotRun:
		m.reportedNotRun[r] = true
	case Finished:
		if !m.finished[r] || outcome != r.Number {
			t.Fatalf("%v: reported as finished with outcome %v", r, outcome)
		}
	case Running:
		if m.started[r] == 0 {
			t.Fatalf("%v: reported as running, but never started", r)
		}
	}
}

func (m *tableModel) check(t *rapid.T) {
	for r, times := range m.started {
		if times > 1 {
			t.Fatalf("%v started %d times", r, times)
		}
		if m.reportedNotRun[r] {
			t.Fatalf("%v started and was reported as not run", r)
		}
	}
}
