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

// Guards against a prompt that is sent to engines which, by the store, have begun to leave while memory was reserved for
// it.
func TestAPromptIsNotSentToEnginesThatDrainDuringItsReservations(t *testing.T) {
	is := is.New(t)
	const engines = 17
	s := newEngineFixture(t, 2*engines)
	s.routes[len(s.routes)-1]["target_latency_ms"] = 10_000
	draining, next := s.workers[:engines], s.workers[engines:]
	for _, w := range next {
		s.store.Delete("servers/" + w.ID)
	}
	s.start()
	replace := sync.OnceFunc(func() {
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
