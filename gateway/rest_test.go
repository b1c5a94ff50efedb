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
	// Users' rule for an endpoint that refuses with Retry-After: from restMargin after the refusal to
	// the end of the time it gets at most restAllowed requests from the entry that it refused.
	restMargin  = 500 * time.Millisecond
	restAllowed = 2
)

// Guards against entries that send requests to endpoints which have refused one and stated for how
// long they want no others, whether or not other endpoints are left.
func TestEndpointsThatWantRestGetNoRequests(t *testing.T) {
	for name, resting := range map[string]int{"one of three": 1, "all three": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := []*standin.Worker{plainWorker(), plainWorker(), plainWorker()}
			gateways := startGateways(t, 4, workers...)
			for _, w := range workers[:resting] {
				w.SetRest("3")
				w.SetDefaultFault(standin.FaultShed)
			}
			sendConstantly(gateways, "/again/a", 100*time.Millisecond, 3500*time.Millisecond)
			for _, w := range workers[:resting] {
				counts := arrivalsDuringRest(w, 3*time.Second)
				t.Logf("%s: requests during its rest, by gateway: %v", w.ID, counts)
				for _, n := range counts {
					is.True(n <= restAllowed)
				}
				is.True(len(w.Runs()) > 0)
			}
		})
	}
}

// arrivalsDuringRest returns, by gateway, how many requests a worker got during the rest that it
// stated in its first refusal to that gateway.
func arrivalsDuringRest(w *standin.Worker, rest time.Duration) map[string]int {
	refusedAt, counts := map[string]time.Time{}, map[string]int{}
	for _, run := range w.Runs() {
		sender := senderOf(&run)
		first, found := refusedAt[sender]
		switch {
		case !found && !run.Ran:
			refusedAt[sender] = run.ArrivedAt
		case found && run.ArrivedAt.After(first.Add(restMargin)) && run.ArrivedAt.Before(first.Add(rest)):
			counts[sender]++
		}
	}
	return counts
}

// restingEndpoints is the metric of the endpoints that rest.
const restingEndpoints = "aspenyard_gateway_resting_endpoints "

// restAfterRefusal makes a worker refuse one request with the given Retry-After and waits until the
// gateway knows of the rest.
func restAfterRefusal(s *fixture, w *standin.Worker, rest string, known float64) {
	s.t.Helper()
	w.SetRest(rest)
	w.SetDefaultFault(standin.FaultShed)
	n := 0
	s.waitFor("the endpoint rests", func() bool {
		n++
		s.post("/again/a", fmt.Sprint("rest-", w.ID, n))
		return s.sumMetric(restingEndpoints) == known
	})
	w.SetDefaultFault("")
}

// Guards against rests that are forgotten: with a response to an earlier request, when the endpoint's
// registration ends for a while, or by a malformed later value; and against rests that do not end.
func TestARestLastsAsLongAsStated(t *testing.T) {
	is := is.New(t)
	resting, other := plainWorker(), plainWorker()
	s := newFixture(t, resting, other).start()
	restAfterRefusal(s, resting, "3600", 1)
	is.True(strings.Contains(s.log.String(), `"event":"endpoint_rests","node":"g1","role":"gateway","endpoint":"i-1","rest_ms":3600000`))
	expectNone(s, resting, "a")
	s.store.Delete("servers/" + resting.ID)
	s.waitFor("the registration has ended", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 1 })
	s.store.Put("servers/"+resting.ID, resting.Registration("ready"))
	s.waitFor("the endpoint is listed anew", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 2 })
	expectNone(s, resting, "b")
	is.True(s.sumMetric("aspenyard_gateway_rest_left_seconds ") > 3000)
	is.Equal(s.sumMetric(`aspenyard_gateway_rests_total{service="app"}`), 1.0)

	restAfterRefusal(s, other, "0.3", 2)
	s.waitFor("the shorter rest ends", func() bool { return s.sumMetric(restingEndpoints) == 1 })
	expectNone(s, resting, "c")
}

// Guards against malformed values that start or end a rest.
func TestMalformedRestsAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	s := newFixture(t, w, plainWorker()).start()
	malformed := []string{"-1", "NaN", "soon", "1e9", "3\r\nRetry-After: 5"}
	for i, text := range malformed {
		w.SetRest(text)
		refused := w.MaxArrivals(time.Time{}, time.Hour)
		w.QueueFaults(standin.FaultShed)
		s.waitFor("the endpoint refuses a request", func() bool {
			is.Equal(s.post("/again/a", fmt.Sprint("q", i)).status, http.StatusOK)
			return w.MaxArrivals(time.Time{}, time.Hour) > refused
		})
	}
	is.Equal(s.sumMetric(`aspenyard_gateway_invalid_statements_total{statement="rest"}`), float64(len(malformed)))
	is.Equal(strings.Count(s.log.String(), `"event":"endpoint_statement_refused"`), len(malformed))
	is.Equal(s.sumMetric(restingEndpoints), 0.0)
}

