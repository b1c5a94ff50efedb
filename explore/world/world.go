// Package world plays a case: it runs gateways in this process, in real time and over the loopback interface, between
// stand-ins for their platform and callers, and records what these saw.
package world

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/eventlog"
	"aspenyard.example/explore/oracle"
	"aspenyard.example/explore/plan"
	"aspenyard.example/gateway"
	"aspenyard.example/platform"
	"aspenyard.example/settings"
	standin "aspenyard.example/standin/platform"
)

const (
	startTimeout = 20 * time.Second
	pollInterval = 2 * time.Millisecond
	connectLimit = time.Second
	// settleTime is how long after the last request reservations may be held, removeDelay how long after a crash an
	// endpoint's registration ends.
	settleTime  = 4500 * time.Millisecond
	removeDelay = 900 * time.Millisecond
	// leaveDelay is how long an endpoint serves on after it has begun to leave.
	leaveDelay = 2200 * time.Millisecond
	// idleUsage is the number of descriptors that each gateway is told it uses: the process has those of many.
	idleUsage = 50
)

// worldCount numbers the worlds of this process.
var worldCount atomic.Uint32

// World is a case that is being played.
type World struct {
	plan    *plan.Case
	store   *standin.Store
	server  *http.Server
	address string
	number  uint32
	log     io.Writer
	ctx     context.Context

	mu        sync.Mutex
	record    *oracle.Record
	endpoints []*endpoint // by index; a restart replaces the element
	all       []*endpoint
	started   int // lives of endpoints
	gateways  []*node
	bulk      *standin.Bulk
	version   int
	dropped   string // the route that the configuration lacks
	keyless   bool
	running   sync.WaitGroup // events and requests
	finished  bool           // the record is complete
}

// node is one gateway.
type node struct {
	gateway *gateway.Gateway
	signals chan os.Signal
	done    chan struct{}

	mu   sync.Mutex
	idle []*callerConn
}

// usage is what gateways are told of their use of the host, as several share a process.
type usage struct{}

func (usage) ProcessorTime() (time.Duration, error) { return 0, nil }
func (usage) OpenDescriptors() (int, error)         { return idleUsage, nil }

// Play plays a case and returns what was seen. log receives the gateways' logs; it may be io.Discard. An error says that
// the case could not be played.
func Play(ctx context.Context, c *plan.Case, log io.Writer) (*oracle.Record, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &World{plan: c, store: standin.NewStore(), number: worldCount.Add(1), log: log, ctx: ctx, record: &oracle.Record{
		DrainLimit: millis(c.Setting.DrainMS), Timeout: millis(c.Setting.TimeoutMS), MaxAttempts: c.Setting.MaxAttempts,
		LeftAt: map[string]time.Time{}, ExitedAt: map[string]time.Time{}, Unreleased: map[string]int{},
	}}
	defer w.close(cancel)
	if err := w.start(); err != nil {
		return nil, err
	}
	w.play()
	return w.finish(), ctx.Err()
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// start starts the stand-ins and the gateways and waits until all are ready.
func (w *World) start() error {
	w.store.SetPageItems(w.plan.Setting.PageItems)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	w.address, w.server = listener.Addr().String(), &http.Server{Handler: w.store.Handler()}
	go func() { _ = w.server.Serve(listener) }()
	w.bulk = &standin.Bulk{UnreadTimeout: time.Minute}
	if err := w.bulk.Start(); err != nil {
		return errors.WithStack(err)
	}
	w.store.Put("servers/i-bulk", w.bulk.Registration("i-bulk", plan.ServiceBulk))
	s := &w.plan.Setting
	for _, group := range []struct {
		service string
		n       int
	}{{plan.ServicePlain, s.Plain}, {plan.ServiceStreams, s.Streams}, {plan.ServiceEngines, s.Engines}} {
		for range group.n {
			e, err := w.startEndpoint(group.service, w.host(endpointsHost)+":0")
			if err != nil {
				return err
			}
			w.endpoints = append(w.endpoints, e)
		}
	}
	w.configure()
	for range s.Gateways {
		if err := w.startGateway(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, n := range w.gateways {
		for !n.gateway.Ready() {
			if time.Now().After(deadline) {
				return errors.New("a gateway is not ready in time")
			}
			time.Sleep(pollInterval)
		}
	}
	time.Sleep(100 * time.Millisecond) // heartbeats
	w.record.Began = time.Now()
	for i := range w.record.Gateways {
		w.record.Gateways[i].StartedAt = w.record.Began
	}
	return nil
}

// endpointsHost is the host part of the address of a world's endpoints.
const endpointsHost = 200

// host returns a loopback address of the world's own. Ports that have been closed are thus not taken by other worlds, or by
// other searches on the machine, which would answer in place of what has ended.
func (w *World) host(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, w.number&0xff, n)
}

// configure writes a new version of the configuration and returns when the store has it.
func (w *World) configure() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	s := &w.plan.Setting
	config := standin.Config{
		Version:  w.version,
		Services: []standin.Service{{Name: plan.ServicePlain, MaxConnections: 200}, {Name: plan.ServiceStreams, MaxConnections: 200}, {Name: plan.ServiceEngines, MaxConnections: 200, MemoryTokens: engineTokens}, {Name: plan.ServiceBulk, MaxConnections: 200}},
		Accounts: []standin.Account{{Name: "acme", Keys: []string{standin.APIKey}}},
		Limits:   standin.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 15 * time.Second, IdleTimeout: 20 * time.Second},
	}
	if w.keyless {
		config.Accounts[0].Keys = []string{"another-key"}
	}
	for _, r := range plan.Routes {
		route := standin.Route{Name: r.Name, Host: standin.Host, Prefix: "/" + r.Name + "/", Service: r.Service, Timeout: millis(s.TimeoutMS), Target: 2 * time.Second, TargetPause: 500 * time.Millisecond, MaxAttempts: s.MaxAttempts}
		switch {
		case r.Name == w.dropped:
			continue
		case r.Streaming:
			route.Kind, route.Resumable = "streaming", r.Repeatable
		case r.Repeatable:
			route.Kind = "idempotent"
		default:
			route.Kind = "non_idempotent"
		}
		if r.Service == plan.ServiceEngines {
			route.Target = 9 * time.Second
		}
		config.Routes = append(config.Routes, route)
	}
	w.store.Put("op/config", config.Encode())
	return time.Now()
}

