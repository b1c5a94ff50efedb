package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/engine"
	"aspenyard.example/power"
	"aspenyard.example/result"
	"aspenyard.example/settings"
	"aspenyard.example/wire"
)

var testStart = time.Unix(1_780_000_000, 0)

func newTestControlState() *controlState {
	return newControlState(&Agent{
		settings: settings.Agent{Kind: "engine", ReservationLease: settings.Duration(time.Minute)}, incarnation: 1,
		status: engine.Status{MaxRunning: 8, MemoryTokens: 400_000, PrefillTokensPerSecond: 20_000},
	})
}

// acceptTestJob reserves and claims one order.
func acceptTestJob(t *testing.T, c *controlState, class uint32, tokens uint64) *job {
	t.Helper()
	is := is.New(t)
	reservation, verdict := c.reserve(testStart, &wire.ReserveRequest{
		Account: "a", Class: class, PromptTokens: tokens, RemainingMs: time.Hour.Milliseconds(), Repeatable: true,
	})
	is.True(verdict.Accepted)
	o := c.accept(testStart, reservation)
	is.True(o != nil)
	return o
}

// decisionOf gives what an order was told; false while it waits.
func decisionOf(o *job) (*result.Error, bool) {
	select {
	case v := <-o.decision:
		return v, true
	default:
		return nil, false
	}
}

// Symptom: work runs that the agent no longer knows, and its memory and watts are
// not counted. Sequence: the endpoint stops answering; the queued orders are
// refused one by one; the first to go lets the next start, which is then closed
// like a queued one. Cause: starting work while the queue is being emptied.
func TestNoQueuedJobStartsDuringDrainOrOutage(t *testing.T) {
	for name, empty := range map[string]func(*controlState){
		"down":    func(c *controlState) { c.setDown(true) },
		"leaving": func(c *controlState) { c.startDraining() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestControlState()
			running := []*job{acceptTestJob(t, c, 2, 150_000), acceptTestJob(t, c, 2, 150_000)}
			waiting := []*job{acceptTestJob(t, c, 2, 150_000), acceptTestJob(t, c, 2, 10_000)}
			for _, o := range running {
				v, told := decisionOf(o)
				is.True(told && v == nil) // started
			}
			empty(c)
			for _, o := range waiting {
				v, told := decisionOf(o)
				is.True(told && v != nil) // refused, not started
				is.Equal(v.Ran, result.RanNo)
			}
			is.Equal(len(c.jobs), len(running))
			is.Equal(c.queue.Report().Running, len(running))
		})
	}
}

func TestExpiredReservationLeavesQueue(t *testing.T) {
	is := is.New(t)
	c := newTestControlState()
	reservation, _ := c.reserve(testStart, &wire.ReserveRequest{Account: "a", PromptTokens: 1000, RemainingMs: 60_000})
	is.Equal(c.queue.Report().Queued, 1)
	c.removeExpired(testStart.Add(2 * time.Minute))
	is.Equal(c.queue.Report().Queued, 0)
	is.True(c.accept(testStart.Add(2*time.Minute), reservation) == nil) // its order never starts
}

func TestSheddingStopsLeastUrgentJobFirst(t *testing.T) {
	is := is.New(t)
	c := newTestControlState()
	urgent, bulk := acceptTestJob(t, c, 0, 1000), acceptTestJob(t, c, 2, 1000)
	stopped := map[*job]bool{}
	for _, o := range []*job{urgent, bulk} {
		o.cancel = func(error) { stopped[o] = true }
	}
	c.limit = power.NewLimit(1, 1000, 5000, 8)
	c.limit.SetCapped(true)
	is.True(c.limit.Apply(1, 1, 1500)) // one place of eight
	c.shed()
	is.True(stopped[bulk])
	is.True(!stopped[urgent])
	c.shed()
	is.True(!stopped[urgent]) // what is stopping counts until its place is free
}
