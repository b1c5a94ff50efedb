package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/standin/link"
	standin "aspenyard.example/standin/platform"
)

// crashingBody is the body of a request that crashes the workers of these tests.
const crashingBody = "poison"

// crashingWorkers returns n workers that crash when they run crashingBody.
func crashingWorkers(n int) []*standin.Worker {
	workers := make([]*standin.Worker, n)
	for i := range workers {
		workers[i] = &standin.Worker{CrashBody: crashingBody}
	}
	return workers
}

// twoGateways starts two gateways of one deployment that exchange heartbeats.
func twoGateways(t *testing.T, workers ...*standin.Worker) (first, second *fixture) {
	t.Helper()
	first, second = newFixture(t, workers...), newFixture(t)
	second.store = first.store
	first.enablePeers()
	second.enablePeers()
	second.extraSettings += `,"name":"g2"`
	first.start()
	second.version = first.version
	second.start()
	for _, s := range []*fixture{first, second} {
		s.waitFor("the other gateway's heartbeats arrive", func() bool { return s.sumMetric("aspenyard_gateway_peers_heard ") == 1 })
	}
	return first, second
}

// enablePeers lets a fixture's gateway exchange heartbeats with others once it starts.
func (s *fixture) enablePeers() {
	s.t.Helper()
	addr, err := link.FreeAddr()
	if err != nil {
		s.t.Fatal(err)
	}
	s.extraSettings += fmt.Sprintf(`,"peers_listen":%q`, addr)
}

// runsOfBody counts the runs of a request body at a fixture's workers.
func (s *fixture) runsOfBody(body string) int {
	n := 0
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			if run.Ran && run.Body == body {
				n++
			}
		}
	}
	return n
}

// Guards against a request that crashes one endpoint after the other when callers repeat it at every
// entry.
func TestARequestThatCrashesEndpointsIsSentToFewOfThem(t *testing.T) {
	is := is.New(t)
	first, second := twoGateways(t, crashingWorkers(30)...)
	for i := range 6 {
		for n, s := range []*fixture{first, second} {
			s.do(s.request("POST", "/again/a", fmt.Sprintf("p%d-%d", i, n), crashingBody))
		}
	}
	t.Logf("%d endpoints crashed", first.runsOfBody(crashingBody))
	is.True(first.runsOfBody(crashingBody) <= 6) // three crashes, and up to three retries
	is.Equal(first.post("/again/a", "other").status, http.StatusOK)
}

// Guards against a late refusal of a request in quarantine, and against a response that claims it
// has not run where that is unknown.
func TestARequestInQuarantineIsRefusedAtOnceAndDoesNotRun(t *testing.T) {
	is := is.New(t)
	first, second := twoGateways(t, crashingWorkers(12)...)
	first.store.SetFaults(standin.StoreFaults{RefuseStatus: http.StatusServiceUnavailable}) // heartbeats alone report it
	for i := range 2 {
		got := first.do(first.request("POST", "/again/a", fmt.Sprint("p", i), crashingBody))
		is.Equal(got.status, http.StatusBadGateway) // it may have run
	}
	for _, s := range []*fixture{first, second} {
		s.waitFor("the request is in quarantine", func() bool { return s.sumMetric("aspenyard_gateway_quarantined_requests ") == 1 })
	}
	first.store.SetFaults(standin.StoreFaults{})
	ran := first.runsOfBody(crashingBody)
	is.Equal(ran, 3)
	for _, s := range []*fixture{first, second} {
		got := s.do(s.request("POST", "/again/a", "later", crashingBody))
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
		s.waitFor("the refusal is logged", func() bool { return strings.Contains(s.log.String(), `"event":"quarantine_refused"`) })
	}
	is.Equal(first.runsOfBody(crashingBody), ran)
	for _, path := range []string{"/again/b", "/once/a"} { // another path or kind, or another body
		got := second.do(second.request("POST", path, "other"+path, "body"))
		is.Equal(got.status, http.StatusOK)
	}
	is.True(strings.Contains(second.log.String(), `"heard_from":"g1"`))
	is.True(second.sumMetric("aspenyard_gateway_crashes_total") == 0)
}

// Guards against an entry that starts after a request was put in quarantine and sends it again.
func TestAStartingEntryLearnsOfAQuarantineFromItsPeers(t *testing.T) {
	is := is.New(t)
	first := newFixture(t, crashingWorkers(12)...)
	first.enablePeers()
	first.start()
	for i := range 2 {
		first.do(first.request("POST", "/again/a", fmt.Sprint("p", i), crashingBody))
	}
	is.Equal(first.runsOfBody(crashingBody), 3)
	first.waitFor("the record is in the store", func() bool { return len(first.store.Keys("records/")) == 1 })
	first.store.Delete(first.store.Keys("records/")[0]) // heartbeats alone report it
	second := newFixture(t)
	second.store = first.store
	second.enablePeers()
	second.extraSettings += `,"name":"g2"`
	second.version = first.version
	second.start()
	second.waitFor("the request is in quarantine", func() bool { return second.sumMetric("aspenyard_gateway_quarantined_requests ") == 1 })
	is.Equal(second.do(second.request("POST", "/again/a", "later", crashingBody)).status, http.StatusServiceUnavailable)
	is.Equal(first.runsOfBody(crashingBody), 3)
}

