package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

const (
	// Users' rule for an endpoint that refuses with Retry-After: from backoffMargin after the refusal to
	// the end of the time it gets at most backoffAllowed requests from the entry that it refused.
	backoffMargin  = 500 * time.Millisecond
	backoffAllowed = 2
)

// Guards against entries that send requests to endpoints which have refused one and stated for how
// long they want no others, whether or not other endpoints are left.
func TestEndpointsThatRequestBackoffGetNoRequests(t *testing.T) {
	for name, inBackoff := range map[string]int{"one of three": 1, "all three": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := []*standin.Worker{plainWorker(), plainWorker(), plainWorker()}
			gateways := startGateways(t, 4, workers...)
			for _, w := range workers[:inBackoff] {
				w.SetBackoff("3")
				w.SetDefaultFault(standin.FaultShed)
			}
			sendConstantly(gateways, "/again/a", 100*time.Millisecond, 3500*time.Millisecond)
			for _, w := range workers[:inBackoff] {
				counts := arrivalsDuringBackoff(w, 3*time.Second)
				t.Logf("%s: requests during its backoff, by gateway: %v", w.ID, counts)
				for _, n := range counts {
					is.True(n <= backoffAllowed)
				}
				is.True(len(w.Runs()) > 0)
			}
		})
	}
}

// arrivalsDuringBackoff returns, by gateway, how many requests a worker got during the backoff that it
// stated in its first refusal to that gateway.
func arrivalsDuringBackoff(w *standin.Worker, backoff time.Duration) map[string]int {
	refusedAt, counts := map[string]time.Time{}, map[string]int{}
	for _, run := range w.Runs() {
		sender := senderOf(&run)
		first, found := refusedAt[sender]
		switch {
		case !found && !run.Ran:
			refusedAt[sender] = run.ArrivedAt
		case found && run.ArrivedAt.After(first.Add(backoffMargin)) && run.ArrivedAt.Before(first.Add(backoff)):
			counts[sender]++
		}
	}
	return counts
}

// backoffEndpoints is the metric of the endpoints in backoff.
const backoffEndpoints = "aspenyard_gateway_backoff_endpoints "

// backoffAfterRefusal makes a worker refuse one request with the given Retry-After and waits until the
// gateway knows of the backoff.
func backoffAfterRefusal(s *fixture, w *standin.Worker, backoff string, known float64) {
	s.t.Helper()
	w.SetBackoff(backoff)
	w.SetDefaultFault(standin.FaultShed)
	n := 0
	s.waitFor("the endpoint is in backoff", func() bool {
		n++
		s.post("/again/a", fmt.Sprint("backoff-", w.ID, n))
		return s.sumMetric(backoffEndpoints) == known
	})
	w.SetDefaultFault("")
}

// Guards against backoffs that are forgotten: with a response to an earlier request, when the endpoint's
// registration ends for a while, or by a malformed later value; and against backoffs that do not end.
func TestABackoffLastsAsLongAsStated(t *testing.T) {
	is := is.New(t)
	inBackoff, other := plainWorker(), plainWorker()
	s := newFixture(t, inBackoff, other).start()
	backoffAfterRefusal(s, inBackoff, "3600", 1)
	is.True(strings.Contains(s.log.String(), `"event":"endpoint_backoff","node":"g1","role":"gateway","endpoint":"i-1","backoff_ms":3600000`))
	expectNone(s, inBackoff, "a")
	s.store.Delete("servers/" + inBackoff.ID)
	s.waitFor("the registration has ended", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 1 })
	s.store.Put("servers/"+inBackoff.ID, inBackoff.Registration("ready"))
	s.waitFor("the endpoint is listed anew", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 2 })
	expectNone(s, inBackoff, "b")
	is.True(s.sumMetric("aspenyard_gateway_backoff_left_seconds ") > 3000)
	is.Equal(s.sumMetric(`aspenyard_gateway_backoffs_total{service="app"}`), 1.0)

	backoffAfterRefusal(s, other, "0.3", 2)
	s.waitFor("the shorter backoff ends", func() bool { return s.sumMetric(backoffEndpoints) == 1 })
	expectNone(s, inBackoff, "c")
}

