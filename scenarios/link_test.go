package scenarios

import (
	"net"
	"sync"
	"time"

	"aspenyard.example/bench"
)

// link carries TCP and UDP between a process and everyone else, so that a script
// can cut it off: what is on its way is then neither delivered nor refused.
type link struct {
	target   string
	listener net.Listener
	packets  net.PacketConn

	mu    sync.Mutex
	cut   bool
	open  chan struct{} // closed while the link is whole
	hold  time.Duration
	conns map[net.Conn]bool
}

// newLink listens on a free address. It is found by listening, since a port that
// was free a moment ago may not be.
func newLink(target string) (*link, error) {
	var last error
	for range 10 {
		addr, err := bench.FreeAddr()
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
		l := &link{target: target, listener: listener, packets: packets, open: make(chan struct{}), conns: map[net.Conn]bool{}}
		close(l.open)
		go l.serveTCP()
		go l.serveUDP()
		return l, nil
	}
	return nil, last
}

func (l *link) addr() string { return l.listener.Addr().String() }

func (l *link) close() {
	_ = l.listener.Close()
	_ = l.packets.Close()
	l.reset()
}

// setCut cuts the link or heals it; what was held back is then delivered.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.open = make(chan struct{})
	} else {
		close(l.open)
	}
}

// setDelay holds back what goes to the process by this much.
func (l *link) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = d
}

// reset breaks all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) gate() {
	l.mu.Lock()
	open, hold := l.open, l.hold
	l.mu.Unlock()
	<-open
	if hold > 0 {
		time.Sleep(hold)
	}
}

func (l *link) serveTCP() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			l.gate()
			far, err := net.Dial("tcp", l.target)
			if err != nil {
				_ = near.Close()
				return
			}
			l.track(near, true)
			l.track(far, true)
			go l.copy(far, near)
			l.copy(near, far)
		}()
	}
}

func (l *link) track(c net.Conn, add bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if add {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *link) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		l.track(to, false)
		l.track(from, false)
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.gate()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// serveUDP forwards datagrams to the process; a cut link loses them.
func (l *link) serveUDP() {
	out, err := net.Dial("udp", l.target)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := l.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		l.mu.Lock()
		cut := l.cut
		l.mu.Unlock()
		if !cut {
			_, _ = out.Write(buffer[:n])
		}
	}
}
