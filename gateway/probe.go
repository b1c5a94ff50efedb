package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
)

const (
	// probeTimeout is how long an endpoint may take to accept a connection; it takes
	// milliseconds while the endpoint lives, however busy it is.
	probeTimeout = 250 * time.Millisecond
	// probeResultTTL is how long a probe's result holds for other requests.
	probeResultTTL = 300 * time.Millisecond
	// unreachableProbeInterval is the pause between probes of an endpoint that is unreachable.
	unreachableProbeInterval = 300 * time.Millisecond
)

// prober finds out whether a silent endpoint is dead or only busy. Waiting tells
// nothing: an engine that prefills a long prompt is silent for a second too, and work
// that leaves it is prefilled twice. An endpoint that accepts a connection lives.
type prober struct {
	gateway *Gateway
	mu      sync.Mutex
	results map[directory.Incarnation]*probe
}

type probe struct {
	began time.Time
	done  chan struct{}
	// alive is set where the endpoint accepted a connection, connectionRefused where nobody listens.
	alive, connectionRefused bool
}

func newProber(g *Gateway) *prober {
	return &prober{gateway: g, results: map[directory.Incarnation]*probe{}}
}

// alive tells whether the endpoint accepts connections; a recent probe's result is
// used again, and one at a time is under way.
func (p *prober) alive(ctx context.Context, e *directory.EndpointState) bool {
	result, ok := p.resultSince(ctx, e, time.Now().Add(-probeResultTTL))
	return !ok || result.alive
}

// connectionRefused tells whether nobody listens any more where the endpoint did.
func (p *prober) connectionRefused(ctx context.Context, e *directory.EndpointState) bool {
	result, ok := p.resultSince(ctx, e, time.Now())
	return ok && result.connectionRefused
}

// resultSince gives the result of a probe that did not begin before since; false where the context ended
// before. One that began earlier may tell of an endpoint that has ended in the meantime.
func (p *prober) resultSince(ctx context.Context, e *directory.EndpointState, since time.Time) (*probe, bool) {
	for {
		current := p.latestOrStart(e, since)
		select {
		case <-current.done:
		case <-ctx.Done():
			return nil, false
		}
		if !current.began.Before(since) {
			return current, true
		}
	}
}

// latestOrStart gives the last probe, or a new one where that has ended and is too old.
func (p *prober) latestOrStart(e *directory.EndpointState, since time.Time) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.results[e.Incarnation]
	if last != nil && (!last.ended() || !last.began.Before(since)) {
		return last
	}
	last = &probe{began: time.Now(), done: make(chan struct{})}
	p.results[e.Incarnation] = last
	go p.run(e, last)
	return last
}

// ended tells whether the result is there.
func (p *probe) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *prober) run(e *directory.EndpointState, result *probe) {
	err := p.dial(e)
	result.alive, result.connectionRefused = err == nil, isConnectionRefused(err)
	close(result.done)
	if err != nil {
		p.gateway.markUnreachable(e, "does not accept connections")
	}
}

// dial opens a connection and leaves it to the next request.
func (p *prober) dial(e *directory.EndpointState) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.gateway.pool.open(ctx, e)
	if err != nil {
		return err
	}
	p.gateway.pool.put(e.Incarnation, conn, maxIdleTime)
	return nil
}

// prune forgets endpoints that are not known any more.
func (p *prober) prune(known func(incarnation directory.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.results, func(incarnation directory.Incarnation, _ *probe) bool { return !known(incarnation) })
}

// markUnreachable keeps requests from an endpoint until it accepts connections again.
func (g *Gateway) markUnreachable(e *directory.EndpointState, reason string) {
	if !g.ledger.SetUnreachable(e.Incarnation, true) {
		return
	}
	g.log.Warn("endpoint_unreachable", zap.String("endpoint", e.ID), zap.String("reason", reason))
	go func() {
		start := time.Now()
		for g.snapshot.Load().Endpoint(e.Incarnation) != nil {
			time.Sleep(unreachableProbeInterval)
			if g.prober.dial(e) == nil {
				g.ledger.SetUnreachable(e.Incarnation, false)
				g.log.Info("endpoint_reachable", zap.String("endpoint", e.ID), zap.Duration("unreachable_ms", time.Since(start)))
				return
			}
		}
	}()
}

// watchdog looks after one exchange: when the endpoint has been silent for a while
// it is probed, and if it is dead the exchange is ended, so that the request can go
// on elsewhere while its caller still waits.
type watchdog struct {
	gateway      *Gateway
	response     *endpointResponse
	ctx          context.Context
	silence      time.Duration
	lastActivity atomic.Int64 // nanoseconds since the gateway's start
	unreachable  atomic.Bool
	timer        *time.Timer
}

// startWatchdog starts a watchdog over an exchange.
func (g *Gateway) startWatchdog(ctx context.Context, r *endpointResponse, silence time.Duration) *watchdog {
	w := &watchdog{gateway: g, response: r, ctx: ctx, silence: silence}
	w.noteActivity()
	w.timer = time.AfterFunc(silence, w.check)
	return w
}

// noteActivity notes a sign of life.
func (w *watchdog) noteActivity() { w.lastActivity.Store(w.gateway.uptimeNanos()) }

// stop ends the watch.
func (w *watchdog) stop() { w.timer.Stop() }

func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	silent := w.gateway.elapsedSince(&w.lastActivity)
	if silent < w.silence {
		w.timer.Reset(w.silence - silent)
		return
	}
	if w.gateway.prober.alive(w.ctx, w.response.endpoint) {
		w.timer.Reset(w.silence)
		return
	}
	w.unreachable.Store(true)
	_ = w.response.conn.SetDeadline(time.Unix(1, 0))
}
