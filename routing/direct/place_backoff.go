package direct

import (
	"time"

	"aspenyard.example/directory"
)

// backoffSpread is the time over which callers of one class are told to come back after a backoff, so
// that they do not return at one moment. Less urgent classes return after more urgent ones.
const backoffSpread = time.Second

// peerBackoffCost is added for an endpoint that is in backoff according to another entry. It equals
// the cost of many requests in flight, so that others are preferred while they are not overloaded.
const peerBackoffCost = 200 * time.Millisecond

// refuseInBackoff returns the plan of a request whose endpoints are all in backoff.
func (p *Policy) refuseInBackoff(now time.Time, r *Request, inBackoff []*directory.EndpointState) *Plan {
	first := p.tracker.backoffs.untilAvailable(now, inBackoff[0].Incarnation)
	for _, e := range inBackoff[1:] {
		first = min(first, p.tracker.backoffs.untilAvailable(now, e.Incarnation))
	}
	urgent := p.refusals.moreUrgent(now, r)
	p.refusals[refusalClass{r.Service.Name, r.Priority}] = now
	spread := time.Duration(urgent)*backoffSpread + time.Duration(p.rand.IntN(int(backoffSpread)))
	return &Plan{InBackoff: true, RetryAfter: first + spread, Candidates: len(inBackoff)}
}

// RefuseIfAllInBackoff returns the plan of a refusal if all endpoints of a service are in backoff,
// whether or not the request was sent to them; nil otherwise.
func (p *Policy) RefuseIfAllInBackoff(now time.Time, r *Request, endpoints []*directory.EndpointState) *Plan {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	for _, e := range endpoints {
		if p.tracker.backoffs.untilAvailable(now, e.Incarnation) == 0 {
			return nil
		}
	}
	if len(endpoints) == 0 {
		return nil
	}
	return p.refuseInBackoff(now, r, endpoints)
}
