// Package gateway implements the process that accepts callers' requests and calls endpoints
// directly over HTTP, without an agent beside them. It selects the endpoint that runs each
// request, relays the response, and resumes streams at another endpoint when one fails.
//
// A gateway has no persistent state. It reads routes, accounts and endpoints from the
// platform's store, derives the load of endpoints from its own requests and its peers'
// heartbeats, and relies on what an endpoint reports for whether a request ran there.
package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/attempt"
	"aspenyard.example/attempt/crashcause"
	"aspenyard.example/burn/window"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/gateway/storewatch"
	"aspenyard.example/graceful"
	"aspenyard.example/intake"
	"aspenyard.example/membership"
	"aspenyard.example/routing/direct"
	"aspenyard.example/settings"
)

// Gateway is one gateway process. New creates it and Serve runs it.
type Gateway struct {
	settings        settings.Gateway
	headerCodec     HeaderCodec
	source          directory.Source
	reserver        Reserver
	log             *zap.Logger
	requestLogs     *eventlog.RequestLogs
	metrics         *metrics.Set
	snapshot        atomic.Pointer[directory.Snapshot]
	loadTracker     *direct.LoadTracker
	policy          *direct.Policy
	retries         *admission.RetryWindow
	admission       *admissionControl
	quarantine      *attempt.Quarantine
	verdicts        *verdicts
	crashCauses     *crashcause.Tracker
	shedding        *admission.ConnectionShedding
	returns         *admission.Returns
	capacityAt      atomic.Int64 // when the services' capacity was last updated, in nanoseconds since started
	pool            *pool
	callers         *callerServer
	prober          *prober
	longQueue       *admission.Semaphore // orders waiting long prompts; its holder starts next
	outsideQueue    atomic.Int64         // long prompts that wait outside of it
	registry        directory.Registry
	slowdownReader  SlowdownReader
	slowdownMonitor *slowdownMonitor
	divisions       *divisions
	peers           *peers
	feed            *feed
	peerLoop        atomic.Pointer[membership.Loop] // nil until the first registration
	bytes           *admission.ByteAccount          // what is held for callers
	slowCallers     slowCallers
	traffic         traffic
	pressure        *pressureMonitor
	suspensions     suspensions
	responseSizes   admission.ResponseSizes
	responseTimes   admission.ResponseTimes
	active          atomic.Int64 // callers' requests in flight
	releasing       atomic.Int64 // requests whose reservations are being released
	objectives      *window.Counter
	// watcher keeps snapshot up to date. Its goroutine alone uses loggedUnknownRegions, the regions of the
	// configuration in force that are logged as unknown.
	watcher              *storewatch.Watcher
	loggedUnknownRegions map[string]bool
	// configAppliedAt is when the current configuration came into force, in nanoseconds since started.
	configAppliedAt atomic.Int64
	// currentAt is when the state was last known to be current, in nanoseconds since boot; 0 if it never
	// was.
	currentAt atomic.Int64
	// configCurrentAt is when the configuration was last known to be the newest, likewise.
	configCurrentAt atomic.Int64
	// A drain begins both: by shutdown final responses are due, by closing those that have begun are broken off. The
	// first counts from the earliest moment at which the signal may have been sent, the second from when it was noticed.
	shutdown, closing graceful.Shutdown
	started           time.Time
	// configured is closed when the first configuration comes into force.
	configured      chan struct{}
	firstConfigWait time.Duration

	// The bound addresses, as strings; unset until Serve listens.
	callersAddr, readinessAddr, metricsAddr atomic.Value
}

// CallersAddr returns the address that serves callers; it is empty until Serve listens.
func (g *Gateway) CallersAddr() string { return loadAddr(&g.callersAddr) }

// ReadinessAddr returns the address that answers the load balancer's readiness checks; it is
// empty until Serve listens.
func (g *Gateway) ReadinessAddr() string { return loadAddr(&g.readinessAddr) }

// MetricsAddr returns the address that serves metrics; it is empty until Serve listens and
// where the settings name none.
func (g *Gateway) MetricsAddr() string { return loadAddr(&g.metricsAddr) }

