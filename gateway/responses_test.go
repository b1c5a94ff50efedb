package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"aspenyard.example/standin/link"
	standin "aspenyard.example/standin/platform"
)

func TestAResponseIsRelayedUnchanged(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	r := s.request(http.MethodPost, "/once/a?x=1%20y", "q1", "hello")
	r.Header.Set("X-Aspenyard-Tenant", "forged")
	r.Header.Set("X-Aspenyard-Request-Priority", "0")
	r.Header.Set("X-Aspenyard-Helpers", "127.0.0.1:1")
	r.Header.Set("X-Own", "kept")
	got := s.do(r)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, standin.PlainResponse("q1"))
	is.Equal(got.header.Get("X-Aspenyard-Server-Stamp"), "s1")
	run := s.workers[0].Runs()[0]
	is.Equal(run.RequestURI, "/once/a?x=1%20y")
	is.Equal(run.Body, "hello")
	is.Equal(run.Account, "acme") // the key's account, not the caller's header
	is.Equal(run.Priority, "")
	is.Equal(run.Helpers, "")
	is.True(run.DeadlineMS > 0 && run.DeadlineMS <= 15000)
}

// Guards against passing on as complete a response that ends with its connection because the endpoint crashed.
func TestAResponseThatEndsWithItsEndpointIsNotComplete(t *testing.T) {
	for _, path := range []string{"/stream/a", "/again/a"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			crashing, sound := plainWorker(), plainWorker()
			if path == "/stream/a" {
				crashing, sound = streamingWorker(6), streamingWorker(6)
			}
			s := newFixture(t, crashing, sound).start()
			crashing.SetDefaultFault(standin.FaultUnframedCrash)
			for i := 0; s.sumMetric("aspenyard_gateway_crashes_total") == 0; i++ {
				id := fmt.Sprint("q", i)
				got := s.post(path, id)
				is.NoErr(got.err)
				want := standin.PlainResponse(id)
				if path == "/stream/a" {
					want = standin.StreamText(id, 6)
				}
				is.Equal(got.body, want)
			}
		})
	}
}

// Guards against passing on as complete a response whose endpoint crashed, where its address still accepts connections
// for a moment and resets them: those in the queue of a process that has ended, or of a proxy.
func TestAResponseIsNotCompleteIfItsEndpointsAddressResetsConnections(t *testing.T) {
	for _, path := range []string{"/stream/a", "/again/a"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			crashing, sound := plainWorker(), plainWorker()
			if path == "/stream/a" {
				crashing, sound = streamingWorker(6), streamingWorker(6)
			}
			s := newFixture(t, crashing, sound)
			proxy, err := link.New(crashing.Addr())
			is.NoErr(err)
			t.Cleanup(proxy.Close)
			s.store.Put("servers/"+crashing.ID, crashing.RegistrationAt(proxy.Addr(), "ready"))
			s.start()
			crashing.SetDefaultFault(standin.FaultUnframedCrash)
			for i := 0; len(crashing.Runs()) == 0; i++ {
				id := fmt.Sprint("q", i)
				got := s.post(path, id)
				is.NoErr(got.err)
				want := standin.PlainResponse(id)
				if path == "/stream/a" {
					want = standin.StreamText(id, 6)
				}
				is.Equal(got.body, want)
			}
		})
	}
}

func TestAStreamIsRelayedCompletely(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, streamingWorker(20)).start()
	got := s.post("/stream/a", "q1")
	is.NoErr(got.err)
	is.Equal(got.body, standin.StreamText("q1", 20))
}

// Guards against running a non-idempotent request twice: the endpoint runs it and the connection
// breaks or the response is invalid. A lost response must not be taken for a request that was not
// sent.
func TestANonIdempotentRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultReset, standin.FaultTruncated, standin.FaultGarbage, standin.FaultNoServerStamp, standin.FaultError, standin.FaultUnmarkedRefusal} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t, plainWorker(), plainWorker()).start()
			for _, w := range s.workers {
				w.SetDefaultFault(fault)
			}
			got := s.post("/once/a", "q1")
			is.Equal(s.runCount("q1"), 1)
			is.True(got.status == http.StatusBadGateway || got.status == http.StatusInternalServerError)
			is.True(got.status != http.StatusInternalServerError || fault == standin.FaultError) // a 500 comes only from the endpoint itself
		})
	}
}

// Guards against relaying every 503. Callers take a 503 to mean that the request did not run and
// send it again, but an endpoint may return 503 after it has run the request. Only a 503 that says
// that the request was not executed may be relayed as a refusal.
func TestARefusalIsRelayedOnlyIfTheRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	s.workers[0].QueueFaults(standin.FaultUnmarkedRefusal, standin.FaultShed)
	is.Equal(s.post("/once/a", "q1").status, http.StatusBadGateway)
	refused := s.post("/once/a", "q2")
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(refused.header.Get("X-Aspenyard-Server-Stamp"), "")
	is.Equal(s.runCount("q2"), 0)
}

func TestARequestThatDidNotRunIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), plainWorker()).start()
	s.workers[0].SetDefaultFault(standin.FaultShed)
	for i := range 10 {
		id := fmt.Sprint("q", i)
		got := s.post("/once/a", id)
		is.Equal(got.body, standin.PlainResponse(id))
		is.Equal(s.runCount(id), 1)
	}
}

func TestIdempotentRequestsAreRetried(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultReset, standin.FaultTruncated, standin.FaultGarbage, standin.FaultNoServerStamp, standin.FaultError, standin.FaultUnmarkedRefusal} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t, plainWorker(), plainWorker()).start()
			s.workers[0].SetDefaultFault(fault)
			for i := range 6 {
				id := fmt.Sprint("q", i)
				is.Equal(s.post("/again/a", id).body, standin.PlainResponse(id))
			}
		})
	}
}

// Guards against giving a caller the response to another request: an endpoint answers a request
// twice, and the second response is on the kept connection when the next request is written. The
// first bytes read must not be taken for that request's response.
func TestADuplicateResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	s.workers[0].SetDefaultFault(standin.FaultDuplicateResponse)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		got := s.post("/once/a", id)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, standin.PlainResponse(id))
		is.Equal(s.runCount(id), 1)
	}
}

func TestACloseDelimitedResponseIsRelayed(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), streamingWorker(5)).start()
	s.workers[0].SetDefaultFault(standin.FaultUnframed)
	s.workers[1].SetDefaultFault(standin.FaultUnframed)
	s.workers[1].Service = "app2"
	s.store.Put("servers/"+s.workers[1].ID, s.workers[1].Registration("ready"))
	other := route("stream2", "/stream2/", "streaming")
	other["service"] = "app2"
	s.routes = append(s.routes, other)
	s.configure()
	s.waitFor("the new route is in force", func() bool { return s.post("/stream2/a", "q2").status == http.StatusOK })
	is.Equal(s.post("/once/a", "q1").body, standin.PlainResponse("q1"))
	is.Equal(s.post("/stream2/a", "q3").body, standin.StreamText("q3", 5))
}

// Guards against parsing the rest of a body as the next request, and against a deadlock between
// node and endpoint. An endpoint refuses before it has read a long body and reads on, and the node
// reuses the connection. A response does not mean that the request has been written completely.
func TestAnEarlyResponseToALongBody(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), plainWorker()).start()
	for _, w := range s.workers {
		w.QueueFaults(standin.FaultEarlyResponse, standin.FaultEarlyResponse)
	}
	body := strings.Repeat("x", 90_000)
	for i := range 8 {
		got := s.do(s.request(http.MethodPost, "/once/a", fmt.Sprint("q", i), body))
		is.NoErr(got.err)
		is.True(got.status == http.StatusOK || got.status == http.StatusServiceUnavailable)
	}
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			is.Equal(run.Body, body)
		}
	}
}

// Guards against a stream with a part that is missing or repeated, or that ends within an event. An
// endpoint breaks off in the middle of an event, once with an error and once on a stream without a
// length whose connection closes properly. The node must relay complete events and resume after the
// last one.
func TestABrokenStreamIsResumedAtAnotherEndpoint(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultTruncated, standin.FaultTruncatedUnframed} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t, streamingWorker(12), streamingWorker(12)).start()
			s.workers[0].SetDefaultFault(fault)
			for i := range 8 {
				id := fmt.Sprint("q", i)
				got := s.post("/stream/a", id)
				is.NoErr(got.err)
				is.Equal(got.body, standin.StreamText(id, 12))
			}
		})
	}
}

// Guards against a partial stream that looks complete: every endpoint breaks off, and the node must
// not end the response normally.
func TestAStreamThatCannotBeResumedIsAborted(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, streamingWorker(12), streamingWorker(12)).start()
	for _, w := range s.workers {
		w.SetDefaultFault(standin.FaultTruncated)
	}
	got := s.post("/stream/a", "q1")
	is.True(got.err != nil) // the connection was aborted
	is.True(strings.HasPrefix(standin.StreamText("q1", 12), got.body))
}

// Guards against cutting streams while their engine is busy: an engine prefills a long prompt and
// repeatedly sends no event for longer than the route's pause target. Silence is no sign of a
// failure; with a limit of one second on silence this test got half a stream.
func TestAStreamOfABusyEndpointIsNotCutOff(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, streamingWorker(4))
	s.routes[2]["target_gap_ms"] = 20
	s.start()
	s.workers[0].SetDefaultFault(standin.FaultSlow)
	got := s.post("/stream/a", "q1")
	is.NoErr(got.err)
	is.Equal(got.body, standin.StreamText("q1", 4))
	is.Equal(s.runCount("q1"), 1)
}

