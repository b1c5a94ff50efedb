package gateway

import (
	"context"
	"maps"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/progress"
)

const (
	// probeTimeout is how long an endpoint may take to accept a connection. A live endpoint
	// accepts within milliseconds, however busy it is.
	probeTimeout = 250 * time.Millisecond
	// resetTime is how soon after the handshake a connection is reset that no process serves: it was in the
	// queue of one that has ended, or something on the way accepted it.
	resetTime = 10 * time.Millisecond
	// probeResultTTL is how long a probe's result is used for other requests.
	probeResultTTL = 300 * time.Millisecond
	// unreachableProbeInterval is the time between two probes of an unreachable endpoint.
	unreachableProbeInterval = 300 * time.Millisecond
)

// prober determines whether a silent endpoint is dead or only busy. Longer silence is no proof:
// an engine that prefills a long prompt is silent for a second too, and a request that is moved
// away from it is prefilled twice. An endpoint that accepts a connection counts as alive.
type prober struct {
	gateway *Gateway
	mu      sync.Mutex
	results map[directory.Incarnation]*probe
}

// probe is one attempt to connect to an endpoint. Its result may be read once done is closed.
type probe struct {
	began time.Time
	done  chan struct{}
	// alive is set if the endpoint accepted the connection, connectionRefused if no process
	// listens at its address, connectionReset if the connection was reset as it was made or just after.
	alive, connectionRefused, connectionReset bool
}

func newProber(g *Gateway) *prober {
	return &prober{gateway: g, results: map[directory.Incarnation]*probe{}}
}

// alive reports whether the endpoint accepts connections; true when ctx ends before that is known.
// It uses the result of a probe that began within probeResultTTL; at most one probe of an endpoint
// runs at a time.
func (p *prober) alive(ctx context.Context, e *directory.EndpointState) bool {
	result, ok := p.resultSince(ctx, e, time.Now().Add(-probeResultTTL))
	return !ok || result.alive
}

// connectionRefused reports whether no process listens any more at the endpoint's address; false
// when ctx ends before that is known.
func (p *prober) connectionRefused(ctx context.Context, e *directory.EndpointState) bool {
	result, ok := p.resultSince(ctx, e, time.Now())
	return ok && result.connectionRefused
}

// connectionRefusedOrReset reports whether a connection to the endpoint is refused or reset, so that its process may
// have ended; false when ctx ends before that is known.
func (p *prober) connectionRefusedOrReset(ctx context.Context, e *directory.EndpointState) bool {
	result, ok := p.resultSince(ctx, e, time.Now())
	return ok && (result.connectionRefused || result.connectionReset)
}

// resultSince returns the result of a probe that did not begin before since, or false when ctx
// ends first. An earlier probe may have reached an endpoint that has ended in the meantime.
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

// latestOrStart returns the endpoint's last probe, or starts a new one if that has ended and
// began before since.
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

// ended reports whether the probe has a result.
func (p *probe) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// run completes a probe, and marks the endpoint as unreachable if it does not accept the
// connection.
func (p *prober) run(e *directory.EndpointState, result *probe) {
	conn, err := p.connect(e)
	result.alive, result.connectionRefused, result.connectionReset = err == nil, isConnectionRefused(err), isConnectionReset(err)
	if err == nil {
		if result.connectionReset = resetSoon(conn); result.connectionReset {
			_ = conn.Close()
		} else {
			p.gateway.pool.put(e, conn, maxIdleTime)
		}
	}
	close(result.done)
	if err != nil {
		p.gateway.markUnreachable(e, "does not accept connections")
	}
}

// connect opens a connection to the endpoint.
func (p *prober) connect(e *directory.EndpointState) (*endpointConn, error) {
	ctx, cancel := progress.WithRunningTimeout(context.Background(), probeTimeout)
	defer cancel()
	return p.gateway.pool.open(ctx, e)
}

