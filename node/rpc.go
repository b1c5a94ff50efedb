// Package node holds what both roles share: RPC servers and clients, the
// catalogue's spread between nodes, the operators' port and the logs.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"aspenyard.example/wire/wireconnect"
)

const (
	// pingAfter is the silence on a connection after which it is pinged, and
	// pingTimeout how long the answer may take. Together they bound how long a
	// frozen or cut-off peer holds a stream, and so whatever the stream keeps:
	// TCP alone would wait for many minutes.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// maxMessageBytes bounds one RPC message: a prompt of a million tokens and
	// what goes with it.
	maxMessageBytes = 64 << 20
	dialTimeout     = time.Second
)

func cleartextHTTP2() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// ServeRPC serves RPCs on the listener until ctx ends, then closes all
// connections. Call it when nothing is left to drain.
func ServeRPC(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, Protocols: cleartextHTTP2(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: 10_000},
		ReadHeaderTimeout: 10 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve RPCs")
	}
	return nil
}

// Clients makes and keeps RPC clients by address. Safe for concurrent use.
type Clients struct {
	http   *http.Client
	mu     sync.Mutex
	agents map[string]wireconnect.AgentClient
	peers  map[string]wireconnect.PeerClient
}

// maxClients bounds the cache: VMs are replaced all the time, and their
// addresses with them.
const maxClients = 20_000

// NewClients makes an empty cache.
func NewClients() *Clients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Clients{
		http: &http.Client{Transport: &http.Transport{
			Protocols: cleartextHTTP2(), DialContext: dialer.DialContext, IdleConnTimeout: time.Minute,
			HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		}},
		agents: map[string]wireconnect.AgentClient{}, peers: map[string]wireconnect.PeerClient{},
	}
}

// Agent gives the client of the agent at addr.
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

// Peer gives the client of the node at addr.
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

// HandlerOptions bound what a server accepts.
func HandlerOptions() connect.HandlerOption {
	return connect.WithReadMaxBytes(maxMessageBytes)
}
