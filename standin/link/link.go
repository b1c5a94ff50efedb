// Package link is a loopback proxy between two parts of a system under test. It carries
// TCP and UDP to one target and fails as tests ask: it delays, resets, cuts one way or
// both, goes silent, and loses what is on its way.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Direction is the way of traffic through a link; Both is the two together.
type Direction int

// The directions.
const (
	ToTarget Direction = 1 << iota
	FromTarget
	Both = ToTarget | FromTarget
)

// Link carries connections and datagrams to a target.
type Link struct {
	target     string
	addr       string
	packetConn net.PacketConn

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener  net.Listener
	blocked   Direction
	passable  map[Direction]chan struct{} // closed while that way is whole
	delay     time.Duration
	connPairs map[*connPair]bool
}

// connPair is a connection and its continuation to the target.
type connPair struct {
	client, target net.Conn
	// discarding drops every byte either way and keeps the connections open.
	discarding atomic.Bool
}

// maxBindTries is how many free addresses are tried: a port that was free a moment ago may
// not be.
const maxBindTries = 10

// New listens on a free address and carries what comes there to target.
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

// Addr is where the link listens.
func (l *Link) Addr() string { return l.addr }

// RefuseConnections makes the link refuse connections, as its target does whose process has ended. Present
// ones go on.
func (l *Link) RefuseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// AcceptConnections takes connections again after Refuse. Error: the address is in use.
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

// Close ends the link and all its connections.
func (l *Link) Close() {
	l.RefuseConnections()
	_ = l.packetConn.Close()
	l.ResetConnections()
	l.SetBlocked(0)
}

// SetBlocked cuts the link in the directions given and heals it in the others; what was
// held back is then delivered, unless Reset has lost it.
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

// SetDelay holds back all traffic by this much.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// ResetConnections resets all connections and loses what is on its way; new ones work.
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

// BlackholeConnections makes the present connections go silent for good; new ones work.
func (l *Link) BlackholeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connPairs {
		p.discarding.Store(true)
	}
}

// awaitPassable waits until traffic that way may go on.
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

// connect continues a connection to the target; one that the target refuses is reset.
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
		if n > 0 && !p.discarding.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// serveUDP forwards datagrams to the target; a cut link loses them.
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
