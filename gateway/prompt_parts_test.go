package gateway_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

const (
	// crashingPart is the part of prompts that crashes the workers of these tests, commonPart the first part
	// of all prompts, and crashInterval the time between two requests with the crashing part.
	crashingPart, commonPart = "5c1e07a2", "91bd3f06"
	crashInterval            = 120 * time.Millisecond
	// The users' rule: once crashesToRefuse endpoints have crashed, at most maxSendsAfter further requests
	// may reach endpoints.
	crashesToRefuse, maxSendsAfter = 5, 3
)

// partWorkers returns n workers that crash when they begin to answer a prompt with crashingPart.
func partWorkers(n int) []*standin.Worker {
	workers := make([]*standin.Worker, n)
	for i := range workers {
		workers[i] = &standin.Worker{CrashPart: crashingPart}
	}
	return workers
}

// promptWith returns a request whose prompt has the given shared parts and a last part of its own.
func (s *fixture) promptWith(path, id string, parts ...string) *http.Request {
	s.t.Helper()
	r := s.request(http.MethodPost, path, id, "body of "+id)
	header := ""
	for _, part := range parts {
		header += part + ":100,"
	}
	r.Header.Set("X-Aspenyard-Prefix-Hash", fmt.Sprintf("%s%x:100", header, []byte(id)))
	return r
}

// Guards against requests that differ in all but one part of their prompts and crash one endpoint after the
// other.
func TestAPromptPartThatCrashesEndpointsIsSentToFewOfThem(t *testing.T) {
	is := is.New(t)
	first, second := twoGateways(t, partWorkers(40)...)
	crashed := func() int { return first.arrivals("p") }
	for i := range 6 {
		for n, s := range []*fixture{first, second} {
			s.do(s.promptWith("/again/a", fmt.Sprintf("p%d-%d", i, n), commonPart, crashingPart))
			is.Equal(s.do(s.promptWith("/again/a", fmt.Sprintf("s%d-%d", i, n), commonPart)).status, http.StatusOK)
			time.Sleep(crashInterval)
		}
	}
	t.Logf("%d endpoints crashed", crashed())
	is.True(crashed() <= crashesToRefuse+maxSendsAfter)
	for _, s := range []*fixture{first, second} {
		is.Equal(s.do(s.promptWith("/again/a", "sound", commonPart)).status, http.StatusOK)
	}
}

// arrivals returns how many requests whose IDs begin with prefix ran, over all workers.
func (s *fixture) arrivals(prefix string) int {
	n := 0
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			if run.Ran && strings.HasPrefix(run.ID, prefix) {
				n++
			}
		}
	}
	return n
}

// crashUntilRefused sends prompts with crashingPart until the entry refuses one.
func (s *fixture) crashUntilRefused() {
	s.t.Helper()
	for i := 0; s.sumMetric("aspenyard_gateway_quarantined_parts ") == 0; i++ {
		if i == crashesToRefuse {
			s.t.Fatalf("%d prompts were sent, and the part is not refused", i)
		}
		s.do(s.promptWith("/again/a", fmt.Sprint("p", i), commonPart, crashingPart))
		time.Sleep(crashInterval)
	}
}

// Guards against entries that saw none of the crashes, one of which starts later, and send prompts with the part.
func TestEntriesThatSawNoCrashRefuseThePart(t *testing.T) {
	is := is.New(t)
	first, second := twoGateways(t, partWorkers(16)...)
	first.store.SetFaults(standin.StoreFaults{RefuseStatus: http.StatusServiceUnavailable}) // heartbeats alone report it
	first.crashUntilRefused()
	second.waitFor("the part is refused", func() bool { return second.sumMetric("aspenyard_gateway_quarantined_parts ") == 1 })
	first.store.SetFaults(standin.StoreFaults{})
	third := newFixture(t)
	third.store, third.version = first.store, first.version
	third.enablePeers()
	third.extraSettings += `,"name":"g3"`
	third.start()
	ran := first.arrivals("p")
	for _, s := range []*fixture{second, third} {
		s.waitFor("the part is refused", func() bool { return s.sumMetric("aspenyard_gateway_quarantined_parts ") == 1 })
		got := s.do(s.promptWith("/again/a", "p-later", "another", crashingPart))
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(got.body, "part_quarantined (3023)"))
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(s.do(s.promptWith("/again/a", "sound", commonPart)).status, http.StatusOK)
		s.waitFor("the refusal is logged", func() bool { return s.logged(`"event":"part_refused"`) })
	}
	is.Equal(first.arrivals("p"), ran)
	is.Equal(second.sumMetric("aspenyard_gateway_crashes_total"), 0.0)
}

