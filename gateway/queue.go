package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/membership"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

// crowdedPoll is how often a waiting long prompt looks at the engines: a fraction of
// the time in which one of them is prefilled.
const crowdedPoll = 20 * time.Millisecond

const (
	// waitShare is the part of its target for which a long prompt is held: one that waits
	// longer is late in any case.
	waitShare = 1
	// lateShare is the part of its target by which a long prompt must be expected to be
	// read, or it is refused at once: engines that are busy with prompts that are late
	// make the next ones late too, and everyone who decodes there.
	lateShare = 1
	// comeBackLeast bounds from below when a refused long prompt may come back.
	comeBackLeast = 500 * time.Millisecond
)

// waitInQueue holds a long prompt while the engines have enough of them to prefill.
// Engines prefill the parts of long prompts before anything else: when all callers
// come back at once after an outage, a dozen long prompts at a time would keep short
// ones from being read for three seconds, and their callers leave after two. The order
// is by arrival, and a longer prompt lets those pass that come while it could not have
// been read itself.
func (f *forwarding) waitInQueue(ctx context.Context) *result.Error {
	engine := f.service.Engine
	if engine == nil || !direct.IsLong(f.service, f.PromptTokens) {
		return nil
	}
	g := f.gateway
	endpoints := g.snapshot.Load().Endpoints(f.service.Name)
	engines := len(endpoints)
	expected := g.policy.Expect(f.started, f.service, engines, f.PromptTokens)
	if limit := time.Duration(lateShare * float64(f.route.Target)); limit > 0 && expected > limit {
		f.log.Add("queue_refused", zap.Duration("expected_ms", expected), zap.Duration("limit_ms", limit))
		return result.Refuse(result.Overloaded, max(expected-limit, comeBackLeast), "its first token is expected after %v", expected)
	}
	if plan := g.policy.Place(f.started, &f.request, endpoints); plan != nil && plan.Crowded {
		return f.refuseCapacity(plan) // known now: waiting would only delay the refusal
	}
	defer g.policy.Hold(f.service, f.PromptTokens)()
	waiting, cancel := context.WithDeadline(ctx, f.started.Add(time.Duration(waitShare*float64(f.route.Target))))
	defer cancel()
	if err := g.longQueue.Acquire(waiting, f.started.Add(direct.Prefill(engine, f.PromptTokens))); err == nil {
		for waiting.Err() == nil && g.policy.Crowded(time.Now(), f.service, engines, f.PromptTokens) {
			membership.Sleep(waiting, crowdedPoll)
		}
		g.longQueue.Release()
	}
	if ctx.Err() != nil {
		return f.ended(ctx)
	}
	g.measureWait(time.Since(f.started))
	f.log.Add("queue_left", zap.Duration("expected_ms", expected), zap.Duration("waited_ms", time.Since(f.started)), zap.Int("waiting", g.longQueue.Waiting()))
	return nil
}
