package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// newBulkFixture prepares a gateway before an endpoint with large responses. At the smallest memory limit it may
// hold 8 MB, of which a backlog may have 1 MB.
func newBulkFixture(t *testing.T) (*fixture, *standin.Bulk) {
	t.Helper()
	s := newFixture(t)
	endpoint := &standin.Bulk{}
	if err := endpoint.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Stop)
	s.store.Put("servers/bulk", endpoint.Registration("bulk", "app"))
	s.limits["max_body_bytes"] = 4 << 20
	s.extraSettings = `,"memory_limit":"32MB"`
	for _, r := range s.routes {
		r["timeout_ms"] = 6000
	}
	return s, endpoint
}

// slowCaller is a caller with a small receive buffer, which reads only when it is told to.
type slowCaller struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

// dialSlow connects a slow caller and sends the text of a request.
func (s *fixture) dialSlow(text string) *slowCaller {
	s.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	conn, err := dialer.Dial("tcp", s.gateway.CallersAddr())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	return &slowCaller{s.t, conn, bufio.NewReader(conn)}
}

// response reads a response's head.
func (c *slowCaller) response() *http.Response {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return response
}

// heldBytes returns how many bytes the gateway holds for callers.
func (s *fixture) heldBytes() float64 { return s.sumMetric("aspenyard_gateway_held_bytes ") }

func (s *fixture) logged(text string) bool { return strings.Contains(s.log.String(), text) }

// Guards against an endpoint that cuts off a stream because its caller reads slowly, and against a stream that
// loses, doubles or reorders events on its way through the backlog.
func TestAStreamIsReadWhileItsCallerReadsSlowly(t *testing.T) {
	is := is.New(t)
	s, endpoint := newBulkFixture(t)
	endpoint.UnreadTimeout = 300 * time.Millisecond
	s.extraSettings = `,"memory_limit":"256MB"`
	s.start()
	c := s.dialSlow(head("GET", "/stream/a?stream=1&size=8000&chunks=400", "q1") + "\r\n")
	s.waitFor("the endpoint has sent everything", func() bool { return endpoint.Complete.Load() == 1 })
	s.waitFor("the gateway holds the backlog", func() bool { return s.heldBytes() > 1<<20 })
	is.Equal(s.sumMetric("aspenyard_gateway_slow_callers "), 1.0)
	response := c.response()
	for n := 1; n <= 400; n++ {
		event := make([]byte, 8000)
		_, err := io.ReadFull(response.Body, event)
		is.NoErr(err)
		is.Equal(string(event), string(standin.BulkChunk(true, n, 8000)))
	}
	_, err := response.Body.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(endpoint.CutOff.Load(), int64(0))
	s.waitFor("nothing is held", func() bool { return s.heldBytes() == 0 })
	// The connection serves the next request.
	_, err = io.WriteString(c.conn, head("GET", "/again/a?size=10&chunks=2", "q2")+"\r\n")
	is.NoErr(err)
	is.Equal(c.response().StatusCode, http.StatusOK)
}

// Guards against a cut stream that looks complete, also where the end of the connection ends a response, and
// against an endpoint that goes on working for a caller that was cut off.
func TestACallerIsCutOffWhenItsBacklogIsFull(t *testing.T) {
	for name, version := range map[string]string{"chunked": "HTTP/1.1", "until the end of the connection": "HTTP/1.0"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, endpoint := newBulkFixture(t)
			s.start()
			text := strings.Replace(head("GET", "/stream/a?stream=1&size=8000&chunks=2000", "q1"), "HTTP/1.1", version, 1)
			c := s.dialSlow(text + "\r\n")
			s.waitFor("the caller is cut off", func() bool { return s.logged(`"event":"caller_cut"`) })
			is.True(s.logged(`"request":"q1","reason":"bound"`))
			s.waitFor("the request is cancelled", func() bool { return endpoint.Cancelled.Load() == 1 })
			s.waitFor("nothing is held", func() bool { return s.heldBytes() == 0 })
			_, err := io.Copy(io.Discard, c.conn)
			is.True(err != nil) // a reset, not an end
			s.waitFor("the request has ended", func() bool { return s.logged(`"code":4004`) })
			is.Equal(s.sumMetric("aspenyard_gateway_attempts_failed_total"), 0.0) // the endpoint did nothing wrong, and is not asked again
		})
	}
}

