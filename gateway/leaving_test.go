package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// leavingBound is the users' rule for an endpoint that states that it leaves: from then on it gets
// no request from an entry that passed on such a response.
const leavingBound = 2 * time.Second

// Guards against entries that send requests to an endpoint which has stated that it leaves, while the
// store has not heard of it.
func TestAnEndpointThatStatesThatItLeavesGetsNoRequests(t *testing.T) {
	is := is.New(t)
	leaving := plainWorker()
	gateways := startGateways(t, 4, leaving, plainWorker(), plainWorker())
	leaving.SetLeaving(true)
	sendConstantly(gateways, "/again/a", 100*time.Millisecond, time.Second)
	heard := time.Now()
	sendConstantly(gateways, "/again/a", 100*time.Millisecond, 4*time.Second)
	counts := leaving.ArrivalsPerSecond(heard.Add(leavingBound), senderOf)
	t.Logf("arrivals a second by gateway, from %v after all heard it: %v", leavingBound, counts)
	is.Equal(len(counts), 0)
}

// statedLeaving is the metric of the endpoints that state that they leave while the store lists them.
const statedLeaving = "aspenyard_gateway_stated_leaving_endpoints "

// hearLeaving makes a worker state that it leaves and waits until each gateway knows it.
func hearLeaving(w *standin.Worker, gateways ...*fixture) {
	w.SetLeaving(true)
	n := 0
	for _, s := range gateways {
		s.waitFor("the gateway knows that the endpoint leaves", func() bool {
			n++
			gateways[0].post("/again/a", fmt.Sprint("hear", n))
			return s.sumMetric(statedLeaving) == 1
		})
		s.waitFor("the endpoint is left out", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == float64(len(gateways[0].workers)-1) })
	}
}

// expectNone sends requests and expects that a worker gets none of them and all are served.
func expectNone(s *fixture, w *standin.Worker, prefix string) {
	s.t.Helper()
	is := is.New(s.t)
	before := len(w.Runs())
	for i := range 20 {
		is.Equal(s.post("/again/a", fmt.Sprint(prefix, i)).status, http.StatusOK)
	}
	is.Equal(len(w.Runs()), before)
}

// Guards against a statement that ends while its endpoint still runs: with a later response without
// it, a registration from a newer revision, an outage of the store, or an expired registration.
func TestAStatementOfLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	leaving := plainWorker()
	s := newFixture(t, leaving, plainWorker()).start()
	hearLeaving(leaving, s)
	is.True(strings.Contains(s.log.String(), `"event":"endpoint_states_leaving","node":"g1","role":"gateway","endpoint":"i-1","header":"Server-Leaving","heard_from":""`))
	leaving.SetLeaving(false)
	expectNone(s, leaving, "without")
	s.store.Put("servers/"+leaving.ID, leaving.Registration("ready"))
	s.waitFor("the registration is read", func() bool { return strings.Count(s.log.String(), `"endpoint_listed"`) >= 1 })
	expectNone(s, leaving, "listed")
	s.store.SetFaults(standin.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
	s.waitFor("the outage is noticed", func() bool { return strings.Contains(s.log.String(), "store_lost") })
	s.store.Delete("servers/" + leaving.ID)
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("the outage has ended", func() bool { return strings.Contains(s.log.String(), "store_regained") })
	s.waitFor("the registration has expired", func() bool { return s.sumMetric(statedLeaving) == 0 })
	s.store.Put("servers/"+leaving.ID, leaving.Registration("ready"))
	s.waitFor("the endpoint is listed anew", func() bool { return s.sumMetric(statedLeaving) == 1 })
	expectNone(s, leaving, "anew")
}

