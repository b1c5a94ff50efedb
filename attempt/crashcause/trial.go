package crashcause

import (
	"slices"
	"time"
)

// SetNodes sets this node's index among the nodes that exchange findings, and their number.
func (t *Tracker) SetNodes(rank, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rank, t.nodes = rank, max(nodes, 1)
}

// TakeTrial returns whether a request may be sent although one of its parts is blamed, to find out whether the part
// does crash endpoints. random is a random number in [0,1). A request with several blamed parts, or with a part
// further back under which endpoints crashed, would not tell. The request must not be sent again if the trial fails.
func (t *Tracker) TakeTrial(now time.Time, parts []Part, random float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := slices.IndexFunc(parts, func(part Part) bool { return t.blamed[part] })
	if at < 0 || slices.ContainsFunc(parts[at+1:], func(part Part) bool { s := t.suspects[part]; return s != nil && len(s.crashes) > 0 }) {
		return false
	}
	s := t.suspects[parts[at]]
	switch since := now.Sub(s.blamedSince); {
	case since >= earlyTrialFrom && since < earlyTrialTo && !s.earlyTried && random*float64(t.nodes) < 1:
		s.earlyTried = true
		return true
	case s.lateTried < len(s.lateTrials()) && since >= s.lateTrials()[s.lateTried] && int(uint64(s.part)%uint64(t.nodes)) == t.rank:
		s.lateTried++
		return true
	}
	return false
}

// ReturnTrial undoes TakeTrial for a request that has told nothing about the part: it was not sent, or it was neither
// answered nor ended by a crash.
func (t *Tracker) ReturnTrial(now time.Time, parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		switch s := t.suspects[part]; {
		case !t.blamed[part]:
		case now.Sub(s.blamedSince) < s.lateTrials()[0]:
			s.earlyTried = false
		default:
			s.lateTried = max(s.lateTried-1, 0)
		}
	}
}

func (s *suspect) lateTrials() []time.Duration {
	if s.answered.IsZero() {
		return lateTrials
	}
	return lateTrialsAnswered
}