// Guards against malformed values that start or end a backoff.
func TestMalformedBackoffsAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	s := newFixture(t, w, plainWorker()).start()
	malformed := []string{"-1", "NaN", "soon", "1e9", "3\r\nRetry-After: 5"}
	for i, text := range malformed {
		w.SetBackoff(text)
		refused := w.MaxArrivals(time.Time{}, time.Hour)
		w.QueueFaults(standin.FaultShed)
		s.waitFor("the endpoint refuses a request", func() bool {
			is.Equal(s.post("/again/a", fmt.Sprint("q", i)).status, http.StatusOK)
			return w.MaxArrivals(time.Time{}, time.Hour) > refused
		})
	}
	is.Equal(s.sumMetric(`aspenyard_gateway_invalid_statements_total{statement="backoff"}`), float64(len(malformed)))
	is.Equal(strings.Count(s.log.String(), `"event":"endpoint_statement_refused"`), len(malformed))
	is.Equal(s.sumMetric(backoffEndpoints), 0.0)
}

// Guards against requests that are sent, wait, or are told to come back too early where all endpoints
// backoff, also to the one whose refusal started the last backoff.
func TestRequestsAreRefusedAtOnceWhereAllEndpointsAreInBackoff(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"marked as not executed": standin.FaultShed, "not marked": standin.FaultUnmarkedRefusal} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := plainWorker()
			s := newFixture(t, w).start()
			w.SetBackoff("60")
			w.QueueFaults(fault)
			first := s.post("/again/a", "first")
			if fault == standin.FaultShed {
				is.True(strings.Contains(first.body, "3017"))
			}
			for i := range 3 {
				got := s.post("/once/a", fmt.Sprint("q", i))
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(strings.Contains(got.body, "3017"))
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after > 30) // not before the end of the backoff
			}
			is.Equal(len(w.Runs()), 1)
			s.waitFor("the refusals are logged", func() bool { return strings.Count(s.log.String(), `"event":"backoff_refused"`) >= 3 })
			is.True(s.sumMetric(`aspenyard_gateway_backoff_refused_total{service="app"}`) >= 3)
		})
	}
}

// Guards against retries that are charged to the retry budget although no endpoint was left for them.
func TestARetryThatIsNotSentCostsNoBudget(t *testing.T) {
	is := is.New(t)
	inBackoff, failing := plainWorker(), plainWorker()
	s := newFixture(t, inBackoff, failing)
	s.extraSettings = `,"retry_ratio":0,"retry_allowance":500` // two retries for an entry that has just started
	s.start()
	backoffAfterRefusal(s, inBackoff, "3600", 1) // uses one
	failing.SetDefaultFault(standin.FaultError)
	for i := range 20 {
		is.Equal(s.post("/again/a", fmt.Sprint("failed", i)).status, http.StatusInternalServerError)
	}
	third := &standin.Worker{ID: "i-3", Service: "app"}
	is.NoErr(third.Start())
	t.Cleanup(third.Stop)
	s.store.Put("servers/i-3", third.Registration("ready"))
	s.waitFor("the third endpoint is listed", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 3 })
	n, failed := 0, len(failing.Runs())
	s.waitFor("a request fails at the second endpoint first", func() bool {
		n++
		is.Equal(s.post("/again/a", fmt.Sprint("retried", n)).status, http.StatusOK)
		return len(failing.Runs()) > failed
	})
}

// Guards against a new incarnation that gets no requests because the one before it is in backoff.
func TestANewIncarnationIsNotInBackoff(t *testing.T) {
	is := is.New(t)
	old := plainWorker()
	old.StartUnixMilli = 1000
	s := newFixture(t, old).start()
	backoffAfterRefusal(s, old, "3600", 1)
	addr := old.Addr()
	old.Stop()
	next := &standin.Worker{ID: old.ID, Service: old.Service, StartUnixMilli: 2000}
	is.NoErr(next.StartAt(addr))
	t.Cleanup(next.Stop)
	s.store.Put("servers/"+next.ID, next.Registration("ready"))
	s.waitFor("the new incarnation serves", func() bool { return s.post("/again/a", "r").status == http.StatusOK })
}

