//go:build crowds

package crowds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/bench"
	"aspenyard.example/catalogue"
	"aspenyard.example/infra/consul"
	"aspenyard.example/membership"
	"aspenyard.example/settings"
	standinconsul "aspenyard.example/standin/consul"
	standinengine "aspenyard.example/standin/engine"
	"aspenyard.example/standin/link"
	"aspenyard.example/wire/wireconnect"
)

// What the machines of entries and agents have.
const (
	nodeMemory      = int(settings.DefaultMemoryLimit)
	nodeDescriptors = 512
	// entryConnections is how many connections of callers the entry may have.
	entryConnections = 256
)

// Keys of bench.FleetRecords.
const (
	fleetKeyLine     = "Authorization: Bearer demo.secret\r\n"
	fleetOperatorKey = "demo-operator.secret"
	fleetModel       = "demo-model"
)

// fleet is an entry and an agent with stand-ins for what they depend on.
type fleet struct {
	entry, agent               *process
	callers, operators, peers  string
	agentOperators, agentPeers string
}

// serveStandin serves a handler on a free port.
func serveStandin(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// startFleet starts an entry and an agent and what they depend on.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store := serveStandin(t, standinconsul.New(standinconsul.Settings{}).Handler())
	client := consul.NewClient(store, time.Second)
	for i, record := range bench.FleetRecords() {
		_, err := catalogue.Apply(ctx, client, catalogue.Edit{Record: record, ID: fmt.Sprint("initial-", i), By: "test", At: time.Now()}, 0)
		is.NoErr(err)
	}
	engine := standinengine.New(standinengine.Settings{Models: []string{fleetModel}, TimeScale: 20, Config: standinengine.Config{MemoryTokens: 4_000_000}})
	go engine.Run(ctx)
	engineAddr := serveStandin(t, engine.Handler())
	f := &fleet{}
	var err error
	for _, addr := range []*string{&f.callers, &f.operators, &f.peers, &f.agentOperators, &f.agentPeers} {
		*addr, err = link.FreeAddr()
		is.NoErr(err)
	}
	vms, err := json.Marshal([]standinconsul.VM{
		{Name: "a1", Role: membership.RoleAgent, DataCentre: "dc1", Addr: f.agentPeers}, {Name: "n1", Role: membership.RoleEntry, DataCentre: "dc1", Addr: f.peers},
	})
	is.NoErr(err)
	response, err := http.Post("http://"+store+"/control/vms", "application/json", bytes.NewReader(vms))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	node := func(name, listen, operators string) map[string]any {
		return map[string]any{
			"name": name, "data_centre": "dc1", "listen": listen, "operators_listen": operators, "platform": store,
			"heartbeat_interval": "100ms", "suspect_after": "30s", "list_interval": "200ms", "peer_timeout": "30s",
		}
	}
	agent := node("a1", f.agentPeers, f.agentOperators)
	agent["endpoint"], agent["kind"] = engineAddr, "engine"
	f.agent = startProcess(t, "agent", agent, nodeDescriptors, f.agentPeers, f.agentOperators)
	entry := node("n1", f.peers, f.operators)
	entry["callers_listen"], entry["connection_limit"], entry["body_limit"] = f.callers, entryConnections, fmt.Sprint(maxBodyBytes, "B")
	f.entry = startProcess(t, "entry", entry, nodeDescriptors, f.callers, f.operators, f.peers)
	return f
}

// complete sends a completion request with a prompt of a size.
func (f *fleet) complete(size int) error {
	body, err := json.Marshal(map[string]any{"model": "line-plan", "prompt": strings.Repeat("word ", size/5+1)[:size], "max_tokens": 4})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer demo.secret")
	return get(request, "choices")
}

// ordinary sends an ordinary request to each port of callers and operators. A completion uses the others.
func (f *fleet) ordinary() error {
	for _, addr := range []string{f.callers, f.operators, f.agentOperators} {
		if err := getURL("http://"+addr+"/readyz", ""); err != nil {
			return fmt.Errorf("readiness: %w", err)
		}
	}
	for _, addr := range []string{f.operators, f.agentOperators} {
		if err := getURL("http://"+addr+"/metrics", "aspenyard_"); err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
	}
	return f.complete(ordinaryBody)
}

