package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

const coldEndpointCount = "aspenyard_gateway_cold_endpoints "

// newColdFixture prepares a single gateway whose endpoints tolerate 10 requests a second while they are
// cold, of which it may send 6 in any second.
func newColdFixture(t *testing.T, workers ...*standin.Worker) *fixture {
	s := newFixture(t, workers...)
	s.coldPerSecond = 10
	return s
}

// sendAtOnce sends n requests at one moment and returns the responses by status.
func (s *fixture) sendAtOnce(n int, prefix string) map[int]int {
	s.t.Helper()
	var mu sync.Mutex
	var callers sync.WaitGroup
	statuses := map[int]int{}
	for i := range n {
		callers.Go(func() {
			got := s.post("/again/a", fmt.Sprint(prefix, i))
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
		})
	}
	callers.Wait()
	return statuses
}

// sendMany sends n requests one after the other and returns the responses by status.
func (s *fixture) sendMany(n int, prefix string) map[int]int {
	s.t.Helper()
	statuses := map[int]int{}
	for i := range n {
		statuses[s.post("/again/a", fmt.Sprint(prefix, i)).status]++
	}
	return statuses
}

// Guards against requests beyond what a cold endpoint tolerates, and against refusals that take long or do
// not say when to come back.
func TestAColdEndpointGetsNoMoreThanItBears(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	s := newColdFixture(t, w)
	w.SetCold(time.Minute, true)
	s.store.Put("servers/"+w.ID, w.Registration("ready"))
	s.start()
	s.waitFor("the endpoint is known to be cold", func() bool { return s.sumMetric(coldEndpointCount) == 1 })
	statuses := s.sendAtOnce(200, "q")
	is.True(statuses[http.StatusOK] > 0)
	is.True(statuses[http.StatusServiceUnavailable] > 0)
	is.True(w.MaxArrivals(time.Time{}, time.Second) <= 10)
	s.waitFor("a refusal says when to come back", func() bool {
		refused := s.post("/again/a", fmt.Sprint("late", time.Now().UnixNano()))
		return refused.status == http.StatusServiceUnavailable && refused.header.Get("Retry-After") != ""
	})
	s.waitFor("the refusals are logged", func() bool { return strings.Contains(s.log.String(), `"event":"cold_refused"`) })
	is.True(strings.Contains(s.log.String(), `"code":3019`))
	is.True(strings.Contains(s.log.String(), `"event":"endpoint_cold"`))
	is.True(s.sumMetric(`aspenyard_gateway_cold_refused_total{service="app"}`) > 0)
	is.True(s.sumMetric(`aspenyard_gateway_cold_requests_total{service="app"}`) >= float64(statuses[http.StatusOK]))
	is.True(s.sumMetric("aspenyard_gateway_cold_left_seconds ") > 30)
}

// Guards against a registration that still says warm and hides what the endpoint states itself, and
// against warm-ups that do not end when the endpoint says so.
func TestAResponseSaysThatAnEndpointIsCold(t *testing.T) {
	is := is.New(t)
	w, warm := plainWorker(), plainWorker()
	s := newColdFixture(t, w, warm).start()
	w.SetCold(time.Minute, false)
	s.waitFor("a response has said so", func() bool {
		s.sendMany(1, fmt.Sprint("a", time.Now().UnixNano()))
		return s.sumMetric(coldEndpointCount) == 1
	})
	s.store.Put("servers/"+w.ID, w.Registration("ready")) // still says warm
	before := len(w.Runs())
	is.Equal(s.sendMany(20, "b")[http.StatusOK], 20)
	is.Equal(len(w.Runs()), before) // the warm endpoint is preferred
	is.Equal(s.sumMetric(coldEndpointCount), 1.0)
	warm.SetDefaultFault(standin.FaultShed)
	w.SetColdText("0")
	s.waitFor("a response has said that it is warm", func() bool {
		s.sendMany(1, fmt.Sprint("c", time.Now().UnixNano()))
		return s.sumMetric(coldEndpointCount) == 0
	})
	s.waitFor("that is logged", func() bool { return strings.Contains(s.log.String(), `"event":"endpoint_warm"`) })
}

// Guards against malformed statements that start or end a warm-up.
func TestMalformedColdStatementsAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	s := newColdFixture(t, w).start()
	malformed := []string{"-1", "NaN", "soon", "3\r\nX-Aspenyard-Cold-Ms: 5"}
	for i, text := range malformed {
		w.SetColdText(text)
		is.Equal(s.post("/again/a", fmt.Sprint("q", i)).status, http.StatusOK)
	}
	is.Equal(s.sumMetric(`aspenyard_gateway_invalid_statements_total{statement="cold"}`), float64(len(malformed)))
	is.Equal(s.sumMetric(coldEndpointCount), 0.0)
	w.SetColdText("7200000")
	is.Equal(s.post("/again/a", "long").status, http.StatusOK)
	s.waitFor("the bounded time is logged", func() bool { return strings.Contains(s.log.String(), `"event":"cold_time_bounded"`) })
	is.True(s.sumMetric("aspenyard_gateway_cold_left_seconds ") <= 3600)
}

// Guards against requests that count although no endpoint ran them: none had arrived, or the address
// belongs to another endpoint.
func TestARequestThatDidNotArriveGivesItsColdShareBack(t *testing.T) {
	is := is.New(t)
	w, other := plainWorker(), plainWorker()
	s := newColdFixture(t, w, other)
	for _, worker := range []*standin.Worker{w, other} {
		worker.SetCold(time.Minute, true)
	}
	s.store.Put("servers/"+w.ID, w.RegistrationAt(other.Addr(), "ready")) // answers 421
	s.store.Put("servers/"+other.ID, other.RegistrationAt(w.Addr(), "ready"))
	s.start()
	s.sendMany(10, "q")
	is.Equal(s.sumMetric(`aspenyard_gateway_cold_refused_total{service="app"}`), 0.0)
}

// Guards against entries that together send a cold endpoint more than it tolerates, and against entries
// that do not hear from each other that an endpoint is cold.
func TestEntriesKeepAColdEndpointsBoundTogether(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	var gateways []*fixture
	for i := range 3 {
		s := newColdFixture(t)
		if i == 0 {
			s = newColdFixture(t, w)
		} else {
			s.store, s.version = gateways[0].store, gateways[0].version
			s.extraSettings = fmt.Sprintf(`,"name":"g%d"`, i+1)
		}
		s.enablePeers()
		gateways = append(gateways, s.start())
	}
	for _, s := range gateways {
		s.waitFor("the other gateways' heartbeats arrive", func() bool { return s.sumMetric("aspenyard_gateway_peers_heard ") == 2 })
	}
	w.SetCold(time.Minute, false)
	is.Equal(gateways[0].post("/again/a", "first").status, http.StatusOK)
	for _, s := range gateways {
		s.waitFor("all know that the endpoint is cold", func() bool { return s.sumMetric(coldEndpointCount) == 1 })
	}
	known := time.Now().Add(time.Second)
	sendConstantly(gateways, "/again/a", 30*time.Millisecond, 10*time.Second)
	is.True(w.MaxArrivals(known, time.Second) <= 10)
	is.True(len(w.Runs()) > 5)
}
