package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/graceful"
	"aspenyard.example/intake"
)

// Timeouts of callers' connections until a configuration is known, which replaces them, and limits
// of the HTTP server that apply besides those of the configuration.
const (
	initialHeaderTimeout = 5 * time.Second
	initialIdleTimeout   = 30 * time.Second
	// maxHeaderBytes is the most that the server reads of a request's head.
	maxHeaderBytes = 256 << 10
	// tcpUserTimeout is how long sent data may stay unacknowledged; a response to a caller may for longer. With
	// tcpKeepAlive it also bounds how long a silent TCP peer goes unnoticed.
	tcpUserTimeout = 3 * time.Second
)

var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// callerServer is the HTTP server on the callers' port.
type callerServer struct {
	gateway *Gateway
	server  *http.Server
	conns   graceful.Conns
	// refused is how many open connections are beyond the limit.
	refused atomic.Int64
	// listener is set by serve.
	listener atomic.Pointer[net.Listener]
}

// admitted returns how many connections callers have, without those that are open only to be refused.
func (c *callerServer) admitted() int64 { return int64(c.conns.Len()) - c.refused.Load() }

func newCallerServer(g *Gateway) *callerServer {
	c := &callerServer{gateway: g}
	c.server = &http.Server{
		Handler: c.conns.Handler(http.HandlerFunc(g.serveCaller)), MaxHeaderBytes: maxHeaderBytes,
		// The timeouts must be non-zero so that the server sets deadlines; callerConn replaces them
		// by those of the current configuration.
		ReadHeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout,
		ConnState: onConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ErrorLog: discardLog,
	}
	return c
}

// connKey is the context key of a request's callerConn.
type connKey struct{}

// serve accepts connections until close or stopAccepting is called.
func (c *callerServer) serve(listener net.Listener) error {
	c.listener.Store(&listener)
	err := c.server.Serve(callerListener{Listener: listener, server: c})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// stopAccepting closes the listener.
func (c *callerServer) stopAccepting() {
	if listener := c.listener.Load(); listener != nil {
		_ = (*listener).Close()
	}
}

// close closes the listener and all connections.
func (c *callerServer) close() { _ = c.server.Close() }

// onConnState passes the server's state changes on to the connection.
func onConnState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		caller.head.Reset()
		caller.headHeld.Release()
		caller.handled.Store(false)
	case http.StateClosed, http.StateHijacked:
		caller.headHeld.Release()
		caller.setAdmitted()
	}
	caller.SetState(state)
}

// callerListener wraps accepted connections in callerConn.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	var room, bear bool
	conn, err := l.Listener.Accept()
	for ; err == nil; conn, err = l.Listener.Accept() {
		if !l.server.shedConnection() {
			if room, bear = l.server.makeRoom(); bear {
				break
			}
		}
		_ = conn.Close()
	}
	if err != nil {
		return nil, err
	}
	setTCPTimeouts(conn)
	g := l.server.gateway
	backlog := newBacklogConn(g, conn)
	caller := &callerConn{Conn: l.server.conns.Track(backlog), backlog: backlog, gateway: g, headHeld: g.bytes.Open(admission.HeadBytes, 0)}
	caller.admitted = g.shedding.OthersHaveRoom(time.Now())
	if !room {
		caller.overLimit = true
		l.server.refused.Add(1)
	}
	return caller, nil
}

// full reports whether callers have as many connections as they may.
func (c *callerServer) full() bool {
	return c.admitted() >= c.gateway.pressure.callerLimit.Load()
}

// crowded reports whether callers have more than half of the connections that they may have.
func (c *callerServer) crowded() bool {
	return 2*c.admitted() > c.gateway.pressure.callerLimit.Load()
}

