package cli

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"aspenyard.example/burn"
	"aspenyard.example/standin/link"
)

// nodeText is a response that is valid as JSON and as metrics.
const nodeText = "{}\n"

// askAll asks a node's operators' port in each way that commands use, and returns what failed of it.
func askAll(addr string) (unreachable []string, call error) {
	access := &operatorAccess{Entry: addr, Key: "k"}
	_, _, call = access.call(http.MethodPut, "/v1/catalogue/work/a", make([]byte, 20<<20), 0)
	collector := burn.NewCollector(nil)
	scrape(collector, "n1", addr)
	return collector.Report().Unreachable, call
}

// Guards against a command that takes for a node's response one whose head HTTP does not allow.
func TestAnInvalidResponseOfANodeIsAnError(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPut {
			_, _ = io.WriteString(w, nodeText)
		}
	}))
	t.Cleanup(server.Close)
	l, err := link.New(server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(l.Close)
	unreachable, failure := askAll(l.Addr())
	is.NoErr(failure)
	is.Equal(len(unreachable), 0)
	for _, change := range link.InvalidHeads() {
		l.ChangeHeads(change)
		unreachable, failure = askAll(l.Addr())
		is.True(failure != nil)
		is.Equal(len(unreachable), 1)
	}
}

// Guards against a command that prints or counts a part of a node's response: one without a length, whose connection is closed, or
// reset while the request is sent.
func TestAPartOfANodesResponseIsAnError(t *testing.T) {
	is := is.New(t)
	const response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	reset, stop, err := link.ServeEarlyResets(response + nodeText)
	is.NoErr(err)
	t.Cleanup(stop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}()
	for _, addr := range []string{reset, listener.Addr().String()} {
		unreachable, failure := askAll(addr)
		is.True(failure != nil)
		is.Equal(len(unreachable), 1)
	}
}

// Guards against a command that keeps what a faulty node sends without end, in a head or in a body, until memory runs out.
func TestAResponseWithoutEndOfANodeIsAnError(t *testing.T) {
	const block = 64 << 10
	for name, write := range map[string]func(w http.ResponseWriter){
		"head": func(w http.ResponseWriter) { w.Header().Set("A", strings.Repeat("x", 1<<20)) },
		"body": func(w http.ResponseWriter) {
			text := []byte("# " + strings.Repeat("x", block) + "\n")
			for sent := 0; sent < 3*maxNodeResponseBytes/2; sent += block {
				if _, err := w.Write(text); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				write(w)
			}))
			t.Cleanup(server.Close)
			unreachable, failure := askAll(server.Listener.Addr().String())
			is.True(failure != nil)
			is.Equal(len(unreachable), 1)
		})
	}
}
