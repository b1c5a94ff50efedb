package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/progress"
	"aspenyard.example/routing/direct"
)

// SlowdownReader asks an endpoint for its slowdown: the time that its work takes, as a multiple of
// the time given in its service's description.
type SlowdownReader interface {
	Slowdown(ctx context.Context, e *directory.EndpointState) (float64, error)
}

const (
	// slowdownInterval is the minimum time between two queries to an endpoint, and the interval at
	// which a slow endpoint is queried.
	slowdownInterval = time.Second
	// slowdownTimeout bounds one query; endpoints answer in milliseconds.
	slowdownTimeout = 300 * time.Millisecond
	// firstTokenLateFactor is the multiple of the expected time after which a missing first token
	// makes the gateway query the engines. pauseLatePasses is the pause between events, in full
	// passes of the engine, that makes it query an engine without pending prefill.
	firstTokenLateFactor = 2
	pauseLatePasses      = 2
)

// slowdownMonitor detects endpoints that have become slow. A prompt that is prefilled in parts
// waits for the slowest of its engines, so one slow engine of twenty makes every such prompt late.
// Endpoints are queried only after callers' requests show delays. The endpoint's own report
// decides, and the other entries are told of it.
type slowdownMonitor struct {
	gateway *Gateway
	mu      sync.Mutex
	queries map[directory.Incarnation]*slowdownQuery
}

// slowdownQuery records when an endpoint was last queried. active is set while the endpoint is
// polled: callers' requests are delayed meanwhile, and each of them would start another poll.
type slowdownQuery struct {
	lastQuery time.Time
	active    bool
}

func newSlowdownMonitor(g *Gateway) *slowdownMonitor {
	return &slowdownMonitor{gateway: g, queries: map[directory.Incarnation]*slowdownQuery{}}
}

// check starts polling the given endpoints, except those that were queried less than
// slowdownInterval ago or are being polled.
func (m *slowdownMonitor) check(endpoints ...*directory.EndpointState) {
	if m.gateway.slowdownReader == nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range endpoints {
		if !m.mayQuery(now, e) {
			continue
		}
		last := m.queries[e.Incarnation]
		if last != nil && (last.active || now.Sub(last.lastQuery) < slowdownInterval) {
			continue
		}
		current := &slowdownQuery{lastQuery: now, active: true}
		m.queries[e.Incarnation] = current
		go func() {
			m.poll(e)
			m.mu.Lock()
			defer m.mu.Unlock()
			current.active, current.lastQuery = false, time.Now()
		}()
	}
}

// poll queries one endpoint, and repeats the query while the endpoint is slow.
func (m *slowdownMonitor) poll(e *directory.EndpointState) {
	g := m.gateway
	for g.snapshot.Load().Endpoint(e.Incarnation) != nil && m.mayQuery(time.Now(), e) {
		ctx, cancel := progress.WithRunningTimeout(context.Background(), slowdownTimeout)
		slowdown, err := g.slowdownReader.Slowdown(ctx, e)
		cancel()
		if err != nil {
			g.log.Warn("pace_unknown", zap.String("endpoint", e.ID), eventlog.Error(err))
			return
		}
		slow, changed := g.loadTracker.SetSlowdown(time.Now(), e.Incarnation, slowdown)
		if changed {
			g.peers.sendHeartbeat()
			g.log.Warn("endpoint_pace", zap.String("endpoint", e.ID), zap.Float64("pace", slowdown))
		}
		if !slow {
			return
		}
		time.Sleep(slowdownInterval)
	}
}

// mayQuery reports whether an endpoint may be sent a query. Where it states a limit, requests backoff or
// is evacuated or warms up, a query would be one more request.
func (m *slowdownMonitor) mayQuery(now time.Time, e *directory.EndpointState) bool {
	tracker := m.gateway.loadTracker
	return !m.gateway.evacuated(e) && !tracker.Limits().Limited(now, direct.HashEndpoint(e.Incarnation)) && !tracker.Backoffs().InBackoff(now, e.Incarnation) && !m.gateway.isCold(now, e)
}

// prune drops endpoints that are no longer known.
func (m *slowdownMonitor) prune(known func(incarnation directory.Incarnation) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.queries, func(incarnation directory.Incarnation, _ *slowdownQuery) bool { return !known(incarnation) })
}

// watchFirstToken queries the plan's engines if the first token is late. The returned function
// ends the watch.
func (f *forwarding) watchFirstToken(plan *direct.Plan) func() {
	if f.service.Engine == nil {
		return func() {}
	}
	engines := append([]*directory.EndpointState{plan.Endpoint}, plan.Helpers...)
	timer := time.AfterFunc(firstTokenLateFactor*plan.ExpectedFirstToken, func() { f.gateway.slowdownMonitor.check(engines...) })
	return func() { timer.Stop() }
}

// checkPause queries an engine whose stream has paused for long while it had nothing to prefill.
func (f *forwarding) checkPause(plan *direct.Plan, pause time.Duration) {
	if pause <= pauseLatePasses*direct.PassTime(f.service.Engine) {
		return
	}
	if f.gateway.loadTracker.PendingPrefill(time.Now(), plan.Endpoint.Incarnation) == 0 {
		f.gateway.slowdownMonitor.check(plan.Endpoint)
	}
}
