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
	// readyInterval is how often the balancer asks, sampleInterval how often
	// reservations are looked at.
	readyInterval  = 500 * time.Millisecond
	readyTimeout   = time.Second
	sampleInterval = 200 * time.Millisecond
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
	keyCounted = "key-counted"

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

// post is an address at which endpoints live one after the other.
type post struct {
	addr string
	link *link.Link

	mu      sync.Mutex
	service string
	worker  *platform.Worker
	leaving bool
	silent  bool // writes no registration
	busy    bool // a fault is replacing the endpoint
}

// current is the worker that serves at the post; nil while there is none.
func (p *post) current() *platform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worker
}

// world is the system under test and its surroundings.
type world struct {
	config   Config
	record   *Record
	store    *platform.Store
	server   *http.Server
	gateways []*gateway
	posts    []*post
	client   *http.Client
	stop     context.CancelFunc
	stopped  context.Context
	running  sync.WaitGroup

	mu          sync.Mutex
	lives       int
	workers     []*platform.Worker // all lives
	faultCounts map[string]int
}

// newWorld starts the stand-ins and the gateways.
func newWorld(config Config) (*world, error) {
	w := &world{config: config, record: NewRecord(), store: platform.NewStore(), client: &http.Client{Timeout: readyTimeout}, faultCounts: map[string]int{}}
	w.stopped, w.stop = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w.server = &http.Server{Handler: w.store.Handler()}
	go func() { _ = w.server.Serve(listener) }()
	if err := w.populate(listener.Addr().String()); err != nil {
		w.close()
		return nil, err
	}
	for _, g := range w.gateways {
		w.running.Go(func() { g.supervise(w.record) })
	}
	w.running.Go(w.balance)
	w.running.Go(w.sampleHolds)
	w.running.Go(w.heartbeat)
	return w, nil
}

// populate makes endpoints, the first configuration and the gateways.
func (w *world) populate(storeAddr string) error {
	for service, n := range map[string]int{serviceModel: w.config.Engines, serviceApp: w.config.PlainEndpoints, serviceNext: w.config.PlainEndpoints} {
		for range n {
			p := &post{service: service}
			if err := w.settlePost(p); err != nil {
				return err
			}
			w.posts = append(w.posts, p)
		}
	}
	w.edit()
	for i := range w.config.Gateways {
		g, err := newGateway(fmt.Sprintf("g%d", i+1), storeAddr, &w.config)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return nil
}

// settlePost finds an address for a post and starts its first endpoint there.
func (w *world) settlePost(p *post) error {
	first := w.newWorker(p.service)
	if err := first.Start(); err != nil {
		return errors.WithStack(err)
	}
	p.addr, p.worker = first.Addr(), first
	var err error
	if p.link, err = link.New(p.addr); err != nil {
		return err
	}
	w.register(p)
	return nil
}

// A stream lasts for over a second, so that work that goes on for a caller who left, and
// requests that a stop cuts, can be seen.
const (
	streamEvents = 40
	eventPace    = 30 * time.Millisecond
	plainWork    = 10 * time.Millisecond
)

// newWorker makes an endpoint under an ID of its own.
func (w *world) newWorker(service string) *platform.Worker { return w.newLife("", service) }

// newLife makes the next life of an endpoint, under the ID that it had or, where that is
// empty, under a new one.
func (w *world) newLife(id, service string) *platform.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	if id == "" {
		id = fmt.Sprintf("i-%04d", w.lives)
	}
	worker := &platform.Worker{ID: id, StartUnixMilli: time.Now().UnixMilli(), Service: service, WorkTime: plainWork, CrashBody: crashBody}
	worker.OnCrash = func() { w.crashed(worker) }
	if service == serviceModel {
		worker.EventCount, worker.EventInterval, worker.WorkTime, worker.Slots, worker.MemoryTokens = streamEvents, eventPace, 0, 16, memoryTokens
	}
	w.workers = append(w.workers, worker)
	return worker
}

