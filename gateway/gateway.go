// Package gateway is the entry's process where endpoints are called directly over
// HTTP, without an agent beside them. It takes callers' requests, decides which
// endpoint runs each, relays the answer and resumes streams elsewhere when an
// endpoint fails.
//
// A gateway keeps nothing: what it believes of routes, accounts and endpoints comes
// from the platform's store, what it believes of their load from its own requests,
// and an endpoint's own word decides what has run.
package gateway

import (
	"cmp"
	"context"
	"net"
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
	"aspenyard.example/burn/window"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/membership"
	"aspenyard.example/routing/direct"
	"aspenyard.example/settings"
)

// Gateway is one process.
type Gateway struct {
	settings       settings.Gateway
	dialect        Dialect
	source         directory.Source
	reserver       Reserver
	log            *zap.Logger
	requestLogs    *eventlog.RequestLogs
	metrics        *metrics.Set
	snapshot       atomic.Pointer[directory.Snapshot]
	ledger         *direct.LoadTracker
	policy         *direct.Policy
	retries        *admission.RetryWindow
	quarantine     *attempt.Quarantine
	pool           *pool
	callers        *callerServer
	prober         *prober
	longQueue      *admission.Semaphore
	registry       directory.Registry
	slowdownReader SlowdownReader
	paces          *slowdownMonitor
	peers          *peers
	peerLoop       atomic.Pointer[membership.Loop]
	active         atomic.Int64
	releasing      atomic.Int64 // requests whose memory is being given back
	objectives     *window.Counter
	// configAppliedAt is when the configuration came into force, storeAnsweredAt when the store last
	// answered, both in nanoseconds since start.
	configAppliedAt, storeAnsweredAt atomic.Int64
	drainStartedAt                   atomic.Int64 // when the drain began, in nanoseconds since start; 0: serving
	started                          time.Time
	// configured is closed when the first configuration is in force.
	configured      chan struct{}
	firstConfigWait time.Duration

	// The addresses that are listened on, once they are.
	callersAddr, readinessAddr, metricsAddr atomic.Value
}

// CallersAddr is where callers are served; empty until Serve listens.
func (g *Gateway) CallersAddr() string { return loadAddr(&g.callersAddr) }

// ReadinessAddr is where the balancer asks; empty until Serve listens.
func (g *Gateway) ReadinessAddr() string { return loadAddr(&g.readinessAddr) }

// MetricsAddr is where metrics are served; empty until Serve listens.
func (g *Gateway) MetricsAddr() string { return loadAddr(&g.metricsAddr) }

func loadAddr(v *atomic.Value) string {
	addr, _ := v.Load().(string)
	return addr
}

// Config is what a gateway is made of.
type Config struct {
	Settings settings.Gateway
	Dialect  Dialect
	Source   directory.Source
	Reserver Reserver
	Registry directory.Registry
	// SlowdownReader may be nil: endpoints that turn slow are then not found.
	SlowdownReader SlowdownReader
	Log            *zap.Logger
	// LogWriter counts dropped lines; may be nil.
	LogWriter *eventlog.Writer
	// FirstConfigWait is how long after the start requests wait for the first configuration; later
	// they are refused at once. Default 400 ms: a store in order answers a whole reading 24 to
	// 170 ms after the start, and a caller that is refused meanwhile comes back late. While
	// the store is away it delays the refusals of that time.
	FirstConfigWait time.Duration
}

const defaultFirstConfigWait = 400 * time.Millisecond

// New makes a gateway; Serve starts it.
func New(c Config) *Gateway {
	ledger := direct.NewLoadTracker()
	if c.Settings.PeersListen == "" {
		ledger.SetRank(0, 1) // it hears of no other entry and shares the engines with none
	}
	g := &Gateway{
		settings: c.Settings, dialect: c.Dialect, source: c.Source, reserver: c.Reserver, registry: c.Registry, log: c.Log, requestLogs: eventlog.NewRequestLogs(c.Log),
		metrics: metrics.NewSet(), ledger: ledger, policy: direct.NewPolicy(ledger, globalRand{}), pool: newPool(), objectives: window.New(), started: time.Now(),
		configured: make(chan struct{}), firstConfigWait: cmp.Or(c.FirstConfigWait, defaultFirstConfigWait),
	}
	g.quarantine = attempt.NewQuarantine()
	g.retries = admission.NewRetryWindow(time.Now(), retryLimits(c.Settings))
	g.snapshot.Store(directory.EmptySnapshot())
	g.callers = newCallerServer(g)
	g.prober = newProber(g)
	g.slowdownReader, g.paces = c.SlowdownReader, newSlowdownMonitor(g)
	g.peers = &peers{gateway: g, lastSent: map[direct.EndpointHash]direct.EndpointLoad{}}
	g.longQueue = admission.NewSemaphore(1)
	g.registerMetrics(c.LogWriter)
	return g
}

// goMemoryLimitShare is the part of the process's memory at which the runtime collects
// garbage more eagerly; the rest is for stacks, buffers of the kernel and the binary.
const goMemoryLimitShare = 0.6

// Serve works until a signal ends it or ctx does. SIGHUP reads the settings again,
// by reload; any other signal drains, and an interrupt during a drain stops at once.
func (g *Gateway) Serve(ctx context.Context, signals <-chan os.Signal, reload func() (settings.Gateway, error)) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	debug.SetMemoryLimit(int64(float64(g.settings.MemoryLimit) * goMemoryLimitShare))
	failures := make(chan error, 3)
	if err := g.listen(ctx, failures); err != nil {
		return err
	}
	go g.watchStore(ctx)
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

// listen opens the ports and serves them in the background.
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
		listener, err := net.Listen("tcp", p.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		p.bound.Store(listener.Addr().String())
		server := &http.Server{Handler: p.handler, ReadHeaderTimeout: monitoringHeaderTimeout}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- errors.Wrapf(err, "serve %s", p.addr)
			}
		}()
	}
	listener, err := net.Listen("tcp", g.settings.CallersListen)
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

// monitoringHeaderTimeout bounds how long the balancer or a scraper takes to send a
// request's head.
const monitoringHeaderTimeout = 5 * time.Second

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

// checkReady tells the balancer whether to send callers here.
func (g *Gateway) checkReady() error {
	switch {
	case g.drainStartedAt.Load() != 0:
		return errors.New("draining")
	case g.snapshot.Load().Config == nil:
		return errors.New("no configuration yet")
	}
	return nil
}

// Ready tells whether callers are to be sent here.
func (g *Gateway) Ready() bool { return g.CallersAddr() != "" && g.checkReady() == nil }

func (g *Gateway) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := g.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
}
