package directory

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IncarnationHash identifies an incarnation in messages between nodes, where two with the same hash
// would do harm. routing/direct uses its lower half where that only costs a little time.
type IncarnationHash uint64

// Hash returns the incarnation's hash.
func (i Incarnation) Hash() IncarnationHash { return IncarnationHash(xxhash.Sum64String(i.String())) }

// StatedLeaving holds the incarnations of endpoints that have stated in a response that they leave,
// before the store says so or while the store is away. Like the store's word, the statement is final
// for the incarnation. It is safe for concurrent use.
type StatedLeaving struct {
	mu    sync.Mutex
	known map[IncarnationHash]*leavingStatement
	// nextReport is the index in ascending order of the first of the next reports, where they take turns.
	nextReport int
}

// leavingStatement is what is known of one incarnation that leaves.
type leavingStatement struct {
	statedAt time.Time
	// lastKnownAt is when the statement was last heard or its incarnation last listed.
	lastKnownAt time.Time
	// listed is set while the store lists the incarnation as one that takes requests.
	listed bool
}

const (
	// unlistedStatementTTL is how long a statement is kept that is not heard again and whose
	// incarnation is not listed. After an outage of the store endpoints are listed again within
	// seconds. An endpoint that registers without a start time has the incarnation of its previous
	// start, for which the statement must end.
	unlistedStatementTTL = 30 * time.Second
	// changeReportTime is how long a new statement is part of every report.
	changeReportTime = 500 * time.Millisecond
)

// NewStatedLeaving returns an empty set.
func NewStatedLeaving() *StatedLeaving {
	return &StatedLeaving{known: map[IncarnationHash]*leavingStatement{}}
}

// Add records that an incarnation leaves and returns whether that was unknown.
func (s *StatedLeaving) Add(now time.Time, incarnation IncarnationHash) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.known[incarnation]; known != nil {
		known.lastKnownAt = now
		return false
	}
	s.known[incarnation] = &leavingStatement{statedAt: now, lastKnownAt: now}
	return true
}

// Contains reports whether an incarnation has stated that it leaves.
func (s *StatedLeaving) Contains(incarnation Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.known) > 0 && s.known[incarnation.Hash()] != nil
}

// refresh records which incarnations the store lists, and drops statements that are older than
// unlistedStatementTTL.
func (s *StatedLeaving) refresh(now time.Time, endpoints map[string]*EndpointState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.known) == 0 {
		return
	}
	for _, l := range s.known {
		l.listed = false
	}
	for _, e := range endpoints {
		if l := s.known[e.Hash()]; l != nil {
			l.lastKnownAt, l.listed = now, !e.Leaving
		}
	}
	for incarnation, l := range s.known {
		if now.Sub(l.lastKnownAt) > unlistedStatementTTL {
			delete(s.known, incarnation)
		}
	}
}

// Reports returns the incarnations to report to other nodes, at most most: those that became known
// in the last changeReportTime and, with full, those that the store still lists as taking requests.
// Where there are more, they take turns: an outage of the store may keep hundreds listed.
func (s *StatedLeaving) Reports(now time.Time, full bool, most int) []IncarnationHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []IncarnationHash
	for incarnation, l := range s.known {
		if now.Sub(l.statedAt) < changeReportTime || full && l.listed {
			reports = append(reports, incarnation)
		}
	}
	if len(reports) <= most {
		return reports
	}
	slices.Sort(reports)
	start := s.nextReport % len(reports)
	s.nextReport = start + most
	return append(reports[start:], reports[:start]...)[:most]
}

// StillListed returns how many incarnations that leave the store still lists as taking requests,
// and the time since the first of them said so.
func (s *StatedLeaving) StillListed(now time.Time) (count int, oldest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.known {
		if l.listed {
			count++
			oldest = max(oldest, now.Sub(l.statedAt))
		}
	}
	return count, oldest
}
