package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// silentWorker returns a worker that runs requests and does not respond. With events, it falls silent after the first
// event of each stream.
func silentWorker(events bool) *standin.Worker {
	w := &standin.Worker{}
	if events {
		w.EventCount, w.EventInterval = 5, time.Hour
		return w
	}
	w.SetDefaultFault(standin.FaultHang)
	return w
}

// startSilent sends a request of each route to an endpoint that falls silent and returns the responses by target.
func startSilent(t *testing.T, events bool, targets ...string) (*fixture, map[string]chan callerResponse) {
	t.Helper()
	silent := silentWorker(events)
	s := newFixture(t, silent)
	s.routes = append(s.routes, route("tail", "/tail/", "streaming"))
	s.routes[3]["resumable"] = false
	s.start()
	responses := map[string]chan callerResponse{}
	for _, target := range targets {
		got := make(chan callerResponse, 1)
		responses[target] = got
		go func() { got <- s.post(target, "q"+target) }()
	}
	s.waitFor("all requests run", func() bool { return silent.InFlight() == len(targets) })
	return s, responses
}

// Guards against a stop that closes the connections of requests whose endpoints are silent, in place of answering them.
func TestAStopAnswersRequestsOfSilentEndpoints(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, responses := startSilent(t, false, "/once/a", "/again/a", "/stream/a", "/tail/a")
	s.sendSIGTERM()
	for target, response := range responses {
		got := <-response
		is.NoErr(got.err) // a complete response
		is.Equal(got.status, http.StatusBadGateway)
		is.True(strings.Contains(got.body, "4007"))
		repeatable := target == "/again/a" || target == "/stream/a"
		is.Equal(got.header.Get("Retry-After") != "", repeatable)
	}
	is.NoErr(<-s.serveErr)
	s.waitFor("it is logged", func() bool { return s.logged(`"ended_by":"stop"`) && s.logged(`"ran":"unknown"`) })
	is.True(!s.logged("caller disconnected"))
}

// Guards against waiting until the stop for a silent endpoint where another one can still respond in time.
func TestAStopSendsSilentRequestsToAnotherEndpoint(t *testing.T) {
	cases := map[string]struct {
		target string
		events bool
		want   string
	}{
		"idempotent":                    {"/again/a", false, standin.PlainResponse("q/again/a")},
		"stream before its first":       {"/stream/a", false, standin.StreamText("q/stream/a", 5)},
		"stream after its first":        {"/stream/a", true, standin.StreamText("q/stream/a", 5)},
		"plain response of one attempt": {"/once/a", false, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, responses := startSilent(t, c.events, c.target)
			s.gateway.ReportResponseTime("app", 10*time.Millisecond)
			other := &standin.Worker{ID: "other", Service: "app"}
			if c.target == "/stream/a" {
				other.EventCount, other.EventInterval = 5, time.Millisecond
			}
			is.NoErr(other.Start())
			t.Cleanup(other.Stop)
			s.list(other, 2)
			s.sendSIGTERM()
			got := <-responses[c.target]
			is.NoErr(got.err)
			if c.want == "" {
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(len(other.Runs()), 0)
				return
			}
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, c.want)
		})
	}
}

// stoppingEntry is an entry that drains and that one connection keeps alive, although no request is being handled.
type stoppingEntry struct {
	*fixture
	// release ends what keeps it alive.
	release func()
}

// startStopping makes a gateway drain while a caller sends a request's head slowly, and returns when it has taken no
// request for longer than it accepts all.
func startStopping(t *testing.T) *stoppingEntry {
	t.Helper()
	s := newFixture(t, plainWorker())
	s.extraSettings = `,"drain_timeout":"8s"`
	s.start()
	c := s.dialSlow("GET /again/slow HT")
	s.waitFor("a part of the head is read", func() bool { return s.gateway.ConnectionsInRequest() == 1 })
	s.sendSIGTERM()
	s.waitFor("no request is accepted whatever it needs", func() bool { return s.gateway.DrainAcceptsOnlyShort() })
	return &stoppingEntry{s, func() {
		_, _ = io.WriteString(c.conn, strings.TrimPrefix(head("GET", "/again/slow", "slow"), "GET /again/slow HT")+"\r\n")
	}}
}

// stoppingRequests is how many requests are sent to an entry that is about to stop.
const stoppingRequests = 20

// requestWhileStopping sends a proper request on a new connection. It returns an error unless the request is served, or
// refused with when to send it again.
func (s *stoppingEntry) requestWhileStopping(id string) error {
	conn, err := net.Dial("tcp", s.gateway.CallersAddr())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, head("GET", "/again/a", id)+"\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	served := response.StatusCode == http.StatusOK && string(body) == standin.PlainResponse(id)
	refused := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
	if err == nil && !served && !refused {
		return fmt.Errorf("status %d, body %q", response.StatusCode, body)
	}
	return err
}