// manyMessages returns a completion request of size bytes with very many short messages.
func manyMessages(size int) string {
	const prefix, suffix = `{"model":"line-plan","messages":[{}`, `]}`
	return prefix + strings.Repeat(",{}", (size-len(prefix)-len(suffix))/3) + suffix
}

// shortMessages is the largest request with very many short messages.
var shortMessages = bytesOnce(func() string { return manyMessages(maxBodyBytes) })

// entryForms are further ways of misbehaving at an entry's callers' port.
var entryForms = []form{
	{name: "json-of-short-fields", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n)+lengthHead(len(shortMessages())), shortMessages())
	}},
}

// longStream is a completion request whose response has some megabytes.
var longStream = bytesOnce(func() string {
	return fmt.Sprintf(`{"model":"line-plan","prompt":"a","stream":true,"max_tokens":%d}`, longStreamTokens)
})

const (
	// longStreamTokens is the length of long streams in tokens, each of which is an event.
	longStreamTokens = 20_000
	// streamStay is long enough for the streams to fill what buffers there are.
	streamStay = 10 * time.Second
)

// streamForms are ways of misbehaving with streams of completions.
var streamForms = []form{
	{stay: streamStay, name: "slow-readers", send: func(ctx context.Context, c *client, n int) error {
		if err := c.writeLarge(c.target.head("POST", n)+lengthHead(len(longStream())), longStream()); err != nil {
			return err
		}
		return c.readSlowly(ctx)
	}},
	{stay: streamStay, name: "unread", send: func(ctx context.Context, c *client, n int) error {
		return c.writeLarge(c.target.head("POST", n)+lengthHead(len(longStream())), longStream())
	}},
	{stay: streamStay, name: "sent-ahead", send: func(ctx context.Context, c *client, n int) error {
		for i := range 1000 {
			if err := c.writeLarge(c.target.head("POST", n+i)+lengthHead(len(longStream())), longStream()); err != nil {
				return err
			}
		}
		return nil
	}},
}

// rpcForms are ways of misbehaving at a port for RPCs, besides forms.
var rpcForms = []form{
	{name: "http2-silent", send: func(ctx context.Context, c *client, n int) error { return c.write(http2Preface, 0) }},
	{name: "http2-half-a-frame", send: func(ctx context.Context, c *client, n int) error {
		return c.write(http2Preface+"\x00\x40\x00\x01\x00\x00\x00\x00\x01"+zeros(1000), 0)
	}},
	{name: "http2-pings-unread", send: func(ctx context.Context, c *client, n int) error {
		return c.write(http2Preface+strings.Repeat("\x00\x00\x08\x06\x00\x00\x00\x00\x0012345678", 50_000), 16<<10)
	}},
	{name: "rpcs-short-of-their-end", send: func(ctx context.Context, c *client, n int) error { return c.sendRPCs(ctx, n, 1, largeBody) }},
	{name: "many-rpcs-short-of-their-end", send: func(ctx context.Context, c *client, n int) error { return c.sendRPCs(ctx, n, 50, smallBody) }},
	{name: "rpcs-far-over-the-limit", send: func(ctx context.Context, c *client, n int) error { return c.sendRPCs(ctx, n, 1, farTooLong) }},
}

// http2Preface is what a client sends first, with empty settings.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// unfinished is a body that stops short of its end and stays open. A process that reads all of it as fast as it is
// sent may take a part of the crowd's memory at any time, so it is sent without a pause.
type unfinished struct {
	ctx  context.Context
	left int
	sent func()
}

func (u *unfinished) Read(p []byte) (int, error) {
	if u.left == 0 || u.ctx.Err() != nil {
		u.sent()
		<-u.ctx.Done()
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), u.left)
	u.left -= n
	return n, nil
}

