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
	// comeBackLeast bounds from below when a refused long prompt may come back.
	comeBackLeast = 500 * time.Millisecond
	// drainFactor is how much longer than its work a backlog takes to go down, as others come
	// meanwhile.
	drainFactor = 3
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
	if failure := f.refuseQuarantined(); failure != nil {
		return failure
	}
	g := f.gateway
	endpoints := g.snapshot.Load().Endpoints(f.service.Name)
	engines := len(endpoints)
	expected := g.policy.Expect(f.started, f.service, engines, f.PromptTokens)
	if expected.TooLate(f.route.Target) {
		return f.refuseExpected(expected)
	}
	if plan := g.policy.Place(f.started, &f.request, endpoints); plan != nil && plan.Crowded {
		return f.refuseCapacity(plan) // known now: waiting would only delay the refusal
	}
	defer g.policy.Hold(f.service, f.PromptTokens)()
	waiting, cancel := context.WithDeadline(ctx, f.started.Add(expected.LatestStart(f.route.Target)))
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
	f.log.Add("queue_left", zap.Duration("expected_ms", expected.FirstToken()), zap.Duration("waited_ms", time.Since(f.started)), zap.Int("waiting", g.longQueue.Waiting()))
	return nil
}

// refuseExpected ends a call whose first token is expected too late.
func (f *forwarding) refuseExpected(expected direct.Expectation) *result.Error {
	f.log.Add("queue_refused", zap.Duration("expected_ms", expected.FirstToken()), zap.Duration("wait_ms", expected.Wait), zap.Duration("limit_ms", f.route.Target))
	return result.Refuse(result.Overloaded, max(drainFactor*(expected.FirstToken()-f.route.Target), comeBackLeast), "its first token is expected after %v", expected.FirstToken())
}
