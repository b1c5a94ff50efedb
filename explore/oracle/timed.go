package oracle

import (
	"net/http"
	"time"
)

// storeStable reports whether the store has been undisturbed for long enough at a time.
func (ix *index) storeStable(at time.Time) bool {
	for _, s := range ix.StoreDisturbed {
		if s.overlaps(at.Add(-contact), at) {
			return false
		}
	}
	return true
}

// inTouch reports whether a gateway has run undisturbed for long enough at a time. The ones that the case begins with
// count as running since long before.
func (ix *index) inTouch(gateway int, at time.Time) bool {
	g := &ix.Gateways[gateway]
	started := g.StartedAt.Equal(ix.Gateways[0].StartedAt) || at.Sub(g.StartedAt) > contact
	return started && (g.StoppedAt.IsZero() || at.Before(g.StoppedAt))
}

// checkDrain finds requests that reach an endpoint too long after the store has acknowledged that it leaves.
func (ix *index) checkDrain() {
	for _, a := range ix.Arrivals {
		left, leaving := ix.LeftAt[a.Endpoint]
		r := ix.requests[a.ID]
		if !leaving || r == nil || a.Status == http.StatusMisdirectedRequest || !a.At.After(left.Add(leaveWithin+busySlack)) {
			continue
		}
		if ix.storeStable(left) && ix.stretched(left, a.At) && ix.inTouch(r.Gateway, a.At) {
			ix.about("DRAIN", r, "it reaches %s %.0f ms after the store has acknowledged that it leaves", a.Endpoint, ms(a.At.Sub(left)))
		}
	}
}

// stretched reports whether a bound that began at a time holds although the store is disturbed later: it then counts only
// once the store has been calm again for as long.
func (ix *index) stretched(from, at time.Time) bool {
	for _, s := range ix.StoreDisturbed {
		if s.overlaps(from, at) && at.Before(s.To.Add(contact+leaveWithin)) {
			return false
		}
	}
	return true
}

// checkGone finds endpoints that are at work for callers that have left.
func (ix *index) checkGone() {
	var late []string
	var last time.Time
	owed := 0
	for _, r := range ix.Requests {
		if !r.Left || !r.Route.Repeatable || !ix.inTouch(r.Gateway, r.EndedAt.Add(laterSlack)) {
			continue
		}
		for _, a := range ix.arrivals[r.ID] {
			if !a.Ran || a.EndedAt.Before(r.EndedAt) && !a.EndedAt.IsZero() {
				continue
			}
			owed++
			if end := a.endedBy(ix.Ended); end.After(r.EndedAt.Add(laterSlack+busySlack)) || a.At.After(r.EndedAt.Add(laterSlack+busySlack)) {
				late, last = append(late, r.ID), end
			}
		}
	}
	if len(late) > allowedGone && len(late)*goneShare > owed {
		ix.add("GONE", last, late, "endpoints are at work on %d of %d requests half a second after their callers have left", len(late), owed)
	}
}

// checkTimeouts finds requests that have no answer half a second after their route's time limit.
func (ix *index) checkTimeouts() {
	var late []string
	var last time.Time
	reached := 0
	for _, r := range ix.Requests {
		if !r.Whole || r.Left || r.Deadline < ix.Timeout || !ix.inTouch(r.Gateway, r.SentAt.Add(ix.Timeout+laterSlack)) || r.Large {
			continue
		}
		if r.EndedAt.Sub(r.SentAt) < ix.Timeout || !r.FirstByteAt.IsZero() && r.FirstByteAt.Sub(r.SentAt) < ix.Timeout {
			continue
		}
		reached++
		if r.EndedAt.Sub(r.SentAt) > ix.Timeout+laterSlack+busySlack {
			late, last = append(late, r.ID), r.EndedAt
		}
	}
	if len(late) >= timeoutsLeast && 2*len(late) > reached {
		ix.add("CONFIG", last, late, "%d of %d requests have no answer half a second after their route's time limit", len(late), reached)
	}
}

// checkConfig finds requests that are served though a configuration that has long been acknowledged does not allow them.
func (ix *index) checkConfig() {
	for _, r := range ix.Requests {
		if !ix.inTouch(r.Gateway, r.SentAt) || ix.runs(r) == 0 {
			continue
		}
		for _, acked := range []time.Time{ix.NoKeyAt, ix.NoRouteAt} {
			concerns := acked == ix.NoKeyAt || r.Route.Name == ix.NoRoute
			if acked.IsZero() || !concerns || !r.BeganAt.After(acked.Add(applyWithin+busySlack)) || !ix.storeStable(acked) || !ix.stretched(acked, r.BeganAt) {
				continue
			}
			ix.about("CONFIG", r, "it runs %.0f ms after the store has acknowledged that its route or key is gone", ms(r.BeganAt.Sub(acked)))
		}
	}
}

// checkReservations finds memory that is still set aside when all requests have long ended.
func (ix *index) checkReservations() {
	for endpoint, n := range ix.Unreleased {
		if _, exited := ix.ExitedAt[endpoint]; n > 0 && !exited && ix.storeStable(ix.Ended) {
			ix.add("LEAK", ix.Ended, nil, "%s holds %d reservations after all requests have ended", endpoint, n)
		}
	}
}
