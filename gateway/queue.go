package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
	"aspenyard.example/membership"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

const (
	// minRetryAfter is the smallest Retry-After value for a refused long prompt.
	minRetryAfter = 500 * time.Millisecond
	// backlogDrainFactor is the factor by which prompts that arrive meanwhile lengthen the time that
	// a backlog takes to drain.
	backlogDrainFactor = 3
)

// waitInQueue holds back a long prompt while the engines have enough long prompts to prefill.
// Engines prefill the parts of long prompts before anything else. When all callers retry at once
// after an outage, a dozen long prompts started together would delay the prefill of short ones by
// three seconds, and the callers of short prompts give up after two. The queue is ordered by
// arrival time plus prefill time, so that a prompt overtakes a longer one whose prefill would have
// ended after its own.
func (f *forwarding) waitInQueue(ctx context.Context) *result.Error {
	if f.service.Engine == nil || !direct.IsLongPrompt(f.service, f.PromptTokens) {
		return nil
	}
	if failure := f.refuseQuarantined(); failure != nil {
		return failure
	}
	g := f.gateway
	endpoints := g.policy.Usable(f.started, f.started.Add(f.route.Target), f.allowedEndpoints(g.snapshot.Load()))
	engines := len(g.policy.Warm(f.started, f.service, endpoints))
	if engines == 0 {
		return f.noEndpointError()
	}
	estimate := g.policy.AddLongPrompt(f.started, f.service, engines, f.PromptTokens)
	f.checkPassedOver(estimate)
	if estimate.TooLate(f.route.Target) && !f.placementRequest.PassedOver {
		return f.refuseLateFirstToken(estimate, backlogDrainFactor*(estimate.FirstToken()-f.route.Target))
	}
	ctx, cancel := g.shutdown.Context(ctx, f.stopLead(estimate.Prefill))
	defer cancel()
	plan := g.policy.Place(f.started, &f.placementRequest, endpoints)
	switch {
	case f.placementRequest.PassedOver, plan != nil && plan.Overloaded && f.route.Target > 0:
		return f.waitOutsideQueue(ctx, engines, estimate)
	case plan != nil && plan.Refused() && !plan.InBackoff:
		return f.refuse(plan) // already known; waiting would only delay the refusal
	}
	queued := g.policy.Enqueue(f.service, f.PromptTokens)
	hasCapacity := f.waitForCapacity(ctx, queued, f.started.Add(estimate.LatestStart(f.route.Target)))
	queued.Dequeue()
	if ctx.Err() != nil {
		return f.contextError(ctx)
	}
	g.observeQueueWait(time.Since(f.started))
	if !hasCapacity {
		return f.refuseWithoutCapacity(engines)
	}
	f.logQueueLeft(estimate)
	return nil
}

func (f *forwarding) logQueueLeft(estimate direct.FirstTokenEstimate) {
	f.log.Add("queue_left", zap.Duration("expected_ms", estimate.FirstToken()), zap.Duration("waited_ms", time.Since(f.started)), zap.Int("waiting", f.gateway.longQueue.Waiting()))
}

// waitOutsideQueue holds back a prompt that would delay too many streams now, or that is passed over, until
// the engines have capacity for it: streams end within a second or two, and a long prompt's target is several.
// It is neither queued nor counted as queued, so that prompts that may start are not refused or held back
// because of it. It is refused if the engines have no capacity by its latest start, because it would delay more
// callers than are served. For a prompt that is passed over, whose first token is late already, the latest
// start follows from preferredDeadlineShare.
func (f *forwarding) waitOutsideQueue(ctx context.Context, engines int, estimate direct.FirstTokenEstimate) *result.Error {
	g := f.gateway
	limit := f.route.Target
	if f.placementRequest.PassedOver {
		limit = scaleDuration(f.deadline.Sub(f.started), preferredDeadlineShare)
	}
	g.outsideQueue.Add(1)
	defer g.outsideQueue.Add(-1)
	waiting := g.policy.WaitUncounted(&f.placementRequest)
	var plan *direct.Plan // the last one
	hasCapacity := f.pollCapacity(ctx, f.started.Add(estimate.LatestStart(limit)), func(now time.Time, endpoints []*directory.EndpointState) bool {
		plan = nil
		if !waiting.MayStart(now, endpoints) {
			return false
		}
		plan = g.policy.Place(now, &f.placementRequest, endpoints)
		return plan == nil || !plan.Overloaded
	})
	if ctx.Err() != nil {
		return f.contextError(ctx)
	}
	g.observeQueueWait(time.Since(f.started))
	switch {
	case hasCapacity:
		f.logQueueLeft(estimate)
		return nil
	case plan != nil:
		return f.refuse(plan)
	}
	return f.refuseWithoutCapacity(engines)
}

// refuseWithoutCapacity ends a request that did not get capacity in time.
func (f *forwarding) refuseWithoutCapacity(engines int) *result.Error {
	estimate := f.gateway.policy.EstimateFirstToken(time.Now(), f.service, engines, f.PromptTokens)
	return f.refuseLateFirstToken(estimate, estimate.Wait)
}

// waitForCapacity waits until the engines have capacity for the prompt. It returns false if they
// have none by latest, after which the first token would miss the target, or if ctx has ended.
// Where the route has no target, it does not wait.
func (f *forwarding) waitForCapacity(ctx context.Context, queued *direct.QueuedPrompt, latest time.Time) bool {
	if f.route.Target == 0 {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	g := f.gateway
	turn := admission.Turn{Priority: f.started.Add(direct.PrefillTime(f.service.Engine, f.PromptTokens)), Tier: int(f.tier()), Returning: f.returning()}
	if err := g.longQueue.Acquire(ctx, turn); err != nil {
		return false
	}
	defer g.longQueue.Release()
	return f.pollCapacity(ctx, latest, queued.MayStart)
}

// pollCapacity polls until the engines have capacity for the prompt, as mayStart says. It returns false if they
// have none by latest, or if ctx has ended.
func (f *forwarding) pollCapacity(ctx context.Context, latest time.Time, mayStart func(now time.Time, endpoints []*directory.EndpointState) bool) bool {
	g := f.gateway
	for {
		now := time.Now()
		endpoints := g.policy.Usable(now, latest, f.allowedEndpoints(g.snapshot.Load()))
		if len(endpoints) == 0 {
			return true // there is nothing to wait for: placing refuses the request
		}
		if mayStart(now, endpoints) || f.hasBlamedPart() {
			return true // a prompt with a blamed part is refused before it is sent
		}
		if ctx.Err() != nil || !now.Before(latest) {
			return false
		}
		membership.Sleep(ctx, direct.QueuePollInterval)
	}
}

// refuseLateFirstToken ends a request whose first token is expected too late, or that did not get
// capacity in time.
func (f *forwarding) refuseLateFirstToken(estimate direct.FirstTokenEstimate, retryAfter time.Duration) *result.Error {
	f.log.Add("queue_refused", zap.Duration("expected_ms", estimate.FirstToken()), zap.Duration("wait_ms", estimate.Wait), zap.Duration("limit_ms", f.route.Target), zap.Duration("waited_ms", time.Since(f.started)))
	return result.Refuse(result.Overloaded, max(retryAfter, minRetryAfter), "first token is expected after %v", estimate.FirstToken())
}
