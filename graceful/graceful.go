// Package graceful shuts down the connections of an HTTP server without cutting off a request.
//
// The Shutdown and SetKeepAlivesEnabled methods of http.Server close the connections that they
// take for idle, and a connection is idle to them until the whole header of its next request has
// been read. A request that arrives while its connection is being closed is then handled, but the
// connection ends without a response: the caller cannot know whether the request ran.
package graceful

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conns tracks the connections of one server, which must use its Listener, Handler and ConnState.
// The zero value is ready for use. Safe for concurrent use.
type Conns struct {
	// mu also guards what the connections are in use for, so that all of them can be decided on at once.
	mu   sync.Mutex
	open map[*Conn]struct{}
	// lingering are the connections that the server has closed and whose peers have not taken everything.
	lingering map[*Conn]struct{}
	// idle lists the idle connections, the longest idle first, and fresh those of whose first request the head has not been
	// read, the oldest first.
	idle, fresh list.List
	// readingStopped is set when connections that are opened from now on are not read.
	readingStopped bool
	// closeAfterResponse is set when every further response closes its connection.
	closeAfterResponse atomic.Bool
}

// Listener returns a listener that accepts from l and tracks the connections.
func (c *Conns) Listener(l net.Listener) net.Listener { return listener{l, c} }

type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.Track(conn), nil
}

// Track starts tracking an accepted connection. If the server is given another connection that
// wraps the result, the server's states must be passed to SetState.
func (c *Conns) Track(conn net.Conn) *Conn {
	tracked := &Conn{Conn: conn, conns: c, waitingSince: time.Now()}
	if s, ok := conn.(syscall.Conn); ok {
		tracked.raw, _ = s.SyscallConn()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*Conn]struct{}{}
	}
	c.open[tracked] = struct{}{}
	tracked.freshElement = c.fresh.PushBack(tracked)
	if c.readingStopped {
		tracked.use.Store(useStopped)
	}
	return tracked
}

// ConnState records a connection's state; it must be set as the server's http.Server.ConnState.
func (c *Conns) ConnState(conn net.Conn, state http.ConnState) {
	if tracked, ok := conn.(*Conn); ok {
		tracked.SetState(state)
	}
}

