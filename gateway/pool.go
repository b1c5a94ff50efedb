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
	// maxIdleTime is how long a connection is kept for another request; endpoints that
	// say so in Keep-Alive are believed instead, less idleMargin for the way.
	maxIdleTime     = 8 * time.Second
	keepAliveMargin = 500 * time.Millisecond
	// nonRepeatableMaxIdle is the longest idle time after which a connection is used for a
	// request that must not run twice: the endpoint may be closing it just as the
	// request crosses, and then nobody knows whether it ran.
	nonRepeatableMaxIdle = time.Second
	// maxIdleConns is how many idle connections are kept for an endpoint.
	maxIdleConns = 32
	// readBufferSize holds an answer's head and several events.
	readBufferSize = 4 << 10
)

// endpointConn is one connection to an endpoint.
type endpointConn struct {
	net.Conn
	reader *bufio.Reader
	// expiresAt is when it is too old to be used again, and idleSince when it is idle.
	expiresAt, idleSince time.Time
	// reused is set once it has carried a request.
	reused bool
}

// pool keeps idle connections by the endpoint's life.
type pool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	mu   sync.Mutex
	idle map[directory.Incarnation][]*endpointConn
}

func newPool() *pool {
	return &pool{dial: Dialer(dialTimeout), idle: map[directory.Incarnation][]*endpointConn{}}
}

// get gives a connection: an idle one, the most recent first, or a new one. once is
// set for requests that must not run twice.
func (p *pool) get(ctx context.Context, e *directory.EndpointState, nonRepeatable bool) (*endpointConn, error) {
	for {
		conn := p.popIdle(e.Incarnation, nonRepeatable)
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
func (p *pool) open(ctx context.Context, e *directory.EndpointState) (*endpointConn, error) {
	conn, err := p.dial(ctx, "tcp", e.Addr)
	if err != nil {
		return nil, err
	}
	return &endpointConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}, nil
}

func (p *pool) popIdle(incarnation directory.Incarnation, nonRepeatable bool) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[incarnation]
	now := time.Now()
	for len(list) > 0 {
		conn := list[len(list)-1]
		if nonRepeatable && now.Sub(conn.idleSince) > nonRepeatableMaxIdle {
			return nil
		}
		list = list[:len(list)-1]
		p.idle[incarnation] = list
		if now.Before(conn.expiresAt) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// put keeps a connection for another request.
func (p *pool) put(incarnation directory.Incarnation, conn *endpointConn, keep time.Duration) {
	conn.idleSince, conn.reused = time.Now(), true
	conn.expiresAt = conn.idleSince.Add(min(keep, maxIdleTime))
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[incarnation]; len(list) < maxIdleConns {
		p.idle[incarnation] = append(list, conn)
		return
	}
	_ = conn.Close()
}

// prune closes the connections of endpoints that are no longer known.
func (p *pool) prune(known func(incarnation directory.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, list := range p.idle {
		if known(incarnation) {
			continue
		}
		for _, conn := range list {
			_ = conn.Close()
		}
		delete(p.idle, incarnation)
	}
}
