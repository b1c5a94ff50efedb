package gateway

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"aspenyard.example/directory"
)

const (
	// dialTimeout bounds the opening of a connection to an endpoint. A lost opening
	// packet is sent again after a second at the earliest; another endpoint serves
	// the request sooner.
	dialTimeout = 400 * time.Millisecond
	// idleMost is how long a connection is kept for another request; endpoints that
	// say so in Keep-Alive are believed instead, less idleMargin for the way.
	idleMost   = 8 * time.Second
	idleMargin = 500 * time.Millisecond
	// freshIdle is the longest idle time after which a connection is used for a
	// request that must not run twice: the endpoint may be closing it just as the
	// request crosses, and then nobody knows whether it ran.
	freshIdle = time.Second
	// maxIdle is how many idle connections are kept for an endpoint.
	maxIdle = 32
	// readBuffer holds an answer's head and several events.
	readBuffer = 4 << 10
)

// endpointConn is one connection to an endpoint.
type endpointConn struct {
	net.Conn
	reader *bufio.Reader
	// until is when it is too old to be used again, and since when it is idle.
	until, since time.Time
	// reused is set once it has carried a request.
	reused bool
}

// pool keeps idle connections by the endpoint's life.
type pool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	mu   sync.Mutex
	idle map[directory.Life][]*endpointConn
}

func newPool() *pool {
	return &pool{dial: Dialer(dialTimeout), idle: map[directory.Life][]*endpointConn{}}
}

// get gives a connection: an idle one, the most recent first, or a new one. once is
// set for requests that must not run twice.
func (p *pool) get(ctx context.Context, e *directory.Listed, once bool) (*endpointConn, error) {
	for {
		conn := p.pop(e.Life, once)
		if conn == nil {
			break
		}
		if stillOpen(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	return p.open(ctx, e)
}

// open opens a connection.
func (p *pool) open(ctx context.Context, e *directory.Listed) (*endpointConn, error) {
	conn, err := p.dial(ctx, "tcp", e.Addr)
	if err != nil {
		return nil, err
	}
	return &endpointConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

func (p *pool) pop(life directory.Life, once bool) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[life]
	now := time.Now()
	for len(list) > 0 {
		conn := list[len(list)-1]
		if once && now.Sub(conn.since) > freshIdle {
			return nil
		}
		list = list[:len(list)-1]
		p.idle[life] = list
		if now.Before(conn.until) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// put keeps a connection for another request.
func (p *pool) put(life directory.Life, conn *endpointConn, keep time.Duration) {
	conn.since, conn.reused = time.Now(), true
	conn.until = conn.since.Add(min(keep, idleMost))
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[life]; len(list) < maxIdle {
		p.idle[life] = append(list, conn)
		return
	}
	_ = conn.Close()
}

// prune closes the connections of endpoints that are no longer known.
func (p *pool) prune(known func(life directory.Life) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for life, list := range p.idle {
		if known(life) {
			continue
		}
		for _, conn := range list {
			_ = conn.Close()
		}
		delete(p.idle, life)
	}
}
