package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bounds of callers' connections until a configuration is known, and of the HTTP
// server itself; the configuration's own limits are applied below them.
const (
	firstHeaderTimeout = 5 * time.Second
	firstIdleTimeout   = 30 * time.Second
	// maxHeaderBytes is what the server reads of a request's head at most.
	maxHeaderBytes = 256 << 10
	// tcpUserTimeout is how long sent data may stay unacknowledged, and with
	// keepAlive how long a silent peer is noticed after.
	tcpUserTimeout = 3 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// callers is the server on the callers' port.
type callers struct {
	gateway *Gateway
	server  *http.Server
	mu      sync.Mutex
	open    map[*callerConn]struct{}
	// ending is set when connections that are opened now are not read any more.
	ending bool
	// lastAnswers is set when every further answer ends its connection.
	lastAnswers atomic.Bool
}

func newCallers(g *Gateway, handler http.Handler) *callers {
	c := &callers{gateway: g, open: map[*callerConn]struct{}{}}
	c.server = &http.Server{
		Handler: c.withLastAnswers(handler), MaxHeaderBytes: maxHeaderBytes,
		// Non-zero, so that the server sets deadlines; callerConn replaces them by
		// those of the configuration in force.
		ReadHeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout,
		ConnState: c.connState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ErrorLog: discardLog,
	}
	return c
}

type connKey struct{}

// serve takes connections until close.
func (c *callers) serve(listener net.Listener) error {
	err := c.server.Serve(callerListener{Listener: listener, callers: c})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// endKeepAlive makes every further answer close its connection. The server's own
// SetKeepAlivesEnabled also closes at once what it takes for idle: a request whose head is
// being read at that moment is then passed on, and its caller's connection ends without an
// answer.
func (c *callers) endKeepAlive() { c.lastAnswers.Store(true) }

func (c *callers) withLastAnswers(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.lastAnswers.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// close closes all connections.
func (c *callers) close() { _ = c.server.Close() }

// closeIdle closes connections on which no request is under way.
func (c *callers) closeIdle() {
	c.mu.Lock()
	var idle []*callerConn
	for conn := range c.open {
		if conn.state.Load() == int32(http.StateIdle) && conn.end() {
			idle = append(idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// endAll lets no request be read any more where none has been, and tells whether that is
// so on every connection. Without it a request that is read as the process ends is passed
// on and its caller gets no answer.
func (c *callers) endAll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	all := true
	for conn := range c.open {
		all = conn.end() && all
	}
	return all
}

func (c *callers) connState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	caller.state.Store(int32(state))
	switch state {
	case http.StateActive:
		caller.partial.Store(false)
	case http.StateIdle:
		caller.use.CompareAndSwap(connTaken, connFree)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		c.mu.Lock()
		delete(c.open, caller)
		c.mu.Unlock()
	}
}

// callerListener wraps accepted connections.
type callerListener struct {
	net.Listener
	callers *callers
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	setTCP(conn)
	caller := &callerConn{Conn: conn, callers: l.callers}
	l.callers.mu.Lock()
	defer l.callers.mu.Unlock()
	l.callers.open[caller] = struct{}{}
	if l.callers.ending {
		caller.use.Store(connEnded)
	}
	return caller, nil
}

// callerConn replaces the server's fixed timeouts by those of the configuration in
// force: the server reads its fields without a lock, so they cannot change while it
// runs. It also answers a caller that is too slow with its request's head, which the
// server would leave without an answer.
type callerConn struct {
	net.Conn
	callers *callers
	state   atomic.Int32
	// use is connFree until a byte of the next request is read, connTaken until that has
	// ended, and connEnded when none is read any more. It is changed in one step: whoever
	// closes an idle connection and a request that comes at that moment do not both have it.
	use atomic.Int32
	// partial is set while a part of a request's head has been read.
	partial atomic.Bool
	late    atomic.Bool
	// head is what was read of the present request's head, with whatever followed it;
	// only the server's own goroutine for this connection reads and writes it.
	head []byte
}

// What a connection is used for.
const (
	connFree int32 = iota
	connTaken
	connEnded
)

// end lets no request be read any more; false while one is under way.
func (c *callerConn) end() bool {
	return c.use.CompareAndSwap(connFree, connEnded) || c.use.Load() == connEnded
}

// take tells whether what was read may be taken for a request.
func (c *callerConn) take() bool {
	return c.use.CompareAndSwap(connFree, connTaken) || c.use.Load() == connTaken
}

// sawLength tells whether the present request's head, as it was sent, gives a length.
func (c *callerConn) sawLength() bool {
	head, _, _ := bytes.Cut(c.head, []byte("\r\n\r\n"))
	return bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length:"))
}

// SetReadDeadline implements net.Conn. The server sets a deadline for two things:
// the wait for the next request, in the state idle, and the reading of a head.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || time.Until(t) <= 0 {
		return c.Conn.SetReadDeadline(t)
	}
	config := c.callers.gateway.snapshot.Load().Config
	state := http.ConnState(c.state.Load())
	if config == nil || state == http.StateActive {
		return c.Conn.SetReadDeadline(t)
	}
	limit := config.Limits.HeaderTimeout
	if state == http.StateIdle && !c.partial.Load() {
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
	if http.ConnState(c.state.Load()) == http.StateActive {
		return n, err
	}
	switch {
	case n > 0 && !c.take():
		return 0, net.ErrClosed // it crossed the end of the connection, and runs nowhere
	case n > 0:
		if !c.partial.Swap(true) {
			c.head = c.head[:0]
		}
		if len(c.head) < maxHeaderBytes {
			c.head = append(c.head, p[:n]...)
		}
	case errors.Is(err, os.ErrDeadlineExceeded) && c.partial.Load():
		c.late.Store(true)
	}
	return n, err
}

// tooSlow answers a request whose head did not come in time.
const tooSlow = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.late.CompareAndSwap(true, false) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write([]byte(tooSlow))
	}
	return c.Conn.Close()
}
