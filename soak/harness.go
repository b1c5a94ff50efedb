package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/directory"
	"aspenyard.example/standin/link"
	"aspenyard.example/standin/platform"
)

const (
	dataCentre = "dc1"
	host       = platform.Host
	// readinessInterval is the interval of the load balancer's readiness checks, sampleInterval
	// the interval at which reservations are sampled.
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = time.Second
	sampleInterval    = 200 * time.Millisecond
	// heartbeatInterval is the interval at which an endpoint renews its registration.
	heartbeatInterval = 1200 * time.Millisecond
	// memoryTokens is the size of an engine's KV cache, in tokens. It is small, so that even a
	// prompt that is prefilled quickly needs the KV cache of several engines.
	memoryTokens = 60_000
)

// dataCentres are those of the endpoints of each service, in turn.
var dataCentres = []string{dataCentre, "dc2"}

// Service names. The route "moved" alternates between serviceApp and serviceNext.
const (
	serviceModel = "model"
	serviceApp   = "app"
	serviceNext  = "app-next"
)

// API keys of client accounts. keyPlain is in every configuration and keyGuest only in some.
// keyPerEdit belongs to an account whose name contains the number of the configuration edit, so
// that a run shows which edit its gateway applied.
const (
	keyPlain   = "key-plain"
	keyGuest   = "key-guest"
	keyPerEdit = "key-counted"

	accountPlain = "acme"
	accountGuest = "guest"
)

// routes are the routes that callers request.
var routes = []*Route{
	{Name: "once", Kind: directory.NonIdempotent, Service: serviceApp, Timeout: 3 * time.Second},
	{Name: "again", Kind: directory.Idempotent, Service: serviceApp, Timeout: 2 * time.Second},
	{Name: "moved", Kind: directory.Idempotent, Timeout: 3 * time.Second},
	{Name: "extra", Kind: directory.Idempotent, Service: serviceApp, Timeout: 3 * time.Second, Optional: true},
	{Name: "stream", Kind: directory.Streaming, Resumable: true, Service: serviceModel, Events: streamEvents, Timeout: 10 * time.Second, PromptTokens: 4000},
	{Name: "tail", Kind: directory.Streaming, Service: serviceModel, Events: streamEvents, Timeout: 10 * time.Second, PromptTokens: 2000},
	{Name: "long", Kind: directory.Streaming, Resumable: true, Service: serviceModel, Events: streamEvents, Timeout: 10 * time.Second, PromptTokens: 58_000},
}

// maxAttempts is the attempt limit of every route.
const maxAttempts = 3

func init() {
	for _, r := range routes {
		r.MaxAttempts = maxAttempts
	}
}

// endpointPort is an address at which endpoints run one after another.
type endpointPort struct {
	addr string
	link *link.Link
	// dataCentre is where the endpoints at this address are.
	dataCentre string

	mu                 sync.Mutex
	service            string
	worker             *platform.Worker
	leaving            bool
	registrationPaused bool // no registration is written
	replacing          bool // a fault is replacing the endpoint
}

// currentWorker returns the endpoint that serves at the address, or nil if there is none.
func (p *endpointPort) currentWorker() *platform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worker
}

// harness holds the gateways under test and the stand-ins for everything around them.
type harness struct {
	// preferred is the gateway that gets most new connections; nil if none does.
	preferred atomic.Pointer[gateway]
	config    Config
	record    *Record
	store     *platform.Store
	server    *http.Server
	gateways  []*gateway
	ports     []*endpointPort
	client    *http.Client
	// bulk is the endpoint of serviceBulk. bodyLimit is the largest body that the configuration allows.
	bulk       platform.Bulk
	bodyLimit  int
	cancel     context.CancelFunc
	ctx        context.Context
	background sync.WaitGroup

	mu           sync.Mutex
	incarnations int
	workers      []*platform.Worker // of all incarnations
	faultCounts  map[string]int
	evacuating   map[string]bool // data centres that a fault is evacuating
	configWrites sync.Mutex      // held while a configuration is written
	largeConfigs atomic.Int32    // faults under way that make configurations large
}