// Guards against an answer of the HTTP server's own, without a length or a reason, to proper requests that reach a draining
// entry which another connection keeps alive.
func TestProperRequestsToAStoppingEntryAreServedOrRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startStopping(t)
	answers := make(chan error)
	for i := range stoppingRequests {
		go func() { answers <- s.requestWhileStopping(fmt.Sprint("q", i)) }()
	}
	for range stoppingRequests {
		is.NoErr(<-answers)
	}
	is.True(!s.logged("request_not_parsed"))
	s.release()
	is.NoErr(<-s.serveErr)
}

// Guards against a stop that ends requests without an answer because further ones arrive all the time until its limit.
func TestAStopUnderLoadCutsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.extraSettings = `,"drain_timeout":"2s"`
	s.start()
	const callers = 3 * stoppingRequests
	gone, lost := make(chan struct{}), make(chan error, callers)
	for i := range callers {
		go func() { lost <- s.sendUntil(gone, fmt.Sprint("q", i)) }()
	}
	s.sendSIGTERM()
	is.NoErr(<-s.serveErr)
	close(gone)
	for range callers {
		is.NoErr(<-lost)
	}
	s.waitFor("the stop is logged", func() bool { return s.logged(`"event":"stop"`) })
	is.True(s.logged(`"reason":"drained"`))
}

// sendUntil sends one request after another on connections of their own until gone is closed or connections are refused. It
// returns an error if the gateway has read a request and its response is not whole.
func (s *fixture) sendUntil(gone <-chan struct{}, name string) error {
	stopping := &stoppingEntry{fixture: s}
	for n := 0; ; n++ {
		select {
		case <-gone:
			return nil
		default:
		}
		id := fmt.Sprint(name, "-", n)
		err := stopping.requestWhileStopping(id)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return nil
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.ErrUnexpectedEOF):
			if s.runCount(id) > 0 {
				return err
			}
		case err != nil:
			return err
		}
	}
}

// Guards against accepting a stream that may not end before the stop, when a part of it is all that its caller would get.
func TestAStoppingEntryAcceptsOnlyWhatCanEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startStopping(t)
	is.Equal(s.post("/again/a", "q1").status, http.StatusOK)
	got := s.post("/stream/a", "q2")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "3007"))
	is.Equal(s.runCount("q2"), 0)
	s.release()
	is.NoErr(<-s.serveErr)
}

// Guards against a process that ends while callers' hosts have not yet taken responses that are complete here.
func TestAStopWaitsForWhatCallersHaveNotTaken(t *testing.T) {
	cases := map[string]struct {
		target, protocol string
		size             int
	}{
		"response in the kernel":         {"/once/a?size=1000&chunks=200", "HTTP/1.1", 200_000},
		"stream in the kernel":           {"/stream/a?stream=1&size=8000&chunks=25", "HTTP/1.1", 200_000},
		"stream in the process":          {"/stream/a?stream=1&size=8000&chunks=100", "HTTP/1.1", 800_000},
		"stream that ends by connection": {"/stream/a?stream=1&size=8000&chunks=100", "HTTP/1.0", 800_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, endpoint := newBulkFixture(t)
			endpoint.UnreadTimeout = waitTimeout
			s.extraSettings = `,"memory_limit":"256MB","drain_timeout":"8s"`
			for _, r := range s.routes {
				r["timeout_ms"] = 15_000
			}
			s.start()
			caller := s.dialSlow(strings.Replace(head("GET", c.target, "q1"), "HTTP/1.1", c.protocol, 1) + "\r\n")
			s.waitFor("the endpoint has sent everything", func() bool { return endpoint.Complete.Load() == 1 })
			s.sendSIGTERM()
			s.waitFor("no request is accepted whatever it needs", func() bool { return s.gateway.DrainAcceptsOnlyShort() })
			time.Sleep(10 * drainPoll)
			select {
			case <-s.serveErr:
				t.Fatal("the process ends although its caller has not taken the response")
			default:
			}
			response := caller.response()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(body), c.size)
			is.NoErr(<-s.serveErr)
			s.waitFor("the stop is logged", func() bool { return s.logged(`"event":"stop"`) })
			is.True(s.logged(`"unsent_bytes":0`))
		})
	}
}

// Guards against a queued prompt that waits on although its entry can no longer serve it before it stops.
func TestAStopRefusesQueuedRequestsAsNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newEngineFixture(t, 12)
	s.extraSettings = `,"drain_timeout":"20s"`
	s.routes[len(s.routes)-1]["target_latency_ms"] = 18_000
	s.start()
	got := make(chan callerResponse, 1)
	prompt := s.request(http.MethodPost, "/model/a", "q1", "x")
	prompt.Header.Set("X-Aspenyard-Deadline-Ms", "20000")
	prompt.Header.Set("X-Aspenyard-Model", "m")
	prompt.Header.Set("X-Aspenyard-Token-Usage", "150000,5000") // more output than can be written before the stop
	s.gateway.ReportPeerPrefill("model", 2*peerPrefill)
	go func() { got <- s.do(prompt) }()
	queued := func() bool {
		s.gateway.ReportPeerPrefill("model", 2*peerPrefill) // a report is used for one second
		return s.gateway.QueuedPrefill("model") > 0
	}
	s.waitFor("the prompt is queued", queued)
	s.sendSIGTERM()
	s.waitFor("the prompt has left the queue", func() bool { return !queued() })
	response := <-got
	is.True(!s.gateway.ResponsesDue())
	is.NoErr(response.err)
	is.Equal(response.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(response.body, "3007"))
	is.True(response.header.Get("Retry-After") != "")
	is.Equal(s.runCount("q1"), 0)
}