func loadAddr(v *atomic.Value) string {
	addr, _ := v.Load().(string)
	return addr
}

// Config holds the settings and the dependencies of a Gateway.
type Config struct {
	Settings    settings.Gateway
	HeaderCodec HeaderCodec
	Source      directory.Source
	Reserver    Reserver
	Registry    directory.Registry
	// Checkpoints may be nil; entries that start then read all items.
	Checkpoints directory.CheckpointStore
	// SlowdownReader may be nil; slow endpoints are then not detected.
	SlowdownReader SlowdownReader
	// Statements may be nil; what endpoints state in responses to orders and queries is then not
	// used.
	Statements StatementSource
	// Usage measures the process; by default what the operating system reports is used.
	Usage UsageReader
	Log   *zap.Logger
	// LogWriter is the writer behind Log; a metric reports the lines that it drops. May be nil.
	LogWriter *eventlog.Writer
	// FirstConfigWait is how long after the start requests wait for the first configuration;
	// later ones are refused at once while there is none. Default 400 ms: a healthy store
	// answers a full read 24 to 170 ms after the start, and a caller that is refused before
	// that retries late. While the store is unavailable, the wait delays these refusals.
	FirstConfigWait time.Duration
}

const defaultFirstConfigWait = 400 * time.Millisecond

// New creates a gateway from c; Serve runs it.
func New(c Config) *Gateway {
	loadTracker := direct.NewLoadTracker()
	if c.Settings.PeersListen == "" {
		loadTracker.SetRank(0, 1) // without heartbeats from other entries it counts as the only one
	}
	g := &Gateway{
		settings: c.Settings, headerCodec: c.HeaderCodec, source: c.Source, reserver: c.Reserver, registry: c.Registry, log: c.Log, requestLogs: eventlog.NewRequestLogs(c.Log),
		metrics: metrics.NewSet(), loadTracker: loadTracker, policy: direct.NewPolicy(loadTracker, globalRand{}), pool: newPool(), objectives: window.New(), started: time.Now(),
		configured: make(chan struct{}), firstConfigWait: cmp.Or(c.FirstConfigWait, defaultFirstConfigWait),
	}
	g.crashCauses, g.shedding = crashcause.NewTracker(), admission.NewConnectionShedding()
	g.quarantine = attempt.NewQuarantine(g.crashCauses.Explained)
	g.verdicts = newVerdicts(g)
	g.admission = newAdmissionControl(&c.Settings)
	g.returns = admission.NewReturns(g.started, c.Settings.Name)
	g.bytes = admission.NewByteAccount(heldBound(c.Settings.MemoryLimit))
	g.retries = admission.NewRetryWindow(time.Now(), retryLimits(c.Settings))
	g.snapshot.Store(directory.EmptySnapshot())
	g.pool.idleLimit, g.pool.traffic = g.idleConnsFor, &g.traffic
	g.suspensions.gateway = g
	g.pressure = newPressureMonitor(g, &c.Settings, c.Usage)
	g.callers = newCallerServer(g)
	g.prober = newProber(g)
	g.slowdownReader, g.slowdownMonitor = c.SlowdownReader, newSlowdownMonitor(g)
	g.divisions = &divisions{gateway: g, logged: map[string]loggedDivision{}}
	g.peers = &peers{gateway: g, eraNoticed: make(chan struct{}, 1), lastSent: map[direct.EndpointHash]direct.EndpointLoad{}, delays: newPeerDelays(g.started), incarnations: map[string]uint64{}}
	g.feed = &feed{gateway: g}
	g.watcher = g.newWatcher(&c)
	g.longQueue = admission.NewSemaphore(1)
	g.configureCold()
	g.registerMetrics(c.LogWriter)
	if observer, ok := c.Source.(directory.CallObserver); ok {
		observer.ObserveCalls(g.countStoreCall)
	}
	if c.Statements != nil {
		c.Statements.ObserveResponses(g.observeCallResponse)
	}
	return g
}

