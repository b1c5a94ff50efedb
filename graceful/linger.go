package graceful

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minLingerPoll and maxLingerPoll are the times between two checks of what a closed connection's peer has taken.
	minLingerPoll = 2 * time.Millisecond
	maxLingerPoll = 50 * time.Millisecond
	// lingerTimeout bounds the wait for a peer. The kernel's own timeout of a connection is usually shorter.
	lingerTimeout = 2 * time.Minute
	// tcpClosed is the state TCP_CLOSE of the kernel's tcp_info.
	tcpClosed = 7
)

// bufferedConn is a connection that keeps written bytes until the kernel takes them.
type bufferedConn interface {
	// Buffered returns the number of these bytes; 0 after a failure.
	Buffered() int
}

// writeCloser is a connection of which one direction can be closed, after all that was written.
type writeCloser interface{ CloseWrite() error }

// Unsent returns how many written bytes the peer's host has not acknowledged; 0 if the connection has failed.
func (c *Conn) Unsent() int {
	n := 0
	if b, ok := c.Conn.(bufferedConn); ok {
		n = b.Buffered()
	}
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) { n += unacknowledged(int(fd)) })
	}
	return n
}

// SentAhead reports whether the peer has sent anything behind the request that is being handled, whose body has been read.
func (c *Conn) SentAhead() bool {
	c.conns.mu.Lock()
	ahead := c.readAhead
	c.conns.mu.Unlock()
	if !ahead && c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			ahead = err == nil && n > 0
		})
	}
	return ahead
}

// unacknowledged returns how many bytes of a socket's send buffer the peer's host has not acknowledged; 0 if the
// connection has failed.
func unacknowledged(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	if err != nil || n <= 0 {
		return 0
	}
	if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == tcpClosed {
		return 0 // reset: the kernel has dropped what it held
	}
	return n
}

// Lingering reports whether the server has closed the connection and its peer has not taken everything.
func (c *Conn) Lingering() bool { return c.lingers.Load() }

// Close implements net.Conn. What was written is left to the kernel only once the peer's host has taken all of it: a
// close with unread data resets the connection and drops the rest, and nothing sends the rest if the machine goes with
// the process. Until then the connection lingers in the background.
func (c *Conn) Close() (err error) {
	c.closed.Do(func() {
		if c.Unsent() == 0 {
			err = c.Conn.Close()
			return
		}
		c.conns.moveToLingering(c)
		go c.linger()
	})
	return err
}

// moveToLingering records that the server is done with a connection.
func (c *Conns) moveToLingering(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.stopWaiting()
	delete(c.open, conn)
	if c.lingering == nil {
		c.lingering = map[*Conn]struct{}{}
	}
	c.lingering[conn] = struct{}{}
	conn.lingers.Store(true)
}

// takeLingering removes and returns a connection that lingers and whose bytes are all in the kernel, which goes on sending them
// unless data of the peer's is unread; nil if there is none.
func (c *Conns) takeLingering() *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.lingering {
		if b, ok := conn.Conn.(bufferedConn); !ok || b.Buffered() == 0 {
			delete(c.lingering, conn)
			return conn
		}
	}
	return nil
}

// linger ends the stream to the peer and closes the connection once the peer's host has taken everything.
func (c *Conn) linger() {
	if w, ok := c.Conn.(writeCloser); ok {
		_ = w.CloseWrite()
	}
	for start, interval := time.Now(), minLingerPoll; c.Unsent() > 0 && time.Since(start) < lingerTimeout; interval = min(2*interval, maxLingerPoll) {
		time.Sleep(interval)
	}
	_ = c.Conn.Close()
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	delete(c.conns.lingering, c)
}