// Guards against reservations and parts of prompts at an engine that is in backoff, and against KV cache that
// stays reserved there.
func TestAnEngineInBackoffGetsReleasesOnly(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 17)
	for _, w := range s.workers {
		w.EventCount, w.EventInterval = 200, 20*time.Millisecond
	}
	done := make(chan callerResponse, 1)
	go func() { done <- s.sendPrompt("first", 500_000) }()
	s.waitFor("the first prompt runs", func() bool { return s.findRun("first") != nil })
	helpers := s.findRun("first").Helpers
	inBackoff := s.workers[slices.IndexFunc(s.workers, func(w *standin.Worker) bool { return strings.Contains(helpers, w.Addr()+"/") })]
	inBackoff.SetBackoff("3600")
	inBackoff.SetDefaultFault(standin.FaultShed)
	n := 0
	s.waitFor("the engine is in backoff", func() bool {
		n++
		go s.sendPrompt(fmt.Sprint("short", n), 1000)
		return s.sumMetric(backoffEndpoints) == 1
	})
	inBackoff.SetDefaultFault("")
	is.Equal(len(done), 0) // the first prompt still runs
	is.Equal((<-done).status, http.StatusOK)
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
	s.waitFor("the short prompts have ended", func() bool { return s.sumMetric("aspenyard_gateway_active_requests ") == 0 })
	_, released, before := inBackoff.Reservations()
	is.True(released > 0)
	runs := len(inBackoff.Runs())
	is.Equal(s.sendPrompt("second", 500_000).status, http.StatusOK)
	is.True(!strings.Contains(s.findRun("second").Helpers, inBackoff.Addr()))
	_, _, after := inBackoff.Reservations()
	is.Equal(after, before)
	is.Equal(len(inBackoff.Runs()), runs)
}

// Guards against a long prompt that is refused although engines end their backoffs within its time, and
// against one that waits for engines which do not.
func TestAQueuedPromptWaitsForABackoffWithinItsTime(t *testing.T) {
	for backoff, want := range map[string]int{"0.4": http.StatusOK, "3600": http.StatusServiceUnavailable} {
		t.Run(backoff, func(t *testing.T) {
			is := is.New(t)
			s := newEngineFixture(t, 12)
			for _, r := range s.routes {
				r["target_latency_ms"] = 10_000
			}
			s.start()
			for _, w := range s.workers {
				w.SetBackoff(backoff)
				w.SetDefaultFault(standin.FaultShed)
			}
			s.waitFor("all engines are in backoff", func() bool {
				s.sendPrompt("short", 1000)
				return s.sumMetric(backoffEndpoints) == 12 || strings.Contains(s.log.String(), `"event":"backoff_refused"`)
			})
			for _, w := range s.workers {
				w.SetDefaultFault("")
			}
			got := s.sendPrompt("long", 200_000)
			is.Equal(got.status, want)
			if want != http.StatusOK {
				is.True(strings.Contains(got.body, "3017"))
			}
		})
	}
}

// Guards against entries that each send a request to an endpoint which has requested backoff of one of them,
// while others are free; and against entries that refuse requests because it asked another one.
func TestOtherEntriesPreferOthersToAnEndpointInBackoff(t *testing.T) {
	is := is.New(t)
	inBackoff, other := plainWorker(), plainWorker()
	gateways := startGateways(t, 2, inBackoff, other)
	backoffAfterRefusal(gateways[0], inBackoff, "3600", 1)
	second := gateways[1]
	second.waitFor("the second gateway prefers the other endpoint", func() bool {
		before := len(inBackoff.Runs())
		for i := range 40 {
			second.post("/again/a", fmt.Sprint("r", i))
		}
		return len(inBackoff.Runs()) == before
	})
	is.Equal(second.sumMetric(backoffEndpoints), 0.0)
	other.SetBackoff("3600")
	other.SetDefaultFault(standin.FaultShed)
	is.Equal(second.post("/again/a", "last").status, http.StatusOK) // the first asked the first gateway only
}
