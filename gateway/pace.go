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

// Pacer asks an endpoint how many times as long as described its work takes.
type Pacer interface {
	Pace(ctx context.Context, e *directory.Listed) (float64, error)
}

const (
	// paceInterval is the least time between two questions to one endpoint; while it is
	// slow it is asked as often.
	paceInterval = time.Second
	// paceTimeout bounds one question; endpoints answer in milliseconds.
	paceTimeout = 300 * time.Millisecond
	// lateFactor is how many times as long as expected a first token takes for its engines
	// to be asked, and latePasses how many full passes a pause between events takes at an
	// engine that has nothing to prefill.
	lateFactor = 2
	latePasses = 2
)

// paces finds endpoints that have turned slow. A prompt that is prefilled in parts waits
// for the slowest of its engines, and one slow engine of twenty makes every such prompt
// late. Suspicion comes from what callers see, so that nobody is asked while all is well;
// the endpoint's own word decides, and other entries hear of it. Engines were found 0.3 to
// 0.9 s after they had turned slow.
type paces struct {
	gateway *Gateway
	mu      sync.Mutex
	asked   map[directory.Life]*question
}

// question is when an endpoint was last asked. It is asking while the endpoint is slow and
// asked again and again: suspicion goes on meanwhile, and each would add another series.
type question struct {
	at     time.Time
	asking bool
}

func newPaces(g *Gateway) *paces {
	return &paces{gateway: g, asked: map[directory.Life]*question{}}
}

// suspect asks endpoints that were not asked lately.
func (p *paces) suspect(endpoints ...*directory.Listed) {
	if p.gateway.pacer == nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range endpoints {
		last := p.asked[e.Life]
		if last != nil && (last.asking || now.Sub(last.at) < paceInterval) {
			continue
		}
		current := &question{at: now, asking: true}
		p.asked[e.Life] = current
		go func() {
			p.ask(e)
			p.mu.Lock()
			defer p.mu.Unlock()
			current.asking, current.at = false, time.Now()
		}()
	}
}

// ask asks one endpoint, and again while it is slow.
func (p *paces) ask(e *directory.Listed) {
	g := p.gateway
	for g.snapshot.Load().Endpoint(e.Life) != nil {
		ctx, cancel := context.WithTimeout(context.Background(), paceTimeout)
		pace, err := g.pacer.Pace(ctx, e)
		cancel()
		if err != nil {
			g.log.Warn("pace_unknown", zap.String("endpoint", e.ID), eventlog.Error(err))
			return
		}
		slow, changed := g.ledger.SetSlowdown(time.Now(), e.Life, pace)
		if changed {
			g.peers.announce()
			g.log.Warn("endpoint_pace", zap.String("endpoint", e.ID), zap.Float64("pace", pace))
		}
		if !slow {
			return
		}
		time.Sleep(paceInterval)
	}
}

// prune forgets endpoints that are not known any more.
func (p *paces) prune(known func(life directory.Life) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.asked, func(life directory.Life, _ *question) bool { return !known(life) })
}

// watchFirst suspects a plan's engines when the first token does not come. The function
// that it returns ends that.
func (f *forwarding) watchFirst(plan *direct.Plan) func() {
	if f.service.Engine == nil {
		return func() {}
	}
	engines := append([]*directory.Listed{plan.Endpoint}, plan.Helpers...)
	timer := time.AfterFunc(lateFactor*plan.ExpectedFirstToken, func() { f.gateway.paces.suspect(engines...) })
	return func() { timer.Stop() }
}

// watchGap suspects an engine whose stream pauses while it has nothing to prefill.
func (f *forwarding) watchGap(plan *direct.Plan, gap time.Duration) {
	if gap <= latePasses*direct.PassTime(f.service.Engine) {
		return
	}
	if f.gateway.ledger.PendingPrefill(time.Now(), plan.Endpoint.Life) == 0 {
		f.gateway.paces.suspect(plan.Endpoint)
	}
}
