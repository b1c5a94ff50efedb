package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

const startMillis = 1_790_000_000_000

// restartWorker ends a worker and starts it again under its ID and at its address.
func (s *fixture) restartWorker(w *standin.Worker) *standin.Worker {
	s.t.Helper()
	addr := w.Addr()
	w.Stop()
	next := &standin.Worker{ID: w.ID, Service: w.Service, Born: w.Born + 1, Events: w.Events, Pace: w.Pace, Work: w.Work, MemoryTokens: w.MemoryTokens}
	s.waitFor("its address is free", func() bool { return next.StartAt(addr) == nil })
	s.t.Cleanup(next.Stop)
	for i, known := range s.workers {
		if known == w {
			s.workers = append(s.workers, next)
			s.workers[i] = next
			s.workers[len(s.workers)-1] = w // its runs count
		}
	}
	s.store.Put("servers/"+next.ID, next.Registration("ready"))
	return next
}

// Symptom: an endpoint that was restarted gets no requests. Sequence: it says that it
// leaves, ends, and starts again under its ID. Cause: see the replica's test.
func TestARestartedEndpointIsUsed(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{ID: "i-1", Service: "app", Born: startMillis}
	s := newFixture(t, worker).start()
	is.Equal(s.post("/once/a", "q1").status, http.StatusOK)
	s.store.Put("servers/"+worker.ID, worker.Registration("draining"))
	s.waitFor("it is known", func() bool { return strings.Contains(s.log.String(), "endpoint_leaving") })
	next := s.restartWorker(worker)
	n := 1
	s.waitFor("the next life is used", func() bool { n++; return s.post("/once/a", fmt.Sprint("q", n)).status == http.StatusOK })
	is.True(len(next.Runs()) > 0)
}

// Symptom: a dispute is filed twice, or is said not to have run and has. Sequence: an
// endpoint crashes with a request and is back under its ID at once; what names the
// endpoint in the request would let the next life run it. Cause, were it there: taking
// the broken connection, or the next life's word, for the life that had the request.
func TestARestartedEndpointRunsNothingTwice(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{ID: "i-1", Service: "app", Born: startMillis}
	s := newFixture(t, worker).start()
	worker.Always(standin.FaultHang)
	got := make(chan callerResponse, 1)
	go func() { got <- s.post("/once/a", "q1") }()
	s.waitFor("it runs", func() bool { return worker.Working() == 1 })
	s.restartWorker(worker)
	first := <-got
	is.Equal(first.status, http.StatusBadGateway) // may have run: no promise
	is.Equal(s.runCount("q1"), 1)
}

// Symptom: a stream that could go on ends. Sequence: its endpoint is back under its ID as
// the connection to the life before breaks; no other endpoint is there. Cause, were it
// there: the next life counts as tried.
func TestAStreamResumesAtTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	worker := streamingWorker(20)
	worker.ID, worker.Service, worker.Born = "i-1", "app", startMillis
	s := newFixture(t, worker).start()
	worker.Next(standin.FaultSlow)
	got := make(chan callerResponse, 1)
	go func() { got <- s.post("/stream/a", "q1") }()
	s.waitFor("it runs", func() bool { return worker.Working() == 1 })
	next := streamingWorker(20)
	next.ID, next.Service, next.Born = worker.ID, worker.Service, startMillis+1
	is.NoErr(next.Start())
	t.Cleanup(next.Stop)
	s.store.Put("servers/"+next.ID, next.Registration("ready"))
	s.waitFor("it is listed", func() bool { return strings.Count(s.log.String(), "endpoint_listed") == 1 })
	worker.Stop()
	is.Equal((<-got).body, standin.StreamText("q1", 20))
	is.Equal(len(next.Runs()), 1)
}

// Symptom: memory is set aside at an engine and no request uses it. Sequence: a helper
// restarts under its ID while a prompt holds memory there, and the reservation is renewed.
// Cause: the renewal names the ID, and the next life takes it for a new reservation.
func TestAReservationIsNotRenewedAtTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 20)
	for _, w := range s.workers {
		w.Born = startMillis
		s.store.Put("servers/"+w.ID, w.Registration("ready"))
	}
	s.extraSettings = `,"memory_free_within":"500ms"`
	s.start()
	for _, w := range s.workers {
		w.Always(standin.FaultSlow)
	}
	go s.sendPrompt("q1", 500_000)
	s.waitFor("it runs", func() bool { return s.findRun("q1") != nil })
	var helper *standin.Worker
	for _, w := range s.workers {
		if held, _, _ := w.Reserved(); len(held) > 0 {
			helper = w
		}
	}
	is.True(helper != nil)
	listed := strings.Count(s.log.String(), "endpoint_listed")
	next := s.restartWorker(helper)
	s.waitFor("it is listed", func() bool { return strings.Count(s.log.String(), "endpoint_listed") > listed })
	_, _, before := next.Reserved()
	orderCount := func() (n int) {
		for _, w := range s.workers {
			_, _, sent := w.Reserved()
			n += sent
		}
		return n
	}
	sent := orderCount()
	s.waitFor("others are renewed", func() bool { return orderCount() >= sent+30 })
	_, _, after := next.Reserved()
	is.True(after <= before+1) // a renewal may have been on its way
}

// Symptom: requests are sent to an address that no endpoint told of, or endpoints that
// are well get none. Sequence: something else writes into the list of endpoints.
func TestMalformedRegistrationsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	stranger := &standin.Worker{ID: "i-9", Service: "app"}
	is.NoErr(stranger.Start())
	t.Cleanup(stranger.Stop)
	good := string(stranger.Registration("ready"))
	for i, entry := range []string{
		`{}`, `[]`, "\x00\xff", strings.Replace(good, `"ready"`, `"resting"`, 1), strings.Replace(good, `"slots":16`, `"slots":"16"`, 1),
		strings.Replace(good, `,"zone":"dc1"`, "", 1), strings.Replace(good, `{`, `{"born":1.5,`, 1), strings.Replace(good, `{`, `{"born":null,`, 1),
	} {
		s.store.Put(fmt.Sprintf("servers/i-9%d", i), []byte(entry))
	}
	s.start()
	refusals := func() int { return strings.Count(s.log.String(), "store_item_refused") }
	s.waitFor("they are logged", func() bool { return refusals() == 8 })
	for i := range 12 {
		is.Equal(s.post("/once/a", fmt.Sprint("q", i)).status, http.StatusOK)
	}
	is.Equal(len(stranger.Runs()), 0)
	s.store.DropHistory()
	s.configure()
	s.waitFor("all is read anew", func() bool { return strings.Contains(s.log.String(), `"version":6`) })
	is.Equal(refusals(), 8) // logged once
}
