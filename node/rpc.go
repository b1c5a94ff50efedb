// Package node holds the code that entries and agents share: RPC servers and clients, the
// synchronization of the catalogue between nodes, the monitoring server and the logger.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"aspenyard.example/graceful"
	"aspenyard.example/progress"
	"aspenyard.example/wire/wireconnect"
)

const (
	// pingAfter is the time without data after which a connection is pinged. Together with the time
	// that the ping response may take it bounds how long a suspended or unreachable peer keeps a
	// stream open, and with it the resources of the stream's request. TCP alone would wait for many
	// minutes.
	pingAfter = time.Second
	// maxMessageBytes bounds one RPC message. The largest holds a prompt of a million tokens
	// and the other fields of its request.
	maxMessageBytes = 64 << 20
	dialTimeout     = time.Second
	// flushTimeout bounds the wait for RPCs and for peers' hosts when a server ends.
	flushTimeout      = 3 * time.Second
	flushPollInterval = 5 * time.Millisecond
)

// cleartextHTTP2 returns the protocols of RPC connections: HTTP/2 without TLS only.
func cleartextHTTP2() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// ServeRPC serves RPCs on listener until ctx ends, and then closes all connections, at the latest after flushTimeout also
// those with RPCs in progress. ctx must therefore not end before a drain is complete. ServeRPC returns nil once the
// peers' hosts have taken what was written, within the same time, and otherwise the error that ended it. A connection whose client does
// not answer a ping within pingTimeout is closed.
func ServeRPC(ctx context.Context, listener net.Listener, handler http.Handler, pingTimeout time.Duration) error {
	peers := &peerConns{limit: int(rpcDescriptorShare * float64(DescriptorLimit()))}
	server := &http.Server{
		Handler: peers.handler(handler), ConnContext: peers.connContext, Protocols: cleartextHTTP2(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 10_000},
		ReadHeaderTimeout: 10 * time.Second,
	}
	var conns graceful.Conns
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if peer, ok := conn.(*peerConn); ok && state == http.StateClosed {
			conns.ConnState(peer.Conn, state)
		}
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		flush(server, &conns)
	})
	defer stop()
	if err := server.Serve(peers.listener(conns.Listener(listener))); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve RPCs")
	}
	<-ended
	return nil
}

// flush closes a server's connections once their RPCs have ended and the peers' hosts have taken the responses.
func flush(server *http.Server, conns *graceful.Conns) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
	for conns.Len() > 0 && ctx.Err() == nil {
		time.Sleep(flushPollInterval)
	}
}

// Clients caches RPC clients by the address of their server. It is safe for concurrent use.
type Clients struct {
	http   *http.Client
	mu     sync.Mutex
	agents map[string]wireconnect.AgentClient
	peers  map[string]wireconnect.PeerClient
}

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 32 << 10

// maxClients bounds the cached clients of each kind. VMs are replaced often and get new
// addresses, so a full cache is cleared.
const maxClients = 20_000

// NewClients returns an empty cache. Its clients share one HTTP transport, which closes connections
// whose server does not answer a ping within pingTimeout.
func NewClients(pingTimeout time.Duration) *Clients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Clients{
		http: &http.Client{Transport: &progress.Transport{Base: &http.Transport{
			Protocols: cleartextHTTP2(), DialContext: dialer.DialContext, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes,
			HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		}}},
		agents: map[string]wireconnect.AgentClient{}, peers: map[string]wireconnect.PeerClient{},
	}
}

// Agent returns the client of the agent at addr, a host and port.
func (c *Clients) Agent(addr string) wireconnect.AgentClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.agents[addr]
	if client == nil {
		if len(c.agents) >= maxClients {
			clear(c.agents)
		}
		client = wireconnect.NewAgentClient(c.http, "http://"+addr, connect.WithReadMaxBytes(maxMessageBytes))
		c.agents[addr] = client
	}
	return client
}

// Peer returns the client of the node at addr, a host and port.
func (c *Clients) Peer(addr string) wireconnect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.peers[addr]
	if client == nil {
		if len(c.peers) >= maxClients {
			clear(c.peers)
		}
		client = wireconnect.NewPeerClient(c.http, "http://"+addr, connect.WithReadMaxBytes(maxMessageBytes))
		c.peers[addr] = client
	}
	return client
}

// HandlerOptions returns the options of RPC handlers, which bound the size of a request
// message.
func HandlerOptions() connect.HandlerOption {
	return connect.WithReadMaxBytes(maxMessageBytes)
}
