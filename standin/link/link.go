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
	target  string
	addr    string
	packets net.PacketConn

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
	cut      Direction
	open     map[Direction]chan struct{} // closed while that way is whole
	delay    time.Duration
	pairs    map[*pair]bool
}

// pair is a connection and its continuation to the target.
type pair struct {
	near, far net.Conn
	// muted drops every byte either way and keeps the connections open.
	muted atomic.Bool
}

// bindTries is how many free addresses are tried: a port that was free a moment ago may
// not be.
const bindTries = 10

// New listens on a free address and carries what comes there to target.
func New(target string) (*Link, error) {
	var last error
	for range bindTries {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			last = err
			continue
		}
		packets, err := net.ListenPacket("udp", addr)
		if err != nil {
			_ = listener.Close()
			last = err
			continue
		}
		l := &Link{target: target, addr: listener.Addr().String(), listener: listener, packets: packets, pairs: map[*pair]bool{}, open: map[Direction]chan struct{}{}}
		for _, way := range []Direction{ToTarget, FromTarget} {
			l.open[way] = make(chan struct{})
			close(l.open[way])
		}
		go l.serveTCP(listener)
		go l.serveUDP()
		return l, nil
	}
	return nil, last
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
	_ = l.packets.Close()
	l.ResetConnections()
	l.SetBlocked(0)
}

// SetBlocked cuts the link in the directions given and heals it in the others; what was
// held back is then delivered, unless Reset has lost it.
func (l *Link) SetBlocked(cut Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, way := range []Direction{ToTarget, FromTarget} {
		switch was, is := l.cut&way != 0, cut&way != 0; {
		case is && !was:
			l.open[way] = make(chan struct{})
		case was && !is:
			close(l.open[way])
		}
	}
	l.cut = cut
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
	for p := range l.pairs {
		p.muted.Store(true)
		for _, conn := range []net.Conn{p.near, p.far} {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// BlackholeConnections makes the present connections go silent for good; new ones work.
func (l *Link) BlackholeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.muted.Store(true)
	}
}

// pass waits until traffic that way may go on.
func (l *Link) pass(way Direction) {
	l.mu.Lock()
	open, delay := l.open[way], l.delay
	l.mu.Unlock()
	<-open
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (l *Link) serveTCP(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

// connect continues a connection to the target; one that the target refuses is reset.
func (l *Link) connect(near net.Conn) {
	l.pass(ToTarget)
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var copying sync.WaitGroup
	copying.Go(func() { l.copy(p, far, near, ToTarget) })
	copying.Go(func() { l.copy(p, near, far, FromTarget) })
	copying.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

const bufferBytes = 64 << 10

func (l *Link) copy(p *pair, to, from net.Conn, way Direction) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		l.pass(way)
		if n > 0 && !p.muted.Load() {
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
	out, err := net.Dial("udp", l.target)
	if err != nil {
		return
	}
	buffer := make([]byte, bufferBytes)
	for {
		n, _, err := l.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		l.mu.Lock()
		cut := l.cut&ToTarget != 0
		l.mu.Unlock()
		if !cut {
			_, _ = out.Write(buffer[:n])
		}
	}
}