// Guards against a new incarnation that gets no requests because the one before it left.
func TestANewIncarnationDoesNotLeave(t *testing.T) {
	is := is.New(t)
	old := plainWorker()
	old.StartUnixMilli = 1000
	s := newFixture(t, old).start()
	hearLeaving(old, s)
	is.Equal(s.post("/again/a", "refused").status, http.StatusServiceUnavailable)
	addr := old.Addr()
	old.Stop()
	next := &standin.Worker{ID: old.ID, Service: old.Service, StartUnixMilli: 2000}
	is.NoErr(next.StartAt(addr))
	t.Cleanup(next.Stop)
	s.store.Put("servers/"+next.ID, next.Registration("ready"))
	s.waitFor("the new incarnation serves", func() bool { return s.post("/again/a", "r").status == http.StatusOK })
	s.waitFor("no listed endpoint leaves", func() bool { return s.sumMetric(statedLeaving) == 0 })
}

// Guards against an endpoint that is taken out by a malformed statement, by one of another instance
// at its address, or by a header of a caller's request.
func TestNoEndpointLeavesByAnotherOnesStatement(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	s := newFixture(t, w).start()
	for i, text := range []string{"0", "yes", "1, 0"} {
		w.SetLeavingText(text)
		is.Equal(s.post("/again/a", fmt.Sprint("malformed", i)).status, http.StatusOK)
	}
	is.Equal(s.sumMetric(`aspenyard_gateway_invalid_statements_total{statement="leaving"}`), 2.0)
	is.Equal(strings.Count(s.log.String(), `"event":"endpoint_statement_refused"`), 2)
	w.SetLeavingText("")
	r := s.request(http.MethodPost, "/again/a", "forged", "x")
	r.Header.Set("Server-Leaving", "1")
	is.Equal(s.do(r).status, http.StatusOK)
	is.Equal(w.Runs()[len(w.Runs())-1].Statements, "") // not forwarded: an endpoint may echo headers
	ghost := &standin.Worker{ID: "i-ghost", Service: "app"}
	s.store.Put("servers/"+ghost.ID, ghost.RegistrationAt(w.Addr(), "ready"))
	s.waitFor("a request reaches the other instance at the address", func() bool {
		is.Equal(s.post("/again/a", "r").status, http.StatusOK)
		return slices.ContainsFunc(w.Runs(), func(run standin.Run) bool { return run.Status == http.StatusMisdirectedRequest })
	})
	w.SetDefaultFault(standin.FaultDuplicateResponse)
	is.Equal(s.post("/again/a", "twice").status, http.StatusOK)
	is.Equal(s.sumMetric(statedLeaving), 0.0)
}

// Guards against requests that are sent to leaving endpoints as a last resort, or that wait, where
// all endpoints of the service leave.
func TestRequestsAreRefusedAtOnceWhereAllEndpointsLeave(t *testing.T) {
	is := is.New(t)
	first, second := plainWorker(), plainWorker()
	s := newFixture(t, first, second).start()
	first.SetLeaving(true)
	second.SetLeaving(true)
	s.waitFor("both have said so", func() bool {
		s.post("/again/a", "r")
		return s.sumMetric("aspenyard_gateway_endpoints ") == 0
	})
	before := len(first.Runs()) + len(second.Runs())
	for i := range 5 {
		got := s.post("/again/a", fmt.Sprint("q", i))
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(got.body, "3006"))
		is.True(strings.Contains(got.body, "2 are leaving"))
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(len(first.Runs())+len(second.Runs()), before)
	is.True(strings.Contains(s.log.String(), `"event":"no_endpoint"`))
}

// Guards against a long prompt that waits for capacity while all engines have stated that they leave.
func TestAQueuedPromptIsRefusedWhenAllEnginesLeave(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 2)
	for _, r := range s.routes {
		r["target_latency_ms"] = 14_000
	}
	s.start()
	queued := make(chan callerResponse, 1)
	s.gateway.ReportPeerPrefill("model", 3*time.Second)
	go func() { queued <- s.sendPrompt("long", 200_000) }()
	for _, w := range s.workers {
		w.SetLeaving(true)
	}
	s.waitFor("both engines have said that they leave", func() bool {
		s.gateway.ReportPeerPrefill("model", 3*time.Second)
		s.sendPrompt("short", 1000)
		return s.sumMetric("aspenyard_gateway_endpoints ") == 0
	})
	got := <-queued
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "3006"))
	is.Equal(s.runCount("long"), 0)
}

