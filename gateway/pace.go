package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/routing/direct"
)

// SlowdownReader asks an endpoint how many times as long as described its work takes.
type SlowdownReader interface {
	Slowdown(ctx context.Context, e *directory.EndpointState) (float64, error)
}

const (
	// slowdownInterval is the least time between two questions to one endpoint; while it is
	// slow it is asked as often.
	slowdownInterval = time.Second
	// slowdownTimeout bounds one question; endpoints answer in milliseconds.
	slowdownTimeout = 300 * time.Millisecond
	// firstTokenLateFactor is how many times as long as expected a first token takes for its engines
	// to be asked, and latePasses how many full passes a pause between events takes at an
	// engine that has nothing to prefill.
	firstTokenLateFactor = 2
	pauseLatePasses      = 2
)

// slowdownMonitor finds endpoints that have turned slow. A prompt that is prefilled in parts waits
// for the slowest of its engines, and one slow engine of twenty makes every such prompt
// late. Suspicion comes from what callers see, so that nobody is asked while all is well;
// the endpoint's own word decides, and other entries hear of it. Engines were found 0.3 to
// 0.9 s after they had turned slow.
type slowdownMonitor struct {
	gateway *Gateway
	mu      sync.Mutex
	queries map[directory.Incarnation]*slowdownQuery
}

// slowdownQuery is when an endpoint was last asked. It is asking while the endpoint is slow and
// asked again and again: suspicion goes on meanwhile, and each would add another series.
type slowdownQuery struct {
	lastQuery time.Time
	active    bool
}

func newSlowdownMonitor(g *Gateway) *slowdownMonitor {
	return &slowdownMonitor{gateway: g, queries: map[directory.Incarnation]*slowdownQuery{}}
}

// check asks endpoints that were not asked lately.
func (p *slowdownMonitor) check(endpoints ...*directory.EndpointState) {
	if p.gateway.slowdownReader == nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range endpoints {
		last := p.queries[e.Incarnation]
		if last != nil && (last.active || now.Sub(last.lastQuery) < slowdownInterval) {
			continue
		}
		current := &slowdownQuery{lastQuery: now, active: true}
		p.queries[e.Incarnation] = current
		go func() {
			p.poll(e)
			p.mu.Lock()
			defer p.mu.Unlock()
			current.active, current.lastQuery = false, time.Now()
		}()
	}
}

// poll asks one endpoint, and again while it is slow.
func (p *slowdownMonitor) poll(e *directory.EndpointState) {
	g := p.gateway
	for g.snapshot.Load().Endpoint(e.Incarnation) != nil {
		ctx, cancel := context.WithTimeout(context.Background(), slowdownTimeout)
		slowdown, err := g.slowdownReader.Slowdown(ctx, e)
		cancel()
		if err != nil {
			g.log.Warn("pace_unknown", zap.String("endpoint", e.ID), eventlog.Error(err))
			return
		}
		slow, changed := g.ledger.SetSlowdown(time.Now(), e.Incarnation, slowdown)
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

// prune forgets endpoints that are not known any more.
func (p *slowdownMonitor) prune(known func(life directory.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.queries, func(life directory.Incarnation, _ *slowdownQuery) bool { return !known(life) })
}

// watchFirstToken suspects a plan's engines when the first token does not come. The function
// that it returns ends that.
func (f *forwarding) watchFirstToken(plan *direct.Plan) func() {
	if f.service.Engine == nil {
		return func() {}
	}
	engines := append([]*directory.EndpointState{plan.Endpoint}, plan.Helpers...)
	timer := time.AfterFunc(firstTokenLateFactor*plan.ExpectedFirstToken, func() { f.gateway.paces.check(engines...) })
	return func() { timer.Stop() }
}

// checkPause suspects an engine whose stream pauses while it has nothing to prefill.
func (f *forwarding) checkPause(plan *direct.Plan, pause time.Duration) {
	if pause <= pauseLatePasses*direct.PassTime(f.service.Engine) {
		return
	}
	if f.gateway.ledger.PendingPrefill(time.Now(), plan.Endpoint.Incarnation) == 0 {
		f.gateway.paces.check(plan.Endpoint)
	}
}
