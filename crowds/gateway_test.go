//go:build crowds

package crowds

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/standin/link"
	"aspenyard.example/standin/platform"
)

// What the machine of a gateway has.
const (
	gatewayMemory      = 64_000_000
	gatewayDescriptors = 512
)

const (
	serviceApp  = "app"
	serviceBulk = "bulk"
	keyLine     = "Authorization: Bearer " + platform.APIKey + "\r\n"
	wrongKey    = "Authorization: Bearer nobody\r\n"
	// ordinaryBody is the size of an ordinary request's body.
	ordinaryBody = 20_000
	// bulkPath and streamPath are paths whose responses have 4 MB.
	bulkPath   = "/bulk/a?size=8000&chunks=500"
	streamPath = "/stream/a?size=8000&chunks=500&stream=1"
)

// installation is a gateway process with stand-ins for what it depends on.
type installation struct {
	*process
	callers, readiness, metrics, peers string
	requests                           atomic.Int64
}

// startGateway starts a gateway and what it depends on.
func startGateway(t *testing.T) *installation {
	t.Helper()
	return startGatewayWith(t, &platform.Worker{ID: "i-app", Service: serviceApp, StartUnixMilli: time.Now().UnixMilli()})
}

// startGatewayWith starts a gateway with the given workers of serviceApp.
func startGatewayWith(t *testing.T, workers ...*platform.Worker) *installation {
	t.Helper()
	is := is.New(t)
	store := platform.NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: store.Handler()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, worker := range workers {
		is.NoErr(worker.Start())
		t.Cleanup(worker.Stop)
		store.Put("servers/"+worker.ID, worker.Registration("ready"))
	}
	bulk := &platform.Bulk{}
	is.NoErr(bulk.Start())
	t.Cleanup(bulk.Stop)
	store.Put("servers/i-bulk", bulk.Registration("i-bulk", serviceBulk))
	store.Put("op/config", installationConfig())
	g := &installation{}
	for _, addr := range []*string{&g.callers, &g.readiness, &g.metrics, &g.peers} {
		*addr, err = link.FreeAddr()
		is.NoErr(err)
	}
	g.process = startProcess(t, "gateway", map[string]any{
		"name": "g1", "data_centre": "dc1", "callers_listen": g.callers, "readiness_listen": g.readiness, "metrics_listen": g.metrics, "peers_listen": g.peers,
		"store": listener.Addr().String(), "memory_limit": fmt.Sprint(gatewayMemory, "B"), "descriptor_limit": gatewayDescriptors,
	}, gatewayDescriptors, g.callers, g.readiness, g.metrics)
	return g
}

// installationConfig returns the configuration: /app/ to the worker, /bulk/ to the endpoint with large responses.
func installationConfig() []byte {
	route := func(name, service string) platform.Route {
		return platform.Route{Name: name, Host: platform.Host, Prefix: "/" + name + "/", Kind: "idempotent", Service: service, Timeout: 20 * time.Second, Target: time.Second, MaxAttempts: 2}
	}
	stream := route("stream", serviceBulk)
	stream.Kind, stream.Resumable, stream.TargetPause = "streaming", true, time.Second
	c := platform.Config{
		Version:  1,
		Routes:   []platform.Route{route("app", serviceApp), route("bulk", serviceBulk), stream},
		Services: []platform.Service{{Name: serviceApp, MaxConnections: 1000}, {Name: serviceBulk, MaxConnections: 1000}},
		Accounts: []platform.Account{{Name: "acme", Keys: []string{platform.APIKey}}},
		Limits:   platform.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	return c.Encode()
}

// get requests url on a new connection and returns an error unless the status is 200 and the body contains text.
func get(request *http.Request, text string) error {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("HTTP status %d: %.100s", response.StatusCode, body)
	case !strings.Contains(string(body), text):
		return fmt.Errorf("unexpected body of %d bytes", len(body))
	}
	return nil
}

// getURL is get for a request without a body.
func getURL(url, text string) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return get(request, text)
}