// Guards against waiting until the deadline for a dead endpoint: it takes a request, falls silent
// and accepts no connections.
func TestARequestLeavesAnUnreachableEndpoint(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), plainWorker())
	for _, r := range s.routes {
		r["target_latency_ms"] = 50
	}
	dead, other := s.workers[0], s.workers[1]
	s.store.Delete("servers/" + other.ID)
	s.start()
	dead.SetDefaultFault(standin.FaultHang)
	response := make(chan callerResponse, 1)
	go func() { response <- s.post("/again/a", "q1") }()
	s.waitFor("the request runs", func() bool { return dead.InFlight() == 1 })
	s.store.Put("servers/"+other.ID, other.Registration("ready"))
	s.waitFor("the other endpoint is listed", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 2 })
	dead.StopListening()
	is.Equal((<-response).body, standin.PlainResponse("q1"))
	for i := range 6 {
		id := fmt.Sprint("r", i)
		is.Equal(s.post("/again/a", id).body, standin.PlainResponse(id))
	}
}

// Guards against endpoints that work for callers that are gone: a caller closes its connection while
// its request runs, and the node must cancel the request.
func TestARequestIsCancelledWhenItsCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/once/a", "/again/a", "/stream/a"} {
		t.Run(path, func(t *testing.T) {
			s := newFixture(t, plainWorker()).start()
			s.workers[0].SetDefaultFault(standin.FaultHang)
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				s.waitFor("the request runs", func() bool { return s.workers[0].InFlight() == 1 })
				cancel()
			}()
			got := s.do(s.request(http.MethodPost, path, "q1", "x").WithContext(ctx))
			if got.err == nil {
				t.Fatal("got a response after the caller disconnected")
			}
			s.waitFor("the endpoint is idle", func() bool { return s.workers[0].InFlight() == 0 })
		})
	}
}

// Guards against running a stream a second time for a caller that does not read: it stops reading
// and leaves its connection open, and the node gives up. That must not be taken for a failure of
// the endpoint and retried at another.
func TestAStreamThatItsCallerDoesNotReadIsNotRetried(t *testing.T) {
	is := is.New(t)
	const events = 2_000_000 // more than all buffers between worker and caller hold
	s := newFixture(t, &standin.Worker{EventCount: events}, &standin.Worker{EventCount: events}).start()
	conn, err := net.Dial("tcp", s.gateway.CallersAddr())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, head("GET", "/stream/a", "q1")+"\r\n")
	is.NoErr(err)
	s.waitFor("the request runs", func() bool { return s.runCount("q1") == 1 })
	s.waitFor("the gateway has given up the stream", func() bool { return strings.Contains(s.log.String(), `"event":"request_ended"`) })
	s.waitFor("the endpoints are idle", func() bool { return s.workers[0].InFlight()+s.workers[1].InFlight() == 0 })
	is.Equal(s.runCount("q1"), 1)
}

// Guards against running a request at the wrong endpoint: an endpoint ends, another process gets its
// address, and the node's list is out of date.
func TestAnotherEndpointAtTheSameAddressRefusesTheRequest(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), plainWorker()).start()
	s.store.Put("servers/i-old", s.workers[0].Registration("ready")) // an incarnation that has ended
	s.store.Delete("servers/" + s.workers[0].ID)
	s.waitFor("the registration is known", func() bool { return strings.Contains(s.log.String(), "i-old") })
	for i := range 6 {
		id := fmt.Sprint("q", i)
		got := s.post("/once/a", id)
		is.Equal(got.status, http.StatusOK)
		is.Equal(s.runCount(id), 1)
	}
}

// Guards against retries without a budget: all endpoints break off under many requests, and a failing
// service would get several times its load.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), plainWorker()).start()
	for _, w := range s.workers {
		w.SetDefaultFault(standin.FaultReset)
	}
	const requests = 400
	for i := range requests {
		s.post("/again/a", fmt.Sprint("q", i))
	}
	arrivals := len(s.workers[0].Runs()) + len(s.workers[1].Runs())
	is.True(arrivals > requests)
	is.True(arrivals <= requests+requests/5+104)
}

func TestARequestReachesAtMostMaxAttemptsEndpoints(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), plainWorker(), plainWorker(), plainWorker()).start()
	for _, w := range s.workers {
		w.SetDefaultFault(standin.FaultReset)
	}
	got := s.post("/again/a", "q1")
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(s.runCount("q1"), 2)
}

func TestAnExpiredDeadlineIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	for _, r := range s.routes {
		r["timeout_ms"] = 100
	}
	s.start()
	s.workers[0].SetDefaultFault(standin.FaultHang)
	got := s.post("/once/a", "q1")
	is.Equal(got.status, http.StatusGatewayTimeout) // long before the caller's 15 s
	is.True(s.workers[0].Runs()[0].DeadlineMS <= 100)
	s.waitFor("the endpoint is idle", func() bool { return s.workers[0].InFlight() == 0 })
}
