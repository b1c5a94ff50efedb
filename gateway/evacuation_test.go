package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

const (
	evacuatedEndpoints   = "aspenyard_gateway_evacuated_endpoints "
	evacuatedDataCentres = "aspenyard_gateway_evacuated_data_centres "
)

// in returns a worker of a plain service in a data centre.
func in(dataCentre string) *standin.Worker { return &standin.Worker{DataCentre: dataCentre} }

// evacuate writes the operator's request and waits until the gateway applies it to a number of
// endpoints.
func (s *fixture) evacuate(dataCentre string, endpoints int) {
	s.t.Helper()
	s.store.Put("op/evacuate/"+dataCentre, []byte("{}"))
	s.awaitEvacuated(endpoints)
}

func (s *fixture) awaitEvacuated(endpoints int) {
	s.t.Helper()
	s.waitFor(fmt.Sprint(endpoints, " endpoints are evacuated"), func() bool { return s.sumMetric(evacuatedEndpoints) == float64(endpoints) })
}

// Guards against requests to an evacuated data centre, and against endpoints that stay left out after
// the evacuation.
func TestAnEvacuatedDataCentreGetsNoRequestsUntilTheEnd(t *testing.T) {
	is := is.New(t)
	away := in("dc1") // which the gateway prefers, as it is there too
	s := newFixture(t, away, in("dc2")).start()
	s.evacuate("dc1", 1)
	expectNone(s, away, "during")
	s.store.Delete("op/evacuate/dc1")
	s.awaitEvacuated(0)
	n := 0
	s.waitFor("the endpoint gets requests again", func() bool {
		n++
		is.Equal(s.post("/again/a", fmt.Sprint("after", n)).status, http.StatusOK)
		return len(away.Runs()) > 0
	})
	log := s.log.String()
	is.True(strings.Contains(log, `"event":"evacuation","node":"g1","role":"gateway","data_centre":"dc1","revision":4,"endpoints":1,"heard_from":"store"`))
	is.True(strings.Contains(log, `"event":"evacuation_ended","node":"g1","role":"gateway","data_centre":"dc1","revision":5,"endpoints":1,"heard_from":"store"`))
}

// Guards against an entry that serves before it knows the evacuations.
func TestAnEntryKnowsEvacuationsWhenItStarts(t *testing.T) {
	away := in("dc1")
	s := newFixture(t, away, in("dc2"))
	s.store.Put("op/evacuate/dc1", []byte("{}"))
	s.start()
	expectNone(s, away, "first")
}

// Guards against requests that are sent to evacuated endpoints as a last resort, or that wait.
func TestRequestsAreRefusedAtOnceWhereAllEndpointsAreEvacuated(t *testing.T) {
	is := is.New(t)
	first, second, leaving := in("dc1"), in("dc2"), in("dc3")
	s := newFixture(t, first, second, leaving).start()
	s.store.Put("servers/"+leaving.ID, leaving.Registration("draining"))
	s.evacuate("dc1", 1)
	s.evacuate("dc2", 2)
	for i, path := range []string{"/once/a", "/again/a", "/stream/a"} {
		got := s.post(path, fmt.Sprint("q", i))
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(got.body, "3018"))
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(len(first.Runs())+len(second.Runs())+len(leaving.Runs()), 0)
	is.Equal(s.sumMetric(`aspenyard_gateway_evacuated_refused_total{service="app"}`), 3.0)
	is.True(strings.Contains(s.log.String(), `"event":"evacuated_refused","node":"g1","role":"gateway","service":"app","endpoints":2,"data_centres":["dc1","dc2"],"request":"q0"`))
}