// post sends a caller's request with a body of a size.
func (g *installation) post(size int) error {
	id := fmt.Sprint("ordinary-", g.requests.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/app/a", strings.NewReader(zeros(size)))
	if err != nil {
		return err
	}
	request.Host = platform.Host
	call := platform.CallHeaders{ID: id, APIKey: platform.APIKey, Deadline: 10 * time.Second}
	call.SetHeaders(request.Header)
	return get(request, platform.PlainResponse(id))
}

// ordinary sends an ordinary request to each port.
func (g *installation) ordinary() error {
	if err := getURL("http://"+g.readiness+"/-/readyz", ""); err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	if err := getURL("http://"+g.metrics+"/metrics", "aspenyard_gateway"); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return g.post(ordinaryBody)
}

// gatewayCrowds are where crowds misbehave at a gateway, and how.
var gatewayCrowds = []struct {
	name   string
	target func(g *installation) *target
	forms  []form
}{
	{"routes", func(g *installation) *target {
		return &target{addrs: []string{g.callers}, host: platform.Host, paths: []string{bulkPath}, headers: []string{keyLine}}
	}, forms},
	{"streams", func(g *installation) *target {
		return &target{addrs: []string{g.callers}, host: platform.Host, paths: []string{streamPath}, headers: []string{keyLine}}
	}, formsNamed("whole-bodies", "sent-ahead", "bodies-sent-ahead", "slow-readers")},
	{"elsewhere", func(g *installation) *target {
		return &target{addrs: []string{g.callers}, host: platform.Host, paths: []string{"/nowhere/a", "/bulk/a", "/-/readyz", "/", "/stream/a"}, headers: []string{wrongKey, ""}}
	}, forms},
	{"monitoring", func(g *installation) *target {
		return &target{addrs: []string{g.readiness, g.metrics}, host: "gateway", paths: []string{"/-/readyz", "/metrics", "/nowhere"}, headers: []string{"", keyLine}}
	}, forms},
	{"peers", func(g *installation) *target { return &target{network: "udp", addrs: []string{g.peers}} }, datagramForms},
}

// Guards against a gateway that ends, hangs, exceeds its machine's memory or descriptors, or serves nobody else, because of a
// crowd of misbehaving clients at one of its ports.
func TestAGatewayBearsACrowd(t *testing.T) {
	for _, c := range gatewayCrowds {
		for _, f := range c.forms {
			t.Run(c.name+"/"+f.name, func(t *testing.T) {
				g := startGateway(t)
				playForm(t, []*process{g.process}, c.target(g), f, bounds{gatewayMemory, gatewayDescriptors}, g.ordinary)
			})
		}
	}
}

// Guards against bounds that refuse a single request inside the limits of what clients may send, in calm.
func TestAGatewayServesTheLargestRequest(t *testing.T) {
	is := is.New(t)
	g := startGateway(t)
	await(t, "an ordinary request", g.ordinary)
	is.NoErr(g.post(maxBodyBytes))
	for _, framing := range []string{"length", "chunks"} {
		conn, err := dial(context.Background(), "", g.callers)
		is.NoErr(err)
		c := &client{Conn: conn, target: &target{addrs: []string{g.callers}, host: platform.Host, paths: []string{"/app/a"}, headers: []string{keyLine}}}
		head := c.target.head("POST", 0)
		head += shortFields(maxHeaderBytes - len(head) - 64)
		body := lengthHead(maxBodyBytes) + zeros(maxBodyBytes)
		if framing == "chunks" {
			body = chunkedHead + chunked(zeros(maxBodyBytes), 16<<10) + "0\r\n\r\n"
		}
		writeErr := c.write(head+body, 0)
		answer := make([]byte, 300)
		_ = conn.SetReadDeadline(time.Now().Add(conditionTimeout))
		n, err := conn.Read(answer)
		t.Logf("%s: write %v, read %v: %q", framing, writeErr, err, answer[:n])
		is.NoErr(err)
		is.True(strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200 "))
		_ = conn.Close()
	}
	is.True(g.peakUsage().memory() <= gatewayMemory)
}
