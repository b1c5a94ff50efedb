// Package graceful ends the connections of an HTTP server without cutting a request.
//
// It exists because the server's own Shutdown and SetKeepAlivesEnabled close what they take
// for idle, and a connection is idle to them until the whole head of its next request has
// been read. A request that crosses the close is then handled, and its caller's connection
// ends without an answer: the caller cannot know whether it ran.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Conns are the connections of one server. Its Listener, Handler and ConnState must be the
// server's. The zero value is ready for use. Safe for concurrent use.
type Conns struct {
	mu   sync.Mutex
	open map[*Conn]struct{}
	// readingStopped is set when connections that are opened now are not read any more.
	readingStopped bool
	// closeAfterAnswer is set when every further answer ends its connection.
	closeAfterAnswer atomic.Bool
}

// Listener gives a listener whose connections are kept track of.
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

// Track keeps track of an accepted connection. A server that is given another connection
// around it must pass the states on to SetState.
func (c *Conns) Track(conn net.Conn) *Conn {
	tracked := &Conn{Conn: conn, conns: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*Conn]struct{}{}
	}
	c.open[tracked] = struct{}{}
	if c.readingStopped {
		tracked.use.Store(useStopped)
	}
	return tracked
}

// ConnState is the server's hook of the same name.
func (c *Conns) ConnState(conn net.Conn, state http.ConnState) {
	if tracked, ok := conn.(*Conn); ok {
		tracked.SetState(state)
	}
}

// Handler wraps the server's handler.
func (c *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.closeAfterAnswer.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// DisableKeepAlives makes every further answer close its connection. It closes none itself.
func (c *Conns) DisableKeepAlives() { c.closeAfterAnswer.Store(true) }

// CloseIdle closes connections on which a request has been answered and none is under way.
func (c *Conns) CloseIdle() {
	c.mu.Lock()
	var idle []*Conn
	for conn := range c.open {
		if conn.State() == http.StateIdle && conn.stopReading() {
			idle = append(idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// StopReading lets no request be read any more where none has been, and tells whether that is
// so on every connection. Without it a request that is read as the process ends is handled
// and its caller gets no answer.
func (c *Conns) StopReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingStopped = true
	allStopped := true
	for conn := range c.open {
		allStopped = conn.stopReading() && allStopped
	}
	return allStopped
}

// drainPollInterval is the time between two looks at what is still under way.
const drainPollInterval = 20 * time.Millisecond

// Drain closes connections as they become idle and returns when no request is under way on
// any; active counts those that are handled. Error: ctx ended before.
func (c *Conns) Drain(ctx context.Context, active func() int64) error {
	c.DisableKeepAlives()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		c.CloseIdle()
		if active() == 0 && c.StopReading() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Conn is a connection of a server.
type Conn struct {
	net.Conn
	conns *Conns
	state atomic.Int32
	// use is changed in one step: whoever closes an idle connection and a request that
	// comes at that moment do not both have it.
	use atomic.Int32
}

// What a connection is used for.
const (
	useIdle    int32 = iota // no byte of the next request has been read
	useRequest              // a request is being read or answered
	useStopped              // no request is read any more
)

// State is the server's state of the connection.
func (c *Conn) State() http.ConnState { return http.ConnState(c.state.Load()) }

// InRequest tells whether a part of a request has been read and its answer is not complete.
func (c *Conn) InRequest() bool { return c.use.Load() == useRequest }

// SetState notes the server's state.
func (c *Conn) SetState(state http.ConnState) {
	c.state.Store(int32(state))
	switch state {
	case http.StateActive: // a request that was read together with the one before it
		c.use.CompareAndSwap(useIdle, useRequest)
	case http.StateIdle:
		c.use.CompareAndSwap(useRequest, useIdle)
	case http.StateClosed, http.StateHijacked:
		c.conns.mu.Lock()
		delete(c.conns.open, c)
		c.conns.mu.Unlock()
	}
}

// Read implements net.Conn. What crosses the end of the connection is not read and so runs
// nowhere.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.State() != http.StateActive && !c.beginRequest() {
		return 0, net.ErrClosed
	}
	return n, err
}

// stopReading lets no request be read any more; false while one is under way.
func (c *Conn) stopReading() bool {
	return c.use.CompareAndSwap(useIdle, useStopped) || c.use.Load() == useStopped
}

// beginRequest tells whether what was read may be taken for a request.
func (c *Conn) beginRequest() bool {
	return c.use.CompareAndSwap(useIdle, useRequest) || c.use.Load() == useRequest
}
