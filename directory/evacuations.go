package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Evacuation says whether the operator evacuates a data centre: its endpoints must then be sent
// nothing more.
type Evacuation struct {
	DataCentre string
	// Revision is the store's revision that says so. The state with the higher one is in force.
	Revision uint64
	// Evacuated is false after the end of an evacuation.
	Evacuated bool
}

// Evacuations holds the evacuations of data centres, as the store or other nodes report them. It is
// safe for concurrent use.
type Evacuations struct {
	mu    sync.RWMutex
	known map[string]*evacuationState
	// storeRevision is the store's revision up to which this node knows all evacuations.
	storeRevision uint64
	// generation increases whenever another set of data centres is evacuated; inForce is how many are.
	generation atomic.Uint64
	inForce    atomic.Int64
}

// evacuationState is what is known of one data centre.
type evacuationState struct {
	Evacuation
	// changedAt is when this state became known, or when another node last reported an older one.
	changedAt time.Time
}

// endedEvacuationTTL is how long other nodes are told that an evacuation has ended. An entry that is
// cut off from the others for longer hears it when it reports the evacuation itself.
const endedEvacuationTTL = 30 * time.Second

// NewEvacuations returns an empty set.
func NewEvacuations() *Evacuations {
	return &Evacuations{known: map[string]*evacuationState{}}
}

// Contains reports whether a data centre is evacuated.
func (s *Evacuations) Contains(dataCentre string) bool {
	if s.inForce.Load() == 0 {
		return false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := s.known[dataCentre]
	return state != nil && state.Evacuated
}

// Generation returns a number that increases whenever another set of data centres is evacuated.
func (s *Evacuations) Generation() uint64 { return s.generation.Load() }

// Count returns how many data centres are evacuated.
func (s *Evacuations) Count() int { return int(s.inForce.Load()) }

// DataCentres returns the names of the evacuated data centres, sorted.
func (s *Evacuations) DataCentres() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var names []string
	for name, state := range s.known {
		if state.Evacuated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// apply applies a state unless the known one is at least as new. It reports whether an evacuation has
// begun or ended by it.
func (s *Evacuations) apply(now time.Time, e Evacuation) bool {
	known := s.known[e.DataCentre]
	if known != nil && e.Revision <= known.Revision {
		return false
	}
	wasEvacuated := known != nil && known.Evacuated
	if known == nil || wasEvacuated != e.Evacuated {
		s.known[e.DataCentre] = &evacuationState{Evacuation: e, changedAt: now}
	} else {
		known.Revision = e.Revision
	}
	if wasEvacuated == e.Evacuated {
		return false
	}
	s.generation.Add(1)
	if e.Evacuated {
		s.inForce.Add(1)
	} else {
		s.inForce.Add(-1)
	}
	return true
}

// ApplyChange applies a change that the store reports, unless a list has included it already. It
// reports whether an evacuation has begun or ended by it.
func (s *Evacuations) ApplyChange(now time.Time, e Evacuation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.Revision > s.storeRevision && s.apply(now, e)
}

// ApplyList applies a full list, which the store had at a revision: evacuations that are older and not
// in the list have ended. It returns the evacuations that have begun or ended by it. A list that is
// older than what is known is ignored.
func (s *Evacuations) ApplyList(now time.Time, revision uint64, list []Evacuation) []Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.storeRevision {
		return nil
	}
	s.storeRevision = revision
	var changed []Evacuation
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.DataCentre] = true
		if s.apply(now, e) {
			changed = append(changed, e)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.known)) {
		known := s.known[name]
		if listed[name] || !known.Evacuated {
			continue
		}
		if e := (Evacuation{DataCentre: name, Revision: revision}); s.apply(now, e) {
			changed = append(changed, e)
		}
	}
	return changed
}

// SetStoreRevision records the store's revision up to which all changes were applied.
func (s *Evacuations) SetStoreRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeRevision = max(s.storeRevision, revision)
}

// Merge applies the reports of another node and returns the evacuations that have begun or ended by
// them. Reports up to the store's revision that this node knows add nothing. If they contradict what it
// knows, the other node has missed a change, and this node reports it once more.
func (s *Evacuations) Merge(now time.Time, reports []Evacuation) []Evacuation {
	if len(reports) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []Evacuation
	for _, e := range reports {
		switch {
		case e.Revision > s.storeRevision:
			if s.apply(now, e) {
				changed = append(changed, e)
			}
		case e.Evacuated:
			s.repeatEnd(now, e.DataCentre)
		}
	}
	return changed
}

// repeatEnd makes the end of an evacuation be reported once more; not if it is still in force.
func (s *Evacuations) repeatEnd(now time.Time, dataCentre string) {
	known := s.known[dataCentre]
	switch {
	case known == nil:
		s.known[dataCentre] = &evacuationState{Evacuation: Evacuation{DataCentre: dataCentre, Revision: s.storeRevision}, changedAt: now}
	case !known.Evacuated:
		known.Revision = max(known.Revision, s.storeRevision)
		if now.Sub(known.changedAt) > changeReportTime {
			known.changedAt = now
		}
	}
}

// Reports returns what to report to other nodes, at most most, the newest first: what has changed in the
// last changeReportTime and, with full, all evacuations that are in force or ended less than
// endedEvacuationTTL ago. Names that are longer than maxNameBytes are left out.
func (s *Evacuations) Reports(now time.Time, full bool, most, maxNameBytes int) []Evacuation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var reports []Evacuation
	for name, state := range s.known {
		age := now.Sub(state.changedAt)
		due := age < changeReportTime || full && (state.Evacuated || age < endedEvacuationTTL)
		if due && len(name) <= maxNameBytes {
			reports = append(reports, state.Evacuation)
		}
	}
	slices.SortFunc(reports, func(a, b Evacuation) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return reports[:min(len(reports), most)]
}

// expire forgets evacuations that ended longer than endedEvacuationTTL ago. An end that the store has
// not confirmed is kept, because an old report of another node would revert it.
func (s *Evacuations) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.known, func(_ string, state *evacuationState) bool {
		return !state.Evacuated && state.Revision <= s.storeRevision && now.Sub(state.changedAt) >= endedEvacuationTTL
	})
}
