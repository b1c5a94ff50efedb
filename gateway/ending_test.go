package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// brokenStream is a stream whose events the caller has received in part, after another endpoint answered the request
// with a failure, while a third one is listed.
type brokenStream struct {
	*fixture
	broken, left *standin.Worker
	got          chan callerResponse
}

// breakOff breaks the stream off and returns what the caller received.
func (s *brokenStream) breakOff() callerResponse {
	s.broken.Stop()
	return <-s.got
}

// startBrokenStream sends a request that one endpoint answers with status 500 and another one with events, and
// registers a third endpoint.
func startBrokenStream(t *testing.T) *brokenStream {
	t.Helper()
	fail := make(chan struct{})
	failing, broken, left := plainWorker(), streamingWorker(12), streamingWorker(12)
	failing.Hold = fail
	s := newFixture(t, failing, broken, left)
	s.store.Delete("servers/" + broken.ID)
	s.store.Delete("servers/" + left.ID)
	left.DataCentre = "dc3"
	s.coldPerSecond = 0.1
	for _, r := range s.routes {
		r["max_attempts"] = 3
	}
	s.start()
	failing.SetDefaultFault(standin.FaultError)
	broken.QueueFaults(standin.FaultSlow)
	b := &brokenStream{fixture: s, broken: broken, left: left, got: make(chan callerResponse, 1)}
	events := make(chan struct{})
	r := s.promptWith("/stream/a", "q1", commonPart, crashingPart)
	go func() { b.got <- s.readStream(r, events) }()
	s.waitFor("the request runs", func() bool { return failing.InFlight() == 1 })
	s.list(broken, 2)
	close(fail)
	<-events
	s.list(left, 3)
	return b
}

// list registers a worker and waits until the gateway knows that many endpoints.
func (s *fixture) list(w *standin.Worker, endpoints int) {
	s.t.Helper()
	s.store.Put("servers/"+w.ID, w.Registration("ready"))
	s.waitFor("the endpoint is listed", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == float64(endpoints) })
}

// readStream sends a request, closes events when the first bytes of the body have arrived and returns the response.
func (s *fixture) readStream(r *http.Request, events chan<- struct{}) callerResponse {
	response, err := s.client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return callerResponse{status: response.StatusCode, err: err}
	}
	close(events)
	rest, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(first) + string(rest), err}
}

// Guards against a failure's body after the events of another endpoint's stream, in a response that looks complete:
// for each reason for which the request is not sent again.
func TestAFailureIsNotWrittenAfterEvents(t *testing.T) {
	cases := map[string]struct {
		// prepare makes the reason hold for the endpoint that is left; logged is what the gateway logs of it.
		prepare func(s *brokenStream)
		logged  string
	}{
		"no endpoint is left": {func(s *brokenStream) {
			s.store.Delete("servers/" + s.left.ID)
			s.waitFor("it is not listed", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 2 })
		}, "no other is available"},
		"evacuated": {func(s *brokenStream) { s.evacuate("dc3", 1) }, "no other is available"},
		"limit": {func(s *brokenStream) {
			s.left.SetLimit(0)
			s.waitFor("its limit is known", func() bool {
				s.post("/again/a", "other")
				return s.sumMetric("aspenyard_gateway_limited_endpoints ") == 1
			})
		}, "limit_refused"},
		"backoff": {func(s *brokenStream) { backoffAfterRefusal(s.fixture, s.left, "3600", 1) }, "no other is available"},
		"backoff of all": {func(s *brokenStream) {
			for i, w := range []*standin.Worker{s.workers[0], s.left, s.broken} { // the one that streams is placed last
				backoffAfterRefusal(s.fixture, w, "3600", float64(i+1))
			}
		}, "backoff_refused"},
		"cold": {func(s *brokenStream) {
			s.left.SetCold(time.Minute, true)
			s.store.Put("servers/"+s.left.ID, s.left.Registration("ready"))
			s.waitFor("it is cold", func() bool { return s.sumMetric(coldEndpointCount) == 1 })
			s.gateway.UseUpCold(s.left.ID)
		}, "cold_refused"},
		"request in quarantine": {func(s *brokenStream) { s.gateway.QuarantineRequest("acme", "POST", host, "/stream/a", "body of q1") }, "quarantine_refused"},
		"blamed part":           {func(s *brokenStream) { s.gateway.ReportPartCrashes("app", crashingPart) }, "part_refused"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startBrokenStream(t)
			c.prepare(s)
			got := s.breakOff()
			is.True(got.err != nil) // broken off
			is.Equal(got.status, http.StatusOK)
			is.True(len(got.body) > 0 && strings.HasPrefix(standin.StreamText("q1", 12), got.body))
			s.waitFor("the reason is logged", func() bool { return s.logged(c.logged) })
		})
	}
}

// Guards against another end than the endpoint's own failure for a request of which nothing else was relayed.
func TestAFailureIsRelayedWhereNoEventsPrecedeIt(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), plainWorker())
	for _, r := range s.routes {
		r["max_attempts"] = 3
	}
	s.start()
	s.workers[0].SetDefaultFault(standin.FaultError)
	s.workers[1].SetDefaultFault(standin.FaultReset)
	for _, id := range []string{"q1", "q2", "q3"} {
		got := s.post("/stream/a", id)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusInternalServerError)
		is.Equal(got.body, "fail")
	}
}
