package direct

import (
	"time"

	"aspenyard.example/directory"
)

// restSpread is the time over which callers of one class are told to come back after a rest, so
// that they do not return at one moment. Less urgent classes return after more urgent ones.
const restSpread = time.Second

// peerRestCost is added for an endpoint that rests according to another entry. It is the cost of 40
// requests in flight: others are preferred as long as they are not overloaded.
const peerRestCost = 200 * time.Millisecond

// refuseResting returns the plan of a request whose endpoints all rest.
func (p *Policy) refuseResting(now time.Time, r *Request, resting []*directory.EndpointState) *Plan {
	first := p.tracker.rests.untilAvailable(now, resting[0].Incarnation)
	for _, e := range resting[1:] {
		first = min(first, p.tracker.rests.untilAvailable(now, e.Incarnation))
	}
	urgent := p.refusals.moreUrgent(now, r)
	p.refusals[refusalClass{r.Service.Name, r.Priority}] = now
	spread := time.Duration(urgent)*restSpread + time.Duration(p.rand.IntN(int(restSpread)))
	return &Plan{Resting: true, RetryAfter: first + spread, Candidates: len(resting)}
}

// RefuseIfAllRest returns the plan of a refusal if all endpoints of a service rest, whether or not
// the request was sent to them; nil otherwise.
func (p *Policy) RefuseIfAllRest(now time.Time, r *Request, endpoints []*directory.EndpointState) *Plan {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	for _, e := range endpoints {
		if p.tracker.rests.untilAvailable(now, e.Incarnation) == 0 {
			return nil
		}
	}
	if len(endpoints) == 0 {
		return nil
	}
	return p.refuseResting(now, r, endpoints)
}
