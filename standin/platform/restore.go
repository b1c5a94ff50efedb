package platform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// StoreCopy is a copy of a store's state, from which it can be restored.
type StoreCopy struct {
	revision, compactedRevision, nextLease uint64
	items                                  map[string]Item
	events                                 []event
	leases                                 map[uint64]lease
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{
		revision: s.revision, compactedRevision: s.compactedRevision, nextLease: s.nextLease,
		items: maps.Clone(s.items), events: slices.Clone(s.events), leases: map[uint64]lease{},
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the store's state by that of a copy and begins a new era. What was written since the
// copy is gone, leases too; revisions and lease IDs are given out again. It returns how many revisions
// were lost.
func (s *Store) Restore(c *StoreCopy) (lost uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.revision - c.revision
	s.revision, s.compactedRevision, s.nextLease = c.revision, c.compactedRevision, c.nextLease
	s.items, s.events = maps.Clone(c.items), slices.Clone(c.events)
	s.leases = map[uint64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &l
	}
	s.era++
	s.notifyWatches()
	return lost
}

// Era returns the store's era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// HideEra makes responses state no era, as on older platforms.
func (s *Store) HideEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidesEra = true
}

// stateEra sets the header that states the store's era. The caller holds the lock.
func (s *Store) stateEra(header http.Header) {
	if !s.hidesEra {
		header.Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

// GrantLease grants a lease, as the operators or a worker would get one, and returns its ID.
func (s *Store) GrantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantLease(ttl)
}

// HasLease reports whether a lease exists.
func (s *Store) HasLease(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.leases[id] != nil
}

// grantLease grants a lease. The caller holds the lock.
func (s *Store) grantLease(ttl time.Duration) uint64 {
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.nextLease
}
