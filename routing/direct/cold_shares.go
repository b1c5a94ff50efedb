package direct

import (
	"math"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
)

// What an endpoint tolerates in any second while it is cold is divided into three parts and a margin.
// Members are registered, have a recent list of entries, and have been registered for so long that
// every other member lists them; they divide the largest part by that list. Others may send at the
// same time without knowing of each other: entries that started a moment ago, and entries that the
// store may have dropped, whose parts the members have taken over. Each kind has a small part.
const (
	memberPart  = 0.62
	starterPart = 0.2
	lapsedPart  = 0.1
	// assumedStarters is the number of entries that are assumed to start at the same time.
	assumedStarters = 32
	// warmReserve is the multiple of an endpoint's slots that the bound must be for warm endpoints to
	// be kept to it too, as long as others are left.
	warmReserve = 2
)

// ColdRule says which endpoints are kept to their bound.
type ColdRule int

// The rules. ColdOrUnconfirmed is the product's, the others are for comparison.
const (
	// ColdOrUnconfirmed: those that are cold, and, while this entry hears neither the store nor the
	// other entries, those that might be. Warm ones are kept to it where others are left.
	ColdOrUnconfirmed ColdRule = iota
	// ColdOnly: those that are known to be cold.
	ColdOnly
	// ColdAlways: all endpoints of services with a known warm-up.
	ColdAlways
	// ColdNever: none.
	ColdNever
)

// SetRule replaces the rule, for experiments.
func (c *ColdEndpoints) SetRule(rule ColdRule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rule = rule
}

// bound returns how many requests an endpoint of a service tolerates in any second while it is cold.
func (c *ColdEndpoints) bound(s *directory.Service) float64 {
	return s.ColdPerSecond*c.overshoot + c.tolerance
}

// share returns this entry's share of the bound of an endpoint.
func (c *ColdEndpoints) share(now time.Time, s *directory.Service, sent *coldShare) admission.Share {
	if sent.epoch != c.epoch {
		sent.rank, sent.epoch = admission.HolderRank(sent.key, c.entries, c.self), c.epoch
	}
	bound, count := c.bound(s), len(c.entries)+1
	if c.member(now) {
		return admission.DivideBound(memberPart*bound, sent.rank, count)
	}
	if since := c.lapsedSince(now); !since.IsZero() {
		return admission.SpreadBound(lapsedPart*bound, float64(sent.rank)/float64(count), count, since)
	}
	return admission.SpreadBound(starterPart*bound, admission.HolderPhase(sent.key, c.self), max(count, assumedStarters), c.startedAt)
}

// coldStatus is what placing needs to know of an endpoint.
type coldStatus struct {
	// cold is set while the endpoint warms up.
	cold bool
	// binding is set if the bound must be kept. available is set if this entry's share allows a
	// request now.
	binding, available bool
}

// status returns the status of an endpoint of a service with a known warm-up.
func (c *ColdEndpoints) status(now time.Time, s *directory.Service, e *directory.EndpointState) coldStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statusOf(now, s, e)
}

func (c *ColdEndpoints) statusOf(now time.Time, s *directory.Service, e *directory.EndpointState) coldStatus {
	if c.rule == ColdNever {
		return coldStatus{available: true}
	}
	status := coldStatus{cold: now.Before(c.coldUntil(e))}
	status.binding = status.cold || c.rule == ColdAlways || c.rule == ColdOrUnconfirmed && s.ColdTime > 0 && !c.confirmed(now)
	if !status.binding && (c.rule == ColdOnly || s.ColdTime <= 0 || c.bound(s) < warmReserve*float64(e.Slots)) {
		status.available = true
		return status
	}
	sent := c.sent[e.Incarnation]
	if !status.binding && (sent == nil || sent.log.Idle(now)) {
		status.available = true // a look at the share would cost the rank among all entries
		return status
	}
	sent = c.shareOf(e.Incarnation)
	status.available = sent.log.Available(now, c.share(now, s, sent))
	return status
}

// ColdTicket counts a request to an endpoint of a service with a known warm-up. A nil ticket counts
// nothing.
type ColdTicket struct {
	cold     *ColdEndpoints
	sent     *coldShare
	coldThen bool
	// pending is set until the request is sent.
	pending         bool
	takenAt, sentAt time.Time
}

// Cold reports whether the endpoint was cold when the ticket was taken.
func (t *ColdTicket) Cold() bool { return t != nil && t.coldThen }

// Take uses this entry's share for one request to an endpoint. ok is false if the request must not be
// sent there now. Sent or GiveBack must follow for each ticket.
func (c *ColdEndpoints) Take(now time.Time, s *directory.Service, e *directory.EndpointState) (ticket *ColdTicket, ok bool) {
	if s.ColdPerSecond <= 0 {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.statusOf(now, s, e)
	if status.binding && !status.available {
		return nil, false
	}
	sent := c.shareOf(e.Incarnation)
	sent.log.Begin()
	return &ColdTicket{cold: c, sent: sent, pending: true, takenAt: now, coldThen: status.cold}, true
}

// maxTicketAge is the time within which a request must be sent. Connecting takes less; a process that
// was suspended in between may have lost its share since.
const maxTicketAge = 2 * time.Second

// Sent records that the request is sent at now. The time counts from here, as connecting may have
// taken long. It returns false if that was too long, and the request must not be sent. Further calls do
// nothing.
func (t *ColdTicket) Sent(now time.Time) bool {
	if t == nil {
		return true
	}
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	if !t.pending {
		return true
	}
	if now.Sub(t.takenAt) > maxTicketAge {
		return false
	}
	t.pending = false
	t.sentAt = t.sent.log.Sent(now, now.Add(-coldKeptTime))
	return true
}

// GiveBack ends the count of a request that has certainly not arrived, or does not count.
func (t *ColdTicket) GiveBack() {
	if t == nil {
		return
	}
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	if t.pending {
		t.pending = false
		t.sent.log.Drop()
		return
	}
	t.sent.log.Forget(t.sentAt)
}

// untilAvailable returns the time until this entry's share allows a request to one of the endpoints,
// or an endpoint is warm. Where it has no share, it returns the mean time between two requests that
// the endpoints tolerate from all entries.
func (c *ColdEndpoints) untilAvailable(now time.Time, s *directory.Service, endpoints []*directory.EndpointState) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	soonest, held := time.Duration(math.MaxInt64), false
	for _, e := range endpoints {
		if left := c.coldUntil(e).Sub(now); left > 0 && c.confirmed(now) {
			soonest = min(soonest, left)
		}
		sent := c.shareOf(e.Incarnation)
		if until, ok := sent.log.Until(now, c.share(now, s, sent)); ok {
			soonest, held = min(soonest, until), true
		}
	}
	if !held {
		total := max(c.bound(s)*memberPart*float64(len(endpoints)), minLimitRate)
		soonest = min(soonest, time.Duration(float64(time.Second)/total))
	}
	return max(soonest, 0)
}
