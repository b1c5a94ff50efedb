package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// coldCost is added to the cost of an endpoint that warms up. It equals the cost of 20 requests in
	// flight, so that warm endpoints fill their slots first, and is less than that of a request that
	// waits for a slot, so that cold ones take what warm ones have no slot for.
	coldCost = 100 * time.Millisecond
	// urgentColdCost is added for the most urgent requests in addition.
	urgentColdCost = 40 * time.Millisecond
	// minColdRetryAfter and maxColdRetryAfter bound when a caller is told to come back.
	minColdRetryAfter = 50 * time.Millisecond
	maxColdRetryAfter = 10 * time.Second
)

// sortCold sets apart the candidates that warm up, that must not be sent a request now because of
// that, or that this entry has sent its share already.
func (p *Policy) sortCold(now time.Time, s *directory.Service, c *candidates) {
	if s.ColdPerSecond <= 0 {
		return
	}
	var others []*directory.EndpointState
	sorted := func(list []*directory.EndpointState) []*directory.EndpointState {
		kept := list[:0]
		for _, e := range list {
			switch status := p.tracker.cold.status(now, s, e); {
			case status.binding && !status.available:
				c.coldUsedUp = append(c.coldUsedUp, e)
			case status.cold:
				c.cold = append(c.cold, e)
			case !status.available:
				others = append(others, e)
			default:
				kept = append(kept, e)
			}
		}
		return kept
	}
	c.unlimited, c.limited = sorted(c.unlimited), sorted(c.limited)
	if c.count() == 0 {
		c.unlimited = others // warm, and beyond this entry's share: better than none
	}
}

// Warm returns the endpoints of a service that do not warm up, or all if each of them does. Long prompts
// are prefilled by these.
func (p *Policy) Warm(now time.Time, s *directory.Service, endpoints []*directory.EndpointState) []*directory.EndpointState {
	if s.ColdPerSecond <= 0 {
		return endpoints
	}
	warm := make([]*directory.EndpointState, 0, len(endpoints))
	for _, e := range endpoints {
		if !p.tracker.cold.status(now, s, e).cold {
			warm = append(warm, e)
		}
	}
	if len(warm) == 0 {
		return endpoints
	}
	return warm
}

// placeWhole places a long prompt that the warm engines have no capacity for on one engine that warms
// up, without helpers. It returns nil if none has the memory.
func (p *Policy) placeWhole(now time.Time, r *Request, c candidates) *Plan {
	engine := r.Service.Engine
	if len(c.cold) == 0 || r.PromptTokens+r.OutputTokens > maxSingleEngineMemory(engine) {
		return nil
	}
	prefill := PrefillTime(engine, r.PromptTokens)
	plan := &Plan{Long: true, MemoryTokens: r.PromptTokens + r.OutputTokens, Candidates: len(c.cold), pauseClass: PauseClass(r.MaxPause), PartPrefill: prefill}
	list := p.scoreCold(now, r, c.cold)
	p.countDelayed(list, partPause(engine, prefill))
	p.assign(plan, addDelayCost(list, true), 1, engine)
	if plan.Delayed > maxDelayed {
		return nil
	}
	return plan
}

// scoreCold scores endpoints that warm up and may be sent a request. They are used beside warm ones
// only where those have no free slots.
func (p *Policy) scoreCold(now time.Time, r *Request, cold []*directory.EndpointState) []scored {
	list := p.score(now, r, cold, r.Service.Engine)
	addCost(list, coldCost)
	if r.Priority == 0 {
		addCost(list, urgentColdCost)
	}
	return list
}

// placeOnlyCold places a request where every endpoint warms up. What comes free is kept for requests
// that are more urgent and were refused a moment ago.
func (p *Policy) placeOnlyCold(now time.Time, r *Request, c candidates) *Plan {
	if len(c.cold) == 0 || p.coldRefusals.moreUrgent(now, r) > 0 {
		return p.refuseCold(now, r, append(c.cold, c.coldUsedUp...))
	}
	c.unlimited, c.cold = c.cold, nil
	if r.Service.Engine == nil {
		return p.placePlain(now, r, c)
	}
	return p.placeEngine(now, r, c)
}

// refuseCold returns the plan of a request that no endpoint may be sent while it warms up. The less
// urgent it is, the later its caller is told to come back.
func (p *Policy) refuseCold(now time.Time, r *Request, cold []*directory.EndpointState) *Plan {
	wait := p.tracker.cold.untilAvailable(now, r.Service, cold)
	urgent := p.coldRefusals.moreUrgent(now, r)
	p.coldRefusals[refusalClass{r.Service.Name, r.Priority}] = now
	retryAfter := time.Duration(1+urgent) * max(wait, minColdRetryAfter)
	return &Plan{WarmingUp: true, RetryAfter: min(retryAfter, maxColdRetryAfter), Candidates: len(cold)}
}