// makeRoom closes a connection if callers have as many as they may: one that is idle, or waits for a request, or whose caller
// sends or reads too slowly. Without room, bear says whether the entry can take another one to refuse its request.
func (c *callerServer) makeRoom() (room, bear bool) {
	g := c.gateway
	limit := g.pressure.callerLimit.Load()
	if c.admitted() < limit {
		return true, true
	}
	closed := ""
	switch {
	case c.conns.CloseLongestIdle():
		closed = "idle"
	case c.conns.CloseLongestWaiting(intake.MinHeadWait):
		closed = "waiting"
	case g.slowCallers.cutForConnection(time.Now(), limit):
		closed = "slow"
	default:
		return false, c.refused.Load() < overLimitConnections(limit)
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_callers_closed_for_others_total{state=%q}`, closed)).Inc()
	if closed == "idle" {
		g.metrics.GetOrCreateCounter("aspenyard_gateway_idle_callers_closed_total").Inc()
	}
	return true, true
}

// overLimitConnections returns how many connections beyond a limit are accepted, so that their requests are refused with when to
// come back. Further ones are closed unread.
func overLimitConnections(limit int64) int64 { return limit/8 + 16 }

// callerConn replaces the server's fixed timeouts by those of the current configuration: the
// server reads its fields without a lock, so they cannot change while it runs. It also sends a
// response when a request's head does not arrive in time, which the server itself does not do.
type callerConn struct {
	*graceful.Conn
	backlog *backlogConn
	gateway *Gateway
	// overLimit is set if callers had too many connections when this one was accepted and none was idle. Its
	// first request is refused. Only the server's goroutine for this connection uses it.
	overLimit bool
	// admitted is set if connections like this one are closed unread where the entry lacks a resource, so that the
	// first request on it is not refused for that. Only the server's goroutine for this connection uses it.
	admitted bool
	// headTimedOut is set when a part of a request's head was read and the rest did not arrive
	// in time.
	headTimedOut atomic.Bool
	// head follows the current request's head, headHeld is what is held for it, and headRefusal the response to a head that is
	// read no further; "" for none. Only the server's goroutine for this connection uses them.
	head        intake.Head
	headHeld    admission.Holding
	headRefusal string
	// handled is set from when a request is passed to the handler until its response has ended.
	handled atomic.Bool
}

// setAdmitted makes the connection one that is not refused, or ends its count as one that is.
func (c *callerConn) setAdmitted() {
	if c.overLimit {
		c.overLimit = false
		c.gateway.callers.refused.Add(-1)
	}
}

// hasContentLength reports whether the current request's head, as received, has a Content-Length.
func (c *callerConn) hasContentLength() bool { return c.head.HasContentLength() }

// followHead adds what was read of a head, and returns an error if the rest is not to be read.
func (c *callerConn) followHead(p []byte) error {
	if c.head.Ended() {
		return nil
	}
	c.head.Scan(p)
	limit := maxHeaderBytes
	if config := c.gateway.snapshot.Load().Config; config != nil && config.Limits.HeaderBytes > 0 {
		limit = config.Limits.HeaderBytes
	}
	switch {
	case c.head.Bytes() > limit && !c.head.Ended():
		c.headRefusal = intake.HeadTooLarge
	case !c.holdHead(c.head.Memory()):
		c.headRefusal = fmt.Sprintf(headStopResponse, entryFullRetryAfter.Seconds())
	default:
		return nil
	}
	return intake.ErrHeadRefused
}

// holdHead accounts for the memory of the head; it returns false if there is no room.
func (c *callerConn) holdHead(memory int64) bool {
	n := memory - c.headHeld.Bytes()
	if n <= 0 || c.headHeld.Grow(n) {
		return true
	}
	c.gateway.slowCallers.cutOne(time.Now(), admission.HeadBytes, c.gateway.bytes.Bound())
	return false
}

// SetReadDeadline implements net.Conn. The server sets deadlines in two cases: while it waits for
// the next request, in the state idle, and while it reads a request's head.
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
	c.gateway.traffic.addReceived(n)
	if c.State() == http.StateActive {
		return n, err
	}
	switch {
	case n > 0:
		if refused := c.followHead(p[:n]); refused != nil {
			return 0, refused
		}
	case errors.Is(err, os.ErrDeadlineExceeded) && c.InRequest():
		c.headTimedOut.Store(true)
	}
	return n, err
}

// Write implements net.Conn. What is written without a handler is the server's own response to what it could not parse as
// a request. It takes a request line that has arrived in part for a malformed one; Close responds to that.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.handled.Load() {
		return c.Conn.Write(p)
	}
	if c.headTimedOut.Load() {
		return len(p), nil
	}
	c.gateway.logUnparsed(p, c.head.Bytes())
	return c.Conn.Write(p)
}

// logUnparsed logs and counts a response of the HTTP server itself to a head of which received bytes were read.
func (g *Gateway) logUnparsed(response []byte, received int) {
	status, _, _ := bytes.Cut(bytes.TrimPrefix(response, []byte("HTTP/1.1 ")), []byte(" "))
	g.log.Info("request_not_parsed", zap.ByteString("status", status), zap.Int("received_bytes", received), zap.Bool("draining", g.draining()))
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_requests_not_parsed_total{status=%q}`, status)).Inc()
}

// cutOff logs the requests whose responses callers do not have when the process ends, and resets their connections where
// a normal close would make a part of a response look complete.
func (c *callerServer) cutOff() {
	c.conns.Each(func(conn *graceful.Conn) {
		if backlog, ok := conn.Conn.(*backlogConn); ok {
			backlog.cutOff(conn.Unsent(), conn.InRequest() && !conn.Lingering())
		}
	})
}

// expireHeads ends the wait for the rest of heads that have been received in part.
func (c *callerServer) expireHeads() {
	c.conns.Each(func(conn *graceful.Conn) {
		if conn.InRequest() && conn.State() != http.StateActive {
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		}
	})
}

// headTimeoutResponse is sent when a request's head was not received in time, and
// headStopResponse when the process ends or has no room for it.
const (
	headTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headStopResponse    = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n"
)

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if refusal := c.headRefusal; refusal != "" {
		c.headRefusal = ""
		c.gateway.log.Info("head_refused", zap.Int("received_bytes", c.head.Bytes()), zap.Int64("held_bytes", c.gateway.bytes.Held()))
		c.gateway.metrics.GetOrCreateCounter("aspenyard_gateway_heads_refused_total").Inc()
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write([]byte(refusal))
	}
	if c.headTimedOut.CompareAndSwap(true, false) {
		response := headTimeoutResponse
		if remaining, draining := c.gateway.shutdown.Remaining(); draining && remaining <= 0 {
			response = fmt.Sprintf(headStopResponse, drainingRetryAfter.Seconds())
		}
		c.gateway.log.Info("head_not_received", zap.Int("received_bytes", c.head.Bytes()), zap.Bool("draining", c.gateway.draining()))
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write([]byte(response))
	}
	return c.Conn.Close()
}
