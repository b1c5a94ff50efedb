package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/directory"
	"aspenyard.example/standin/link"
	"aspenyard.example/standin/platform"
)

const (
	dataCentre = "dc1"
	host       = platform.Host
	// readinessInterval is how often the balancer asks, sampleInterval how often
	// reservations are looked at.
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = time.Second
	sampleInterval    = 200 * time.Millisecond
	// heartbeatInterval is how often an endpoint writes its registration.
	heartbeatInterval = 1200 * time.Millisecond
	// memoryTokens is the KV cache of an engine: so small that a prompt of a size that is
	// prefilled quickly needs several engines'.
	memoryTokens = 60_000
)

// Services.
const (
	serviceModel = "model"
	serviceApp   = "app"
	serviceNext  = "app-next"
)

// Keys of client accounts: the plain one is always there, the guest's comes and goes,
// and the counted one belongs to an account that is named for the edit.
const (
	keyPlain   = "key-plain"
	keyGuest   = "key-guest"
	keyPerEdit = "key-counted"

	accountPlain = "acme"
	accountGuest = "guest"
)

// routes are what callers ask for.
var routes = []*Route{
	{Name: "once", Kind: directory.NonIdempotent, Service: serviceApp, Timeout: 3 * time.Second},
	{Name: "again", Kind: directory.Idempotent, Service: serviceApp, Timeout: 2 * time.Second},
	{Name: "moved", Kind: directory.Idempotent, Timeout: 3 * time.Second},
	{Name: "extra", Kind: directory.Idempotent, Service: serviceApp, Timeout: 3 * time.Second, Optional: true},
	{Name: "stream", Kind: directory.Streaming, Resumable: true, Service: serviceModel, Events: streamEvents, Timeout: 10 * time.Second, PromptTokens: 4000},
	{Name: "tail", Kind: directory.Streaming, Service: serviceModel, Events: streamEvents, Timeout: 10 * time.Second, PromptTokens: 2000},
	{Name: "long", Kind: directory.Streaming, Resumable: true, Service: serviceModel, Events: streamEvents, Timeout: 10 * time.Second, PromptTokens: 58_000},
}

// maxAttempts is every route's.
const maxAttempts = 3

func init() {
	for _, r := range routes {
		r.MaxAttempts = maxAttempts
	}
}

// endpointPort is an address at which endpoints live one after the other.
type endpointPort struct {
	addr string
	link *link.Link

	mu                 sync.Mutex
	service            string
	worker             *platform.Worker
	leaving            bool
	registrationPaused bool // writes no registration
	replacing          bool // a fault is replacing the endpoint
}

// currentWorker is the worker that serves at the post; nil while there is none.
func (p *endpointPort) currentWorker() *platform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worker
}

// harness is the system under test and its surroundings.
type harness struct {
	config     Config
	record     *Record
	store      *platform.Store
	server     *http.Server
	gateways   []*gateway
	ports      []*endpointPort
	client     *http.Client
	cancel     context.CancelFunc
	ctx        context.Context
	background sync.WaitGroup

	mu           sync.Mutex
	incarnations int
	workers      []*platform.Worker // all lives
	faultCounts  map[string]int
}

// newHarness starts the stand-ins and the gateways.
func newHarness(config Config) (*harness, error) {
	h := &harness{config: config, record: NewRecord(), store: platform.NewStore(), client: &http.Client{Timeout: readinessTimeout}, faultCounts: map[string]int{}}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.server = &http.Server{Handler: h.store.Handler()}
	go func() { _ = h.server.Serve(listener) }()
	if err := h.createComponents(listener.Addr().String()); err != nil {
		h.close()
		return nil, err
	}
	for _, g := range h.gateways {
		h.background.Go(func() { g.supervise(h.record) })
	}
	h.background.Go(h.pollReadiness)
	h.background.Go(h.sampleReservations)
	h.background.Go(h.renewRegistrations)
	return h, nil
}

// createComponents makes endpoints, the first configuration and the gateways.
func (h *harness) createComponents(storeAddr string) error {
	for service, n := range map[string]int{serviceModel: h.config.Engines, serviceApp: h.config.PlainEndpoints, serviceNext: h.config.PlainEndpoints} {
		for range n {
			p := &endpointPort{service: service}
			if err := h.openPort(p); err != nil {
				return err
			}
			h.ports = append(h.ports, p)
		}
	}
	h.writeConfig()
	for i := range h.config.Gateways {
		g, err := newGateway(fmt.Sprintf("g%d", i+1), storeAddr, &h.config)
		if err != nil {
			return err
		}
		h.gateways = append(h.gateways, g)
	}
	return nil
}

// openPort finds an address for a post and starts its first endpoint there.
func (h *harness) openPort(p *endpointPort) error {
	first := h.newWorker(p.service)
	if err := first.Start(); err != nil {
		return errors.WithStack(err)
	}
	p.addr, p.worker = first.Addr(), first
	var err error
	if p.link, err = link.New(p.addr); err != nil {
		return err
	}
	h.register(p)
	return nil
}

// A stream lasts for over a second, so that work that goes on for a caller who left, and
// requests that a stop cuts, can be seen.
const (
	streamEvents  = 40
	eventInterval = 30 * time.Millisecond
	plainRunTime  = 10 * time.Millisecond
)

// newWorker makes an endpoint under an ID of its own.
func (h *harness) newWorker(service string) *platform.Worker { return h.newIncarnation("", service) }

