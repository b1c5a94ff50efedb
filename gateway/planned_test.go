package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// plannedWork is what an operator does while requests are in flight.
var plannedWork = map[string]func(s *fixture){
	"reload": func(s *fixture) {
		s.sendSIGHUP()
		s.waitFor("the settings are read again", func() bool { return s.logged(`"event":"reload"`) })
	},
	"configuration": func(s *fixture) {
		s.limits["header_timeout_ms"], s.limits["idle_timeout_ms"] = 9_000, 19_000
		for _, r := range s.routes {
			r["timeout_ms"], r["target_latency_ms"] = 15_000, 14_000
		}
		s.configure()
		s.waitFor("it is in force", func() bool {
			return s.logged(fmt.Sprintf(`"event":"config_in_force","node":"g1","role":"gateway","version":%d`, s.version))
		})
	},
	"route removed": func(s *fixture) {
		s.routes = s.routes[:0]
		s.configure()
		s.waitFor("it is in force", func() bool { return s.logged(`"routes":0`) })
	},
}

// inFlight is a request that has begun when planned work comes; finish ends it and returns an error unless its caller got
// the whole response.
type inFlight func(t *testing.T) (s *fixture, finish func() error)

// requestsInFlight are the states of a request in which planned work may meet it.
var requestsInFlight = map[string]inFlight{
	"endpoint works": func(t *testing.T) (*fixture, func() error) {
		worker := plainWorker()
		worker.WorkTime = time.Second
		s := newFixture(t, worker).start()
		return s, s.finishPost("/once/a", worker, standin.PlainResponse("q1"))
	},
	"stream has begun": func(t *testing.T) (*fixture, func() error) {
		worker := streamingWorker(20)
		worker.EventInterval = 50 * time.Millisecond
		s := newFixture(t, worker).start()
		return s, s.finishPost("/stream/a", worker, standin.StreamText("q1", 20))
	},
	"caller reads slowly": func(t *testing.T) (*fixture, func() error) {
		s, endpoint := newBulkFixture(t)
		endpoint.UnreadTimeout = waitTimeout
		s.extraSettings = `,"memory_limit":"256MB"`
		s.start()
		c := s.dialSlow(head("GET", "/stream/a?stream=1&size=8000&chunks=100", "q1") + "\r\n")
		s.waitFor("the endpoint has sent everything", func() bool { return endpoint.Complete.Load() == 1 })
		return s, func() error {
			body, err := io.ReadAll(c.response().Body)
			if err == nil && len(body) != 800_000 {
				return fmt.Errorf("%d bytes", len(body))
			}
			return err
		}
	},
	"prompt is queued": func(t *testing.T) (*fixture, func() error) {
		s := newEngineFixture(t, 12)
		s.routes[len(s.routes)-1]["target_latency_ms"] = 15_000
		s.start()
		s.gateway.ReportPeerPrefill("model", 2*peerPrefill)
		got := make(chan callerResponse, 1)
		go func() { got <- s.sendPrompt("q1", 150_000) }()
		s.waitFor("it is queued", func() bool {
			s.gateway.ReportPeerPrefill("model", 2*peerPrefill)
			return s.gateway.QueuedPrefill("model") > 0
		})
		return s, func() error { return wholeResponse(<-got, standin.StreamText("q1", 5)) }
	},
}

// finishPost sends a request and returns what ends it, once it runs.
func (s *fixture) finishPost(target string, worker *standin.Worker, want string) func() error {
	got := make(chan callerResponse, 1)
	go func() { got <- s.post(target, "q1") }()
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	return func() error { return wholeResponse(<-got, want) }
}

func wholeResponse(got callerResponse, want string) error {
	if got.err != nil || got.status != http.StatusOK || got.body != want {
		return fmt.Errorf("status %d, %d bytes, error %v", got.status, len(got.body), got.err)
	}
	return nil
}

// Guards against a reload or a configuration that ends a request which has begun before it.
func TestPlannedWorkCutsNoRequest(t *testing.T) {
	for state, begin := range requestsInFlight {
		for work, do := range plannedWork {
			t.Run(state+"/"+work, func(t *testing.T) {
				t.Parallel()
				s, finish := begin(t)
				do(s)
				is.New(t).NoErr(finish())
			})
		}
	}
}

// Guards against a reload or a configuration that closes a connection on which a request is being sent, or that a caller
// uses again.
func TestPlannedWorkKeepsCallersConnections(t *testing.T) {
	for work, do := range plannedWork {
		for _, sent := range []string{"", "GET /again/b HT"} {
			t.Run(fmt.Sprintf("%s/%d", work, len(sent)), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newFixture(t, plainWorker()).start()
				c := s.dialSlow(head("GET", "/again/a", "q1") + "\r\n")
				c.response()
				_, err := io.WriteString(c.conn, sent)
				is.NoErr(err)
				if sent != "" {
					s.waitFor("a part is read", func() bool { return s.gateway.ConnectionsInRequest() == 1 })
				}
				do(s)
				_, err = io.WriteString(c.conn, (head("GET", "/again/b", "q2") + "\r\n")[len(sent):])
				is.NoErr(err)
				response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
				is.NoErr(err)
				want := http.StatusOK
				if work == "route removed" {
					want = http.StatusNotFound
				}
				is.Equal(response.StatusCode, want)
			})
		}
	}
}

// Guards against a request that is handled by a configuration which was replaced before the last byte of its body was sent.
func TestABodyIsReceivedUnderTheConfigurationInForceAtItsEnd(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	c := s.dialSlow(head("POST", "/once/a", "q1") + "Content-Length: 5\r\n\r\nhe")
	s.waitFor("a part is read", func() bool { return s.gateway.ConnectionsInRequest() == 1 })
	plannedWork["route removed"](s)
	_, err := io.WriteString(c.conn, "llo")
	is.NoErr(err)
	is.Equal(c.response().StatusCode, http.StatusNotFound)
	is.Equal(s.runCount("q1"), 0)
}
