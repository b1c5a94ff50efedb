package gateway_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// newReplacedFixture prepares a gateway with engines and a route to them that has the given target in milliseconds.
// replace makes all engines drain, lists as many others, and waits until the gateway knows it.
func newReplacedFixture(t *testing.T, engines, target int) (s *fixture, draining []*standin.Worker, replace func()) {
	t.Helper()
	s = newEngineFixture(t, 2*engines)
	s.routes[len(s.routes)-1]["target_latency_ms"] = target
	draining, next := s.workers[:engines], s.workers[engines:]
	for _, w := range next {
		s.store.Delete("servers/" + w.ID)
	}
	return s, draining, sync.OnceFunc(func() {
		for i := range engines {
			s.store.Put("servers/"+draining[i].ID, draining[i].Registration("draining"))
			s.store.Put("servers/"+next[i].ID, next[i].Registration("ready"))
		}
		listed := func(w *standin.Worker) bool { return s.gateway.Listed(w.ID) }
		for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if !slices.ContainsFunc(draining, listed) && listed(next[engines-1]) {
				return
			}
		}
	})
}

// Guards against a prompt that is sent to engines which have begun to leave while it was held back.
func TestAHeldPromptIsNotSentToEnginesThatDrainMeanwhile(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		s, draining, replace := newReplacedFixture(t, 12, 15_000)
		s.start()
		first := make(chan callerResponse, 1)
		s.gateway.ReportPeerPrefill("model", 2*peerPrefill)
		go func() { first <- s.sendPrompt("q1", 150_000) }()
		s.waitFor("the prompt is queued", func() bool {
			s.gateway.ReportPeerPrefill("model", 2*peerPrefill) // a report is used for one second
			return s.gateway.QueuedPrefill("model") > 0
		})
		replace()
		checkSentToOthers(t, <-first, draining)
	})
	t.Run("outside the queue", func(t *testing.T) {
		s, draining, replace := newReplacedFixture(t, 12, 500)
		s.start()
		got := s.sendWhileBusy("q1", 151_000, func() bool {
			if s.sumMetric("aspenyard_gateway_waiting_outside_queue ") == 0 {
				return false
			}
			replace()
			return true
		})
		checkSentToOthers(t, got, draining)
	})
}

// checkSentToOthers checks that request q1 was answered, and that no draining engine got it.
func checkSentToOthers(t *testing.T, got callerResponse, draining []*standin.Worker) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, standin.StreamText("q1", 5))
	for _, w := range draining {
		is.Equal(len(w.Runs()), 0)
	}
}

// Guards against a prompt that is sent to engines which, by the store, have begun to leave while memory was reserved for
// it.
func TestAPromptIsNotSentToEnginesThatDrainDuringItsReservations(t *testing.T) {
	is := is.New(t)
	s, draining, replace := newReplacedFixture(t, 17, 10_000)
	s.start()
	for _, w := range draining {
		w.OnOrder = replace
	}
	got := s.sendPrompt("q1", 500_000)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, standin.StreamText("q1", 5))
	for _, w := range draining {
		is.Equal(len(w.Runs()), 0)
	}
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
	s.waitFor("it is logged", func() bool { return s.logged(`"event":"send_withheld"`) })
	is.True(s.sumMetric(`aspenyard_gateway_sends_withheld_total{reason="unlisted"}`) > 0)
}