// sendRPCs begins some RPCs at once on the client's connection and returns when size bytes of each have been sent, or the process
// takes no more of them.
func (c *client) sendRPCs(ctx context.Context, n, rpcs, size int) error {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialled := false
	transport := &http.Transport{Protocols: &protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		if dialled {
			return nil, errors.New("one connection a client")
		}
		dialled = true
		return c.Conn, nil
	}}
	ended := make(chan error, 2*rpcs)
	for i := range rpcs {
		path := c.target.paths[(n+i)%len(c.target.paths)]
		body := &unfinished{ctx, size, func() { ended <- nil }}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.target.addr(n)+path, body)
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/proto")
		go func() {
			response, err := transport.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			ended <- err
		}()
	}
	timeout := time.After(writeTimeout)
	for range rpcs {
		select {
		case <-ended:
		case <-timeout:
			return nil
		}
	}
	return nil
}

// rpcPaths are those of peers and of agents, and one that neither has.
var rpcPaths = []string{
	wireconnect.PeerPullProcedure, wireconnect.PeerRevisionsProcedure, wireconnect.PeerBorrowProcedure,
	wireconnect.AgentRunProcedure, wireconnect.AgentReserveProcedure, wireconnect.AgentWithdrawProcedure, wireconnect.AgentGrantProcedure, "/nowhere",
}

// nodeCrowds are where crowds misbehave at an entry and an agent, and how.
var nodeCrowds = []struct {
	name   string
	target func(f *fleet) *target
	forms  []form
}{
	{"completions", func(f *fleet) *target {
		return &target{addrs: []string{f.callers}, host: "entry", paths: []string{"/v1/completions", "/v1/chat/completions", "/v1/services/excuse-filing"}, headers: []string{fleetKeyLine}}
	}, slices.Concat(forms, entryForms)},
	{"elsewhere", func(f *fleet) *target {
		return &target{addrs: []string{f.callers}, host: "entry", paths: []string{"/nowhere", "/readyz", "/healthz", "/v1/models", "/v1/completions", "/v1/services/excuse-filing"}, headers: []string{"", wrongKey}}
	}, slices.Concat(forms, entryForms)},
	{"streams", func(f *fleet) *target {
		return &target{addrs: []string{f.callers}, host: "entry", paths: []string{"/v1/completions"}, headers: []string{fleetKeyLine}}
	}, streamForms},
	{"operators", func(f *fleet) *target {
		return &target{addrs: []string{f.operators, f.agentOperators}, host: "node", paths: []string{"/metrics", "/v1/status", "/readyz", "/v1/catalogue/work/a", "/nowhere"}, headers: []string{"", "Authorization: Bearer " + fleetOperatorKey + "\r\n"}}
	}, forms},
	{"rpcs", func(f *fleet) *target {
		return &target{addrs: []string{f.peers, f.agentPeers}, host: "node", paths: rpcPaths, headers: []string{""}}
	}, slices.Concat(rpcForms, formsNamed("whole-bodies", "heads-far-over-the-limit", "silent", "one-byte", "not-http"))},
	{"peers", func(f *fleet) *target { return &target{network: "udp", addrs: []string{f.peers, f.agentPeers}} }, datagramForms},
}

// Guards against an entry or an agent that ends, hangs, exceeds its machine's memory or descriptors, or serves nobody else,
// because of a crowd of misbehaving clients at one of its ports.
func TestANodeBearsACrowd(t *testing.T) {
	for _, c := range nodeCrowds {
		for _, f := range c.forms {
			t.Run(c.name+"/"+f.name, func(t *testing.T) {
				fleet := startFleet(t)
				playForm(t, []*process{fleet.entry, fleet.agent}, c.target(fleet), f, bounds{nodeMemory, nodeDescriptors}, fleet.ordinary)
			})
		}
	}
}

// Guards against bounds that refuse a single request inside the limits of what callers may send, in calm.
func TestAnEntryServesTheLargestRequest(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	await(t, "an ordinary request", f.ordinary)
	is.NoErr(f.complete(maxBodyBytes - 1000))
	is.True(f.entry.peakUsage().memory() <= nodeMemory)
}
