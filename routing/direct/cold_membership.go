package direct

import "time"

// membership is what this entry knows of its own standing among the entries.
type membership struct {
	startedAt time.Time
	// registeredSince is when it registered, registeredUntil when the registration ends unless it
	// is renewed. currentAt is when the list of entries was last known to be current.
	registeredSince, registeredUntil, currentAt time.Time
	// lapsedAt is when an earlier registration with which it was a member went out of use.
	lapsedAt time.Time
	// listTTL is the age up to which a list of entries is used, storeTTL that up to which the store
	// counts as heard where the other entries are not heard any more.
	listTTL, storeTTL time.Duration
	// alone is set where there are no other entries, peersHeard while enough of them are heard, and
	// peersKnown once they were.
	alone, peersHeard, peersKnown bool
}

// enoughPeers is how many other entries must be heard, or half of them where there are fewer. Each of
// them reports all endpoints that it knows to be cold.
const enoughPeers = 8

// defaultListTTL and defaultStoreTTL apply where none are set.
const (
	defaultListTTL  = 6 * time.Second
	defaultStoreTTL = 3 * time.Second
)

// SetTTLs sets the age up to which a list of entries is used, the same at all entries, and the time
// without an answer after which the store counts as lost. An entry that registers becomes a member only
// when all older lists are out of use, so that a longer time delays entries that start; a shorter one
// ends memberships whenever the store answers late.
func (c *ColdEndpoints) SetTTLs(list, store time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listTTL, c.storeTTL = list, store
}

// SetAlone makes this entry count as the only one.
func (c *ColdEndpoints) SetAlone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alone = true
}

// SetStarted sets when this entry started. A previous process of the same name may have used its
// share until then.
func (c *ColdEndpoints) SetStarted(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedAt = now
}

// SetRegistered records that the registration, which was written by since, lasts until the given time
// unless it is renewed.
func (c *ColdEndpoints) SetRegistered(since, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended := c.memberUntil(); !since.Equal(c.registeredSince) && c.joinedAt().Before(ended) {
		c.lapsedAt = ended
		if since.Before(ended) {
			c.lapsedAt = since
		}
	}
	c.registeredSince, c.registeredUntil = since, until
}

// SetCurrent records a time at which the list of entries was current.
func (c *ColdEndpoints) SetCurrent(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.currentAt) {
		c.currentAt = at
	}
}

// SetHeard records how many other entries are heard.
func (c *ColdEndpoints) SetHeard(entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peersHeard = entries > 0 && (entries >= enoughPeers || 2*entries >= len(c.entries))
	c.peersKnown = c.peersKnown || c.peersHeard
}

// joinedAt returns when this entry became, or becomes, a member with its present registration.
func (m *membership) joinedAt() time.Time { return m.registeredSince.Add(m.listTTL) }

// memberUntil returns when the membership ends, or ended, unless this entry learns more.
func (m *membership) memberUntil() time.Time {
	if m.registeredSince.IsZero() {
		return time.Time{}
	}
	if listed := m.currentAt.Add(m.listTTL); listed.Before(m.registeredUntil) {
		return listed
	}
	return m.registeredUntil
}

// member reports whether this entry is a member at now.
func (m *membership) member(now time.Time) bool {
	return m.alone || !now.Before(m.joinedAt()) && now.Before(m.memberUntil())
}

// lapsedSince returns since when this entry, which is no member, is none any more; zero if it was none
// since its start.
func (m *membership) lapsedSince(now time.Time) time.Time {
	if until := m.memberUntil(); m.joinedAt().Before(until) && !now.Before(until) {
		return until
	}
	return m.lapsedAt
}

// confirmed reports whether this entry would know by now if an endpoint had become cold. Other entries
// are missed within a second, but may all have ended, so that the store counts too: for storeTTL, or for
// listTTL where no entry was heard yet.
func (m *membership) confirmed(now time.Time) bool {
	ttl := m.listTTL
	if m.peersKnown {
		ttl = m.storeTTL
	}
	return m.alone || m.peersHeard || now.Before(m.currentAt.Add(ttl))
}