// newIncarnation makes the next life of an endpoint, under the ID that it had or, where that is
// empty, under a new one.
func (h *harness) newIncarnation(id, service string) *platform.Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations++
	if id == "" {
		id = fmt.Sprintf("i-%04d", h.incarnations)
	}
	worker := &platform.Worker{ID: id, StartUnixMilli: time.Now().UnixMilli(), Service: service, WorkTime: plainRunTime, CrashBody: crashBody}
	worker.OnCrash = func() { h.handleCrash(worker) }
	if service == serviceModel {
		worker.EventCount, worker.EventInterval, worker.WorkTime, worker.Slots, worker.MemoryTokens = streamEvents, eventInterval, 0, 16, memoryTokens
	}
	h.workers = append(h.workers, worker)
	return worker
}

// register writes an endpoint's registration.
func (h *harness) register(p *endpointPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.worker == nil || p.registrationPaused {
		return
	}
	state := "ready"
	if p.leaving {
		state = "draining"
	}
	h.store.Put("servers/"+p.worker.ID, p.worker.RegistrationAt(p.link.Addr(), state))
}

// renewRegistrations writes registrations again that have lapsed. Those that stand are renewed
// without a change that watches would show.
func (h *harness) renewRegistrations() {
	for h.ctx.Err() == nil {
		sleep(h.ctx, heartbeatInterval)
		for _, p := range h.ports {
			p.mu.Lock()
			lapsed := p.worker != nil && h.store.Get("servers/"+p.worker.ID) == nil
			p.mu.Unlock()
			if lapsed {
				h.register(p)
			}
		}
	}
}

// writeConfig writes the next version of the configuration, which differs from the last in all
// that may change.
func (h *harness) writeConfig() {
	h.record.mu.Lock()
	n := len(h.record.Edits)
	edit := ConfigEdit{WrittenAt: time.Now(), MovedService: serviceApp, HasExtraRoute: n%2 == 0, HasGuestKey: n%3 != 2}
	if n%2 == 1 {
		edit.MovedService = serviceNext
	}
	h.record.Edits = append(h.record.Edits, edit)
	h.record.mu.Unlock()
	h.store.Put("op/config", encodeConfig(n, &edit))
	h.record.mu.Lock()
	h.record.Edits[n].AckedAt = time.Now()
	h.record.mu.Unlock()
}

// accountOfEdit names the account of keyCounted in an edit.
func accountOfEdit(edit int) string { return fmt.Sprintf("edit-%d", edit) }

// Bounds of the routes and of what callers may send.
const (
	routeTarget    = time.Second
	routeTargetGap = 500 * time.Millisecond
	maxHeaderBytes = 8192
	maxBodyBytes   = 65536
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxConnections = 1000
)

// encodeConfig is an edit as the operator writes it. Versions rise in uneven steps.
func encodeConfig(n int, e *ConfigEdit) []byte {
	c := platform.Config{
		Version:  1 + n*(n+3),
		Services: []platform.Service{{Name: serviceModel, MaxConnections: maxConnections, MemoryTokens: memoryTokens}},
		Accounts: []platform.Account{{Name: accountPlain, Keys: []string{keyPlain}}, {Name: accountOfEdit(n), Keys: []string{keyPerEdit}}},
		Limits:   platform.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	if e.HasGuestKey {
		c.Accounts = append(c.Accounts, platform.Account{Name: accountGuest, Keys: []string{keyGuest}})
	}
	for _, r := range routes {
		if r.Optional && !e.HasExtraRoute {
			continue
		}
		service := r.Service
		if service == "" {
			service = e.MovedService
		}
		c.Routes = append(c.Routes, platform.Route{
			Name: r.Name, Host: host, Prefix: "/" + r.Name + "/", Kind: r.Kind.String(), Service: service, Resumable: r.Resumable,
			Timeout: r.Timeout, Target: routeTarget, TargetPause: routeTargetGap, MaxAttempts: r.MaxAttempts,
		})
	}
	return c.Encode()
}

// pollReadiness asks all gateways whether they are ready, as the platform's balancer does.
func (h *harness) pollReadiness() {
	for h.ctx.Err() == nil {
		var asking sync.WaitGroup
		for _, g := range h.gateways {
			asking.Go(func() { g.updateReady(h.client) })
		}
		asking.Wait()
		sleep(h.ctx, readinessInterval)
	}
}

// awaitReady waits until all gateways are ready.
func (h *harness) awaitReady(ctx context.Context, patience time.Duration) error {
	deadline := time.Now().Add(patience)
	for {
		waiting := ""
		for _, g := range h.gateways {
			if !g.isReady() {
				waiting = g.name
			}
		}
		switch {
		case waiting == "":
			return nil
		case ctx.Err() != nil:
			return errors.WithStack(ctx.Err())
		case time.Now().After(deadline):
			return errors.Errorf("%s is not ready after %v", waiting, patience)
		}
		time.Sleep(pollInterval)
	}
}

// sampleReservations looks at the reservations of all endpoints again and again.
func (h *harness) sampleReservations() {
	for h.ctx.Err() == nil {
		now := time.Now()
		for _, p := range h.ports {
			worker := p.currentWorker()
			if worker == nil {
				continue
			}
			held, _, _ := worker.Reservations()
			for ticket := range held {
				h.record.observeReservation(worker.Incarnation(), ticket, now)
			}
		}
		sleep(h.ctx, sampleInterval)
	}
}

// collectArrivals copies the runs of all lives into the record.
func (h *harness) collectArrivals() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Arrivals = nil
	for _, worker := range h.workers {
		for _, run := range worker.Runs() {
			h.record.Arrivals = append(h.record.Arrivals, Arrival{Run: run, Endpoint: worker.Incarnation(), Service: worker.Service})
		}
	}
}

// close ends every process that was started and every stand-in.
func (h *harness) close() {
	h.cancel()
	for _, g := range h.gateways {
		g.close()
	}
	h.background.Wait()
	_ = h.server.Close()
	for _, p := range h.ports {
		p.link.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, worker := range h.workers {
		worker.Stop()
	}
}
