package direct

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
)

// ColdEndpoints tracks which endpoints warm up and how many requests this entry may send them: its
// share of what they tolerate from all entries together (cold_shares.go). Registrations, responses and
// other entries say for how long an endpoint is cold. ColdEndpoints is safe for concurrent use.
type ColdEndpoints struct {
	mu sync.Mutex
	entryList
	membership
	overshoot, tolerance float64
	rule                 ColdRule
	// known is what responses and other entries stated, sent what this entry sent to endpoints of
	// services with a known warm-up.
	known map[EndpointHash]*coldStatement
	sent  map[directory.Incarnation]*coldShare
	// nextReport is the position at which the next full report starts. logged are the endpoints
	// that Transitions last returned as cold.
	nextReport int
	logged     map[directory.Incarnation]bool
}

// coldStatement is what responses and other entries stated of one endpoint.
type coldStatement struct {
	until time.Time
	// sentAt is when the request was sent whose response was last heard here; zero if none was.
	sentAt time.Time
	// changedAt is when until last changed here.
	changedAt time.Time
}

const (
	// coldRepeatMargin is how much later an end may seem to be after it was passed on.
	coldRepeatMargin = 250 * time.Millisecond
	// coldKeptTime is how long a statement is kept after its end, so that a response still overrides
	// a registration that says otherwise.
	coldKeptTime = time.Minute
)

// NewColdEndpoints returns a tracker that knows no cold endpoints and no other entries, and that
// allows endpoints the rate that their service's configuration names.
func NewColdEndpoints() *ColdEndpoints {
	return &ColdEndpoints{entryList: newEntryList(), membership: membership{listTTL: defaultListTTL, storeTTL: defaultStoreTTL}, overshoot: 1, known: map[EndpointHash]*coldStatement{}, sent: map[directory.Incarnation]*coldShare{}, logged: map[directory.Incarnation]bool{}}
}

// SetBound sets what an endpoint tolerates in any second while it warms up: overshoot times the rate of
// its service's configuration, plus tolerance.
func (c *ColdEndpoints) SetBound(overshoot, tolerance float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overshoot, c.tolerance = overshoot, tolerance
}

// SetEntries sets this entry's name and the names of all registered entries.
func (c *ColdEndpoints) SetEntries(now time.Time, self string, entries []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set(now, self, entries)
}

// Observe records that a response to this entry, whose request was sent at sentAt, stated how long an
// endpoint still warms up. It returns whether that changed what is known. A response replaces what was
// stated before its request was sent; otherwise the later end counts, as nobody knows which is newer.
func (c *ColdEndpoints) Observe(now time.Time, e *directory.EndpointState, sentAt time.Time, left time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash, until := HashEndpoint(e.Incarnation), now.Add(min(left, directory.MaxColdTime))
	before := c.coldUntil(e)
	k := c.statement(hash)
	if sentAt.After(k.changedAt) || until.After(k.until) {
		k.until = until
	}
	if sentAt.After(k.sentAt) {
		k.sentAt = sentAt
	}
	return c.recordChange(now, k, before, c.coldUntil(e))
}

// recordChange notes whether the end of a warm-up has moved by more than repetitions do.
func (c *ColdEndpoints) recordChange(now time.Time, k *coldStatement, before, after time.Time) bool {
	moved := after.Sub(before).Abs() > coldRepeatMargin
	changed := moved && (after.After(now) || before.After(now))
	if changed {
		k.changedAt = now
	}
	return changed
}

func (c *ColdEndpoints) statement(hash EndpointHash) *coldStatement {
	k := c.known[hash]
	if k == nil {
		k = &coldStatement{}
		c.known[hash] = k
	}
	return k
}

// coldUntil returns until when an endpoint is cold by all that is known. A response counts alone if
// its request was sent after the registration had been seen.
func (c *ColdEndpoints) coldUntil(e *directory.EndpointState) time.Time {
	if len(c.known) == 0 {
		return e.ColdUntil
	}
	k := c.known[HashEndpoint(e.Incarnation)]
	if k == nil || e.ColdUntil.After(k.until) && !k.sentAt.After(e.ColdSeenAt) {
		return e.ColdUntil
	}
	return k.until
}

// Cold returns how long an endpoint still warms up; 0 if it is warm.
func (c *ColdEndpoints) Cold(now time.Time, e *directory.EndpointState) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.coldUntil(e).Sub(now), 0)
}

