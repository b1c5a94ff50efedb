package entry

import (
	"net"
	"sync"
	"time"
)

// limitListener accepts at most a number of connections at a time. Unlike those of netutil.LimitListener, its connections
// keep the methods of TCP connections, by which a shutdown sees what callers' hosts have not taken.
type limitListener struct {
	*net.TCPListener
	// makeRoom is called repeatedly while a connection waits for another one to end; nil for nothing.
	makeRoom func()
	slots    chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func newLimitListener(l *net.TCPListener, limit int64) *limitListener {
	return &limitListener{TCPListener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener. It waits until fewer connections than the limit are open.
func (l *limitListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	if !l.takeSlot() {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return &limitedConn{TCPConn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// roomPollInterval is the time between two calls of makeRoom.
const roomPollInterval = 20 * time.Millisecond

// takeSlot waits for a slot. It returns false once the listener is closed.
func (l *limitListener) takeSlot() bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(roomPollInterval)
	defer ticker.Stop()
	for {
		if l.makeRoom != nil {
			l.makeRoom()
		}
		select {
		case l.slots <- struct{}{}:
			return true
		case <-l.closed:
			return false
		case <-ticker.C:
		}
	}
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// limitedConn is a connection that takes one of its listener's slots until it is closed.
type limitedConn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
