// Package agent implements the process that runs beside one endpoint. Only the agent sends
// requests to its endpoint, and it is the authority on whether a request started there: the
// view that an entry has of the endpoint is only a hint.
package agent

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/engine"
	"aspenyard.example/graceful"
	"aspenyard.example/infra/consul"
	"aspenyard.example/intake"
	"aspenyard.example/membership"
	"aspenyard.example/node"
	"aspenyard.example/settings"
	"aspenyard.example/wire/wireconnect"
)

// Agent is the agent process of one endpoint.
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
	// activeRuns counts the run requests in progress; a drain waits for them.
	activeRuns atomic.Int64
	shutdown   graceful.Shutdown
}

// New returns the agent that s configures. It opens no connection before Serve.
func New(s settings.Agent, log *zap.Logger) *Agent {
	clients := node.NewClients(s.PeerTimeout.D())
	return &Agent{
		settings: s, log: log, metrics: metrics.NewSet(), engine: engine.New(s.Endpoint),
		clients: clients, catalogue: node.NewCatalogueSync(clients, log),
	}
}

// takeOverRetryInterval is the wait between attempts to reach the endpoint at startup.
const takeOverRetryInterval = 100 * time.Millisecond

// Serve runs the agent until a signal arrives, ctx ends or one of its servers fails, whose
// error it returns. The first signal drains the agent: new and queued jobs are refused, and
// running jobs may finish within drain_timeout of the settings; what has not finished shortly
// before is ended with an error. After a second signal that happens at once. The end of ctx, and
// a signal before the endpoint was taken over, stop the agent without that.
func (a *Agent) Serve(ctx context.Context, signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	signals = node.StopSignals(ctx, signals, a.log)
	node.LimitMemory(a.settings.MemoryLimit)
	// The listener is opened before the endpoint is used: the bound port excludes a second
	// agent for the same endpoint, such as a predecessor that was suspended and resumed.
	listener, err := net.Listen("tcp", a.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for RPCs")
	}
	monitoring, err := intake.Listen(ctx, a.settings.OperatorsListen)
	if err != nil {
		return errors.Wrap(err, "listen for monitoring requests")
	}
	failures := make(chan error, 3)
	go func() {
		failures <- intake.Port{}.Serve(ctx, monitoring, node.MonitoringMux(a.metrics, a.checkReady))
	}()
	if !a.awaitEndpoint(ctx, signals) {
		return nil
	}
	a.initControl()
	a.registerMetrics()
	go func() { failures <- a.loop.Run(ctx) }()
	rpcs, stopRPCs := context.WithCancel(ctx)
	defer stopRPCs()
	rpcsEnded := make(chan struct{})
	go func() {
		failures <- node.ServeRPC(rpcs, listener, a.handler(), a.settings.PeerTimeout.D())
		close(rpcsEnded)
	}()
	store := consul.NewClient(a.settings.Platform, a.settings.StoreTimeout.D())
	store.ObserveRefused(node.LogRefusedVMs(a.log))
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
		stopRPCs()
		<-rpcsEnded // entries' hosts have taken the last events
		return nil
	}
}

// awaitEndpoint repeats takeOver until it succeeds. It returns false if ctx ended or a signal
// arrived first. The agent sends no heartbeat before, so that no entry counts on KV cache
// that sequences of a predecessor still hold.
func (a *Agent) awaitEndpoint(ctx context.Context, signals <-chan os.Signal) bool {
	for {
		err := a.takeOver(ctx)
		if err == nil {
			return true
		}
		a.log.Warn("cannot take over the endpoint; retrying", zap.Error(err))
		select {
		case <-ctx.Done():
			return false
		case <-signals:
			return false
		case <-time.After(takeOverRetryInterval):
		}
	}
}

// takeOver reads the endpoint's status, chooses a fencing number above any that the endpoint
// has seen, which is also the agent's incarnation, and cancels the sequences that a
// predecessor left at an engine.
func (a *Agent) takeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := a.engine.Status(ctx)
	if err != nil {
		return err
	}
	a.status = status
	// The clock makes the number increase when the agent moves to another VM. The last
	// number that the endpoint has seen makes it increase even if the clock went back.
	a.incarnation = max(uint64(time.Now().UnixMilli()), status.FencingNumber+1)
	a.engine.SetFencingNumber(a.incarnation)
	if a.settings.Kind == "service" {
		return nil
	}
	return a.cancelSequences(ctx)
}

// cancelSequences cancels all sequences at the engine and stops at the first error. It runs
// before this agent starts sequences of its own.
func (a *Agent) cancelSequences(ctx context.Context) error {
	sequences, err := a.engine.Sequences(ctx)
	if err != nil {
		return err
	}
	for _, sequence := range sequences {
		a.log.Info("cancelling a sequence left by a previous agent", zap.String("sequence", sequence.ID))
		if err := a.engine.Cancel(ctx, sequence.ID); err != nil {
			return err
		}
	}
	return nil
}

// initControl creates the control state and the control loop, which need the endpoint's
// status and the incarnation.
func (a *Agent) initControl() {
	a.control = newControlState(a)
	a.loop = membership.NewLoop(membership.Config{
		Node: a.settings.Name, Role: membership.RoleAgent, DataCentre: a.settings.DataCentre,
		Listen: a.settings.Listen, Advertise: a.settings.Advertise, Incarnation: a.incarnation,
		Interval: a.settings.HeartbeatInterval.D(), SuspectAfter: a.settings.SuspectAfter.D(),
		Seeds: a.settings.Seeds,
	}, a.control)
	a.control.announce = a.loop.Announce
	a.catalogue.SetLoop(a.loop)
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewAgentHandler(a, node.HandlerOptions()))
	mux.Handle(wireconnect.NewPeerHandler(node.PeerHandler{CatalogueSync: a.catalogue}, node.HandlerOptions()))
	return node.BoundBodies(mux, a.settings.MemoryLimit)
}

func (a *Agent) registerMetrics() {
	node.RegisterLoopMetrics(a.metrics, a.loop)
	a.metrics.NewGauge("aspenyard_agent_running", func() float64 { return float64(a.control.gauges.running.Load()) })
	a.metrics.NewGauge("aspenyard_agent_queued", func() float64 { return float64(a.control.gauges.queued.Load()) })
	a.metrics.NewGauge("aspenyard_agent_attempts", func() float64 { return float64(a.control.gauges.attempts.Load()) })
	a.metrics.NewGauge("aspenyard_agent_power_limit_watts", func() float64 { return float64(a.control.gauges.limitWatts.Load()) })
}

// checkReady returns nil if the endpoint accepts requests, and otherwise the reason why it
// does not. The readiness check of the monitoring server calls it.
func (a *Agent) checkReady() error {
	if a.loop == nil {
		return errors.New("the agent has not taken over its endpoint yet")
	}
	if a.loop.Leaving() {
		return errors.New("the agent is draining")
	}
	if !a.health.isUp() {
		return errors.New("the endpoint does not answer health probes")
	}
	return nil
}