// newHarness starts the stand-ins and the gateways.
func newHarness(config Config) (*harness, error) {
	h := &harness{config: config, record: NewRecord(), bodyLimit: maxBodyBytes, store: platform.NewStore(), client: &http.Client{Timeout: readinessTimeout}, faultCounts: map[string]int{}, evacuating: map[string]bool{}}
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
	h.background.Go(h.restoreRegistrations)
	h.background.Go(h.sampleMemory)
	return h, nil
}

// createComponents starts the endpoints, writes the first configuration and prepares the
// gateways.
func (h *harness) createComponents(storeAddr string) error {
	for service, n := range map[string]int{serviceModel: h.config.Engines, serviceApp: h.config.PlainEndpoints, serviceNext: h.config.PlainEndpoints} {
		for i := range n {
			p := &endpointPort{service: service, dataCentre: dataCentres[i%len(dataCentres)]}
			if err := h.openPort(p); err != nil {
				return err
			}
			h.ports = append(h.ports, p)
		}
	}
	if err := h.bulk.Start(); err != nil {
		return errors.WithStack(err)
	}
	h.store.Put("servers/i-bulk", h.bulk.Registration("i-bulk", serviceBulk))
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

// openPort starts the first endpoint of an endpointPort on a free address, which the port keeps.
func (h *harness) openPort(p *endpointPort) error {
	first := h.newWorker(p.service)
	first.DataCentre = p.dataCentre
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

// A stream takes more than a second, so that a run that continues after its caller disconnected
// and a request that a shutdown cut off can be observed.
const (
	streamEvents  = 40
	eventInterval = 30 * time.Millisecond
	plainRunTime  = 10 * time.Millisecond
)

// newWorker creates an endpoint with a new ID.
func (h *harness) newWorker(service string) *platform.Worker { return h.newIncarnation("", service) }

// newIncarnation creates an incarnation of the endpoint with the given ID, or of a new endpoint
// if the ID is empty.
func (h *harness) newIncarnation(id, service string) *platform.Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations++
	if id == "" {
		id = fmt.Sprintf("i-%04d", h.incarnations)
	}
	worker := &platform.Worker{ID: id, StartUnixMilli: time.Now().UnixMilli(), Service: service, WorkTime: plainRunTime, CrashBody: crashBody, CrashPart: crashPart, CutWait: cutWait}
	worker.OnCrash = func() { h.handleCrash(worker) }
	if service == serviceModel {
		worker.EventCount, worker.EventInterval, worker.WorkTime, worker.Slots, worker.MemoryTokens = streamEvents, eventInterval, 0, 16, memoryTokens
	}
	h.workers = append(h.workers, worker)
	return worker
}

// register writes the registration of the endpoint at p, unless there is none or its registration
// is paused.
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

// restoreRegistrations writes expired registrations again. Registrations that still exist are not
// rewritten, as renewing a lease changes nothing that a watch would show.
func (h *harness) restoreRegistrations() {
	for h.ctx.Err() == nil {
		sleep(h.ctx, heartbeatInterval)
		for _, p := range h.ports {
			p.mu.Lock()
			expired := p.worker != nil && h.store.Get("servers/"+p.worker.ID) == nil
			p.mu.Unlock()
			if expired {
				h.register(p)
			}
		}
	}
}

// writeConfig writes the next version of the configuration. Each version differs from the
// previous one in the service of the moved route and in whether it has the optional route; every
// third version lacks the guest key.
func (h *harness) writeConfig() {
	h.configWrites.Lock()
	defer h.configWrites.Unlock()
	h.record.mu.Lock()
	n := len(h.record.Edits)
	edit := ConfigEdit{WrittenAt: time.Now(), MovedService: serviceApp, HasExtraRoute: n%2 == 0, HasGuestKey: n%3 != 2}
	if n%2 == 1 {
		edit.MovedService = serviceNext
	}
	h.record.Edits = append(h.record.Edits, edit)
	h.record.mu.Unlock()
	h.store.Put("op/config", encodeConfig(n, &edit, h.bodyLimit, h.largeConfigs.Load() > 0))
	h.record.mu.Lock()
	h.record.Edits[n].AckedAt = time.Now()
	h.record.mu.Unlock()
}

// accountOfEdit returns the name of the account of keyPerEdit in an edit.
func accountOfEdit(edit int) string { return fmt.Sprintf("edit-%d", edit) }

// Latency objectives of the routes and limits on what callers may send.
const (
	routeTarget      = time.Second
	routeTargetPause = 500 * time.Millisecond
	maxHeaderBytes   = 8192
	maxBodyBytes     = 65536
	headerTimeout    = 3 * time.Second
	idleTimeout      = 15 * time.Second
	maxConnections   = 1000
)

// encodeConfig encodes edit n as the operator writes it. Version numbers increase by more than
// one and by a different step each time.
func encodeConfig(n int, e *ConfigEdit, bodyLimit int, large bool) []byte {
	c := platform.Config{
		Version: 1 + n*(n+3),
		Services: []platform.Service{
			{Name: serviceModel, MaxConnections: maxConnections, MemoryTokens: memoryTokens, ColdTime: coldTime, ColdPerSecond: coldPerSecond},
			{Name: serviceApp, MaxConnections: maxConnections, ColdTime: coldTime, ColdPerSecond: coldPerSecond},
			{Name: serviceNext, MaxConnections: maxConnections, ColdTime: coldTime, ColdPerSecond: coldPerSecond},
			{Name: serviceBulk, MaxConnections: maxConnections},
		},
		Accounts: []platform.Account{{Name: accountPlain, Keys: []string{keyPlain}}, {Name: accountOfEdit(n), Keys: []string{keyPerEdit}}},
		Limits:   platform.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: bodyLimit, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	if e.HasGuestKey {
		c.Accounts = append(c.Accounts, platform.Account{Name: accountGuest, Keys: []string{keyGuest}})
	}
	for _, r := range slices.Concat(routes, bulkRoutes, stopRoutes) {
		if r.Optional && !e.HasExtraRoute {
			continue
		}
		service := r.Service
		if service == "" {
			service = e.MovedService
		}
		c.Routes = append(c.Routes, platform.Route{
			Name: r.Name, Host: host, Prefix: "/" + r.Name + "/", Kind: r.Kind.String(), Service: service, Resumable: r.Resumable,
			Timeout: r.Timeout, Target: routeTarget, TargetPause: routeTargetPause, MaxAttempts: r.MaxAttempts,
		})
	}
	if large {
		appendLargeConfigRoutes(&c)
	}
	return c.Encode()
}

// pollReadiness checks the readiness of all gateways periodically, as the platform's load
// balancer does.
func (h *harness) pollReadiness() {
	for h.ctx.Err() == nil {
		var checks sync.WaitGroup
		for _, g := range h.gateways {
			checks.Go(func() { g.updateReady(h.client) })
		}
		checks.Wait()
		sleep(h.ctx, readinessInterval)
	}
}

// awaitReady waits until all gateways are ready and returns an error after the timeout.
func (h *harness) awaitReady(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
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
			return errors.Errorf("gateway %s is not ready after %v", waiting, timeout)
		}
		time.Sleep(pollInterval)
	}
}

// sampleReservations records the reservations that endpoints hold, periodically.
func (h *harness) sampleReservations() {
	for h.ctx.Err() == nil {
		now := time.Now()
		for _, p := range h.ports {
			worker := p.currentWorker()
			if worker == nil {
				continue
			}
			held, _, _ := worker.Reservations()
			for id := range held {
				h.record.observeReservation(worker.Incarnation(), id, now)
			}
		}
		sleep(h.ctx, sampleInterval)
	}
}

// collectArrivals copies the arrivals at all endpoint incarnations into the record.
func (h *harness) collectArrivals() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Arrivals = nil
	for _, worker := range h.workers {
		for _, run := range worker.Runs() {
			h.record.Arrivals = append(h.record.Arrivals, Arrival{Run: run, Endpoint: worker.Incarnation(), Service: worker.Service, DataCentre: worker.DataCentre})
		}
	}
}

// close ends every gateway process and every stand-in.
func (h *harness) close() {
	h.cancel()
	for _, g := range h.gateways {
		g.close()
	}
	h.background.Wait()
	_ = h.server.Close()
	h.bulk.Stop()
	for _, p := range h.ports {
		p.link.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, worker := range h.workers {
		worker.Stop()
	}
}