// Guards against an empty name that takes out endpoints or hides the error, and against a name
// without endpoints that is ignored, or that leaves traces when it ends.
func TestEvacuationsOfNoKnownDataCentre(t *testing.T) {
	is := is.New(t)
	w := in("dc1")
	s := newFixture(t, w).start()
	s.store.Put("op/evacuate/", []byte("{}"))
	s.store.Put("op/evacuate/nowhere", []byte("not JSON"))
	s.waitFor("the evacuation is in force", func() bool { return s.sumMetric(evacuatedDataCentres) == 1 })
	is.Equal(s.post("/again/a", "r").status, http.StatusOK)
	s.store.Delete("op/evacuate/")
	s.store.Delete("op/evacuate/nowhere")
	s.waitFor("the evacuation has ended", func() bool { return s.sumMetric(evacuatedDataCentres) == 0 })
	log := s.log.String()
	is.Equal(strings.Count(log, "store_item_refused"), 1)
	is.True(strings.Contains(log, `"key":"op/evacuate/"`))
	is.True(strings.Contains(log, `"data_centre":"nowhere","revision":4,"endpoints":0,`))
}

// Guards against an evacuation that is in force for good, or unknown, after the store has dropped the
// history in which it began or ended.
func TestEvacuationsAreReadAnewWhenTheStoreDropsItsHistory(t *testing.T) {
	s := newFixture(t, in("dc2"), in("dc1")).start()
	change := func(write func()) {
		s.store.SetFaults(standin.StoreFaults{MuteWatches: true})
		write()
		s.store.Compact()
		s.store.SetFaults(standin.StoreFaults{})
	}
	change(func() { s.store.Put("op/evacuate/dc2", []byte("{}")) })
	s.awaitEvacuated(1)
	change(func() { s.store.Delete("op/evacuate/dc2") })
	s.awaitEvacuated(0)
}

// Guards against a prompt that waits for capacity, or is sent, after its engines were evacuated.
func TestAQueuedPromptIsRefusedWhenAllEnginesAreEvacuated(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 2)
	for _, r := range s.routes {
		r["target_latency_ms"] = 14_000
	}
	s.start()
	queued := make(chan callerResponse, 1)
	s.gateway.ReportPeerPrefill("model", 3*time.Second)
	go func() { queued <- s.sendPrompt("long", 200_000) }()
	s.waitFor("the prompt waits", func() bool {
		s.gateway.ReportPeerPrefill("model", 3*time.Second)
		return s.sumMetric("aspenyard_gateway_active_requests ") == 1
	})
	s.evacuate("dc1", 2)
	got := <-queued
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "3018"))
	is.Equal(s.runCount("long"), 0)
}

// Guards against streams that are cut because their endpoint is evacuated, and against the load of
// requests in flight that is forgotten meanwhile.
func TestRequestsInFlightEndAtAnEvacuatedEndpoint(t *testing.T) {
	is := is.New(t)
	w := &standin.Worker{DataCentre: "dc2", EventCount: 400, EventInterval: 5 * time.Millisecond}
	s := newFixture(t, w).start()
	streamed := make(chan callerResponse, 1)
	go func() { streamed <- s.post("/stream/a", "r") }()
	s.waitFor("the stream runs", func() bool { return len(w.Runs()) == 1 })
	s.evacuate("dc2", 1)
	is.Equal(s.gateway.InFlight(w.ID), 1)
	s.store.Delete("op/evacuate/dc2")
	s.awaitEvacuated(0)
	is.Equal(s.gateway.InFlight(w.ID), 1)
	is.Equal((<-streamed).body, standin.StreamText("r", 400))
}

// Guards against entries that go on sending for the whole of an outage of the store, or that never
// return to a data centre, although other entries know better.
func TestAnEntryWithoutTheStoreLearnsOfEvacuationsFromOthers(t *testing.T) {
	is := is.New(t)
	away := in("dc1")
	first, second := twoGateways(t, away, in("dc2"))
	second.cutFromStore.Store(true)
	second.waitFor("the outage is noticed", func() bool { return strings.Contains(second.log.String(), "store_lost") })
	first.store.Put("op/evacuate/dc1", []byte("{}"))
	second.awaitEvacuated(1)
	expectNone(second, away, "during")
	is.True(strings.Contains(second.log.String(), `"data_centre":"dc1","revision":6,"endpoints":1,"heard_from":"g1"`))
	first.store.Delete("op/evacuate/dc1")
	second.awaitEvacuated(0)
	is.True(strings.Contains(second.log.String(), `"event":"evacuation_ended","node":"g2","role":"gateway","data_centre":"dc1","revision":7,"endpoints":1,"heard_from":"g1"`))
}

