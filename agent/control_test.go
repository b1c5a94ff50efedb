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

// acceptTestJob reserves a job and accepts its run request. A class of 0 is the most urgent.
func acceptTestJob(t *testing.T, c *controlState, class uint32, tokens uint64) *job {
	t.Helper()
	is := is.New(t)
	reservation, decision := c.reserve(testStart, &wire.ReserveRequest{
		Account: "a", Class: class, PromptTokens: tokens, RemainingMs: time.Hour.Milliseconds(), Repeatable: true,
	})
	is.True(decision.Accepted)
	j := c.accept(testStart, reservation)
	is.True(j != nil)
	return j
}

// decisionOf returns the decision that a job has received. It returns false if there is none
// yet.
func decisionOf(j *job) (*result.Error, bool) {
	select {
	case v := <-j.decision:
		return v, true
	default:
		return nil, false
	}
}

// Guards against jobs that run although the agent has removed them, so that their memory and
// watts are not counted. When the endpoint goes down or the agent drains, the queued jobs are
// refused one by one. If the removal of one starts the next, that one is then removed like a
// queued job.
func TestNoQueuedJobStartsDuringDrainOrOutage(t *testing.T) {
	for name, refuseAll := range map[string]func(*controlState){
		"down":    func(c *controlState) { c.setDown(true) },
		"leaving": func(c *controlState) { c.startDraining() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestControlState()
			running := []*job{acceptTestJob(t, c, 2, 150_000), acceptTestJob(t, c, 2, 150_000)}
			waiting := []*job{acceptTestJob(t, c, 2, 150_000), acceptTestJob(t, c, 2, 10_000)}
			for _, j := range running {
				v, decided := decisionOf(j)
				is.True(decided && v == nil) // started
			}
			refuseAll(c)
			for _, j := range waiting {
				v, decided := decisionOf(j)
				is.True(decided && v != nil) // refused, not started
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
	is.True(c.accept(testStart.Add(2*time.Minute), reservation) == nil) // the run request must never start
}

func TestSheddingStopsLeastUrgentJobFirst(t *testing.T) {
	is := is.New(t)
	c := newTestControlState()
	urgent, bulk := acceptTestJob(t, c, 0, 1000), acceptTestJob(t, c, 2, 1000)
	stopped := map[*job]bool{}
	for _, j := range []*job{urgent, bulk} {
		j.cancel = func(error) { stopped[j] = true }
	}
	c.limit = power.NewLimit(1, 1000, 5000, 8)
	c.limit.SetCapped(true)
	is.True(c.limit.Apply(1, 1, 1500)) // one slot of eight
	c.shed()
	is.True(stopped[bulk])
	is.True(!stopped[urgent])
	c.shed()
	is.True(!stopped[urgent]) // a stopping job counts as stopped although it still holds its slot
}

// Guards against entries that refuse callers until the next regular heartbeat after an agent has started or its
// endpoint is back, as the heartbeat before lists nothing that the agent serves.
func TestAnAgentAnnouncesAtOnceWhatItServes(t *testing.T) {
	is := is.New(t)
	c := newTestControlState()
	announced := 0
	c.announce = func() { announced++ }
	c.setDown(true)
	c.setDown(true)
	is.Equal(announced, 1)
	c.setDown(false)
	is.Equal(announced, 2)
}

// Guards against callers of a plain service that are refused after its agent has restarted, until the agent has the
// catalogue, although it runs what it gets.
func TestAnAgentAdvertisesWhatItRuns(t *testing.T) {
	is := is.New(t)
	for kind, serves := range map[string]bool{"service": true, "engine": false} {
		c := newTestControlState()
		c.agent.settings.Kind = kind
		is.Equal(c.serves(), serves)
		c.catalogueReady = true
		is.True(c.serves())
		c.setDown(true)
		is.True(!c.serves())
	}
}
