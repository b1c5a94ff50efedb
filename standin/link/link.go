// Package link is a loopback proxy between two parts of a system under test. It forwards
// TCP and UDP to one target and injects network faults: it delays traffic, resets
// connections, blocks one or both directions, discards data without closing connections,
// loses data in transit, and limits the bandwidth.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Direction is a direction of traffic through a link. Directions can be combined: Both is
// the two together.
type Direction int

// The directions.
const (
	ToTarget Direction = 1 << iota
	FromTarget
	Both = ToTarget | FromTarget
)

// Link forwards connections and datagrams to a target. Safe for concurrent use.
type Link struct {
	target     string
	addr       string
	packetConn net.PacketConn

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener  net.Listener
	blocked   Direction
	passable  map[Direction]chan struct{} // a closed channel: the direction is not blocked
	delay     time.Duration
	connPairs map[*connPair]bool
	cut       cut
	// headChange is made to heads from the target.
	headChange HeadChange
	bandwidth  bandwidth
}

// connPair is a client's connection and the connection that continues it to the target.
type connPair struct {
	client, target net.Conn
	// discarding drops every byte in both directions and keeps the connections open.
	discarding atomic.Bool
}

// maxBindTries is how many free addresses New tries: a port that was free a moment ago may
// be in use when it is bound.
const maxBindTries = 10

// New listens on a free loopback address and forwards what arrives there to target. It
// returns an error if it cannot bind an address.
func New(target string) (*Link, error) {
	var lastErr error
	for range maxBindTries {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			lastErr = err
			continue
		}
		packetConn, err := net.ListenPacket("udp", addr)
		if err != nil {
			_ = listener.Close()
			lastErr = err
			continue
		}
		l := &Link{target: target, addr: listener.Addr().String(), listener: listener, packetConn: packetConn, connPairs: map[*connPair]bool{}, passable: map[Direction]chan struct{}{}}
		for _, direction := range []Direction{ToTarget, FromTarget} {
			l.passable[direction] = make(chan struct{})
			close(l.passable[direction])
		}
		go l.serveTCP(listener)
		go l.serveUDP()
		return l, nil
	}
	return nil, lastErr
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() string { return l.addr }

// RefuseConnections makes the link refuse new connections, as a target whose process has
// ended does. Established connections continue.
func (l *Link) RefuseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// AcceptConnections accepts connections again after RefuseConnections. It returns an error
// if the address is in use.
func (l *Link) AcceptConnections() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return errors.WithStack(err)
	}
	l.listener = listener
	go l.serveTCP(listener)
	return nil
}

// Close closes the link and resets all its connections.
func (l *Link) Close() {
	l.RefuseConnections()
	_ = l.packetConn.Close()
	l.ResetConnections()
	l.SetBlocked(0)
}

// SetBlocked blocks exactly the given directions. TCP data held back in a direction that is
// no longer blocked is then delivered, unless ResetConnections discarded it.
func (l *Link) SetBlocked(blocked Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, direction := range []Direction{ToTarget, FromTarget} {
		switch wasBlocked, isBlocked := l.blocked&direction != 0, blocked&direction != 0; {
		case isBlocked && !wasBlocked:
			l.passable[direction] = make(chan struct{})
		case wasBlocked && !isBlocked:
			close(l.passable[direction])
		}
	}
	l.blocked = blocked
}

// SetDelay delays new connections and TCP data, in both directions, by d.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// ResetConnections resets all connections and discards data in transit. New connections
// work.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connPairs {
		p.discarding.Store(true)
		for _, conn := range []net.Conn{p.client, p.target} {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// BlackholeConnections discards, from now on, all data of the established connections
// without closing them. New connections work.
func (l *Link) BlackholeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connPairs {
		p.discarding.Store(true)
	}
}

// awaitPassable waits until a direction is not blocked, and then for the delay.
func (l *Link) awaitPassable(direction Direction) {
	l.mu.Lock()
	passable, delay := l.passable[direction], l.delay
	l.mu.Unlock()
	<-passable
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (l *Link) serveTCP(listener net.Listener) {
	for {
		clientConn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(clientConn)
	}
}

// connect continues a connection to the target. It resets a connection that the target
// refuses.
func (l *Link) connect(clientConn net.Conn) {
	l.awaitPassable(ToTarget)
	targetConn, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = clientConn.(*net.TCPConn).SetLinger(0)
		_ = clientConn.Close()
		return
	}
	p := &connPair{client: clientConn, target: targetConn}
	l.mu.Lock()
	l.connPairs[p] = true
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(p, targetConn, clientConn, ToTarget) })
	copies.Go(func() { l.copy(p, clientConn, targetConn, FromTarget) })
	copies.Wait()
	l.mu.Lock()
	delete(l.connPairs, p)
	l.mu.Unlock()
}

const bufferBytes = 64 << 10

func (l *Link) copy(p *connPair, to, from net.Conn, direction Direction) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		l.awaitPassable(direction)
		data := buffer[:n]
		if direction == FromTarget {
			data = l.changeHead(data)
			n = len(data)
		}
		passed, reset := n, false
		if direction == FromTarget {
			passed, reset = l.passBytes(n)
		}
		for rest := data[:passed]; len(rest) > 0; {
			piece := rest[:min(len(rest), l.pieceBytes(direction))]
			rest = rest[len(piece):]
			l.awaitBandwidth(direction, len(piece))
			if p.discarding.Load() {
				continue
			}
			if _, err := to.Write(piece); err != nil {
				return
			}
		}
		if passed < n {
			if reset {
				time.Sleep(resetDelay)
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// serveUDP forwards datagrams to the target. A blocked link loses them.
func (l *Link) serveUDP() {
	targetConn, err := net.Dial("udp", l.target)
	if err != nil {
		return
	}
	buffer := make([]byte, bufferBytes)
	for {
		n, _, err := l.packetConn.ReadFrom(buffer)
		if err != nil {
			return
		}
		l.mu.Lock()
		blocked := l.blocked&ToTarget != 0
		l.mu.Unlock()
		if !blocked {
			_, _ = targetConn.Write(buffer[:n])
		}
	}
}
