// Package entry implements the entry: the process behind the platform's load
// balancer that accepts callers' HTTP requests, routes each to an endpoint, streams
// the response and resumes it at another endpoint after a failure. It also serves the
// operators' API, through which the catalogue is edited.
//
// An entry holds no durable state. What it knows of endpoints may be out of date: the
// agents decide whether work starts, and the platform's store holds what must survive
// a restart.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/burn/window"
	"aspenyard.example/graceful"
	"aspenyard.example/infra"
	"aspenyard.example/infra/consul"
	"aspenyard.example/intake"
	"aspenyard.example/membership"
	"aspenyard.example/node"
	"aspenyard.example/routing"
	"aspenyard.example/settings"
	"aspenyard.example/wire/wireconnect"
)

// Entry is the state of one entry process. Make one with New and run it with Serve.
type Entry struct {
	settings  settings.Entry
	log       *zap.Logger
	metrics   *metrics.Set
	store     infra.Store
	vmList    infra.VMList
	clients   *node.Clients
	catalogue *node.CatalogueSync
	loop      *membership.Loop
	control   *controlState
	policy    *routing.Policy
	limiter   *admission.Limiter
	budgets   map[admission.Class]*admission.RetryBudget
	inFlight  *inFlightCounts
	recent    *recentRequests
	// objectives counts the good and bad events from which the error-budget burn of
	// service-level objectives is reported.
	objectives       *window.Counter
	powerCoordinator *powerCoordinator
	lending          *limitLending
	// callerConns tracks the callers' connections for a graceful shutdown.
	callerConns graceful.Conns
	// bodies bounds the memory for requests of callers and operators, and heads that for callers' heads.
	bodies         *intake.Bodies
	heads          intake.Heads
	activeRequests atomic.Int64
	draining       atomic.Bool
	shutdown       graceful.Shutdown
}

// New makes an entry from its settings without opening ports or starting goroutines;
// Serve does both. It returns an error if the routing policy is unknown.
func New(s settings.Entry, log *zap.Logger) (*Entry, error) {
	client := consul.NewClient(s.Platform, s.StoreTimeout.D())
	client.ObserveRefused(node.LogRefusedVMs(log))
	clients := node.NewClients(s.PeerTimeout.D())
	e := &Entry{
		settings: s, log: log, metrics: metrics.NewSet(), store: client, vmList: client,
		clients: clients, catalogue: node.NewCatalogueSync(clients, log), limiter: admission.NewLimiter(),
		budgets: map[admission.Class]*admission.RetryBudget{}, inFlight: newInFlightCounts(), recent: newRecentRequests(), objectives: window.New(),
	}
	for _, class := range []admission.Class{admission.Urgent, admission.Normal, admission.Bulk} {
		e.budgets[class] = admission.NewRetryBudget()
	}
	// A single body of the largest size must always be received.
	e.bodies = intake.NewBodies(max(int64(bodyMemoryShare*float64(s.MemoryLimit)), bodyMemoryFactor*(int64(s.BodyLimit)+bodySlack)), bodyMemoryFactor)
	e.heads = intake.Heads{Account: e.bodies.Account(), Limit: maxHeaderBytes}
	policy, err := routing.New(s.Policy, globalRand{}, e.inFlight)
	if err != nil {
		return nil, err
	}
	e.policy = policy
	e.control = newControlState(e)
	e.loop = membership.NewLoop(membership.Config{
		Node: s.Name, Role: membership.RoleEntry, DataCentre: s.DataCentre, Listen: s.Listen, Advertise: s.Advertise,
		Incarnation: uint64(time.Now().UnixMilli()), Interval: s.HeartbeatInterval.D(), SuspectAfter: s.SuspectAfter.D(),
		Seeds: s.Seeds,
	}, e.control)
	e.catalogue.SetLoop(e.loop)
	e.powerCoordinator = newPowerCoordinator(e)
	e.lending = newLimitLending(e)
	return e, nil
}

// Loop returns the entry's membership loop. Benchmarks use it to feed heartbeats to an
// entry that does not serve.
func (e *Entry) Loop() *membership.Loop { return e.loop }

// globalRand draws from the process-wide random generator, which is safe for
// concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