// register writes an endpoint's registration.
func (w *world) register(p *post) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.worker == nil || p.silent {
		return
	}
	state := "ready"
	if p.leaving {
		state = "draining"
	}
	w.store.Put("servers/"+p.worker.ID, p.worker.RegistrationAt(p.link.Addr(), state))
}

// heartbeat writes registrations again that have lapsed. Those that stand are renewed
// without a change that watches would show.
func (w *world) heartbeat() {
	for w.stopped.Err() == nil {
		sleep(w.stopped, heartbeatInterval)
		for _, p := range w.posts {
			p.mu.Lock()
			lapsed := p.worker != nil && w.store.Get("servers/"+p.worker.ID) == nil
			p.mu.Unlock()
			if lapsed {
				w.register(p)
			}
		}
	}
}

// edit writes the next version of the configuration, which differs from the last in all
// that may change.
func (w *world) edit() {
	w.record.mu.Lock()
	n := len(w.record.Edits)
	edit := ConfigEdit{WrittenAt: time.Now(), MovedService: serviceApp, HasExtraRoute: n%2 == 0, HasGuestKey: n%3 != 2}
	if n%2 == 1 {
		edit.MovedService = serviceNext
	}
	w.record.Edits = append(w.record.Edits, edit)
	w.record.mu.Unlock()
	w.store.Put("op/config", configuration(n, &edit))
	w.record.mu.Lock()
	w.record.Edits[n].AckedAt = time.Now()
	w.record.mu.Unlock()
}

// countedAccount names the account of keyCounted in an edit.
func countedAccount(edit int) string { return fmt.Sprintf("edit-%d", edit) }

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

// configuration is an edit as the operator writes it. Versions rise in uneven steps.
func configuration(n int, e *ConfigEdit) []byte {
	c := platform.Config{
		Version:  1 + n*(n+3),
		Services: []platform.Service{{Name: serviceModel, MaxConnections: maxConnections, MemoryTokens: memoryTokens}},
		Accounts: []platform.Account{{Name: accountPlain, Keys: []string{keyPlain}}, {Name: countedAccount(n), Keys: []string{keyCounted}}},
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

// balance asks all gateways whether they are ready, as the platform's balancer does.
func (w *world) balance() {
	for w.stopped.Err() == nil {
		var asking sync.WaitGroup
		for _, g := range w.gateways {
			asking.Go(func() { g.askReady(w.client) })
		}
		asking.Wait()
		sleep(w.stopped, readyInterval)
	}
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady(ctx context.Context, patience time.Duration) error {
	deadline := time.Now().Add(patience)
	for {
		waiting := ""
		for _, g := range w.gateways {
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
		time.Sleep(recoveryPoll)
	}
}

// sampleHolds looks at the reservations of all endpoints again and again.
func (w *world) sampleHolds() {
	for w.stopped.Err() == nil {
		now := time.Now()
		for _, p := range w.posts {
			worker := p.current()
			if worker == nil {
				continue
			}
			held, _, _ := worker.Reservations()
			for ticket := range held {
				w.record.seeHold(worker.Incarnation(), ticket, now)
			}
		}
		sleep(w.stopped, sampleInterval)
	}
}

// collectRuns copies the runs of all lives into the record.
func (w *world) collectRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Arrivals = nil
	for _, worker := range w.workers {
		for _, run := range worker.Runs() {
			w.record.Arrivals = append(w.record.Arrivals, Arrival{Run: run, Endpoint: worker.Incarnation(), Service: worker.Service})
		}
	}
}

// close ends every process that was started and every stand-in.
func (w *world) close() {
	w.stop()
	for _, g := range w.gateways {
		g.close()
	}
	w.running.Wait()
	_ = w.server.Close()
	for _, p := range w.posts {
		p.link.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		worker.Stop()
	}
}
