package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"aspenyard.example/eventlog"
	"aspenyard.example/gateway"
	"aspenyard.example/platform"
	"aspenyard.example/settings"
	"aspenyard.example/standin/link"
	standin "aspenyard.example/standin/platform"
)

// waitTimeout bounds every wait for a condition; a test reaches it only on a failure.
const waitTimeout = 30 * time.Second

// fixture runs a gateway against stand-ins for its platform.
type fixture struct {
	t        testing.TB
	store    *standin.Store
	workers  []*standin.Worker
	gateway  *gateway.Gateway
	signals  chan os.Signal
	serveErr chan error
	log      *syncBuffer
	version  int
	routes   []map[string]any
	limits   map[string]any
	keys     []string
	client   *http.Client
	// extraSettings is JSON text that is appended to the settings.
	extraSettings string
	// firstConfigWait is how long requests wait for the first configuration; 0 means the default.
	firstConfigWait time.Duration
	// usage replaces the measurements of the process; nil means those of the operating system.
	usage gateway.UsageReader
	// storeBytesPerSecond is the bandwidth of storeLink, the gateway's link to the store; 0 means no limit.
	storeBytesPerSecond int
	storeLink           *link.Link
	// cutFromStore makes the store refuse the calls of this fixture's gateway only.
	cutFromStore atomic.Bool
	// coldPerSecond is what a cold worker of service "app" tolerates; 0 means that it is not known.
	coldPerSecond float64
}

// syncBuffer collects the log; safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

const (
	host = "front.example"
	key  = "key-1"
)

// route returns the configuration of a route to service "app".
func route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_kind": kind, "timeout_ms": 20000, "target_latency_ms": 2000, "target_gap_ms": 500,
		"priority": 1, "service": "app", "max_attempts": 2, "public": false, "resumable": kind == "streaming",
	}
}

// newFixture prepares stand-ins with workers of service "app"; start starts the gateway.
func newFixture(t testing.TB, workers ...*standin.Worker) *fixture {
	t.Helper()
	s := &fixture{
		t: t, store: standin.NewStore(), workers: workers, signals: make(chan os.Signal, 4), serveErr: make(chan error, 1), log: &syncBuffer{}, keys: []string{key},
		routes: []map[string]any{route("once", "/once/", "non_idempotent"), route("again", "/again/", "idempotent"), route("stream", "/stream/", "streaming")},
		limits: map[string]any{"max_header_bytes": 8192, "max_body_bytes": 100_000, "header_timeout_ms": 10_000, "idle_timeout_ms": 20_000},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
	for i, w := range workers {
		if w.ID == "" {
			w.ID, w.Service = fmt.Sprintf("i-%d", i+1), "app"
		}
		if err := w.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Stop)
		s.store.Put("servers/"+w.ID, w.Registration("ready"))
	}
	return s
}

// configure writes a new version of the configuration to the store.
func (s *fixture) configure() {
	s.version += 3
	s.store.Put("op/config", s.config())
}