// dial connects to the endpoint and leaves the connection to the next request.
func (p *prober) dial(e *directory.EndpointState) error {
	conn, err := p.connect(e)
	if err != nil {
		return err
	}
	p.gateway.pool.put(e, conn, maxIdleTime)
	return nil
}

// resetSoon reports whether a new connection is reset within resetTime.
func resetSoon(conn *endpointConn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(resetTime))
	_, err := conn.reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) { // possibly before this process could read the reset
		_, err = peek(conn.Conn)
	}
	return isConnectionReset(err)
}

// prune removes the results of endpoints that are no longer known.
func (p *prober) prune(known func(incarnation directory.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.results, func(incarnation directory.Incarnation, _ *probe) bool { return !known(incarnation) })
}

// markUnreachable marks an endpoint as unreachable, so that others are preferred, until it accepts
// connections again.
func (g *Gateway) markUnreachable(e *directory.EndpointState, reason string) {
	if !g.loadTracker.SetUnreachable(e.Incarnation, true) {
		return
	}
	g.log.Warn("endpoint_unreachable", zap.String("endpoint", e.ID), zap.String("reason", reason))
	go func() {
		start := time.Now()
		for g.snapshot.Load().Known(e.Incarnation) {
			time.Sleep(unreachableProbeInterval)
			if g.evacuated(e) || g.loadTracker.Backoffs().InBackoff(time.Now(), e.Incarnation) {
				continue
			}
			if g.prober.dial(e) == nil {
				g.loadTracker.SetUnreachable(e.Incarnation, false)
				g.log.Info("endpoint_reachable", zap.String("endpoint", e.ID), zap.Duration("unreachable_ms", time.Since(start)))
				return
			}
		}
	}()
}

// watchdog monitors one exchange. When the endpoint has been silent for a while it is probed, and
// if it is dead the exchange is aborted, so that the request can be sent elsewhere while its
// caller still waits. While this process stops, the exchange is also aborted for another one that can
// still end in time.
type watchdog struct {
	gateway      *Gateway
	response     *endpointResponse
	ctx          context.Context
	silence      time.Duration
	handOver     *handOver
	lastActivity atomic.Int64 // nanoseconds since the gateway's start
	received     atomic.Int64 // heads and events
	givenUp      atomic.Bool
	timer        *time.Timer
	// ended is set when the monitoring ends. mu keeps an exchange from being given up from then on, as its connection
	// may be another one's.
	mu    sync.Mutex
	ended bool
}

// startWatchdog starts to monitor an exchange; the endpoint is probed after silence without a
// byte from it.
func (g *Gateway) startWatchdog(ctx context.Context, r *endpointResponse, silence time.Duration, handOver *handOver) *watchdog {
	w := &watchdog{gateway: g, response: r, ctx: ctx, silence: silence, handOver: handOver}
	w.lastActivity.Store(g.uptimeNanos())
	w.timer = time.AfterFunc(silence, w.check)
	return w
}

// noteActivity records that the endpoint has sent something.
func (w *watchdog) noteActivity() {
	w.received.Add(1)
	w.lastActivity.Store(w.gateway.uptimeNanos())
}

// stop ends the monitoring.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}

// check probes the endpoint if it has been silent for long enough, and aborts the exchange if it
// is dead and nothing has arrived from it meanwhile. An endpoint that is evacuated is not probed: its request goes on.
func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	silent := w.gateway.elapsedSince(&w.lastActivity)
	if silent < w.silence {
		w.timer.Reset(w.silence - silent)
		return
	}
	alive := w.gateway.evacuated(w.response.endpoint) || w.gateway.prober.alive(w.ctx, w.response.endpoint)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	silent = w.gateway.elapsedSince(&w.lastActivity)
	alive = alive || silent < w.silence || hasUnread(w.response.conn.Conn)
	if alive && !w.handOver.isDue(&w.gateway.shutdown, silent, w.silence, w.received.Load()) {
		w.timer.Reset(w.silence)
		return
	}
	w.givenUp.Store(true)
	_ = w.response.conn.SetDeadline(time.Unix(1, 0))
}
