package entry

import (
	"net"
	"sync"
)

// limitListener accepts at most a number of connections at a time. Unlike those of netutil.LimitListener, its connections
// keep the methods of TCP connections, by which a shutdown sees what callers' hosts have not taken.
type limitListener struct {
	*net.TCPListener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l *net.TCPListener, limit int64) *limitListener {
	return &limitListener{TCPListener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener. It waits until fewer connections than the limit are open.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{TCPConn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
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