// Serve listens on the entry's three ports and serves until a signal arrives, ctx ends
// or a server fails, and returns that failure. The first signal drains: the readiness
// check fails, so that the load balancer sends no more requests, and requests in flight
// get up to drain_timeout to end or to be answered. After a second signal they are answered
// at once. The end of ctx stops without answers.
func (e *Entry) Serve(ctx context.Context, signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	signals = node.StopSignals(ctx, signals, e.log)
	node.LimitMemory(e.settings.MemoryLimit)
	listeners := make([]net.Listener, 0, 3)
	for _, open := range []func() (net.Listener, error){
		func() (net.Listener, error) { return net.Listen("tcp", e.settings.Listen) },
		func() (net.Listener, error) { return intake.Listen(ctx, e.settings.OperatorsListen) },
		func() (net.Listener, error) {
			return intake.ListenWith(ctx, e.settings.CallersListen, callerSendBuffer)
		},
	} {
		listener, err := open()
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		listeners = append(listeners, listener)
	}
	e.registerMetrics()
	failures := make(chan error, 4)
	go func() { failures <- e.loop.Run(ctx) }()
	go func() { failures <- node.ServeRPC(ctx, listeners[0], e.peerHandler(), e.settings.PeerTimeout.D()) }()
	go func() { failures <- operatorsPort.Serve(ctx, listeners[1], e.bodies.Handler(e.operatorsHandler())) }()
	callers := e.callersServer()
	limit := e.connectionLimit()
	callersListener := newLimitListener(listeners[2].(*net.TCPListener), limit)
	callersListener.makeRoom = func() { intake.MakeRoom(&e.callerConns, int(limit)) }
	go func() {
		err := callers.Serve(e.heads.Listener(e.callerConns.Listener(callersListener)))
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failures <- errors.Wrap(err, "serve callers")
		}
	}()
	go e.loop.PollList(ctx, e.vmList, e.settings.ListInterval.D())
	go e.watchStore(ctx)
	go e.powerCoordinator.run(ctx)
	go e.lending.run(ctx)
	e.log.Info("entry is serving", zap.String("callers", e.settings.CallersListen))
	defer func() { _ = callers.Close() }()
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
		return nil
	case <-signals:
		e.drain(ctx, callersListener, signals)
		return nil
	}
}

// Bounds of what requests make this process hold.
const (
	// bodyMemoryShare is the part of the memory limit for requests, bodyMemoryFactor the memory that a byte of a body takes: the
	// body while it grows, the prompt in it, and the message to the agent.
	bodyMemoryShare  = 0.5
	bodyMemoryFactor = 8
	// bodySlack is how many bytes beyond body_limit are received until a body is refused.
	bodySlack = 1 << 20
	// maxHeaderBytes is the most that a head may have.
	maxHeaderBytes = 64 << 10
	// callerSendBuffer is the size in bytes of the kernel's send buffer of a caller's connection, which the kernel would let grow to
	// 4 MB that the caller does not read. A smaller one slows down callers far away.
	callerSendBuffer = 64 << 10
)

// operatorsPort bounds what operators' clients may make this process hold.
var operatorsPort = intake.Port{HeadBytes: 8 << 10, RequestTimeout: 30 * time.Second, ResponseTimeout: time.Minute}

// connectionLimit returns how many connections callers may have.
func (e *Entry) connectionLimit() int64 {
	limit, _ := admission.CallerConnections(0, int64(e.settings.MemoryLimit), 0)
	return min(e.settings.ConnectionLimit, int64(limit), int64(node.DescriptorLimit()/2))
}

func (e *Entry) callersServer() *http.Server {
	limit := int(e.connectionLimit())
	handler := intake.ShareConnections(e.bodies.Handler(e.callersHandler()), func() bool { return e.callerConns.Len() >= limit })
	return &http.Server{
		Handler: e.callerConns.Handler(handler), ConnState: intake.ConnState, ConnContext: intake.ConnContext,
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerHandler(node.PeerHandler{CatalogueSync: e.catalogue, Lend: e.lending.lend}, node.HandlerOptions()))
	return node.BoundBodies(mux, e.settings.MemoryLimit)
}

// checkReady returns nil when the load balancer may send requests to this entry, or
// the reason why not. It answers the readiness checks.
func (e *Entry) checkReady() error {
	if e.draining.Load() {
		return errors.New("draining")
	}
	if !e.catalogue.Ready() {
		return errors.New("catalogue is not loaded yet")
	}
	return nil
}