// Guards against requests that are being received when the process ends and whose callers are not told that they have not
// run, also where the drain timeout is short.
func TestAStopRefusesRequestsThatAreBeingReceived(t *testing.T) {
	whole := head("POST", "/once/a", "q1") + "Content-Length: 5\r\n\r\nhe"
	for name, sent := range map[string]string{"head": "POST /once/a HTTP", "body": whole} {
		for _, limit := range []string{"5s", "400ms"} {
			t.Run(name+" "+limit, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newFixture(t, plainWorker())
				s.extraSettings = fmt.Sprintf(`,"drain_timeout":%q`, limit)
				s.start()
				c := s.dialSlow(sent)
				s.waitFor("a part is read", func() bool { return s.gateway.ConnectionsInRequest() == 1 })
				s.sendSIGTERM()
				response := c.response()
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusServiceUnavailable)
				is.True(response.Header.Get("Retry-After") != "")
				is.True(name == "head" || strings.Contains(string(body), "3007"))
				is.NoErr(<-s.serveErr)
				is.Equal(s.runCount("q1"), 0)
			})
		}
	}
}

// Guards against a stream whose endpoint falls silent and that a stop ends as if it were whole, or before it must.
func TestAStopBreaksOffWhatNoOtherEndpointCanResume(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, responses := startSilent(t, true, "/tail/a", "/stream/a")
	s.sendSIGTERM()
	for target, response := range responses {
		got := <-response
		is.True(got.err != nil) // broken off
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, standin.StreamText("q"+target, 1))
	}
	is.NoErr(<-s.serveErr)
	s.waitFor("it is logged", func() bool { return s.logged(`"code":4007`) })
}

// Guards against a stop that ends a response to an HTTP/1.0 caller, which has no other end than its connection, as if it
// were whole.
func TestAStopResetsUnframedResponsesThatAreNotWhole(t *testing.T) {
	for name, target := range map[string]string{"stream": "/stream/a?stream=1&size=8000&chunks=200", "plain": "/once/a?size=100000&chunks=16"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, endpoint := newBulkFixture(t)
			endpoint.UnreadTimeout = waitTimeout
			s.extraSettings = `,"memory_limit":"256MB","drain_timeout":"2s"`
			for _, r := range s.routes {
				r["timeout_ms"] = 15_000
			}
			s.start()
			caller := s.dialSlow(strings.Replace(head("GET", target, "q1"), "HTTP/1.1", "HTTP/1.0", 1) + "\r\n")
			s.waitFor("the endpoint has sent everything", func() bool { return endpoint.Complete.Load() == 1 })
			s.sendSIGTERM()
			is.NoErr(<-s.serveErr)
			_, err := io.ReadAll(caller.conn)
			is.True(errors.Is(err, syscall.ECONNRESET))
			s.waitFor("it is logged", func() bool { return s.logged(`"event":"caller_cut"`) && s.logged(`"reason":"stop"`) })
		})
	}
}

// Guards against a broken stream that looks whole to an HTTP/1.0 caller, as its connection ends like that of a whole one.
func TestABrokenStreamIsResetForCallersWithoutFraming(t *testing.T) {
	is := is.New(t)
	worker := streamingWorker(6)
	worker.SetDefaultFault(standin.FaultTruncated)
	s := newFixture(t, worker)
	s.routes[2]["resumable"] = false
	s.start()
	caller := s.dialSlow(strings.Replace(head("GET", "/stream/a", "q1"), "HTTP/1.1", "HTTP/1.0", 1) + "\r\n")
	_, err := io.ReadAll(caller.conn)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// drainPoll is the time between two checks of a drain.
const drainPoll = 20 * time.Millisecond

// Guards against requests that may run once, arrive while a stopping entry still accepts all, run, and cannot be answered
// before it ends: their callers do not know whether they ran.
func TestAStopRefusesWhatMayRunOnceAndCannotEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newFixture(t, &standin.Worker{WorkTime: 3500 * time.Millisecond}).start()
	is.Equal(s.post("/once/a", "before").status, http.StatusOK)
	s.sendSIGTERM()
	s.waitFor("the entry drains", func() bool { return s.readyStatus() != http.StatusOK })
	time.Sleep(time.Second) // of the 4.4 s after which responses are due
	for name, client := range map[string]*http.Client{"kept": s.client, "new": {Transport: &http.Transport{DisableKeepAlives: true}}} {
		s.client = client
		got := s.post("/once/a", name)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(got.body, "3007"))
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(s.runCount(name), 0)
	}
	is.NoErr(<-s.serveErr)
}