// Guards against entries that are all restarted and then crash three more endpoints with a request
// that was in quarantine.
func TestAQuarantineSurvivesARestartOfAllEntries(t *testing.T) {
	is := is.New(t)
	first := newFixture(t, crashingWorkers(12)...)
	first.start()
	for i := range 2 {
		first.do(first.request("POST", "/again/a", fmt.Sprint("p", i), crashingBody))
	}
	is.Equal(first.runsOfBody(crashingBody), 3)
	first.waitFor("the record is in the store", func() bool { return len(first.store.Keys("records/")) == 1 })
	first.sendSIGTERM()
	<-first.serveErr
	next := newFixture(t)
	next.store = first.store
	next.version = first.version
	next.start()
	is.Equal(next.do(next.request("POST", "/again/a", "later", crashingBody)).status, http.StatusServiceUnavailable)
	is.Equal(first.runsOfBody(crashingBody), 3)
	is.Equal(next.post("/again/a", "other").status, http.StatusOK)
}

// Guards against a gateway that fails on records that something else wrote.
func TestAnUndecodableRecordIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.store.Put("records/x", []byte("{"))
	s.start()
	s.waitFor("the undecodable record is logged", func() bool { return strings.Contains(s.log.String(), `"event":"quarantine_record_refused"`) })
	is.Equal(s.post("/again/a", "q").status, http.StatusOK)
	is.Equal(s.sumMetric("aspenyard_gateway_suspect_requests "), 0.0)
}

// Guards against counting a broken connection, or the planned end of an endpoint that is leaving, as
// a crash caused by the request.
func TestOnlyCrashesMakeARequestSuspect(t *testing.T) {
	is := is.New(t)
	alive, leaving := plainWorker(), plainWorker()
	s := newFixture(t, alive)
	s.start()
	for i := range 4 {
		alive.QueueFaults(standin.FaultReset)
		s.do(s.request("POST", "/again/a", fmt.Sprint("r", i), "the same"))
	}
	is.Equal(s.sumMetric("aspenyard_gateway_suspect_requests "), 0.0)
	leaving.ID, leaving.Service = "i-9", "app"
	is.NoErr(leaving.Start())
	s.store.Delete("servers/" + alive.ID)
	s.store.Put("servers/"+leaving.ID, leaving.Registration("ready"))
	leaving.SetDefaultFault(standin.FaultHang)
	s.waitFor("only the second worker is listed", func() bool {
		return strings.Contains(s.log.String(), `"event":"endpoint_gone"`) && s.sumMetric("aspenyard_gateway_endpoints ") == 1
	})
	got := make(chan callerResponse, 1)
	go func() { got <- s.do(s.request("POST", "/again/a", "r9", "the same")) }()
	s.waitFor("the second worker runs the request", func() bool { return leaving.InFlight() > 0 })
	s.store.Put("servers/"+leaving.ID, leaving.Registration("draining"))
	s.waitFor("the gateway knows that the worker is leaving", func() bool { return strings.Contains(s.log.String(), `"event":"endpoint_leaving"`) })
	leaving.Stop()
	<-got
	is.Equal(s.sumMetric("aspenyard_gateway_suspect_requests "), 0.0)
}

// runsBeside returns at how many workers both requests arrived.
func (s *fixture) runsBeside(id, other string) int {
	workers := 0
	for _, w := range s.workers {
		arrived := map[string]bool{}
		for _, run := range w.Runs() {
			arrived[run.ID] = true
		}
		if arrived[id] && arrived[other] {
			workers++
		}
	}
	return workers
}

// Guards against putting requests in quarantine that were in flight at an endpoint when another
// request crashed it.
func TestRequestsInFlightDuringACrashAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	workers := crashingWorkers(8)
	for _, w := range workers {
		w.WorkTime = 300 * time.Millisecond
	}
	s := newFixture(t, workers...).start()
	statuses := make([]int, 16)
	var requests sync.WaitGroup
	for i := range statuses {
		requests.Go(func() {
			statuses[i] = s.do(s.request("POST", "/again/a", fmt.Sprint("n", i), fmt.Sprint("body ", i))).status
		})
	}
	s.waitFor("all requests have started", func() bool {
		started := 0
		for _, w := range workers {
			started += len(w.Runs())
		}
		return started == 16
	})
	s.do(s.request("POST", "/again/a", "p", crashingBody)) // crashes two endpoints; requests of the first may have been moved to the second
	requests.Wait()
	for i, status := range statuses {
		if crashes := s.runsBeside(fmt.Sprint("n", i), "p"); crashes == 2 {
			is.Equal(status, http.StatusBadGateway) // both endpoints that its route allows crashed under it
			continue
		}
		is.Equal(status, http.StatusOK)
	}
	for i := range 16 {
		is.Equal(s.do(s.request("POST", "/again/a", fmt.Sprint("again", i), fmt.Sprint("body ", i))).status, http.StatusOK)
	}
	is.True(s.sumMetric("aspenyard_gateway_crashes_total") >= 2)
	is.Equal(s.sumMetric("aspenyard_gateway_quarantined_requests "), 0.0)
}