// Guards against requests that are sent, wait, or are told to come back too early where all endpoints
// rest, also to the one whose refusal started the last rest.
func TestRequestsAreRefusedAtOnceWhereAllEndpointsRest(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"marked as not executed": standin.FaultShed, "not marked": standin.FaultUnmarkedRefusal} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := plainWorker()
			s := newFixture(t, w).start()
			w.SetRest("60")
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
				is.True(after > 30) // not before the end of the rest
			}
			is.Equal(len(w.Runs()), 1)
			s.waitFor("the refusals are logged", func() bool { return strings.Count(s.log.String(), `"event":"rest_refused"`) >= 3 })
			is.True(s.sumMetric(`aspenyard_gateway_rest_refused_total{service="app"}`) >= 3)
		})
	}
}

// Guards against retries that are charged to the retry budget although no endpoint was left for them.
func TestARetryThatIsNotSentCostsNoBudget(t *testing.T) {
	is := is.New(t)
	resting, failing := plainWorker(), plainWorker()
	s := newFixture(t, resting, failing)
	s.extraSettings = `,"retry_ratio":0,"retry_allowance":500` // two retries for an entry that has just started
	s.start()
	restAfterRefusal(s, resting, "3600", 1) // uses one
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

// Guards against a new incarnation that gets no requests because the one before it rests.
func TestANewIncarnationDoesNotRest(t *testing.T) {
	is := is.New(t)
	old := plainWorker()
	old.StartUnixMilli = 1000
	s := newFixture(t, old).start()
	restAfterRefusal(s, old, "3600", 1)
	addr := old.Addr()
	old.Stop()
	next := &standin.Worker{ID: old.ID, Service: old.Service, StartUnixMilli: 2000}
	is.NoErr(next.StartAt(addr))
	t.Cleanup(next.Stop)
	s.store.Put("servers/"+next.ID, next.Registration("ready"))
	s.waitFor("the new incarnation serves", func() bool { return s.post("/again/a", "r").status == http.StatusOK })
}

// Guards against reservations and parts of prompts at an engine that rests, and against KV cache that
// stays reserved there.
func TestARestingEngineGetsReleasesOnly(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 17)
	for _, w := range s.workers {
		w.EventCount, w.EventInterval = 200, 20*time.Millisecond
	}
	done := make(chan callerResponse, 1)
	go func() { done <- s.sendPrompt("first", 500_000) }()
	s.waitFor("the first prompt runs", func() bool { return s.findRun("first") != nil })
	helpers := s.findRun("first").Helpers
	resting := s.workers[slices.IndexFunc(s.workers, func(w *standin.Worker) bool { return strings.Contains(helpers, w.Addr()+"/") })]
	resting.SetRest("3600")
	resting.SetDefaultFault(standin.FaultShed)
	n := 0
	s.waitFor("the engine rests", func() bool {
		n++
		go s.sendPrompt(fmt.Sprint("short", n), 1000)
		return s.sumMetric(restingEndpoints) == 1
	})
	resting.SetDefaultFault("")
	is.Equal(len(done), 0) // the first prompt still runs
	is.Equal((<-done).status, http.StatusOK)
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
	s.waitFor("the short prompts have ended", func() bool { return s.sumMetric("aspenyard_gateway_active_requests ") == 0 })
	_, released, before := resting.Reservations()
	is.True(released > 0)
	runs := len(resting.Runs())
	is.Equal(s.sendPrompt("second", 500_000).status, http.StatusOK)
	is.True(!strings.Contains(s.findRun("second").Helpers, resting.Addr()))
	_, _, after := resting.Reservations()
	is.Equal(after, before)
	is.Equal(len(resting.Runs()), runs)
}

// Guards against a long prompt that is refused although engines end their rests within its time, and
// against one that waits for engines which do not.
func TestAQueuedPromptWaitsForARestWithinItsTime(t *testing.T) {
	for rest, want := range map[string]int{"0.4": http.StatusOK, "3600": http.StatusServiceUnavailable} {
		t.Run(rest, func(t *testing.T) {
			is := is.New(t)
			s := newEngineFixture(t, 12)
			for _, r := range s.routes {
				r["target_latency_ms"] = 10_000
			}
			s.start()
			for _, w := range s.workers {
				w.SetRest(rest)
				w.SetDefaultFault(standin.FaultShed)
			}
			s.waitFor("all engines rest", func() bool {
				s.sendPrompt("short", 1000)
				return s.sumMetric(restingEndpoints) == 12 || strings.Contains(s.log.String(), `"event":"rest_refused"`)
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

// Guards against entries that each send a request to an endpoint which has asked one of them for rest,
// while others are free; and against entries that refuse requests because it asked another one.
func TestOtherEntriesPreferOthersToAnEndpointThatRests(t *testing.T) {
	is := is.New(t)
	resting, other := plainWorker(), plainWorker()
	gateways := startGateways(t, 2, resting, other)
	restAfterRefusal(gateways[0], resting, "3600", 1)
	second := gateways[1]
	second.waitFor("the second gateway prefers the other endpoint", func() bool {
		before := len(resting.Runs())
		for i := range 40 {
			second.post("/again/a", fmt.Sprint("r", i))
		}
		return len(resting.Runs()) == before
	})
	is.Equal(second.sumMetric(restingEndpoints), 0.0)
	other.SetRest("3600")
	other.SetDefaultFault(standin.FaultShed)
	is.Equal(second.post("/again/a", "last").status, http.StatusOK) // the first asked the first gateway only
}
