package direct

import (
	"slices"
	"time"

	"aspenyard.example/directory"
)

// candidates are the endpoints among which a request is placed.
type candidates struct {
	// unlimited endpoints state no limit, or one that is not tight. limited ones state a tight one.
	// Both may be sent a request now.
	unlimited, limited []*directory.EndpointState
	// exhausted endpoints have a limit, and those in inBackoff a backoff, because of which they
	// must not be sent a request now.
	exhausted, inBackoff []*directory.EndpointState
	// cold endpoints warm up and may be sent a request now, coldUsedUp ones may not.
	cold, coldUsedUp []*directory.EndpointState
	// tried is set if the request was sent before to an endpoint that is not in backoff.
	tried bool
}

// count is the number of endpoints that may be sent the request.
func (c *candidates) count() int { return len(c.unlimited) + len(c.limited) }

// eligible drops endpoints that were already tried and sets those apart that must not be sent a
// request. Unless no others remain, it also drops those that accept no connections, refused work
// lately or have lost their registration.
func (p *Policy) eligible(now time.Time, r *Request, endpoints []*directory.EndpointState) candidates {
	noLimits, noBackoffs := p.tracker.limits.Empty(), p.tracker.backoffs.Empty(now)
	var preferred, avoided candidates
	preferred.unlimited = make([]*directory.EndpointState, 0, len(endpoints))
	for _, e := range endpoints {
		if !noBackoffs && p.tracker.backoffs.untilAvailable(now, e.Incarnation) > 0 {
			preferred.inBackoff = append(preferred.inBackoff, e)
			continue
		}
		if r.Tried[e.Incarnation] {
			preferred.tried = true
			continue
		}
		tracked := p.tracker.endpoints[e.Incarnation]
		c := &preferred
		if !e.MissingSince.IsZero() || tracked != nil && tracked.avoided(now) {
			c = &avoided
		}
		if noLimits {
			c.unlimited = append(c.unlimited, e)
			continue
		}
		switch status := p.tracker.limits.status(now, HashEndpoint(e.Incarnation)); {
		case !status.available:
			c.exhausted = append(c.exhausted, e)
		case status.tight(e.Slots):
			c.limited = append(c.limited, e)
		default:
			c.unlimited = append(c.unlimited, e)
		}
	}
	p.sortCold(now, r.Service, &preferred)
	if preferred.count()+len(preferred.cold) > 0 {
		return preferred
	}
	p.sortCold(now, r.Service, &avoided)
	avoided.coldUsedUp = append(avoided.coldUsedUp, preferred.coldUsedUp...)
	avoided.exhausted = append(avoided.exhausted, preferred.exhausted...)
	avoided.inBackoff, avoided.tried = preferred.inBackoff, preferred.tried
	return avoided
}

// Usable returns the endpoints that state no tight limit, or all if each of them states one. It
// leaves out those that are still in backoff at the time by.
func (p *Policy) Usable(now, by time.Time, endpoints []*directory.EndpointState) []*directory.EndpointState {
	if !p.tracker.backoffs.Empty(now) {
		endpoints = slices.DeleteFunc(slices.Clone(endpoints), func(e *directory.EndpointState) bool {
			return p.tracker.backoffs.untilAvailable(now, e.Incarnation) > by.Sub(now)
		})
	}
	if p.tracker.limits.Empty() {
		return endpoints
	}
	kept := make([]*directory.EndpointState, 0, len(endpoints))
	for _, e := range endpoints {
		if !p.tracker.limits.status(now, HashEndpoint(e.Incarnation)).tight(e.Slots) {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return endpoints
	}
	return kept
}
