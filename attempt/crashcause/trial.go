package crashcause

import (
	"slices"
	"time"
)

// SetNodes sets the number of nodes that exchange findings.
func (t *Tracker) SetNodes(nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = max(nodes, 1)
}

// partToTry returns the blamed part that a request would tell about; nil for a request with several blamed parts, or with
// a part further back under which endpoints crashed.
func (t *Tracker) partToTry(parts []Part) *suspect {
	at := slices.IndexFunc(parts, func(part Part) bool { return t.blamed[part] })
	if at < 0 || slices.ContainsFunc(parts[at+1:], func(part Part) bool { s := t.suspects[part]; return s != nil && len(s.crashes) > 0 }) {
		return nil
	}
	return t.suspects[parts[at]]
}

// TakeTrial returns whether a request may be sent although one of its parts is blamed, to find out whether the part
// does crash endpoints: early on, or because this node has claimed a trial. random is a random number in [0,1). The
// request must not be sent again if the trial fails.
func (t *Tracker) TakeTrial(now time.Time, parts []Part, random float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.partToTry(parts)
	if s == nil {
		return false
	}
	switch since := now.Sub(s.blamedSince); {
	case now.Before(s.grantedUntil):
		s.grantedUntil = time.Time{}
		return true
	case since >= earlyTrialFrom && since < earlyTrialTo && !s.earlyTried && random*float64(t.nodes) < 1:
		s.earlyTried = true
		return true
	}
	return false
}

// ReturnTrial undoes TakeTrial for a request that has told nothing about the part: it was neither answered nor ended by a
// crash. mayHaveRun is set if an endpoint may have run it nevertheless; a claimed trial is then used up.
func (t *Tracker) ReturnTrial(now time.Time, parts []Part, mayHaveRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		switch s := t.suspects[part]; {
		case !t.blamed[part]:
		case now.Before(s.grantEnds):
			if !mayHaveRun && !s.confirmed {
				s.grantedUntil = s.grantEnds
			}
		case now.Sub(s.blamedSince) < earlyTrialTo:
			s.earlyTried = false
		}
	}
}

// ConfirmBlame records that a trial of a request with the given parts has ended in a crash, and returns those that are
// blamed.
func (t *Tracker) ConfirmBlame(parts []Part) (confirmed []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if t.blamed[part] {
			t.suspects[part].confirm()
			confirmed = append(confirmed, part)
		}
	}
	return confirmed
}

// ClaimDue returns the part that a refused request would tell about, and whether this node should claim a trial of it. While
// no trial has ended in a crash, claimed trials follow soon after the time for early ones: nodes that have all started since
// the part was blamed made none.
func (t *Tracker) ClaimDue(now time.Time, parts []Part) (Part, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.partToTry(parts)
	if s == nil || s.claims >= maxClaims || now.Before(s.grantEnds) {
		return 0, false
	}
	if !s.confirmed {
		return s.part, now.Sub(s.blamedSince) >= earlyTrialTo && (s.claims == 0 || now.Sub(s.claimedAt) >= claimWait)
	}
	late := lateTrials
	if !s.answered.IsZero() {
		late = lateTrialsAnswered
	}
	since := s.blamedSince
	if s.claims > 0 && s.claimedAt.After(since) {
		since = s.claimedAt
	}
	return s.part, s.claims < len(late) && now.Sub(since) >= late[s.claims]
}

// GrantTrial records that this node has claimed the trial of a part after which the store reports the given number of
// claims.
func (t *Tracker) GrantTrial(now time.Time, part Part, claims int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[part]; s != nil && t.blamed[part] {
		s.noteClaims(now, claims)
		s.grantEnds = now.Add(grantTTL)
		s.grantedUntil = s.grantEnds
	}
}

// AwaitsTrial returns whether a trial of a request's blamed part is to come soon, so that a caller should not be told to stay
// away for as long as the blame may last.
func (t *Tracker) AwaitsTrial(parts []Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.partToTry(parts)
	return s != nil && !s.confirmed && s.claims < maxClaims
}
