package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/graceful"
)

// Bounds of callers' connections until a configuration is known, and of the HTTP
// server itself; the configuration's own limits are applied below them.
const (
	initialHeaderTimeout = 5 * time.Second
	initialIdleTimeout   = 30 * time.Second
	// maxHeaderBytes is what the server reads of a request's head at most.
	maxHeaderBytes = 256 << 10
	// tcpUserTimeout is how long sent data may stay unacknowledged, and with
	// keepAlive how long a silent peer is noticed after.
	tcpUserTimeout = 3 * time.Second
)

var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// callerServer is the server on the callerServer' port.
type callerServer struct {
	gateway *Gateway
	server  *http.Server
	conns   graceful.Conns
}

func newCallerServer(g *Gateway) *callerServer {
	c := &callerServer{gateway: g}
	c.server = &http.Server{
		Handler: c.conns.Handler(http.HandlerFunc(g.serveCaller)), MaxHeaderBytes: maxHeaderBytes,
		// Non-zero, so that the server sets deadlines; callerConn replaces them by
		// those of the configuration in force.
		ReadHeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout,
		ConnState: onConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ErrorLog: discardLog,
	}
	return c
}

type connKey struct{}

// serve takes connections until close.
func (c *callerServer) serve(listener net.Listener) error {
	err := c.server.Serve(callerListener{Listener: listener, server: c})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// close closes all connections.
func (c *callerServer) close() { _ = c.server.Close() }

func onConnState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		caller.head = caller.head[:0]
	}
	caller.SetState(state)
}

// callerListener wraps accepted connections.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	setTCPTimeouts(conn)
	return &callerConn{Conn: l.server.conns.Track(conn), gateway: l.server.gateway}, nil
}

// callerConn replaces the server's fixed timeouts by those of the configuration in
// force: the server reads its fields without a lock, so they cannot change while it
// runs. It also answers a caller that is too slow with its request's head, which the
// server would leave without an answer.
type callerConn struct {
	*graceful.Conn
	gateway      *Gateway
	headTimedOut atomic.Bool
	// head is what was read of the present request's head, with whatever followed it;
	// only the server's own goroutine for this connection reads and writes it.
	head []byte
}

// hasContentLength tells whether the present request's head, as it was sent, gives a length.
func (c *callerConn) hasContentLength() bool {
	head, _, _ := bytes.Cut(c.head, []byte("\r\n\r\n"))
	return bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length:"))
}

// SetReadDeadline implements net.Conn. The server sets a deadline for two things:
// the wait for the next request, in the state idle, and the reading of a head.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || time.Until(t) <= 0 {
		return c.Conn.SetReadDeadline(t)
	}
	config := c.gateway.snapshot.Load().Config
	state := c.State()
	if config == nil || state == http.StateActive {
		return c.Conn.SetReadDeadline(t)
	}
	limit := config.Limits.HeaderTimeout
	if state == http.StateIdle && !c.InRequest() {
		limit = config.Limits.IdleTimeout
	}
	if limit > 0 {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.State() == http.StateActive {
		return n, err
	}
	switch {
	case n > 0 && len(c.head) < maxHeaderBytes:
		c.head = append(c.head, p[:n]...)
	case errors.Is(err, os.ErrDeadlineExceeded) && c.InRequest():
		c.headTimedOut.Store(true)
	}
	return n, err
}

// headTimeoutResponse answers a request whose head did not come in time.
const headTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.headTimedOut.CompareAndSwap(true, false) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write([]byte(headTimeoutResponse))
	}
	return c.Conn.Close()
}
