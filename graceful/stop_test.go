package graceful

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = time.Millisecond
)

func waitFor(t *testing.T, what string, met func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitTimeout); !met(); time.Sleep(pollInterval) {
		if time.Now().After(limit) {
			t.Fatalf("condition not met: %s", what)
		}
	}
}

// startServer serves a handler on a port of the loopback interface.
func startServer(t *testing.T, handler http.HandlerFunc) (*Conns, string) {
	t.Helper()
	conns := &Conns{}
	server := &http.Server{Handler: conns.Handler(handler), ConnState: conns.ConnState, IdleTimeout: time.Minute}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(conns.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return conns, listener.Addr().String()
}

// dial connects to a server, with a small receive buffer.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return conn
}

func inRequest(conns *Conns) (n int) {
	conns.Each(func(c *Conn) {
		if c.InRequest() {
			n++
		}
	})
	return n
}

// Guards against requests that are read and dropped while another connection keeps a stopping process alive.
func TestStopReadingChangesNothingWhileARequestIsInFlight(t *testing.T) {
	is := is.New(t)
	conns, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	slow, kept := dial(t, addr), dial(t, addr)
	_, _ = io.WriteString(slow, head)
	waitFor(t, "the half head is read, the other connection accepted", func() bool { return inRequest(conns) == 1 && conns.Len() == 2 })
	is.True(!conns.StopReading())
	for _, conn := range []net.Conn{kept, dial(t, addr)} {
		_, _ = io.WriteString(conn, head+rest)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	_, _ = io.WriteString(slow, rest)
	waitFor(t, "no request is in flight", conns.StopReading)
}

// Guards against an answer of the server's own to a request that arrives as the process ends, and against taking it from the kernel.
func TestNothingIsReadOrAnsweredAfterStopReading(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	peer := dial(t, listener.Addr().String())
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	conns := &Conns{}
	conn := conns.Track(accepted)
	is.True(conns.StopReading())
	_, err = io.WriteString(peer, head+rest)
	is.NoErr(err)
	n, err := conn.Read(make([]byte, 4096))
	is.Equal(n, 0)
	var readError *net.OpError
	is.True(errors.As(err, &readError))
	is.Equal(readError.Op, "read") // to other errors the server writes a response
	data := make([]byte, 4096)
	n, err = io.ReadFull(accepted, data[:len(head+rest)]) // it is still there
	is.NoErr(err)
	is.Equal(string(data[:n]), head+rest)
}

// Guards against connections that stay open for requests which a process that is about to end would not answer.
func TestAllConnectionsWithoutARequestAreClosed(t *testing.T) {
	is := is.New(t)
	conns, addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	unused, kept, slow := dial(t, addr), dial(t, addr), dial(t, addr)
	_, _ = io.WriteString(kept, head+rest)
	reader := bufio.NewReader(kept)
	_, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	waitFor(t, "no request is in flight", func() bool { return conns.Len() == 3 && inRequest(conns) == 0 })
	_, _ = io.WriteString(slow, head)
	waitFor(t, "only the half head is in flight", func() bool { return inRequest(conns) == 1 })
	conns.CloseUnused()
	for _, conn := range []io.Reader{unused, reader} {
		_, err := conn.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	}
	_, _ = io.WriteString(slow, rest)
	_, err = http.ReadResponse(bufio.NewReader(slow), nil)
	is.NoErr(err)
}

// Guards against a stop that closes a connection whose next request has begun before the last response has ended.
func TestARequestThatBeginsDuringAResponseKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	hold, reached := make(chan struct{}), make(chan struct{}, 2)
	conns, addr := startServer(t, func(http.ResponseWriter, *http.Request) {
		reached <- struct{}{}
		<-hold
	})
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, head+rest)
	<-reached
	_, _ = io.WriteString(conn, head[:1])
	waitFor(t, "the server has read ahead", func() (ahead bool) {
		conns.Each(func(c *Conn) { ahead = c.readAhead })
		return ahead
	})
	close(hold)
	reader := bufio.NewReader(conn)
	_, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	waitFor(t, "the first request has ended", func() (idle bool) {
		conns.Each(func(c *Conn) { idle = c.State() == http.StateIdle })
		return idle
	})
	is.True(!conns.StopReading())
	_, _ = io.WriteString(conn, head[1:]+rest)
	_, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
}
