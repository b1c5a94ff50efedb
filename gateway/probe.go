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
	// probeValid is how long a probe's result holds for other requests.
	probeValid = 300 * time.Millisecond
	// unreachableInterval is the pause between probes of an endpoint that is unreachable.
	unreachableInterval = 300 * time.Millisecond
)

// prober finds out whether a silent endpoint is dead or only busy. Waiting tells
// nothing: an engine that prefills a long prompt is silent for a second too, and work
// that leaves it is prefilled twice. An endpoint that accepts a connection lives.
type prober struct {
	gateway *Gateway
	mu      sync.Mutex
	results map[directory.Life]*probe
}

type probe struct {
	began time.Time
	done  chan struct{}
	// alive is set where the endpoint accepted a connection, refused where nobody listens.
	alive, refused bool
}

func newProber(g *Gateway) *prober {
	return &prober{gateway: g, results: map[directory.Life]*probe{}}
}

// alive tells whether the endpoint accepts connections; a recent probe's result is
// used again, and one at a time is under way.
func (p *prober) alive(ctx context.Context, e *directory.Listed) bool {
	result, ok := p.ask(ctx, e, time.Now().Add(-probeValid))
	return !ok || result.alive
}

// refuses tells whether nobody listens any more where the endpoint did.
func (p *prober) refuses(ctx context.Context, e *directory.Listed) bool {
	result, ok := p.ask(ctx, e, time.Now())
	return ok && result.refused
}

// ask gives the result of a probe that did not begin before since; false where the context ended
// before. One that began earlier may tell of an endpoint that has ended in the meantime.
func (p *prober) ask(ctx context.Context, e *directory.Listed, since time.Time) (*probe, bool) {
	for {
		current := p.latest(e, since)
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

// latest gives the last probe, or a new one where that has ended and is too old.
func (p *prober) latest(e *directory.Listed, since time.Time) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.results[e.Life]
	if last != nil && (!last.ended() || !last.began.Before(since)) {
		return last
	}
	last = &probe{began: time.Now(), done: make(chan struct{})}
	p.results[e.Life] = last
	go p.run(e, last)
	return last
}

// ended tells whether the result is there.
func (r *probe) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (p *prober) run(e *directory.Listed, result *probe) {
	err := p.dial(e)
	result.alive, result.refused = err == nil, refused(err)
	close(result.done)
	if err != nil {
		p.gateway.markUnreachable(e, "does not accept connections")
	}
}

// dial opens a connection and leaves it to the next request.
func (p *prober) dial(e *directory.Listed) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.gateway.pool.open(ctx, e)
	if err != nil {
		return err
	}
	p.gateway.pool.put(e.Life, conn, idleMost)
	return nil
}

// prune forgets endpoints that are not known any more.
func (p *prober) prune(known func(life directory.Life) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.results, func(life directory.Life, _ *probe) bool { return !known(life) })
}

// markUnreachable keeps requests from an endpoint until it accepts connections again.
func (g *Gateway) markUnreachable(e *directory.Listed, why string) {
	if !g.ledger.SetUnreachable(e.Life, true) {
		return
	}
	g.log.Warn("endpoint_unreachable", zap.String("endpoint", e.ID), zap.String("reason", why))
	go func() {
		begun := time.Now()
		for g.snapshot.Load().Endpoint(e.Life) != nil {
			time.Sleep(unreachableInterval)
			if g.prober.dial(e) == nil {
				g.ledger.SetUnreachable(e.Life, false)
				g.log.Info("endpoint_reachable", zap.String("endpoint", e.ID), zap.Duration("unreachable_ms", time.Since(begun)))
				return
			}
		}
	}()
}

// watchdog looks after one exchange: when the endpoint has been silent for a while
// it is probed, and if it is dead the exchange is ended, so that the request can go
// on elsewhere while its caller still waits.
type watchdog struct {
	gateway     *Gateway
	reply       *reply
	ctx         context.Context
	silence     time.Duration
	heard       atomic.Int64 // nanoseconds since the gateway's start
	unreachable atomic.Bool
	timer       *time.Timer
}

// watch starts a watchdog over an exchange.
func (g *Gateway) watch(ctx context.Context, r *reply, silence time.Duration) *watchdog {
	w := &watchdog{gateway: g, reply: r, ctx: ctx, silence: silence}
	w.hear()
	w.timer = time.AfterFunc(silence, w.check)
	return w
}

// hear notes a sign of life.
func (w *watchdog) hear() { w.heard.Store(w.gateway.now()) }

// stop ends the watch.
func (w *watchdog) stop() { w.timer.Stop() }

func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	silent := w.gateway.since(&w.heard)
	if silent < w.silence {
		w.timer.Reset(w.silence - silent)
		return
	}
	if w.gateway.prober.alive(w.ctx, w.reply.endpoint) {
		w.timer.Reset(w.silence)
		return
	}
	w.unreachable.Store(true)
	_ = w.reply.conn.SetDeadline(time.Unix(1, 0))
}
