package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// startMillis is the start of the first incarnation of the tests' workers, in Unix milliseconds.
const startMillis = 1_790_000_000_000

// restartWorker stops a worker and starts it again with its ID and address.
func (s *fixture) restartWorker(w *standin.Worker) *standin.Worker {
	s.t.Helper()
	addr := w.Addr()
	w.Stop()
	next := &standin.Worker{ID: w.ID, Service: w.Service, DataCentre: w.DataCentre, StartUnixMilli: w.StartUnixMilli + 1, EventCount: w.EventCount, EventInterval: w.EventInterval, WorkTime: w.WorkTime, MemoryTokens: w.MemoryTokens}
	s.waitFor("the worker's address is free", func() bool { return next.StartAt(addr) == nil })
	s.t.Cleanup(next.Stop)
	for i, known := range s.workers {
		if known == w {
			s.workers = append(s.workers, next)
			s.workers[i] = next
			s.workers[len(s.workers)-1] = w // kept, so that its runs are counted
		}
	}
	s.store.Put("servers/"+next.ID, next.Registration("ready"))
	return next
}

// Guards against a restarted endpoint that gets no requests after it registered as draining, ended,
// and started again with the same ID: the replica must not keep "leaving" by the ID alone.
func TestARestartedEndpointIsUsed(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{ID: "i-1", Service: "app", StartUnixMilli: startMillis}
	s := newFixture(t, worker).start()
	is.Equal(s.post("/once/a", "q1").status, http.StatusOK)
	s.store.Put("servers/"+worker.ID, worker.Registration("draining"))
	s.waitFor("the gateway knows that the worker is leaving", func() bool { return strings.Contains(s.log.String(), "endpoint_leaving") })
	next := s.restartWorker(worker)
	n := 1
	s.waitFor("the next incarnation is used", func() bool { n++; return s.post("/once/a", fmt.Sprint("q", n)).status == http.StatusOK })
	is.True(len(next.Runs()) > 0)
}

// Guards against a request that must not be repeated but runs twice, or that has run and is reported
// as not run. An endpoint crashes during the request and is back at once with its ID, and the ID in
// the request would let the next incarnation run it. Either fault would follow if the broken
// connection, or what the next incarnation reports, were taken for the result of the incarnation that
// had the request.
func TestARestartedEndpointRunsNothingTwice(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{ID: "i-1", Service: "app", StartUnixMilli: startMillis}
	s := newFixture(t, worker).start()
	worker.SetDefaultFault(standin.FaultHang)
	got := make(chan callerResponse, 1)
	go func() { got <- s.post("/once/a", "q1") }()
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	s.restartWorker(worker)
	first := <-got
	is.Equal(first.status, http.StatusBadGateway) // it may have run
	is.Equal(s.runCount("q1"), 1)
}

// Guards against a stream that ends although it could be resumed. Its endpoint is back with its ID
// when the connection to the previous incarnation breaks, and there is no other endpoint; the stream
// would end if the next incarnation counted as tried already.
func TestAStreamResumesAtTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	worker := streamingWorker(20)
	worker.ID, worker.Service, worker.StartUnixMilli = "i-1", "app", startMillis
	s := newFixture(t, worker).start()
	worker.QueueFaults(standin.FaultSlow)
	got := make(chan callerResponse, 1)
	go func() { got <- s.post("/stream/a", "q1") }()
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	next := streamingWorker(20)
	next.ID, next.Service, next.StartUnixMilli = worker.ID, worker.Service, startMillis+1
	is.NoErr(next.Start())
	t.Cleanup(next.Stop)
	s.store.Put("servers/"+next.ID, next.Registration("ready"))
	s.waitFor("the next incarnation is listed", func() bool { return strings.Count(s.log.String(), "endpoint_listed") == 1 })
	worker.Stop()
	is.Equal((<-got).body, standin.StreamText("q1", 20))
	is.Equal(len(next.Runs()), 1)
}

// Guards against memory that is reserved at an engine and used by no request. A helper restarts with
// its ID while a prompt holds memory there; a renewal names the ID alone, so the next incarnation
// would take it for a new reservation.
func TestAReservationIsNotRenewedAtTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 20)
	for _, w := range s.workers {
		w.StartUnixMilli = startMillis
		s.store.Put("servers/"+w.ID, w.Registration("ready"))
	}
	s.extraSettings = `,"memory_free_within":"500ms"`
	s.start()
	for _, w := range s.workers {
		w.SetDefaultFault(standin.FaultSlow)
	}
	go s.sendPrompt("q1", 500_000)
	s.waitFor("the request runs", func() bool { return s.findRun("q1") != nil })
	var helper *standin.Worker
	for _, w := range s.workers {
		if held, _, _ := w.Reservations(); len(held) > 0 {
			helper = w
		}
	}
	is.True(helper != nil)
	listed := strings.Count(s.log.String(), "endpoint_listed")
	next := s.restartWorker(helper)
	s.waitFor("the next incarnation is listed", func() bool { return strings.Count(s.log.String(), "endpoint_listed") > listed })
	_, _, before := next.Reservations()
	callCount := func() (n int) {
		for _, w := range s.workers {
			_, _, sent := w.Reservations()
			n += sent
		}
		return n
	}
	sent := callCount()
	s.waitFor("other reservations are renewed", func() bool { return callCount() >= sent+30 })
	_, _, after := next.Reservations()
	is.True(after <= before+1) // a renewal may have been in transit
}

// Guards against requests to an address that no endpoint registered, and against healthy endpoints
// that get none, when something else writes into the store's list of endpoints.
func TestMalformedRegistrationsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	unregistered := &standin.Worker{ID: "i-9", Service: "app"}
	is.NoErr(unregistered.Start())
	t.Cleanup(unregistered.Stop)
	valid := string(unregistered.Registration("ready"))
	for i, entry := range []string{
		`{}`, `[]`, "\x00\xff", strings.Replace(valid, `"ready"`, `"resting"`, 1), strings.Replace(valid, `"slots":16`, `"slots":"16"`, 1),
		strings.Replace(valid, `,"zone":"dc1"`, "", 1), strings.Replace(valid, `{`, `{"born":1.5,`, 1), strings.Replace(valid, `{`, `{"born":null,`, 1),
	} {
		s.store.Put(fmt.Sprintf("servers/i-9%d", i), []byte(entry))
	}
	s.start()
	refusals := func() int { return strings.Count(s.log.String(), "store_item_refused") }
	s.waitFor("all malformed registrations are logged", func() bool { return refusals() == 8 })
	for i := range 12 {
		is.Equal(s.post("/once/a", fmt.Sprint("q", i)).status, http.StatusOK)
	}
	is.Equal(len(unregistered.Runs()), 0)
	s.store.Compact()
	s.configure()
	s.waitFor("the state has been read in full again", func() bool { return strings.Contains(s.log.String(), `"version":6`) })
	is.Equal(refusals(), 8) // logged once
}