func (s *fixture) config() []byte {
	services := []map[string]any{{"name": "app", "health_path": "/healthz", "max_conns": 100}, {"name": "model", "max_conns": 100, "engine": standin.SmallEngine(400_000)}}
	if s.coldPerSecond > 0 {
		services[0]["cold_s"], services[0]["cold_per_s"] = 20, s.coldPerSecond
	}
	data, err := json.Marshal(map[string]any{
		"version": s.version, "routes": s.routes, "services": services, "limits": s.limits,
		"tenants": []map[string]any{{"name": "acme", "api_keys": s.keys, "priority": 1}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return data
}

// start runs a gateway until the test ends and waits until it is ready.
func (s *fixture) start() *fixture {
	s.t.Helper()
	if s.version == 0 {
		s.configure()
	}
	s.launch()
	s.waitFor("ready", func() bool { return s.readyStatus() == http.StatusOK })
	return s
}

// launch runs a gateway until the test ends and waits until it listens.
func (s *fixture) launch() {
	s.t.Helper()
	server := httptest.NewServer(s.storeHandler())
	storeLink, err := link.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	storeLink.SetBandwidth(s.storeBytesPerSecond)
	s.storeLink = storeLink
	s.t.Cleanup(storeLink.Close)
	var nodeSettings settings.Gateway
	text := fmt.Sprintf(`{"name":"g1","data_centre":"dc1","callers_listen":"127.0.0.1:0","readiness_listen":"127.0.0.1:0","metrics_listen":"127.0.0.1:0","store":%q,"drain_timeout":"5s","retry_allowance":3200%s}`, storeLink.Addr(), s.extraSettings)
	if err := settings.Decode([]byte(text), &nodeSettings); err != nil {
		s.t.Fatal(err)
	}
	writer := eventlog.NewWriter(s.log)
	dial := gateway.Dialer(time.Second)
	endpointClient := platform.NewEndpointClient(dial)
	store := platform.NewStore(nodeSettings.Store, dial)
	s.gateway = gateway.New(gateway.Config{
		Settings: nodeSettings, HeaderCodec: platform.HeaderCodec{}, Source: store, Registry: store, Checkpoints: store, Reserver: endpointClient, SlowdownReader: endpointClient, Statements: endpointClient,
		Log: eventlog.New(writer, nodeSettings.Name, "gateway"), LogWriter: writer,
		FirstConfigWait: s.firstConfigWait, Usage: s.usage,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		s.serveErr <- s.gateway.Serve(ctx, s.signals, func() (settings.Gateway, error) { return nodeSettings, nil })
	}()
	s.t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
		if s.t.Failed() {
			s.t.Log(s.logTail())
		}
	})
	s.waitFor("listening", func() bool { return s.gateway.CallersAddr() != "" })
}

// storeHandler serves the store's calls to the fixture's gateway.
func (s *fixture) storeHandler() http.Handler {
	store := s.store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.cutFromStore.Load() {
			http.Error(w, "refused by a test", http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	})
}

// logOf returns the log's lines about a request, and those about endpoints that are not reached, for failure messages.
func (s *fixture) logOf(id string) string {
	var lines []string
	for line := range strings.Lines(s.log.String()) {
		if strings.Contains(line, `"request":"`+id+`"`) || strings.Contains(line, `"event":"endpoint_unreachable"`) || strings.Contains(line, `"event":"endpoint_reachable"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// logTail returns the last lines of the log, for failure messages.
func (s *fixture) logTail() string {
	lines := strings.Split(s.log.String(), "\n")
	return strings.Join(lines[max(len(lines)-30, 0):], "\n")
}

// waitFor waits until a condition holds and fails the test after waitTimeout.
func (s *fixture) waitFor(what string, met func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !met() {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition not met: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *fixture) readyStatus() int {
	response, err := s.client.Get("http://" + s.gateway.ReadinessAddr() + "/-/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // the response broke off, or there was none
}

// request returns a caller's request.
func (s *fixture) request(method, path, id, body string) *http.Request {
	s.t.Helper()
	r, err := http.NewRequest(method, "http://"+s.gateway.CallersAddr()+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = host
	r.Header.Set("X-Aspenyard-Attempt-Id", id)
	r.Header.Set("X-Aspenyard-Deadline-Ms", "15000")
	r.Header.Set("Authorization", "Bearer "+key)
	return r
}

// do sends a request.
func (s *fixture) do(r *http.Request) callerResponse {
	response, err := s.client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(body), err}
}

// post sends a POST request with a body.
func (s *fixture) post(path, id string) callerResponse {
	s.t.Helper()
	return s.do(s.request(http.MethodPost, path, id, "body of "+id))
}

// runCount returns how often a request ran, over all workers.
func (s *fixture) runCount(id string) int {
	n := 0
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			if run.ID == id && run.Ran {
				n++
			}
		}
	}
	return n
}

// sumMetric returns the sum of the metric's series whose names and labels start with prefix.
func (s *fixture) sumMetric(prefix string) float64 {
	response, err := s.client.Get("http://" + s.gateway.MetricsAddr() + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	sum := 0.0
	for _, line := range strings.Split(string(data), "\n") {
		if !strings.HasPrefix(line, prefix) {
			continue
		}
		var value float64
		if _, err := fmt.Sscan(line[strings.LastIndexByte(line, ' ')+1:], &value); err == nil {
			sum += value
		}
	}
	return sum
}

func (s *fixture) sendSIGTERM() { s.signals <- syscall.SIGTERM }

func (s *fixture) sendSIGHUP() { s.signals <- syscall.SIGHUP }

// plainWorker returns a worker of a plain service.
func plainWorker() *standin.Worker { return &standin.Worker{} }

// streamingWorker returns a worker that streams the given number of events, 2 ms apart.
func streamingWorker(events int) *standin.Worker {
	return &standin.Worker{EventCount: events, EventInterval: 2 * time.Millisecond}
}