// engineTokens is the size of an engine's KV cache.
const engineTokens = 400_000

// startGateway starts a gateway and waits until it listens.
func (w *World) startGateway() error {
	w.mu.Lock()
	index := len(w.gateways)
	w.mu.Unlock()
	host := w.host(index + 1)
	text := fmt.Sprintf(`{"name":"g%d","data_centre":"dc1","callers_listen":"%s:8000","readiness_listen":"%s:8001","peers_listen":"%s:7000","store":%q,"drain_timeout":"%dms","config_within":"2s","leaving_within":"2s","memory_free_within":"4s","memory_idle_within":"9s","memory_limit":"512MB","retry_allowance":3200}`,
		index+1, host, host, host, w.address, w.plan.Setting.DrainMS)
	var s settings.Gateway
	if err := settings.Decode([]byte(text), &s); err != nil {
		return errors.WithStack(err)
	}
	writer := eventlog.NewWriter(w.log)
	dial := gateway.Dialer(connectLimit)
	client, store := platform.NewEndpointClient(dial), platform.NewStore(w.address, dial)
	n := &node{signals: make(chan os.Signal, 16), done: make(chan struct{})}
	n.gateway = gateway.New(gateway.Config{
		Settings: s, HeaderCodec: platform.HeaderCodec{}, Source: store, Registry: store, Checkpoints: store, Reserver: client, SlowdownReader: client, Statements: client,
		Usage: usage{}, Log: eventlog.New(writer, s.Name, "gateway"), LogWriter: writer,
	})
	w.mu.Lock()
	w.gateways = append(w.gateways, n)
	w.record.Gateways = append(w.record.Gateways, oracle.Gateway{StartedAt: time.Now()})
	w.mu.Unlock()
	var serveErr error
	ctx, cancel := context.WithCancel(w.ctx)
	go func() {
		defer cancel()
		defer close(n.done)
		serveErr = n.gateway.Serve(ctx, n.signals, func() (settings.Gateway, error) { return s, nil })
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.finished {
			w.record.Gateways[index].EndedAt = time.Now()
		}
	}()
	for n.gateway.CallersAddr() == "" {
		select {
		case <-n.done:
			return errors.Wrap(serveErr, "gateway")
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// play makes all events happen and waits until all requests have ended.
func (w *World) play() {
	stopWatch := w.watchLateness()
	defer stopWatch()
	next := 0
	for i := range w.plan.Events {
		e := &w.plan.Events[i]
		time.Sleep(time.Until(w.record.Began.Add(millis(e.AtMS))))
		first := next
		if e.Kind == plan.Request {
			next += e.Call.Count
		}
		w.running.Add(1)
		go func() {
			defer w.running.Done()
			if e.Kind == plan.Request {
				w.burst(e, first)
				return
			}
			w.apply(e)
		}()
	}
	w.running.Wait()
}

// burst sends an event's requests and waits until they have ended. first is the number of the first one.
func (w *World) burst(e *plan.Event, first int) {
	var calls sync.WaitGroup
	for i := range e.Call.Count {
		calls.Add(1)
		go func() {
			defer calls.Done()
			w.call(e, "q"+strconv.Itoa(first+i))
		}()
		time.Sleep(millis(e.Call.GapMS))
	}
	calls.Wait()
}

// watchLateness records by how much the machine wakes sleepers late.
func (w *World) watchLateness() (stop func()) {
	const period = 10 * time.Millisecond
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			before := time.Now()
			select {
			case <-done:
				return
			case <-time.After(period):
				w.record.Late = max(w.record.Late, time.Since(before)-period)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// finish collects the record.
func (w *World) finish() *oracle.Record {
	r := w.record
	r.Ended = time.Now()
	if w.plan.Setting.Engines > 0 && w.anyReservation() {
		select {
		case <-time.After(settleTime):
		case <-w.ctx.Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
	for _, e := range w.all {
		held, _, _ := e.worker.Reservations()
		if len(held) > 0 {
			r.Unreleased[e.worker.ID] = len(held)
		}
		for _, run := range e.worker.Runs() {
			r.Arrivals = append(r.Arrivals, e.arrival(&run))
		}
	}
	return r
}

func (w *World) anyReservation() bool {
	for _, e := range w.all {
		if held, _, _ := e.worker.Reservations(); len(held) > 0 {
			return true
		}
	}
	return false
}

// close ends everything. Gateways that still run are cut off.
func (w *World) close(cancel context.CancelFunc) {
	cancel()
	if w.server != nil {
		_ = w.server.Close()
	}
	if w.bulk != nil {
		w.bulk.Stop()
	}
	for _, e := range w.all {
		e.worker.Stop()
	}
	for _, n := range w.gateways {
		n.closeIdle()
		<-n.done
	}
}

// apply makes an event happen; it returns when the event has ended.
func (w *World) apply(e *plan.Event) {
	switch {
	case strings.HasPrefix(string(e.Kind), "endpoint-"):
		w.applyToEndpoint(e)
	case strings.HasPrefix(string(e.Kind), "store-"):
		w.applyToStore(e)
	default:
		w.applyToGateway(e)
	}
}

func (w *World) applyToGateway(e *plan.Event) {
	w.mu.Lock()
	index := e.Gateway % len(w.gateways)
	n, seen := w.gateways[index], &w.record.Gateways[index]
	w.mu.Unlock()
	switch e.Kind {
	case plan.GatewayStops, plan.GatewayReloads:
		w.mu.Lock()
		if e.Kind == plan.GatewayReloads {
			seen.ReloadedAt = append(seen.ReloadedAt, time.Now())
		} else if seen.StoppedAt.IsZero() {
			seen.StoppedAt = time.Now()
		}
		w.mu.Unlock()
		signal := os.Signal(syscall.SIGTERM)
		if e.Kind == plan.GatewayReloads {
			signal = syscall.SIGHUP
		}
		select {
		case n.signals <- signal:
		default:
		}
	case plan.GatewayStarts:
		_ = w.startGateway()
	case plan.ConfigUnchanged:
		w.configure()
	case plan.ConfigNoKey:
		w.mu.Lock()
		w.keyless = true
		w.mu.Unlock()
		at := w.configure()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.record.NoKeyAt.IsZero() {
			w.record.NoKeyAt = at
		}
	case plan.ConfigNoRoute:
		w.mu.Lock()
		first := w.dropped == ""
		if first {
			w.dropped = plan.Routes[e.Endpoint%len(plan.Routes)].Name
		}
		w.mu.Unlock()
		at := w.configure()
		w.mu.Lock()
		defer w.mu.Unlock()
		if first {
			w.record.NoRoute, w.record.NoRouteAt = w.dropped, at
		}
	}
}
