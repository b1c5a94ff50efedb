package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// departures are ways in which an endpoint ceases to take requests while it still runs some.
var departures = map[string]func(s *fixture, w *standin.Worker){
	"draining": func(s *fixture, w *standin.Worker) {
		s.store.Put("servers/"+w.ID, w.Registration("draining"))
		s.waitFor("it is not listed", func() bool { return !s.gateway.Listed(w.ID) })
	},
	"gone": func(s *fixture, w *standin.Worker) {
		s.store.Delete("servers/" + w.ID)
		s.waitFor("it is not listed", func() bool { return !s.gateway.Listed(w.ID) })
	},
	"evacuated": func(s *fixture, _ *standin.Worker) { s.evacuate("dc2", 1) },
}

// startUnframed sends a request to an endpoint of dc2 that answers with the fault, without a length or chunks, and holds
// the end of its response. Once it has departed, another endpoint is listed, and finish ends the response.
func startUnframed(t *testing.T, path string, fault standin.Fault, resumable bool) (s *fixture, leaving *standin.Worker, finish func() callerResponse) {
	t.Helper()
	hold := make(chan struct{})
	leaving, other := streamingWorker(6), streamingWorker(6)
	if path != "/stream/a" {
		leaving, other = plainWorker(), plainWorker()
	}
	leaving.DataCentre, leaving.Hold = "dc2", hold
	leaving.SetDefaultFault(fault)
	s = newFixture(t, leaving, other)
	s.routes[2]["resumable"] = resumable
	s.store.Delete("servers/" + other.ID)
	s.start()
	got := make(chan callerResponse, 1)
	go func() { got <- s.post(path, "q1") }()
	s.waitFor("the request runs", func() bool { return leaving.InFlight() == 1 })
	s.list(other, 2)
	return s, leaving, func() callerResponse {
		close(hold)
		return <-got
	}
}

// Guards against passing on as complete a response that ends with the connection of an endpoint which has departed and
// exits in the middle of it.
func TestAResponseOfADepartedEndpointThatExitsIsNotComplete(t *testing.T) {
	cases := map[string]struct {
		path       string
		repeatable bool
		text       string
	}{
		"resumable stream": {"/stream/a", true, standin.StreamText("q1", 6)}, "other stream": {"/stream/a", false, standin.StreamText("q1", 6)},
		"idempotent": {"/again/a", true, standin.PlainResponse("q1")}, "not idempotent": {"/once/a", false, standin.PlainResponse("q1")},
	}
	for departure, depart := range departures {
		for name, c := range cases {
			if departure == "evacuated" && !c.repeatable {
				continue // it is not probed, and most responses there are whole
			}
			t.Run(departure+" "+name, func(t *testing.T) {
				is := is.New(t)
				s, leaving, finish := startUnframed(t, c.path, standin.FaultUnframedCrash, c.repeatable)
				depart(s, leaving)
				got := finish()
				if c.repeatable {
					is.NoErr(got.err)
					is.Equal(got.body, c.text)
					return
				}
				is.True(got.err != nil || got.status == http.StatusBadGateway)
				is.True(got.err == nil || strings.HasPrefix(c.text, got.body))
				is.Equal(s.runCount("q1"), 1)
			})
		}
	}
}

// Guards against breaking off or repeating a whole response that ends with the connection of a departed endpoint.
func TestAWholeResponseOfADepartedEndpointIsRelayed(t *testing.T) {
	for departure, depart := range departures {
		for _, path := range []string{"/stream/a", "/again/a", "/once/a"} {
			t.Run(departure+" "+path, func(t *testing.T) {
				is := is.New(t)
				s, leaving, finish := startUnframed(t, path, standin.FaultUnframed, true)
				depart(s, leaving)
				got := finish()
				is.NoErr(got.err)
				want := standin.PlainResponse("q1")
				if path == "/stream/a" {
					want = standin.StreamText("q1", 6)
				}
				is.Equal(got.body, want)
				is.True(departure == "evacuated" && path != "/once/a" || s.runCount("q1") == 1)
			})
		}
	}
}