// Guards against bytes that are held for as long as a caller keeps its connection without reading.
func TestACallerThatTakesNothingIsCutOff(t *testing.T) {
	for name, target := range map[string]string{"stream": "/stream/a?stream=1&size=8000&chunks=400", "response": "/again/a?size=100000&chunks=30"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, endpoint := newBulkFixture(t)
			s.extraSettings = `,"memory_limit":"256MB"`
			s.start()
			s.dialSlow(head("GET", target, "q1") + "\r\n")
			s.waitFor("the endpoint has sent everything", func() bool { return endpoint.Complete.Load() == 1 })
			s.waitFor("a part of it is held", func() bool { return s.heldBytes() > 0 })
			s.waitFor("the caller is cut off", func() bool { return s.logged(`"request":"q1","reason":"stalled"`) })
			s.waitFor("nothing is held", func() bool { return s.heldBytes() == 0 })
		})
	}
}

// announce returns the head of a request with a body of the given size.
func announce(id string, size int) string {
	return head("POST", "/again/a?size=10&chunks=1", id) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
}

// Guards against a body that is read although the entry cannot hold it, and against a few large bodies that keep
// out small ones.
func TestABodyThatTheEntryCannotHoldIsRefusedUnread(t *testing.T) {
	is := is.New(t)
	s, _ := newBulkFixture(t)
	s.start()
	first := s.dialSlow(announce("first", 4<<20))
	s.waitFor("the first body is accounted for", func() bool { return s.heldBytes() == 4<<20 })
	for _, text := range []string{announce("second", 4<<20), announce("continued", 4<<20)[:len(announce("continued", 4<<20))-2] + "Expect: 100-continue\r\n\r\n"} {
		response := s.dialSlow(text).response()
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Close && response.Header.Get("Retry-After") != "")
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(strings.Contains(string(body), "entry_full (3022)"))
	}
	chunk := strings.Repeat("x", 64<<10)
	chunked := s.dialSlow(head("POST", "/again/a", "chunked") + "Transfer-Encoding: chunked\r\n\r\n")
	go func() {
		for range 64 {
			if _, err := fmt.Fprintf(chunked.conn, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return
			}
		}
	}()
	is.Equal(chunked.response().StatusCode, http.StatusServiceUnavailable)
	is.Equal(s.do(s.request(http.MethodPost, "/again/a?size=10&chunks=1", "small", strings.Repeat("x", 60_000))).status, http.StatusOK)
	is.Equal(s.sumMetric("aspenyard_gateway_full_refused_total"), 3.0)
	is.True(s.logged(`"event":"entry_full"`))
	_ = first.conn.Close()
	s.waitFor("nothing is held", func() bool { return s.heldBytes() == 0 })
}

// Guards against a caller that announces a large body and sends so slowly that it can never be served, while
// others are refused for it.
func TestABodyThatCannotArriveInTimeMakesRoom(t *testing.T) {
	is := is.New(t)
	s, _ := newBulkFixture(t)
	s.start()
	slow := s.dialSlow(announce("slow", 4<<20))
	s.waitFor("the body is accounted for", func() bool { return s.heldBytes() == 4<<20 })
	n := 0
	s.waitFor("another body is taken", func() bool {
		n++
		return s.do(s.request(http.MethodPost, "/again/a?size=10&chunks=1", fmt.Sprint("q", n), strings.Repeat("x", 4<<20))).status == http.StatusOK
	})
	is.Equal(slow.response().StatusCode, http.StatusRequestTimeout)
	is.True(s.logged(`"request":"slow","reason":"others"`))
}

// Guards against a response that is lost because callers that do not read hold all bytes.
func TestACallerThatReadsIsServedBeforeOnesThatDoNot(t *testing.T) {
	is := is.New(t)
	s, _ := newBulkFixture(t)
	s.start()
	for i := range 2 {
		s.dialSlow(head("GET", "/again/a?size=100000&chunks=23", fmt.Sprint("slow", i)) + "\r\n")
	}
	s.waitFor("the gateway waits for both", func() bool { return s.sumMetric("aspenyard_gateway_slow_callers ") == 2 })
	time.Sleep(1200 * time.Millisecond) // only callers that have kept the gateway waiting for a second are cut off
	got := s.do(s.request(http.MethodGet, "/once/a?size=100000&chunks=38", "q1", ""))
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(got.body), 3_800_000)
	is.True(s.logged(`"reason":"others"`))
}

