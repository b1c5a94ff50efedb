package crashcause

import (
	"cmp"
	"slices"
	"time"
)

// explain chooses the parts to blame: again and again one that explains enough of the crashes that are left. Apart
// from isInAll it depends on the findings alone, so that nodes with the same findings blame the same parts.
func (t *Tracker) explain() {
	var strong []*suspect
	for _, s := range t.suspects {
		if needed, _ := s.threshold(); len(s.crashes) >= needed {
			strong = append(strong, s)
		}
	}
	clear(t.blamed)
	clear(t.explained)
	for {
		best := t.strongest(strong)
		if best == nil {
			return
		}
		t.blamed[best.part] = true
		for _, c := range best.crashes {
			t.explained[c.endpoint] = true
		}
	}
}

// evidence is what speaks against a part beside the parts that are blamed already.
type evidence struct {
	*suspect
	crashes, moments int
	last             time.Time
	// others is the number of crashes under other requests than the one with the most crashes.
	others int
}

// strongest returns the suspect to blame next; nil if none has enough crashes that are not explained yet.
func (t *Tracker) strongest(suspects []*suspect) *suspect {
	var candidates []evidence
	for _, s := range suspects {
		e := t.unexplained(s)
		if e.suffices() && (s.answered.IsZero() || !t.isInAll(s.part)) {
			candidates = append(candidates, e)
		}
	}
	if slices.ContainsFunc(candidates, func(e evidence) bool { return e.answered.IsZero() }) {
		candidates = slices.DeleteFunc(candidates, func(e evidence) bool { return !e.answered.IsZero() })
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MaxFunc(candidates, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.moments, b.moments), cmp.Compare(a.crashes, b.crashes), cmp.Compare(b.part, a.part))
	}).suspect
}

// suffices returns whether the evidence is enough to blame a part.
func (e *evidence) suffices() bool {
	crashes, moments := e.threshold()
	enough := e.crashes >= crashes && e.moments >= moments && e.others >= otherCrashesToBlame
	return enough && (e.answered.IsZero() || e.last.Sub(e.firstCrash) >= spanToBlameAnswered)
}

// unexplained counts the crashes of a suspect, and their moments, that no blamed part explains.
func (t *Tracker) unexplained(s *suspect) evidence {
	e := evidence{suspect: s}
	var moment time.Time
	byRequest, most := map[uint32]int{}, 0
	for _, c := range s.crashes {
		if t.explained[c.endpoint] {
			continue
		}
		e.last = c.at
		e.crashes++
		byRequest[c.request]++
		most = max(most, byRequest[c.request])
		if moment.IsZero() || c.at.Sub(moment) >= momentLength {
			e.moments++
			moment = c.at
		}
	}
	e.others = e.crashes - most
	return e
}

// threshold returns how many crashes, at how many moments, a part must have to be blamed.
func (s *suspect) threshold() (crashes, moments int) {
	if s.answered.IsZero() {
		return crashesToBlame, momentsToBlame
	}
	return crashesToBlameAnswered, momentsToBlameAnswered
}
