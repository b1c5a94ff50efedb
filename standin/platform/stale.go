package platform

import (
	"strings"
	"time"
)

// defaultPageItems is the number of items in a page: few, so that tests see several pages.
const defaultPageItems = 50

// SetPageItems sets the number of items in a page.
func (s *Store) SetPageItems(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = n
}

// SetStaleAges makes reads of pages that may be stale be as of these ages, in turn; without ages they are current.
func (s *Store) SetStaleAges(ages ...time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleAges = ages
}

// nextAge returns the age of the next page that may be stale. The caller holds the lock.
func (s *Store) nextAge() time.Duration {
	if len(s.staleAges) == 0 {
		return 0
	}
	age := s.staleAges[0]
	s.staleAges = append(s.staleAges[1:], age)
	return age
}

// itemsAt returns the items under a prefix, and the revision, as of an age. A state that is older than the history is not
// known; the current one is returned instead. The caller holds the lock.
func (s *Store) itemsAt(prefix string, age time.Duration) (map[string]Item, uint64) {
	if age == 0 || s.compactedRevision > 0 {
		return s.items, s.revision
	}
	items, revision, until := map[string]Item{}, uint64(0), time.Now().Add(-age)
	for _, e := range s.events {
		if e.at.After(until) {
			break
		}
		revision = e.Revision
		switch {
		case !strings.HasPrefix(e.Key, prefix):
		case e.Deleted:
			delete(items, e.Key)
		default:
			items[e.Key] = e.Item
		}
	}
	return items, revision
}
