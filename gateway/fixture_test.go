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
	"syscall"
	"testing"
	"time"

	"aspenyard.example/eventlog"
	"aspenyard.example/gateway"
	"aspenyard.example/platform"
	"aspenyard.example/settings"
	standin "aspenyard.example/standin/platform"
)

// patience bounds every wait on a condition; only a fault makes a test wait so long.
const patience = 30 * time.Second

// site is a gateway before the stand-ins of its platform.
type site struct {
	t       *testing.T
	store   *standin.Store
	workers []*standin.Worker
	gateway *gateway.Gateway
	signals chan os.Signal
	ended   chan error
	log     *lockedBuffer
	version int
	routes  []map[string]any
	limits  map[string]any
	keys    []string
	client  *http.Client
	// own are more fields of the settings.
	own string
	// firstWait is how long requests wait for the first configuration; 0: the default.
	firstWait time.Duration
}

// lockedBuffer collects the log.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

const (
	host = "front.example"
	key  = "key-1"
)

// route makes a route to service "app".
func route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_kind": kind, "timeout_ms": 20000, "target_latency_ms": 2000, "target_gap_ms": 500,
		"priority": 1, "service": "app", "max_attempts": 2, "public": false, "resumable": kind == "streaming",
	}
}

// newSite prepares stand-ins with workers of service "app"; start starts the gateway.
func newSite(t *testing.T, workers ...*standin.Worker) *site {
	t.Helper()
	s := &site{
		t: t, store: standin.NewStore(), workers: workers, signals: make(chan os.Signal, 4), ended: make(chan error, 1), log: &lockedBuffer{}, keys: []string{key},
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

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.version += 3
	s.store.Put("op/config", s.config())
}

func (s *site) config() []byte {
	services := []map[string]any{{"name": "app", "health_path": "/healthz", "max_conns": 100}, {"name": "model", "max_conns": 100, "engine": standin.SmallEngine(400_000)}}
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
func (s *site) start() *site {
	s.t.Helper()
	if s.version == 0 {
		s.configure()
	}
	s.boot()
	s.until("ready", func() bool { return s.ready() == http.StatusOK })
	return s
}

// boot runs a gateway until the test ends.
func (s *site) boot() {
	s.t.Helper()
	server := httptest.NewServer(s.store.Handler())
	var own settings.Gateway
	text := fmt.Sprintf(`{"name":"g1","data_centre":"dc1","callers_listen":"127.0.0.1:0","readiness_listen":"127.0.0.1:0","metrics_listen":"127.0.0.1:0","store":%q,"drain_timeout":"5s","retry_allowance":3200%s}`, strings.TrimPrefix(server.URL, "http://"), s.own)
	if err := settings.Decode([]byte(text), &own); err != nil {
		s.t.Fatal(err)
	}
	writer := eventlog.NewWriter(s.log)
	dial := gateway.Dialer(time.Second)
	orders := platform.NewOrders(dial)
	store := platform.NewStore(own.Store, dial)
	s.gateway = gateway.New(gateway.Config{
		Settings: own, Dialect: platform.Wire{}, Source: store, Registry: store, Reserver: orders, Pacer: orders,
		Log: eventlog.New(writer, own.Name, "gateway"), LogWriter: writer,
		FirstWait: s.firstWait,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		s.ended <- s.gateway.Serve(ctx, s.signals, func() (settings.Gateway, error) { return own, nil })
	}()
	s.t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
		if s.t.Failed() {
			s.t.Log(s.logTail())
		}
	})
	s.until("listening", func() bool { return s.gateway.CallersAddr() != "" })
}

// logTail is the end of the log, for failures.
func (s *site) logTail() string {
	lines := strings.Split(s.log.String(), "\n")
	return strings.Join(lines[max(len(lines)-30, 0):], "\n")
}

// until waits for a condition.
func (s *site) until(what string, met func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(patience)
	for !met() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not met: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *site) ready() int {
	response, err := s.client.Get("http://" + s.gateway.ReadinessAddr() + "/-/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the answer broke off, or there was none
}

// request makes a caller's request.
func (s *site) request(method, path, id, body string) *http.Request {
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
func (s *site) do(r *http.Request) answer {
	response, err := s.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err}
}

// post sends a request with a body.
func (s *site) post(path, id string) answer {
	s.t.Helper()
	return s.do(s.request(http.MethodPost, path, id, "body of "+id))
}

// runs counts how often a request ran at any worker.
func (s *site) runs(id string) int {
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

// metric sums the series of a metric whose name and labels begin so.
func (s *site) metric(prefix string) float64 {
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

func (s *site) terminate() { s.signals <- syscall.SIGTERM }

func (s *site) hangUp() { s.signals <- syscall.SIGHUP }

// plain and streaming make workers.
func plain() *standin.Worker { return &standin.Worker{} }

func streaming(events int) *standin.Worker {
	return &standin.Worker{Events: events, Pace: 2 * time.Millisecond}
}
