// Package agent is the process beside one endpoint. It alone gives orders to
// what it stands beside, and it is the authority on whether work started there:
// an entry's view of the endpoint is only a hint.
package agent

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/engine"
	"aspenyard.example/infra/consul"
	"aspenyard.example/membership"
	"aspenyard.example/node"
	"aspenyard.example/settings"
	"aspenyard.example/wire/wireconnect"
)

// Agent is one agent's process.
type Agent struct {
	settings    settings.Agent
	log         *zap.Logger
	metrics     *metrics.Set
	engine      *engine.Client
	status      engine.Status
	incarnation uint64
	clients     *node.Clients
	catalogue   *node.CatalogueSync
	loop        *membership.Loop
	control     *controlState
	health      endpointHealth
	// activeRuns counts the orders being carried out, for a graceful shutdown.
	activeRuns sync.WaitGroup
}

// New makes an agent; Serve starts it.
func New(s settings.Agent, log *zap.Logger) *Agent {
	clients := node.NewClients()
	return &Agent{
		settings: s, log: log, metrics: metrics.NewSet(), engine: engine.New(s.Endpoint),
		clients: clients, catalogue: node.NewCatalogueSync(clients, log),
	}
}

// takeOverRetryInterval is the wait between tries to reach the endpoint at start.
const takeOverRetryInterval = 100 * time.Millisecond

// Serve works until a signal arrives or ctx ends. The first signal drains: new
// work is refused, queued work is sent away, running work ends, within the
// settings' drain_timeout. A second signal, or ctx's end, stops at once.
func (a *Agent) Serve(ctx context.Context, signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// The listener comes first: it is what keeps a second agent, such as a
	// predecessor that was paused, from standing beside the same endpoint.
	listener, err := net.Listen("tcp", a.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	operators, err := net.Listen("tcp", a.settings.OperatorsListen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	failures := make(chan error, 3)
	go func() {
		failures <- node.ServeHTTP(ctx, operators, node.MonitoringMux(a.metrics, a.checkReady))
	}()
	if !a.awaitEndpoint(ctx, signals) {
		return nil
	}
	a.initControl()
	a.registerMetrics()
	go func() { failures <- a.loop.Run(ctx) }()
	go func() { failures <- node.ServeRPC(ctx, listener, a.handler()) }()
	store := consul.NewClient(a.settings.Platform, a.settings.StoreTimeout.D())
	go a.loop.PollList(ctx, store, a.settings.ListInterval.D())
	go a.monitorHealth(ctx)
	go a.sweepSequences(ctx)
	a.log.Info("agent ready", zap.String("listen", a.settings.Listen), zap.Uint64("incarnation", a.incarnation))
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
		return nil
	case <-signals:
		a.drain(ctx, signals)
		return nil
	}
}

// awaitEndpoint waits for the endpoint, takes a fencing number above any it has
// seen, and cancels what a predecessor left there. Until then this agent is not
// heard of, so no work can be counted on memory that is still taken.
func (a *Agent) awaitEndpoint(ctx context.Context, signals <-chan os.Signal) bool {
	for {
		err := a.takeOver(ctx)
		if err == nil {
			return true
		}
		a.log.Warn("endpoint not ready", zap.Error(err))
		select {
		case <-ctx.Done():
			return false
		case <-signals:
			return false
		case <-time.After(takeOverRetryInterval):
		}
	}
}

func (a *Agent) takeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := a.engine.Status(ctx)
	if err != nil {
		return err
	}
	a.status = status
	// The clock makes the number rise from one VM to the next; the endpoint's own
	// memory makes it rise even where the clock went back.
	a.incarnation = max(uint64(time.Now().UnixMilli()), status.FencingNumber+1)
	a.engine.SetFencingNumber(a.incarnation)
	if a.settings.Kind == "service" {
		return nil
	}
	return a.cancelSequences(ctx)
}

func (a *Agent) cancelSequences(ctx context.Context) error {
	sequences, err := a.engine.Sequences(ctx)
	if err != nil {
		return err
	}
	for _, sequence := range sequences {
		a.log.Info("cancel a predecessor's sequence", zap.String("sequence", sequence.ID))
		if err := a.engine.Cancel(ctx, sequence.ID); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) initControl() {
	a.control = newControlState(a)
	a.loop = membership.NewLoop(membership.Config{
		Node: a.settings.Name, Role: membership.RoleAgent, DataCentre: a.settings.DataCentre,
		Listen: a.settings.Listen, Advertise: a.settings.Advertise, Incarnation: a.incarnation,
		Interval: a.settings.HeartbeatInterval.D(), SuspectAfter: a.settings.SuspectAfter.D(),
		Seeds: a.settings.Seeds,
	}, a.control)
	a.catalogue.SetLoop(a.loop)
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewAgentHandler(a, node.HandlerOptions()))
	mux.Handle(wireconnect.NewPeerHandler(node.PeerHandler{CatalogueSync: a.catalogue}, node.HandlerOptions()))
	return mux
}

func (a *Agent) registerMetrics() {
	node.RegisterLoopMetrics(a.metrics, a.loop)
	a.metrics.NewGauge("aspenyard_agent_running", func() float64 { return float64(a.control.gauges.running.Load()) })
	a.metrics.NewGauge("aspenyard_agent_queued", func() float64 { return float64(a.control.gauges.queued.Load()) })
	a.metrics.NewGauge("aspenyard_agent_attempts", func() float64 { return float64(a.control.gauges.attempts.Load()) })
	a.metrics.NewGauge("aspenyard_agent_power_limit_watts", func() float64 { return float64(a.control.gauges.limitWatts.Load()) })
}

// checkReady tells the platform whether the endpoint takes work.
func (a *Agent) checkReady() error {
	if a.loop == nil {
		return errors.New("the endpoint has not been reached yet")
	}
	if a.loop.Leaving() {
		return errors.New("leaving")
	}
	if !a.health.isUp() {
		return errors.New("the endpoint does not answer")
	}
	return nil
}

// drain ends gracefully.
func (a *Agent) drain(ctx context.Context, signals <-chan os.Signal) {
	a.log.Info("draining", zap.Duration("at_most", a.settings.DrainTimeout.D()))
	a.loop.Leave()
	if a.loop.Do(ctx, a.control.startDraining) != nil {
		return
	}
	done := make(chan struct{})
	go func() {
		a.activeRuns.Wait()
		close(done)
	}()
	select {
	case <-done:
		// The last answers are in the sockets' buffers; the entries read them
		// before the connections are closed.
		time.Sleep(answerFlushDelay)
		a.log.Info("drained")
	case <-signals:
		a.log.Warn("second signal: stopping with work unfinished")
	case <-time.After(a.settings.DrainTimeout.D()):
		a.log.Warn("drain_timeout passed: stopping with work unfinished")
	}
}

const answerFlushDelay = 200 * time.Millisecond