// Handler wraps the server's handler, so that its responses close their connections after
// DisableKeepAlives.
func (c *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.closeAfterResponse.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// DisableKeepAlives makes every further response close its connection. It closes none itself.
func (c *Conns) DisableKeepAlives() { c.closeAfterResponse.Store(true) }

// CloseIdle closes the connections on which a request has been answered and none is in flight.
func (c *Conns) CloseIdle() {
	c.closeUnused(func(conn *Conn) bool { return conn.State() == http.StateIdle })
}

// CloseUnused closes all connections on which no request is in flight, also those on which there was none yet.
func (c *Conns) CloseUnused() { c.closeUnused(func(*Conn) bool { return true }) }

// closeUnused closes the connections that match and on which no request is in flight.
func (c *Conns) closeUnused(match func(conn *Conn) bool) {
	c.mu.Lock()
	var unused []*Conn
	for conn := range c.open {
		if match(conn) && conn.stopReading() {
			unused = append(unused, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range unused {
		_ = conn.Close()
	}
}

// Len returns the number of open connections.
func (c *Conns) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) + len(c.lingering)
}

// Each calls f for each open connection. f must not change a connection's state.
func (c *Conns) Each(f func(conn *Conn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		f(conn)
	}
	for conn := range c.lingering {
		f(conn)
	}
}

// CloseLongestIdle makes room for another connection: it closes one that lingers, or else the one that has been idle for the
// longest time after a response, whatever its peer has taken. It returns false if there is none. A connection on which a
// request is being read is not idle.
func (c *Conns) CloseLongestIdle() bool {
	conn := c.takeLingering()
	if conn == nil {
		conn = c.takeLongestIdle()
	}
	if conn == nil {
		return false
	}
	conn.closeForOthers()
	return true
}

// CloseLongestWaiting makes room for another connection: it closes the one that the server has waited for the longest time for the
// head of a request, if that is at least minWait. It returns false if there is none.
func (c *Conns) CloseLongestWaiting(minWait time.Duration) bool {
	conn := c.takeLongestWaiting(minWait)
	if conn == nil {
		return false
	}
	conn.closeForOthers()
	return true
}

// takeLongestWaiting removes the connection that CloseLongestWaiting closes from the open ones.
func (c *Conns) takeLongestWaiting(minWait time.Duration) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest *Conn
	for _, l := range []*list.List{&c.fresh, &c.idle} {
		if e := l.Front(); e != nil {
			if conn := e.Value.(*Conn); longest == nil || conn.waitingSince.Before(longest.waitingSince) {
				longest = conn
			}
		}
	}
	if longest == nil || time.Since(longest.waitingSince) < minWait {
		return nil
	}
	longest.stopWaiting()
	longest.evicted.Store(true)
	delete(c.open, longest)
	return longest
}

// CloseLongestReceiving makes room for another connection: it closes the one on which the server has waited for the longest time
// for the rest of a request's body, if that is at least minWait. It returns false if there is none.
func (c *Conns) CloseLongestReceiving(minWait time.Duration) bool {
	c.mu.Lock()
	var longest *Conn
	for conn := range c.open {
		if conn.receiving.Load() && conn.State() == http.StateActive && (longest == nil || conn.waitingSince.Before(longest.waitingSince)) {
			longest = conn
		}
	}
	if longest == nil || time.Since(longest.waitingSince) < minWait {
		c.mu.Unlock()
		return false
	}
	longest.evicted.Store(true)
	delete(c.open, longest)
	c.mu.Unlock()
	longest.closeForOthers()
	return true
}

// CloseLongestWriting makes room for another connection: it closes the one whose peer has taken nothing of what the server writes
// for the longest time, if that is at least minWait. It returns false if there is none.
func (c *Conns) CloseLongestWriting(minWait time.Duration) bool {
	c.mu.Lock()
	var longest *Conn
	oldest := time.Now().Add(-minWait).UnixNano()
	for conn := range c.open {
		if since := conn.writingSince.Load(); since != 0 && since <= oldest {
			longest, oldest = conn, since
		}
	}
	if longest == nil {
		c.mu.Unlock()
		return false
	}
	longest.evicted.Store(true)
	delete(c.open, longest)
	c.mu.Unlock()
	longest.closeForOthers()
	return true
}

// closeForOthers closes the connection at once.
func (c *Conn) closeForOthers() {
	c.closed.Do(func() {}) // keeps the server's own Close from lingering
	_ = c.Conn.Close()
}

// takeLongestIdle stops the reading of the connection that CloseLongestIdle closes. It no longer counts as open.
func (c *Conns) takeLongestIdle() *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil; e = e.Next() {
		if conn := e.Value.(*Conn); conn.stopReading() {
			conn.stopWaiting()
			delete(c.open, conn)
			return conn
		}
	}
	return nil
}

// StopReading prevents any further request from being read and returns true, unless a request is in flight on some
// connection: then it changes nothing, and requests are served as before. Without it, a request that is read as the
// process ends is handled and its caller gets no response.
func (c *Conns) StopReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopReading()
}

// stopReading is StopReading with mu held.
func (c *Conns) stopReading() bool {
	for conn := range c.open {
		if conn.InRequest() {
			return false
		}
	}
	c.readingStopped = true
	for conn := range c.open {
		conn.use.Store(useStopped)
	}
	return true
}

// Drained reports whether the process can end without a loss: no request is in flight and the peers' hosts have taken
// all that was written, on connections that are closed and on those that are idle. No request is read from then on.
func (c *Conns) Drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lingering) > 0 {
		return false
	}
	for conn := range c.open {
		if conn.InRequest() {
			return false
		}
	}
	for conn := range c.open { // in a second pass, as it takes system calls
		if conn.Unsent() > 0 {
			return false
		}
	}
	return c.stopReading()
}

// drainPollInterval is the time between two checks for requests in flight.
const drainPollInterval = 20 * time.Millisecond

