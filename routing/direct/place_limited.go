package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// maxLimitedCost bounds what is added to the cost of an endpoint that states a limit: it asked
	// for less work, and what its limit allows is kept for requests that others cannot take soon.
	maxLimitedCost = 100 * time.Millisecond
	// minLimitRetryAfter and maxLimitRetryAfter bound when a caller is told to come back.
	minLimitRetryAfter = 300 * time.Millisecond
	maxLimitRetryAfter = 10 * time.Second
	// urgentReserveTime is how long after the refusal of a request the limits of a service are
	// kept from less urgent ones. By then the caller has come back.
	urgentReserveTime = 3 * time.Second
)

// refusals remembers when requests were last refused because of limits, by service and priority.
type refusals map[refusalClass]time.Time

// refusalClass is a class of requests of equal urgency.
type refusalClass struct {
	service  string
	priority int
}

// moreUrgent counts the classes that are more urgent than a request and had a refusal lately.
func (f refusals) moreUrgent(now time.Time, r *Request) int {
	n := 0
	for class, at := range f {
		switch {
		case now.Sub(at) > urgentReserveTime:
			delete(f, class)
		case class.service == r.Service.Name && class.priority < r.Priority:
			n++
		}
	}
	return n
}

// refuseLimited returns the plan of a request that no endpoint may be sent because of limits.
// The less urgent it is, the later its caller is told to come back.
func (p *Policy) refuseLimited(now time.Time, r *Request, limited []*directory.EndpointState) *Plan {
	hashes := make([]EndpointHash, 0, len(limited))
	for _, e := range limited {
		hashes = append(hashes, HashEndpoint(e.Incarnation))
	}
	wait, _ := p.tracker.limits.untilAllowed(now, hashes)
	urgent := p.refusals.moreUrgent(now, r)
	p.refusals[refusalClass{r.Service.Name, r.Priority}] = now
	retryAfter := time.Duration(1+urgent) * max(wait, minLimitRetryAfter)
	return &Plan{RateLimited: true, RetryAfter: min(retryAfter, maxLimitRetryAfter), Candidates: len(limited)}
}

// scoreLimited scores endpoints that state a limit. A request there costs the time until this
// entry may send the next one, unless the limit has not been confirmed for a while.
func (p *Policy) scoreLimited(now time.Time, r *Request, limited []*directory.EndpointState) []scored {
	list := p.score(now, r, limited, r.Service.Engine)
	for i := range list {
		status := p.tracker.limits.status(now, HashEndpoint(list[i].endpoint.Incarnation))
		if !status.unconfirmed && status.sharePerSecond > 0 {
			list[i].cost += min(time.Duration(float64(time.Second)/status.sharePerSecond), maxLimitedCost)
		}
	}
	return list
}

// placeOnlyLimited places a request where every endpoint states a limit. An engine with a limit
// prefills no parts for others, so that the prompt must be prefilled, and held, by one engine.
func (p *Policy) placeOnlyLimited(now time.Time, r *Request, c candidates) *Plan {
	if len(c.limited) == 0 || p.refusals.moreUrgent(now, r) > 0 {
		return p.refuseLimited(now, r, append(c.limited, c.exhausted...))
	}
	engine := r.Service.Engine
	if engine == nil {
		return p.placePlain(now, r, c)
	}
	if memory := r.PromptTokens + r.OutputTokens; engine.KVCacheTokens > 0 && memory > engine.KVCacheTokens {
		return p.refuseLimited(now, r, c.limited)
	}
	return p.placeEngine(now, r, c)
}