// goMemoryLimitShare is the part of the process's memory limit that is set as the Go runtime's
// soft limit, near which garbage is collected more eagerly. The rest is for stacks, kernel
// buffers and the binary.
const goMemoryLimitShare = 0.45

// Serve runs the gateway until ctx ends, a drain is complete or a server fails. SIGHUP reads the
// settings again through reload; any other signal starts a drain, and an interrupt during the
// drain stops the process at once. It returns an error only if a port cannot be opened or a
// server fails.
func (g *Gateway) Serve(ctx context.Context, signals <-chan os.Signal, reload func() (settings.Gateway, error)) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	debug.SetMemoryLimit(int64(float64(g.settings.MemoryLimit) * goMemoryLimitShare))
	failures := make(chan error, 3)
	if err := g.listen(ctx, failures); err != nil {
		return err
	}
	go g.watcher.Run(ctx)
	go g.pressure.run(ctx)
	if g.settings.PeersListen != "" {
		go g.peers.keepRegistered(ctx)
	}
	g.log.Info("start", zap.String("callers", g.settings.CallersListen), zap.String("store", g.settings.Store))
	for {
		select {
		case err := <-failures:
			return err
		case <-ctx.Done():
			g.callers.close()
			return nil
		case signal := <-signals:
			if signal == syscall.SIGHUP {
				g.reload(reload)
				continue
			}
			g.drain(signals)
			g.peers.deregister()
			return nil
		}
	}
}

// listen opens the ports and serves them in the background; failures receives the errors of
// servers that stop.
func (g *Gateway) listen(ctx context.Context, failures chan<- error) error {
	type port struct {
		addr    string
		handler http.Handler
		bound   *atomic.Value
	}
	ports := []port{{g.settings.ReadinessListen, g.readinessHandler(), &g.readinessAddr}}
	if g.settings.MetricsListen != "" {
		ports = append(ports, port{g.settings.MetricsListen, g.metricsHandler(), &g.metricsAddr})
	}
	for _, p := range ports {
		listener, err := intake.Listen(ctx, p.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		p.bound.Store(listener.Addr().String())
		go func() {
			if err := (intake.Port{}).Serve(ctx, listener, p.handler); err != nil {
				failures <- errors.Wrapf(err, "serve %s", p.addr)
			}
		}()
	}
	listener, err := intake.ListenWith(ctx, g.settings.CallersListen, callerSendBuffer)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	g.callersAddr.Store(listener.Addr().String())
	go func() {
		if err := g.callers.serve(listener); err != nil {
			failures <- err
		}
	}()
	return nil
}

func retryLimits(s settings.Gateway) admission.RetryLimits {
	return admission.RetryLimits{Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Window: s.RetryWindow.D()}
}

func (g *Gateway) reload(load func() (settings.Gateway, error)) {
	next, err := load()
	if err != nil {
		g.log.Error("reload_refused", eventlog.Error(err))
		return
	}
	g.retries.SetLimits(retryLimits(next))
	g.log.Info("reload", zap.Float64("retry_ratio", next.RetryRatio), zap.Float64("retry_allowance", next.RetryAllowance))
}

// checkReady returns nil if the load balancer may send callers to this gateway, or else an
// error that says why not.
func (g *Gateway) checkReady() error {
	switch {
	case g.draining():
		return errors.New("draining")
	case g.snapshot.Load().Config == nil:
		return errors.New("no configuration yet")
	case g.watcher.ConfigAwaited() > g.settings.ConfigWithin.D():
		// Other nodes may have it. What arrives nevertheless is served: a configuration that all nodes get late must not
		// end all service.
		return errors.New("a newer configuration is known of and not in force")
	}
	return nil
}

// Ready reports whether the gateway listens and callers may be sent to it.
func (g *Gateway) Ready() bool { return g.CallersAddr() != "" && g.checkReady() == nil }

func (g *Gateway) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := g.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
}

// globalRand is the process-wide random number generator, safe for concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

func (globalRand) Float64() float64 { return rand.Float64() }