// Guards against streams that are cut because their endpoint leaves, and against connections that
// are kept idle to it.
func TestRequestsInFlightEndAtALeavingEndpoint(t *testing.T) {
	is := is.New(t)
	w := &standin.Worker{EventCount: 200, EventInterval: 5 * time.Millisecond}
	s := newFixture(t, w).start()
	w.SetLeaving(true)
	got := s.post("/stream/a", "r")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, standin.StreamText("r", 200))
	s.waitFor("the endpoint is left out", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 0 })
	s.waitFor("its connections are closed", func() bool { return w.OpenConnections() == 0 })
}

// Guards against KV cache that stays reserved at an engine that leaves, and against new reservations
// there.
func TestReservationsAtALeavingEngineAreReleased(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 17)
	is.Equal(s.sendPrompt("first", 500_000).status, http.StatusOK) // more than one engine holds
	leaving := s.workers[5]
	leaving.SetLeaving(true)
	n := 0
	s.waitFor("the engine is left out", func() bool {
		n++
		s.sendPrompt(fmt.Sprint("hear", n), 500_000)
		return s.sumMetric("aspenyard_gateway_endpoints ") == 16
	})
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
	_, _, before := leaving.Reservations()
	is.Equal(s.sendPrompt("last", 500_000).status, http.StatusOK)
	is.True(!strings.Contains(s.findRun("last").Helpers, leaving.Addr()))
	_, _, after := leaving.Reservations()
	is.Equal(after, before)
}

// Guards against a prompt that is sent although its engines state that they leave in their responses
// to its reservations.
func TestAPromptIsNotSentWhenItsEnginesLeaveMeanwhile(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 17)
	for _, w := range s.workers {
		w.SetLeaving(true)
	}
	is.Equal(s.sendPrompt("q1", 500_000).status, http.StatusServiceUnavailable)
	is.Equal(s.runCount("q1"), 0)
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
}

// Guards against memory that stays reserved at an engine that left after a call to reserve got no
// response: the engine executes the call late, when it is no longer sent requests.
func TestAnUncertainReservationAtALeavingEngineIsReleased(t *testing.T) {
	s := startEngineFixture(t, 20)
	for _, w := range s.workers {
		w.QueueOrderFaults(standin.FaultLateOrder)
	}
	s.sendPrompt("q1", 500_000)
	for _, w := range s.workers {
		s.store.Put("servers/"+w.ID, w.Registration("draining"))
	}
	s.waitFor("reservations made in time are released", func() bool { return s.reservationCount() == 0 })
	s.waitFor("late reservations are held", func() bool { return s.reservationCount() > 0 })
	freed := s.freedCount()
	s.waitFor("late reservations are released", func() bool { return s.freedCount() > freed && s.reservationCount() == 0 })
}

// Guards against an entry that sends requests to an endpoint although the others know that it
// leaves, also when it has only just started.
func TestOtherEntriesLearnThatAnEndpointLeaves(t *testing.T) {
	is := is.New(t)
	leaving := plainWorker()
	gateways := startGateways(t, 2, leaving, plainWorker())
	hearLeaving(leaving, gateways...)
	is.True(strings.Contains(gateways[0].log.String()+gateways[1].log.String(), `"endpoint":"i-1","header":"","heard_from":"g`))
	expectNone(gateways[1], leaving, "second")
	gateways[0].waitFor("the statement is no longer new", func() bool { return gateways[0].sumMetric("aspenyard_gateway_stated_leaving_age_seconds ") > 1 })
	third := newFixture(t)
	third.store, third.version = gateways[0].store, gateways[0].version
	third.extraSettings = `,"name":"g3"`
	third.enablePeers()
	third.start()
	third.waitFor("the third gateway learns of it", func() bool { return third.sumMetric("aspenyard_gateway_endpoints ") == 1 })
	expectNone(third, leaving, "third")
}
