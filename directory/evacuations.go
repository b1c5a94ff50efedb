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
	// At is the store's position that says so. The state with the later one is in force.
	At Position
	// Evacuated is false after the end of an evacuation.
	Evacuated bool
}

// Evacuations holds the evacuations of data centres, as the store or other nodes report them. It is
// safe for concurrent use.
type Evacuations struct {
	mu    sync.RWMutex
	known map[string]*evacuationState
	// storePosition is the store's position up to which this node knows all evacuations.
	storePosition Position
	// generation increases whenever another set of data centres is evacuated; inForce is how many are.
	generation atomic.Uint64
	inForce    atomic.Int64
}

// evacuationState is what is known of one data centre.
type evacuationState struct {
	Evacuation
	// changedAt is when this state became known, or when another node last reported an older one.
	changedAt time.Time
	// unconfirmedUntil is until when the evacuation is in force although the store does not list it in its
	// present era; zero if it does.
	unconfirmedUntil time.Time
}

// precedes reports whether e is older than what is known, or the same.
func (e *Evacuation) precedes(known *evacuationState) bool {
	return e.At.Era() < known.At.Era() || known.At.AtLeast(e.At)
}

// unconfirmedEvacuationTTL is how long an evacuation stays in force that the store has lost, or that another
// node reports from an era which this one has not read. The operator writes it again much sooner; one that
// the operator has ended meanwhile leaves no trace in the store.
const unconfirmedEvacuationTTL = 30 * time.Second

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
	if known != nil && e.precedes(known) {
		return false
	}
	wasEvacuated := known != nil && known.Evacuated
	if known == nil || wasEvacuated != e.Evacuated {
		s.known[e.DataCentre] = &evacuationState{Evacuation: e, changedAt: now}
	} else {
		known.At, known.unconfirmedUntil = e.At, time.Time{}
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
	return e.At.After(s.storePosition) && s.apply(now, e)
}

// ApplyList applies a full list, which the store had at a position: evacuations that are older and not
// in the list have ended. Those of an earlier era, which the store may have lost, stay in force for
// unconfirmedEvacuationTTL. It returns the evacuations that have begun or ended by it. A list that is
// older than what is known is ignored.
func (s *Evacuations) ApplyList(now time.Time, at Position, list []Evacuation) []Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Era() < s.storePosition.Era() || s.storePosition.After(at) {
		return nil
	}
	s.storePosition = at
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
		switch {
		case listed[name] || !known.Evacuated:
		case !known.At.SameEra(at):
			if known.unconfirmedUntil.IsZero() {
				known.unconfirmedUntil = now.Add(unconfirmedEvacuationTTL)
			}
		default:
			if e := (Evacuation{DataCentre: name, At: at}); s.apply(now, e) {
				changed = append(changed, e)
			}
		}
	}
	return changed
}

// EndUnconfirmed ends the evacuations that the store has not listed again in its present era, and returns
// them.
func (s *Evacuations) EndUnconfirmed(now time.Time) []Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []Evacuation
	for _, name := range slices.Sorted(maps.Keys(s.known)) {
		known := s.known[name]
		if !known.Evacuated || known.unconfirmedUntil.IsZero() || now.Before(known.unconfirmedUntil) {
			continue
		}
		e := Evacuation{DataCentre: name, At: s.storePosition}
		s.known[name] = &evacuationState{Evacuation: e, changedAt: now}
		s.generation.Add(1)
		s.inForce.Add(-1)
		ended = append(ended, e)
	}
	return ended
}

// SetStorePosition records the store's position up to which all changes were applied.
func (s *Evacuations) SetStorePosition(at Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storePosition = s.storePosition.Later(at)
}

// Merge applies the reports of another node and returns the evacuations that have begun or ended by
// them. Reports up to the store's position that this node knows add nothing, nor do those of an earlier era.
// If they contradict what it knows, the other node has missed a change, and this node reports it once more.
// From an era that it has not read yet, it takes the beginning of evacuations, but not their end.
func (s *Evacuations) Merge(now time.Time, reports []Evacuation) []Evacuation {
	if len(reports) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []Evacuation
	for _, e := range reports {
		switch {
		case e.Evacuated && e.At.Era() > s.storePosition.Era():
			if s.applyUnread(now, e) {
				changed = append(changed, e)
			}
		case e.At.After(s.storePosition) && !s.endsUnconfirmed(&e):
			if s.apply(now, e) {
				changed = append(changed, e)
			}
		case e.Evacuated:
			s.repeatEnd(now, e.DataCentre)
		}
	}
	return changed
}

// applyUnread applies an evacuation of an era that this node has not read: it is in force for as long as it is
// reported and unconfirmedEvacuationTTL after that. One that the store lists in the present era does not depend on
// reports. It reports whether an evacuation has begun by it.
func (s *Evacuations) applyUnread(now time.Time, e Evacuation) bool {
	if known := s.known[e.DataCentre]; known != nil && known.Evacuated && known.unconfirmedUntil.IsZero() {
		return false
	}
	began := s.apply(now, e)
	s.known[e.DataCentre].unconfirmedUntil = now.Add(unconfirmedEvacuationTTL)
	return began
}

// endsUnconfirmed reports whether a report would end an evacuation that the store has lost. The node that
// reports it may have started after the loss.
func (s *Evacuations) endsUnconfirmed(e *Evacuation) bool {
	known := s.known[e.DataCentre]
	return !e.Evacuated && known != nil && known.Evacuated && !known.unconfirmedUntil.IsZero()
}

// repeatEnd makes the end of an evacuation be reported once more; not if it is still in force.
func (s *Evacuations) repeatEnd(now time.Time, dataCentre string) {
	known := s.known[dataCentre]
	switch {
	case known == nil:
		s.known[dataCentre] = &evacuationState{Evacuation: Evacuation{DataCentre: dataCentre, At: s.storePosition}, changedAt: now}
	case !known.Evacuated:
		if !known.At.After(s.storePosition) {
			known.At = s.storePosition
		}
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
		return cmp.Or(cmp.Compare(b.At.Era(), a.At.Era()), b.At.Compare(a.At), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return reports[:min(len(reports), most)]
}

// expire forgets evacuations that ended longer than endedEvacuationTTL ago. An end that the store has
// not confirmed is kept, because an old report of another node would revert it.
func (s *Evacuations) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.known, func(_ string, state *evacuationState) bool {
		return !state.Evacuated && !state.At.After(s.storePosition) && now.Sub(state.changedAt) >= endedEvacuationTTL
	})
}