// Guards against requests that run although their responses cannot be held afterwards.
func TestARequestWhoseResponseIsNotExpectedToFitIsRefused(t *testing.T) {
	is := is.New(t)
	s, endpoint := newBulkFixture(t)
	s.start()
	const target = "/again/a?size=100000&chunks=38"
	is.Equal(s.do(s.request(http.MethodGet, target, "first", "")).status, http.StatusOK) // shows how large they are
	s.dialSlow(head("GET", target, "slow") + "\r\n")
	s.waitFor("the gateway waits for a caller", func() bool { return s.sumMetric("aspenyard_gateway_slow_callers ") == 1 })
	got := s.do(s.request(http.MethodGet, target, "refused", ""))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "entry_full (3022)"))
	is.Equal(endpoint.Complete.Load()+endpoint.Cancelled.Load(), int64(2))
}

// Guards against bytes that stay accounted for when a request ends in any other way than by its response, and
// against another response than the last complete one after a failed attempt.
func TestEveryEndOfARequestReleasesItsBytes(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), plainWorker()).start()
	for _, fault := range []standin.Fault{"", standin.FaultShed, standin.FaultError, standin.FaultReset, standin.FaultTruncated, standin.FaultUnframed, standin.FaultGarbage, standin.FaultNoServerStamp} {
		for _, w := range s.workers {
			w.SetDefaultFault(fault)
		}
		got := s.post("/again/a", "q-"+string(fault))
		if fault == standin.FaultError {
			is.Equal(got.body, "fail")
		}
		is.Equal(s.do(s.request(http.MethodPost, "/again/a", "large", strings.Repeat("x", 200_000))).status, http.StatusRequestEntityTooLarge)
	}
	is.Equal(s.do(s.request(http.MethodHead, "/again/a", "head", "")).body, "")
	s.dialSlow(announce("gone", 90_000)).conn.Close()
	for _, w := range s.workers {
		w.SetDefaultFault(standin.FaultHang)
	}
	hanging := s.dialSlow(announce("cancelled", 5) + "hello")
	s.waitFor("the request runs", func() bool { return s.runCount("cancelled") == 1 })
	is.True(s.heldBytes() > 0)
	_ = hanging.conn.Close()
	s.waitFor("nothing is held", func() bool { return s.heldBytes() == 0 })
}

// Guards against a head that states the length of a body that is not sent, which was waited for.
func TestAResponseToHEADHasNoBody(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Aspenyard-Attempt-Id", r.Header.Get("X-Aspenyard-Attempt-Id"))
		w.Header().Set("X-Aspenyard-Server-Stamp", "s1")
		w.Header().Set("Content-Length", "1000")
	}))
	t.Cleanup(server.Close)
	w := &standin.Worker{ID: "i-head", Service: "app"}
	s.store.Put("servers/"+w.ID, w.RegistrationAt(strings.TrimPrefix(server.URL, "http://"), "ready"))
	s.start()
	got := s.do(s.request(http.MethodHead, "/again/a", "q1", ""))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
}

// Guards against a reset of callers that read nothing for some seconds, within their time limit, while the rest of their
// response waits in the kernel.
func TestACallerMayPauseWhileItsResponseIsInTheKernel(t *testing.T) {
	targets := map[string]int{ // the bytes of the response
		"/once/a?size=1000&chunks=200":           200_000, // fits the kernel's buffer
		"/once/a?size=100000&chunks=10":          1_000_000,
		"/stream/a?stream=1&size=8000&chunks=25": 200_000,
	}
	for target, size := range targets {
		t.Run(target, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, endpoint := newBulkFixture(t)
			endpoint.UnreadTimeout = waitTimeout
			s.extraSettings = `,"memory_limit":"256MB"`
			for _, r := range s.routes {
				r["timeout_ms"] = 15_000
			}
			s.start()
			c := s.dialSlow(head("GET", target, "q1") + "\r\n")
			response := c.response()
			time.Sleep(tcpUserTimeout + 2*time.Second)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(body), size)
		})
	}
}

// tcpUserTimeout is how long a caller's host may leave data unacknowledged on a connection without a response.
const tcpUserTimeout = 3 * time.Second
