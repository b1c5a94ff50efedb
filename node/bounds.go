package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"aspenyard.example/graceful"
	"aspenyard.example/intake"
	"aspenyard.example/settings"
)

const (
	// goMemoryLimitShare is the part of the memory limit that is set as the Go runtime's soft limit, near which garbage is
	// collected more eagerly. The rest is for stacks and the kernel's buffers.
	goMemoryLimitShare = 0.7
	// rpcMemoryShare is the part of the memory limit for RPCs that are being received or handled, rpcMemoryFactor the memory that
	// a byte of a message takes.
	rpcMemoryShare  = 0.25
	rpcMemoryFactor = 2
	// rpcBodyTimeout bounds how long the message of an RPC may take. The largest, a prompt of a million tokens, arrives within a
	// second at a gigabit.
	rpcBodyTimeout = 30 * time.Second
	// rpcDescriptorShare is the part of the descriptors for peers' connections.
	rpcDescriptorShare = 0.25
	// minPeerWait is how long a connection that carries no RPC is kept at least while others wait for room.
	minPeerWait = 500 * time.Millisecond
	// peerBuffer is the size in bytes of the kernel's buffers of a connection, which the kernel would let grow to megabytes while
	// the server does not keep up, or the peer does not read.
	peerBuffer = 128 << 10
	// peerRoomPoll is the time between two attempts to make room for a connection.
	peerRoomPoll = 20 * time.Millisecond
)

// LimitMemory sets the Go runtime's soft limit for a process that may use limit.
func LimitMemory(limit settings.Size) {
	debug.SetMemoryLimit(int64(goMemoryLimitShare * float64(limit)))
}

// DescriptorLimit returns how many descriptors the process may open.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// BoundBodies wraps the handler of RPCs of a process that may use memoryLimit, so that messages that are being received take only
// a part of it, and for a limited time.
func BoundBodies(next http.Handler, memoryLimit settings.Size) http.Handler {
	bounded := intake.NewBodies(int64(rpcMemoryShare*float64(memoryLimit)), rpcMemoryFactor).Handler(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rpcBodyTimeout))
		bounded.ServeHTTP(w, r)
	})
}

// peerConns are the connections of a server of RPCs, of which there are at most limit.
type peerConns struct {
	limit int
	mu    sync.Mutex
	open  map[*peerConn]struct{}
}

// peerConn is one of them.
type peerConn struct {
	net.Conn
	conns *peerConns
	// running is how many RPCs it carries, served whether one has ended, and since is when it was opened or the last one ended;
	// conns.mu guards them.
	running int
	served  bool
	since   time.Time
}

// peerConnKey is the context key of an RPC's connection.
type peerConnKey struct{}

func (p *peerConns) listener(l net.Listener) net.Listener { return peerListener{l, p} }

type peerListener struct {
	net.Listener
	conns *peerConns
}

// Accept implements net.Listener.
func (l peerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.conns.makeRoom(time.Now()) {
		time.Sleep(peerRoomPoll)
	}
	if tracked, ok := conn.(*graceful.Conn); ok {
		if tcp, ok := tracked.Conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(peerBuffer)
			_ = tcp.SetWriteBuffer(peerBuffer)
		}
	}
	peer := &peerConn{Conn: conn, conns: l.conns, since: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.open == nil {
		l.conns.open = map[*peerConn]struct{}{}
	}
	l.conns.open[peer] = struct{}{}
	return peer, nil
}

// makeRoom reports whether there is room for a connection. Otherwise it closes one that carries no RPC: one that never has, or else
// the one that has carried none for the longest time.
func (p *peerConns) makeRoom(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open) < p.limit {
		return true
	}
	var unused *peerConn
	for conn := range p.open {
		if conn.running == 0 && now.Sub(conn.since) >= minPeerWait && (unused == nil || conn.closeBefore(unused)) {
			unused = conn
		}
	}
	if unused == nil {
		return false
	}
	delete(p.open, unused)
	_ = unused.Conn.Close()
	return true
}

func (c *peerConn) closeBefore(other *peerConn) bool {
	if c.served != other.served {
		return other.served
	}
	return c.since.Before(other.since)
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// connContext keeps an RPC's connection for handler.
func (p *peerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, peerConnKey{}, conn)
}

// handler counts the RPCs of each connection.
func (p *peerConns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(peerConnKey{}).(*peerConn); ok {
			conn.count(1)
			defer conn.count(-1)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *peerConn) count(n int) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.running += n; n < 0 {
		c.served, c.since = true, time.Now()
	}
}