// ColdReport is an entry's report to others of how long an endpoint still warms up.
type ColdReport struct {
	Endpoint EndpointHash
	Left     time.Duration
}

// Reports returns the reports for other entries, at most most: changes of the last changeReportTime
// and, with full, all cold endpoints of the list, also those that only the registration says are
// cold, for entries that do not reach the store.
func (c *ColdEndpoints) Reports(now time.Time, full bool, most int, endpoints iter.Seq[*directory.EndpointState]) []ColdReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed, standing []ColdReport
	for hash, k := range c.known {
		if now.Sub(k.changedAt) < changeReportTime {
			changed = append(changed, ColdReport{hash, max(k.until.Sub(now), 0)})
		}
	}
	if full {
		for e := range endpoints {
			if left := c.coldUntil(e).Sub(now); left > 0 {
				standing = append(standing, ColdReport{HashEndpoint(e.Incarnation), left})
			}
		}
	}
	byEndpoint := func(a, b ColdReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) }
	slices.SortFunc(changed, byEndpoint)
	slices.SortFunc(standing, byEndpoint)
	if len(standing) > 0 { // in turns, where there are too many
		start := c.nextReport % len(standing)
		standing = append(standing[start:], standing[:start]...)
		c.nextReport += max(most-len(changed), 0)
	}
	reports := append(changed, standing...)
	return reports[:min(len(reports), most)]
}

// Merge applies the reports of another entry, which are late by delay. They only extend a warm-up: a
// report does not say which statement is newer. It returns whether one of them did.
func (c *ColdEndpoints) Merge(now time.Time, delay time.Duration, reports []ColdReport) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		until := now.Add(min(r.Left, directory.MaxColdTime) - delay)
		if k := c.known[r.Endpoint]; until.After(now) && (k == nil || until.Sub(k.until) > coldRepeatMargin) {
			c.statement(r.Endpoint).until = until
			changed = true
		}
	}
	return changed
}

// Prune drops statements that ended long ago, and what is kept of endpoints that are not known any
// more. Statements about unlisted endpoints are kept to their end: another entry may have listed them
// earlier.
func (c *ColdEndpoints) Prune(now time.Time, known func(directory.Incarnation) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.known, func(_ EndpointHash, k *coldStatement) bool { return now.Sub(k.until) > coldKeptTime })
	maps.DeleteFunc(c.sent, func(i directory.Incarnation, s *coldShare) bool { return !known(i) && s.log.Idle(now) })
}

// ColdTransition is an endpoint that has become cold, or warm.
type ColdTransition struct {
	Endpoint directory.Incarnation
	// Left is how long it still warms up; 0 if it is warm.
	Left time.Duration
}

// Transitions returns the endpoints of a list that have become cold or warm since the last call.
func (c *ColdEndpoints) Transitions(now time.Time, endpoints iter.Seq[*directory.EndpointState]) []ColdTransition {
	c.mu.Lock()
	defer c.mu.Unlock()
	var transitions []ColdTransition
	cold := map[directory.Incarnation]bool{}
	for e := range endpoints {
		left := c.coldUntil(e).Sub(now)
		if left > 0 {
			cold[e.Incarnation] = true
		}
		if was := c.logged[e.Incarnation]; was != (left > 0) {
			transitions = append(transitions, ColdTransition{e.Incarnation, max(left, 0)})
		}
	}
	c.logged = cold
	slices.SortFunc(transitions, func(a, b ColdTransition) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return transitions
}

// Totals returns how many endpoints of a list are cold, and the longest time that one still is.
func (c *ColdEndpoints) Totals(now time.Time, endpoints iter.Seq[*directory.EndpointState]) (count int, longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := range endpoints {
		if left := c.coldUntil(e).Sub(now); left > 0 {
			count++
			longest = max(longest, left)
		}
	}
	return count, longest
}

// shareOf returns what this entry sent to an endpoint.
func (c *ColdEndpoints) shareOf(i directory.Incarnation) *coldShare {
	s := c.sent[i]
	if s == nil {
		s = &coldShare{key: uint64(HashEndpoint(i)), epoch: -1}
		c.sent[i] = s
	}
	return s
}

// coldShare is what this entry sent to one endpoint, and its rank among the entries there as of epoch.
type coldShare struct {
	log         admission.SentLog
	key         uint64
	rank, epoch int
}