// Guards against the end of an evacuation that an entry misses for good because it was cut off from the
// store and the others meanwhile, and against that entry's reports that bring the evacuation back.
func TestAnEvacuationThatEndedDuringACutOffIsNotBroughtBack(t *testing.T) {
	is := is.New(t)
	first, second := twoGateways(t, in("dc1"), in("dc2"))
	first.evacuate("dc1", 1)
	second.awaitEvacuated(1)
	second.cutFromStore.Store(true)
	second.waitFor("the outage is noticed", func() bool { return strings.Contains(second.log.String(), "store_lost") })
	first.store.Delete("op/evacuate/dc1")
	second.awaitEvacuated(0)
	first.gateway.HearEvacuation("g2", "dc1", 1) // what a third entry still says
	second.gateway.HearEvacuation("g1", "dc1", 1)
	is.Equal(first.sumMetric(evacuatedDataCentres), 0.0)
	is.Equal(second.sumMetric(evacuatedDataCentres), 0.0)
}

// Guards against endpoints that get all requests at once when their evacuation ends: they may be cold.
func TestRequestsReturnGraduallyAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	w := in("dc1")
	s := newFixture(t, w, in("dc2")).start()
	is.Equal(s.gateway.RequestsAllowed(w.ID, 100), 100)
	is.Equal(s.post("/again/a", "first").status, http.StatusOK)
	s.evacuate("dc1", 1)
	s.waitFor("idle connections are closed", func() bool { return w.OpenConnections() == 0 })
	s.store.Delete("op/evacuate/dc1")
	s.awaitEvacuated(0)
	is.Equal(s.gateway.RequestsAllowed(w.ID, 100), 8) // half of its slots
}

// Guards against requests that are cut off, and memory that is held for ever, because reservations at
// evacuated engines are not renewed or not released; and against renewals that reserve memory anew at
// an evacuated engine that has restarted.
func TestReservationsAtEvacuatedEnginesAreRenewedAndReleased(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 20)
	for _, w := range s.workers {
		w.StartUnixMilli = startMillis
		s.store.Put("servers/"+w.ID, w.Registration("ready"))
		w.SetDefaultFault(standin.FaultSlow)
	}
	s.extraSettings = `,"memory_free_within":"500ms"`
	s.start()
	streamed := make(chan callerResponse, 1)
	go func() { streamed <- s.sendPrompt("q1", 500_000) }()
	s.waitFor("the request runs", func() bool { return s.findRun("q1") != nil })
	s.evacuate("dc1", 20)
	var helper *standin.Worker
	for _, w := range s.workers {
		if held, _, _ := w.Reservations(); len(held) > 0 {
			helper = w
		}
	}
	is.True(helper != nil)
	next := s.restartWorker(helper)
	s.waitFor("the next incarnation is listed", func() bool { return strings.Contains(s.log.String(), "endpoint_listed") })
	_, _, before := next.Reservations()
	callCount := func() (n int) {
		for _, w := range s.workers {
			_, _, sent := w.Reservations()
			n += sent
		}
		return n
	}
	sent := callCount()
	s.waitFor("other reservations are renewed", func() bool { return callCount() >= sent+20 })
	_, _, after := next.Reservations()
	is.True(after <= before+1) // a renewal may have been in transit
	is.Equal((<-streamed).body, standin.StreamText("q1", 5))
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
	is.Equal(s.sendPrompt("q2", 500_000).status, http.StatusServiceUnavailable)
	is.Equal(s.reservationCount(), 0)
}