// Drain closes connections as they become idle and returns nil when no request is in flight on
// any, as Drained says; active returns the number of requests that are being handled. If ctx ends
// first, Drain returns the error of ctx.
func (c *Conns) Drain(ctx context.Context, active func() int64) error {
	c.DisableKeepAlives()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		c.CloseIdle()
		if active() == 0 && c.Drained() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Conn is a tracked connection of a server.
type Conn struct {
	net.Conn
	conns *Conns
	raw   syscall.RawConn // nil if the connection has no descriptor
	state atomic.Int32
	// use is written with Conns.mu held.
	use atomic.Int32
	// readAhead is set when the server has read a byte of the next request while it handles one. Conns.mu guards it.
	readAhead bool
	// idleDeadline is set while the server waits for the next request with a deadline.
	idleDeadline atomic.Bool
	closed       sync.Once
	lingers      atomic.Bool
	evicted      atomic.Bool
	// idleElement is the connection's element of Conns.idle, nil while it is not idle, and freshElement that of Conns.fresh.
	// waitingSince is when it was opened, became idle or was last found to have sent a request's head. Conns.mu guards them.
	idleElement, freshElement *list.Element
	waitingSince              time.Time
	// receiving is set while the server reads from the connection, other than to notice that the peer disconnects.
	receiving atomic.Bool
	// writingSince is when the write under way began, in nanoseconds since 1970; 0 for none.
	writingSince atomic.Int64
}

// Values of Conn.use.
const (
	useIdle    int32 = iota // no byte of the next request has been read
	useRequest              // a request is being read or answered
	useStopped              // no further request is read
)

// State returns the server's last state of the connection.
func (c *Conn) State() http.ConnState { return http.ConnState(c.state.Load()) }

// InRequest reports whether a part of a request has been read and its response is not complete.
func (c *Conn) InRequest() bool { return c.use.Load() == useRequest }

// Evicted reports whether the connection was closed to make room. A request on it that has been read meanwhile must not run, as
// its response would reach nobody.
func (c *Conn) Evicted() bool { return c.evicted.Load() }

// SetState records the server's state of the connection.
func (c *Conn) SetState(state http.ConnState) {
	c.state.Store(int32(state))
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	switch state {
	case http.StateActive: // covers a pipelined request that was read together with the one before it
		c.use.CompareAndSwap(useIdle, useRequest)
		c.stopWaiting()
		c.waitingSince = time.Now()
	case http.StateIdle:
		if c.readAhead {
			c.readAhead = false
			return
		}
		c.use.CompareAndSwap(useRequest, useIdle)
		if _, open := c.conns.open[c]; open && c.idleElement == nil {
			c.idleElement, c.waitingSince = c.conns.idle.PushBack(c), time.Now()
		}
	case http.StateClosed, http.StateHijacked:
		c.stopWaiting()
		delete(c.conns.open, c)
	}
}

// stopWaiting removes the connection from the idle and the fresh ones. The caller holds Conns.mu.
func (c *Conn) stopWaiting() {
	if c.idleElement != nil {
		c.conns.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	if c.freshElement != nil {
		c.conns.fresh.Remove(c.freshElement)
		c.freshElement = nil
	}
}

// errStopped is returned by reads once no further request is read. The server writes no response after it.
var errStopped = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn. Once reading has stopped, data that arrives is not read, so that the request in it does not
// run; without a descriptor it is read and discarded.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) > 1 {
		c.receiving.Store(true)
		defer c.receiving.Store(false)
	}
	if c.InRequest() {
		n, err := c.Conn.Read(p)
		if n > 0 && len(p) == 1 && c.State() == http.StateActive {
			c.noteReadAhead()
		}
		return n, err
	}
	if c.raw != nil {
		return c.readFirst(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.beginRequest() {
		return 0, errStopped
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. A server with an idle timeout lifts the deadline of an idle connection when it has
// found the beginning of a request there, which it may have read together with the request before.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.State() == http.StateIdle && c.idleDeadline.Swap(!t.IsZero()) && t.IsZero() {
		c.beginRequest()
	}
	return c.Conn.SetReadDeadline(t)
}

// noteReadAhead records that a byte of the next request has been read: the server reads one at a time, to notice that
// the peer disconnects, only while it handles a request.
func (c *Conn) noteReadAhead() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.readAhead = true
}

// readFirst reads the first bytes of a request, unless reading has stopped.
func (c *Conn) readFirst(p []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readUnlessStopped(int(fd), p)
		return err != unix.EAGAIN
	})
	switch {
	case err == errStopped:
		return 0, err
	case waitErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: waitErr}
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readUnlessStopped reads what has arrived. The lock is held meanwhile, so that StopReading finds either the connection
// in use or its data unread.
func (c *Conn) readUnlessStopped(fd int, p []byte) (n int, err error) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.use.Load() == useStopped {
		return 0, errStopped
	}
	for n, err = unix.Read(fd, p); err == unix.EINTR; {
		n, err = unix.Read(fd, p)
	}
	if n > 0 {
		c.use.Store(useRequest)
	}
	return max(n, 0), err
}

// stopReading prevents further requests from being read; it returns false while one is in flight. The caller holds
// Conns.mu.
func (c *Conn) stopReading() bool {
	return c.use.CompareAndSwap(useIdle, useStopped) || c.use.Load() == useStopped
}

// beginRequest marks the connection as in use by a request whose data was read; it returns false
// if reading has stopped.
func (c *Conn) beginRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.use.CompareAndSwap(useIdle, useRequest) || c.InRequest()
}
