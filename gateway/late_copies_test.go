package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// Guards against a late copy of a refusal that is taken for the response to the next sending of the same request, to
// the same endpoint: the request runs there, and is sent to another one or refused as not run.
func TestALateCopyIsNotTakenForTheResponseToTheNextSending(t *testing.T) {
	for engines := 2; engines <= 4; engines++ {
		for copies := 1; copies <= 2; copies++ {
			t.Run(fmt.Sprintf("%d engines, %d copies", engines, copies), func(t *testing.T) {
				is := is.New(t)
				s := newEngineFixture(t, engines)
				model := s.routes[len(s.routes)-1]
				model["resumable"], model["target_latency_ms"] = false, 10_000
				s.start()
				for _, w := range s.workers {
					w.SetLateCopies(copies)
					w.SetDefaultFault(standin.FaultHelperBusy)
				}
				got := s.sendPrompt("q1", 100_000)
				is.Equal(s.runCount("q1"), 1)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, standin.StreamText("q1", 5))
				s.waitFor("the refusal is logged", func() bool { return s.logged(`"outcome":"helper_failed"`) })
			})
		}
	}
}

// Guards against a late copy of any response that is taken for the response to another request on its connection.
func TestALateCopyIsNotTakenForTheResponseToAnotherRequest(t *testing.T) {
	faults := []standin.Fault{"", standin.FaultShed, standin.FaultError, standin.FaultUnmarkedRefusal, standin.FaultNoServerStamp, standin.FaultEarlyResponse, standin.FaultHelperFailed}
	for _, fault := range faults {
		for _, path := range []string{"/once/a", "/stream/a"} {
			t.Run(string(fault)+" "+path, func(t *testing.T) {
				is := is.New(t)
				w := plainWorker()
				if path == "/stream/a" {
					w = streamingWorker(3)
				}
				s := newFixture(t, w).start()
				w.SetLateCopies(2)
				want := func(id string) string {
					if w.EventCount > 0 {
						return standin.StreamText(id, 3)
					}
					return standin.PlainResponse(id)
				}
				for i := range 4 {
					w.QueueFaults(fault)
					spoiled := fmt.Sprint("spoiled", i)
					s.post(path, spoiled)
					is.True(s.runCount(spoiled) <= 1)
					id := fmt.Sprint("q", i)
					got := s.post(path, id)
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, want(id))
					is.Equal(s.runCount(id), 1)
				}
				is.True(s.sumMetric(`aspenyard_gateway_endpoint_connections_total{reused="true"}`) > 0)
				is.True(s.sumMetric("aspenyard_gateway_stray_responses_total") > 0)
			})
		}
	}
}
