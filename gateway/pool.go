package gateway

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"aspenyard.example/directory"
)

const (
	// dialTimeout bounds connecting to an endpoint. A lost SYN packet is sent again after a
	// second at the earliest; another endpoint serves the request sooner.
	dialTimeout = 400 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept at most. The timeout that an endpoint
	// announces in Keep-Alive, less keepAliveMargin for the time in transit, applies instead
	// where it is shorter.
	maxIdleTime     = 8 * time.Second
	keepAliveMargin = 500 * time.Millisecond
	// nonRepeatableMaxIdle is the longest idle time after which a connection is used for a
	// request that must not run twice. The endpoint may close an older one just as the request
	// is sent, and then nobody knows whether the request ran.
	nonRepeatableMaxIdle = time.Second
	// maxIdleConns is how many idle connections are kept to an endpoint at most.
	maxIdleConns = 32
	// idleConnShare is the share of the connections that an endpoint accepts which all entries
	// together may keep idle. The rest is for requests in flight.
	idleConnShare = 0.5
	// readBufferSize has room for a response's header and several events.
	readBufferSize = 4 << 10
)

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	net.Conn
	reader *bufio.Reader
	// expiresAt is when the connection is too old to be used again, idleSince when it became
	// idle.
	expiresAt, idleSince time.Time
	// reused is set once the connection has been idle in the pool.
	reused  bool
	traffic *traffic
	// headLimited is set while heads are read, of which headBytesLeft more bytes may be read.
	headLimited   bool
	headBytesLeft int
	// readErr is the last error of a read, which parsers of heads and bodies may replace by their own.
	readErr error
}

// Read implements net.Conn.
func (c *endpointConn) Read(p []byte) (int, error) {
	if c.headLimited {
		if c.headBytesLeft == 0 {
			c.readErr = errHeadBytes
			return 0, errHeadBytes
		}
		p = p[:min(len(p), c.headBytesLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.headLimited {
		c.headBytesLeft -= n
	}
	c.traffic.addReceived(n)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *endpointConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.addSent(n)
	return n, err
}

// pool keeps idle connections for each incarnation of an endpoint.
type pool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// idleLimit is how many idle connections are kept to an endpoint.
	idleLimit func(e *directory.EndpointState) int
	traffic   *traffic // of all connections; may be nil
	// strays counts the responses that belong to no request in flight on their connection, skipped how often a
	// connection was not used because the request had been sent on it.
	strays, skipped *metrics.Counter
	mu              sync.Mutex
	idle            map[directory.Incarnation][]*endpointConn
}

func newPool() *pool {
	defaultLimit := func(*directory.EndpointState) int { return maxIdleConns }
	return &pool{dial: Dialer(dialTimeout), idleLimit: defaultLimit, idle: map[directory.Incarnation][]*endpointConn{}, strays: new(metrics.Counter), skipped: new(metrics.Counter)}
}

// usedConns are the connections on which a request has been sent; nil stands for none. A late copy of an endpoint's
// response has the request's ID, so that on such a connection it could not be told from the response to the next
// sending.
type usedConns struct{ conns []*endpointConn }

func (u *usedConns) contains(conn *endpointConn) bool {
	return u != nil && slices.Contains(u.conns, conn)
}

func (u *usedConns) add(conn *endpointConn) {
	if u != nil {
		u.conns = append(u.conns, conn)
	}
}

// get returns a connection to the endpoint on which the request has not been sent: the most recently used idle one,
// or else a new one. nonRepeatable is set for requests that must not run twice.
func (p *pool) get(ctx context.Context, e *directory.EndpointState, used *usedConns, nonRepeatable bool) (*endpointConn, error) {
	for {
		conn := p.popIdle(e.Incarnation, used, nonRepeatable)
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

// open connects to the endpoint.
func (p *pool) open(ctx context.Context, e *directory.EndpointState) (*endpointConn, error) {
	conn, err := p.dial(ctx, "tcp", e.Addr)
	if err != nil {
		return nil, err
	}
	endpoint := &endpointConn{Conn: conn, traffic: p.traffic}
	endpoint.reader = bufio.NewReaderSize(endpoint, readBufferSize)
	return endpoint, nil
}

// popIdle removes and returns the most recently used idle connection that is not in used; nil if there is none that
// may be used.
func (p *pool) popIdle(incarnation directory.Incarnation, used *usedConns, nonRepeatable bool) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle[incarnation]) - 1; i >= 0; i-- {
		conn := p.idle[incarnation][i]
		if nonRepeatable && now.Sub(conn.idleSince) > nonRepeatableMaxIdle {
			return nil
		}
		if used.contains(conn) {
			p.skipped.Inc()
			continue
		}
		p.idle[incarnation] = slices.Delete(p.idle[incarnation], i, i+1)
		if now.Before(conn.expiresAt) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// idleConnsFor returns how many idle connections this entry keeps to an endpoint: an equal part of
// those that all entries may keep, and none to one that takes no requests any more.
func (g *Gateway) idleConnsFor(e *directory.EndpointState) int {
	snapshot := g.snapshot.Load()
	if snapshot.Config == nil {
		return maxIdleConns
	}
	if snapshot.Endpoint(e.Incarnation) == nil {
		return 0
	}
	service := snapshot.Config.Service(e.Service)
	if service == nil || service.MaxConnections == 0 {
		return maxIdleConns
	}
	share := idleConnShare * float64(service.MaxConnections) / float64(max(len(snapshot.Nodes), 1))
	return min(max(int(share), 1), maxIdleConns)
}

// put makes a connection available to other requests, for at most the time keep, unless idleLimit
// idle ones are kept already, or the endpoint has sent something that belongs to no request.
func (p *pool) put(e *directory.EndpointState, conn *endpointConn, keep time.Duration) {
	if conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	conn.idleSince, conn.reused = time.Now(), true
	conn.expiresAt = conn.idleSince.Add(min(keep, maxIdleTime))
	limit := p.idleLimit(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[e.Incarnation]; len(list) < limit {
		p.idle[e.Incarnation] = append(list, conn)
		return
	}
	_ = conn.Close()
}

// prune closes the connections to endpoints that are no longer known.
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
