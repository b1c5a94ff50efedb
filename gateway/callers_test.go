package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendRaw sends text on a new connection and returns the status of the response, 0 if there is none.
func (s *fixture) sendRaw(text string) int {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.gateway.CallersAddr())
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// head returns a request's head without the blank line that ends it.
func head(method, target, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Aspenyard-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\n", method, target, host, id, key)
}

// Guards against request smuggling: two HTTP parsers understand a malformed head differently, and an
// endpoint runs a request that no caller sent.
func TestMalformedRequestsReachNoEndpoint(t *testing.T) {
	s := newFixture(t, plainWorker()).start()
	cases := []struct {
		name, text string
		want       int
	}{
		{"Content-Length and Transfer-Encoding", head("POST", "/once/a", "q1") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/b HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusBadRequest},
		{"two Content-Length headers", head("POST", "/once/a", "q2") + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", http.StatusBadRequest},
		{"unknown Transfer-Encoding", head("POST", "/once/a", "q3") + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", http.StatusNotImplemented},
		{"space in a header name", head("POST", "/once/a", "q4") + "Content-Length : 0\r\n\r\n", http.StatusBadRequest},
		{"invalid chunk size", head("POST", "/once/a", "q5") + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", http.StatusBadRequest},
		{"no Host header", "GET /again/a HTTP/1.1\r\nX-Aspenyard-Attempt-Id: q6\r\n\r\n", http.StatusBadRequest},
		{"absolute URL as request target", head("GET", "http://front.example/again/a", "q7") + "\r\n", http.StatusBadRequest},
		{"no request ID", fmt.Sprintf("GET /again/a HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", host, key), http.StatusBadRequest},
		{"not HTTP", "hello\r\n\r\n", http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(s.sendRaw(c.text), c.want)
			is.Equal(len(s.workers[0].Runs()), 0)
		})
	}
}

// Guards against request smuggling before the first configuration. A request with two lengths of its
// body arrives, and the bytes after it are read as the connection's next request. The refusal for
// lack of a configuration came before the framing check and kept the connection.
func TestARequestIsNotSmuggledBeforeTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.launch()
	hidden := head("POST", "/once/b", "q2") + "Content-Length: 0\r\n\r\n"
	is.Equal(s.sendRaw(head("POST", "/once/a", "q1")+fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(hidden)+5)+hidden), http.StatusBadRequest)
	is.True(!strings.Contains(s.log.String(), "q2")) // it was not read as a request
}

func TestAChunkedBodyIsForwardedCompletely(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	is.Equal(s.sendRaw(head("POST", "/once/a", "q1")+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"), http.StatusOK)
	is.Equal(s.workers[0].Runs()[0].Body, "hello world")
}

func TestConfiguredSizeLimitsAreEnforced(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	r := s.request(http.MethodPost, "/once/a", "q1", "")
	r.Header.Set("X-Long", strings.Repeat("x", 9000))
	is.Equal(s.do(r).status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(s.do(s.request(http.MethodPost, "/once/a", "q2", strings.Repeat("x", 100_001))).status, http.StatusRequestEntityTooLarge)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 60_000, strings.Repeat("x", 60_000))
	is.Equal(s.sendRaw(head("POST", "/once/a", "q3")+"Transfer-Encoding: chunked\r\n\r\n"+chunk+chunk+"0\r\n\r\n"), http.StatusRequestEntityTooLarge)
	is.Equal(s.do(s.request(http.MethodPost, "/once/a", "q4", strings.Repeat("x", 100_000))).status, http.StatusOK)
	is.Equal(len(s.workers[0].Runs()), 1)
}

// Guards against callers that send a few bytes and then hold the connection forever. They get a
// response that says that their request did not run.
func TestSlowCallersGetATimeoutResponse(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.limits["header_timeout_ms"] = 100
	for _, r := range s.routes {
		r["timeout_ms"] = 150
	}
	s.start()
	is.Equal(s.sendRaw("POST /once/a HTT"), http.StatusRequestTimeout)                                             // incomplete request line
	is.Equal(s.sendRaw(head("POST", "/once/a", "q1")), http.StatusRequestTimeout)                                  // incomplete head
	is.Equal(s.sendRaw(head("POST", "/once/a", "q2")+"Content-Length: 10\r\n\r\nhell"), http.StatusRequestTimeout) // incomplete body
	is.Equal(s.sendRaw(head("GET", "/again/a", "q3")+"\r\n"+head("GET", "/again/b", "q4")+"\r\n"), http.StatusOK)  // pipelined
	is.Equal(s.runCount("q1")+s.runCount("q2"), 0)
}

// Guards against closing a connection as a caller's next request arrives: the configuration raises the
// idle timeout, and the node goes on applying the old one. The test lowers the timeout, so that it sees
// which one applies without a long wait.
func TestTheIdleTimeoutFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.limits["idle_timeout_ms"] = 60_000
	s.limits["header_timeout_ms"] = 60_000 // otherwise that limit might close the connection
	s.start()
	conn, err := net.Dial("tcp", s.gateway.CallersAddr())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	ask := func(id string) error {
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		if _, err := io.WriteString(conn, head("GET", "/again/a", id)+"\r\n"); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return nil
	}
	is.NoErr(ask("q1"))
	s.limits["idle_timeout_ms"] = 50
	s.configure()
	s.waitFor("the limit is in force", func() bool { return strings.Contains(s.log.String(), `"version":6`) })
	is.NoErr(ask("q2")) // still under the old, longer limit
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF) // closed under the new limit
}
