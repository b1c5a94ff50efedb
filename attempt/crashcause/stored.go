package crashcause

import (
	"slices"
	"time"

	"aspenyard.example/attempt/verdict"
)

// Stands returns whether a stored verdict's crashes suffice to blame a part.
func Stands(crashes []verdict.Crash) bool { return len(crashes) >= crashesToBlame }

// Known is what this node knows of a part, to be stored for nodes that start later.
type Known struct {
	verdict.Verdict
	// Blamed is set while the part is blamed, Local if this node observed one of the crashes itself.
	Blamed, Local bool
}

// Known returns what this node knows of a part.
func (t *Tracker) Known(now time.Time, part Part) Known {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[part]
	if s == nil {
		return Known{}
	}
	k := Known{Verdict: verdict.Verdict{Position: s.position, Cancelled: slices.Clone(s.cancelled), Trials: s.claims, Confirmed: s.confirmed}, Blamed: t.blamed[part]}
	for _, c := range s.crashes {
		k.Crashes = append(k.Crashes, verdict.Crash{Endpoint: c.endpoint, Request: c.request, Age: now.Sub(c.at)})
		k.Local = k.Local || c.local
	}
	return k
}

// BlamedParts returns the parts that are blamed.
func (t *Tracker) BlamedParts() []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := make([]Part, 0, len(t.blamed))
	for part := range t.blamed {
		parts = append(parts, part)
	}
	return parts
}

// MergeStored adds what the store reports of a part, which may be older than what this node knows. Findings with an
// impossible age or position are ignored.
func (t *Tracker) MergeStored(now time.Time, part Part, v verdict.Verdict) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[part]
	if v.Position >= maxPartsOfARequest || s == nil && len(v.Crashes) == 0 && len(v.Cancelled) == 0 {
		return Changes{}
	}
	if s == nil {
		s = t.addSuspect(now, part, v.Position)
	}
	before := len(s.crashes)
	if cancelled := verdict.MergeCancelled(s.cancelled, v.Cancelled); !slices.Equal(cancelled, s.cancelled) {
		s.cancelled, s.cancelledAt = cancelled, now
		s.cancel(now, false, func(c crash) bool { return slices.Contains(cancelled, c.endpoint) })
	}
	changed := len(s.crashes) != before
	for _, c := range v.Crashes {
		if c.Endpoint != Answered && c.Age >= 0 && c.Age < findingTTL {
			changed = t.addCrash(now, part, v.Position, crash{endpoint: c.Endpoint, request: c.Request, at: now.Add(-c.Age), stored: true}) || changed
		}
	}
	var changes Changes
	if changed {
		changes = t.update(now)
	}
	if t.blamed[part] && Stands(v.Crashes) {
		if v.Confirmed {
			s.confirm()
		}
		s.noteClaims(now, v.Trials)
	}
	return changes
}

// confirm records that a trial has ended in a crash. A claimed one that is still to be sent would tell no more.
func (s *suspect) confirm() {
	if !s.confirmed {
		s.confirmed, s.grantedUntil = true, time.Time{}
	}
}

// noteClaims applies the number of claimed trials that the store reports.
func (s *suspect) noteClaims(now time.Time, claims int) {
	if claims > s.claims {
		s.claims, s.claimedAt = claims, now
	}
}

// isStored returns whether only the store reports the crashes under a part.
func (s *suspect) isStored() bool {
	return !slices.ContainsFunc(s.crashes, func(c crash) bool { return !c.stored })
}
