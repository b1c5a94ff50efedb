package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"aspenyard.example/graceful"
)

// Guards against a head that is counted wrongly: in pieces of any size, behind an empty line, and with a body behind it.
func TestAHeadIsCountedToItsEnd(t *testing.T) {
	is := is.New(t)
	head := "POST / HTTP/1.1\r\nHost: a\r\ncontent-Length: 3\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	for piece := 1; piece < 100; piece += 7 {
		var h Head
		for text := head + "content-length: 9\r\nabc"; text != ""; text = text[min(piece, len(text)):] {
			h.Scan([]byte(text[:min(piece, len(text))]))
		}
		is.True(h.Ended())
		is.Equal(h.Bytes(), len(head))
		is.True(h.HasContentLength())
		is.True(h.Memory() > 3000*fieldMemory)
	}
	var h Head
	h.Scan([]byte("\r\nGET / HTTP/1.1\r\nX-Content-Length: 3\r\n"))
	is.True(!h.Ended() && !h.HasContentLength())
	is.Equal(h.Memory(), int64(0)) // ordinary heads are not accounted for
}

// Guards against a body that takes memory beyond the bound, and against one that keeps out others although it has stopped
// arriving.
func TestABodyThatHasStoppedMakesRoom(t *testing.T) {
	is := is.New(t)
	bodies := NewBodies(100<<10, 1)
	failures := make(chan error, 10)
	server := httptest.NewServer(bodies.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		failures <- err
	})))
	t.Cleanup(server.Close)
	stopped, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = stopped.Close() })
	_, err = fmt.Fprintf(stopped, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("x", 59_999))
	is.NoErr(err)
	for bodies.Account().Held() < 59_999 {
		time.Sleep(time.Millisecond)
	}
	send := func() error {
		response, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", 60_000)))
		if err == nil {
			_ = response.Body.Close()
		}
		return <-failures
	}
	if err := send(); !errors.Is(err, ErrFull) { // unless it has stopped for long enough by now
		is.True(err != nil)
	}
	for send() != nil { // until it is cut off
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a connection on which nothing is sent that keeps out others, and against closing one whose request is handled.
func TestAConnectionThatWaitsMakesRoom(t *testing.T) {
	is := is.New(t)
	var conns graceful.Conns
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	conn := conns.Track(server)
	is.True(!makeRoom(&conns, 1, time.Hour, time.Hour))
	conn.SetState(http.StateActive)
	is.True(!makeRoom(&conns, 1, 0, 0))
	conn.SetState(http.StateIdle)
	is.True(makeRoom(&conns, 1, time.Hour, time.Hour))
	is.Equal(conns.Len(), 0)
	conn = conns.Track(server)
	is.True(makeRoom(&conns, 1, 0, 0))
	is.True(conn.Evicted())
}

// Guards against clients of a port for operators that read no responses and keep out others until their time is over.
func TestAConnectionThatIsNotReadMakesRoom(t *testing.T) {
	is := is.New(t)
	var conns graceful.Conns
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	conn := conns.Track(server)
	conn.SetState(http.StateActive)
	is.True(!conns.CloseLongestWriting(0)) // nothing is written
	failure := make(chan error)
	go func() {
		_, err := conn.Write([]byte("response"))
		failure <- err
	}()
	for !conns.CloseLongestWriting(0) {
		is.True(!conns.CloseLongestWriting(time.Hour))
		time.Sleep(time.Millisecond)
	}
	is.True(<-failure != nil)
	is.True(conn.Evicted())
	is.Equal(conns.Len(), 0)
}

// Guards against clients that read none of their responses and keep out others for as long as these take.
func TestAStreamThatIsNotReadMakesRoom(t *testing.T) {
	is := is.New(t)
	var conns graceful.Conns
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	conn := conns.Track(server)
	conn.SetState(http.StateActive)
	failure := make(chan error)
	go func() {
		_, err := conn.Write([]byte("event"))
		failure <- err
	}()
	for began := time.Now(); !MakeRoom(&conns, 1); time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(began) < 30*time.Second)
	}
	is.True(<-failure != nil)
	is.Equal(conns.Len(), 0)
}

// Guards against clients that send many requests ahead and keep out others until all are answered.
func TestAFullServerServesEachConnectionOnce(t *testing.T) {
	is := is.New(t)
	full := false
	server := httptest.NewServer(ShareConnections(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}), func() bool { return full }))
	t.Cleanup(server.Close)
	for _, full = range []bool{false, true, false} {
		for _, body := range []string{"", "body"} {
			response, err := http.Post(server.URL, "text/plain", strings.NewReader(body))
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.Close, full)
		}
	}
}