// Guards against entries that are all restarted and then crash more endpoints with the part.
func TestARefusedPartSurvivesARestartOfAllEntries(t *testing.T) {
	is := is.New(t)
	first := newFixture(t, partWorkers(16)...).start()
	first.crashUntilRefused()
	first.waitFor("the record is in the store", func() bool { return len(first.store.Keys("records/part-")) == 1 })
	ran := first.arrivals("p")
	first.sendSIGTERM()
	<-first.serveErr
	next := newFixture(t)
	next.store, next.version = first.store, first.version
	next.start()
	is.Equal(next.do(next.promptWith("/again/a", "p-later", commonPart, crashingPart)).status, http.StatusServiceUnavailable)
	is.Equal(first.arrivals("p"), ran)
	is.Equal(next.do(next.promptWith("/again/a", "sound", commonPart)).status, http.StatusOK)
}

// Guards against what only machines knew: entries and endpoints all lose their power at once, with requests under way,
// and only the store is left. The record of the part must be there, and nothing else may be needed to serve.
func TestARefusedPartSurvivesTheLossOfAllMachines(t *testing.T) {
	is := is.New(t)
	first := newFixture(t, partWorkers(16)...).start()
	first.crashUntilRefused()
	first.waitFor("the record is in the store", func() bool { return len(first.store.Keys("records/part-")) == 1 })
	for _, w := range first.workers {
		w.SetDefaultFault(standin.FaultHang)
	}
	underWay := make(chan callerResponse, 1)
	go func() { underWay <- first.do(first.promptWith("/again/a", "under-way", commonPart)) }()
	first.waitFor("a request is under way", func() bool { return first.arrivals("under-way") == 1 })
	first.signals <- os.Interrupt
	first.signals <- os.Interrupt
	for _, w := range first.workers {
		w.Stop()
		first.store.Delete("servers/" + w.ID)
	}
	<-first.serveErr
	<-underWay
	ran := first.arrivals("p")
	replacements := partWorkers(4)
	for i, w := range replacements {
		w.ID, w.Service = fmt.Sprintf("i-next-%d", i), "app"
	}
	next := newFixture(t, replacements...)
	for _, w := range replacements {
		first.store.Put("servers/"+w.ID, w.Registration("ready"))
	}
	next.store, next.version = first.store, first.version
	next.start()
	is.Equal(next.do(next.promptWith("/again/a", "p-later", commonPart, crashingPart)).status, http.StatusServiceUnavailable)
	is.Equal(first.arrivals("p")+next.arrivals("p"), ran)
	is.Equal(next.do(next.promptWith("/again/a", "sound", commonPart)).status, http.StatusOK)
}

// Guards against a prompt that waits for capacity while its part becomes known and is then sent, in parts, to
// several endpoints, or held until it is late.
func TestAHeldPromptWithARefusedPartIsNotSent(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 12)
	s.routes[len(s.routes)-1]["target_latency_ms"] = 500
	s.start()
	s.gateway.ReportRefusedLengths("model", "model")
	s.gateway.ReportPeerPrefill("model", 3*peerPrefill)
	r := s.promptWith("/model/a", "held", commonPart, crashingPart)
	r.Header.Set("X-Aspenyard-Model", "m")
	r.Header.Set("X-Aspenyard-Token-Usage", "151000,400")
	got := make(chan callerResponse, 1)
	go func() { got <- s.do(r) }()
	for s.sumMetric("aspenyard_gateway_waiting_outside_queue ") == 0 {
		s.gateway.ReportPeerPrefill("model", 3*peerPrefill)
		time.Sleep(10 * time.Millisecond)
	}
	s.gateway.ReportPartCrashes("model", crashingPart)
	is.True(strings.Contains((<-got).body, "part_quarantined (3023)"))
	is.Equal(s.arrivals("held"), 0)
}

// Guards against refusing prompts, for an hour, because of a part that another request has shown to be sound.
func TestAPartIsClearedByAnAnswer(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{WorkTime: 300 * time.Millisecond}
	s := newFixture(t, worker).start()
	got := make(chan callerResponse, 1)
	go func() { got <- s.do(s.promptWith("/again/a", "before", commonPart)) }()
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	s.gateway.ReportPartCrashes("app", commonPart)
	is.Equal(s.do(s.promptWith("/again/a", "refused", commonPart)).status, http.StatusServiceUnavailable)
	is.Equal((<-got).status, http.StatusOK)
	s.waitFor("the part is cleared", func() bool { return s.logged(`"event":"part_cleared"`) })
	is.Equal(s.do(s.promptWith("/again/a", "after", commonPart)).status, http.StatusOK)
}

// Guards against a gateway that fails on a part's record that something else wrote.
func TestAnUndecodableRecordOfAPartIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.store.Put("records/part-x", []byte(`{"part":"x"}`))
	s.store.Put("records/part-y", []byte(`{"part":7,"crashes":[{},{"endpoint":1,"at_unix_ms":-1}]}`))
	s.start()
	s.waitFor("the undecodable record is logged", func() bool { return s.logged(`"event":"quarantine_record_refused"`) })
	is.Equal(s.do(s.promptWith("/again/a", "q", commonPart)).status, http.StatusOK)
	is.Equal(s.sumMetric("aspenyard_gateway_suspect_parts "), 0.0)
}
