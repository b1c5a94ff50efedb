package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"
)

// life is one life of a gateway.
type life struct {
	gateway string
	number  int
}

// neverReverts finds gateways that handled a request by an older edit than one that an
// endpoint had seen the effect of before the request was sent.
func neverReverts(e *evidence) []string {
	type seen struct {
		sent, arrived time.Time
		edit          int
		attempt       *Request
	}
	lives := map[life][]seen{}
	for i := range e.Arrivals {
		run := &e.Arrivals[i]
		a := e.attempts[run.ID]
		if a == nil || !run.Ran || a.APIKey != keyCounted || a.Incarnation < 0 {
			continue
		}
		if edit := e.editOf(run.Account); edit >= 0 {
			of := life{a.Gateway, a.Incarnation}
			lives[of] = append(lives[of], seen{a.SentAt, run.ArrivedAt, edit, a})
		}
	}
	var list []string
	for _, all := range lives {
		for _, one := range all {
			for _, two := range all {
				if two.edit < one.edit && two.sent.After(one.arrived.Add(revertSlack)) {
					list = append(list, fmt.Sprintf("%s was handled by edit %d, %v after %s by edit %d", about(two.attempt), two.edit, two.sent.Sub(one.arrived), one.attempt.ID, one.edit))
				}
			}
		}
	}
	return list
}

// editsInForce finds requests that were handled as only older edits allow, later than
// an edit must be in force.
func editsInForce(e *evidence) []string {
	return e.each(func(a *Request) string {
		newest := sort.Search(len(e.Edits), func(i int) bool { return e.Edits[i].AckedAt.Add(configWithin).After(a.SentAt) }) - 1
		if newest < 0 || !e.calm(a.Gateway, e.Edits[newest].AckedAt, a.EndedAt, true) {
			return ""
		}
		if edit := e.handledBy(a); edit >= 0 && edit < newest {
			return fmt.Sprintf("handled by edit %d, %v after edit %d", edit, a.SentAt.Sub(e.Edits[newest].AckedAt), newest)
		}
		if e.deniedBy(a, newest) {
			return fmt.Sprintf("status %d, which only edits before %d allow", a.Status, newest)
		}
		return ""
	})
}

// handledBy gives the edit by which an attempt was handled, where that can be told; -1:
// it can't.
func (e *evidence) handledBy(a *Request) int {
	for _, run := range e.runs[a.ID] {
		if run.Ran && a.APIKey == keyCounted {
			return e.editOf(run.Account)
		}
	}
	return -1
}

// deniedBy tells whether an attempt was refused for a route or key that is in an edit
// and in all that were begun before the attempt ended.
func (e *evidence) deniedBy(a *Request, newest int) bool {
	if !a.Complete || a.ExpectedStatus != 0 || a.HasServerStamp {
		return false
	}
	for _, edit := range e.Edits[newest:] {
		if edit.WrittenAt.After(a.EndedAt) {
			break
		}
		lacksRoute := a.Status == http.StatusNotFound && a.Route.Optional && !edit.HasExtraRoute
		lacksKey := a.Status == http.StatusUnauthorized && a.APIKey == keyGuest && !edit.HasGuestKey
		if lacksRoute || lacksKey {
			return false
		}
	}
	return a.Status == http.StatusNotFound || a.Status == http.StatusUnauthorized
}

// answeredInTime finds requests without a final answer after their route's timeout.
func answeredInTime(e *evidence) []string {
	long := 0
	list := e.each(func(a *Request) string {
		took := a.EndedAt.Sub(a.SentAt)
		if took < a.Route.Timeout || !e.calm(a.Gateway, a.SentAt, a.EndedAt, false) {
			return ""
		}
		long++
		if took > a.Route.Timeout+timeoutSlack {
			return fmt.Sprintf("%v, the route allows %v", took, a.Route.Timeout)
		}
		return ""
	})
	if 2*len(list) <= long {
		return nil
	}
	return list
}

// leavingLeftAlone finds requests that reached an endpoint later than it must be left
// alone after its word that it leaves.
func leavingLeftAlone(e *evidence) []string {
	left := map[string]time.Time{}
	for _, d := range e.Departures {
		left[d.Endpoint] = d.AckedAt
	}
	var list []string
	for i := range e.Arrivals {
		run := &e.Arrivals[i]
		acked, leaving := left[run.Endpoint]
		a := e.attempts[run.ID]
		if !leaving || a == nil || run.Status == http.StatusMisdirectedRequest || !run.ArrivedAt.After(acked.Add(leavingWithin)) {
			continue
		}
		if e.calm(a.Gateway, acked, run.ArrivedAt, true) {
			list = append(list, fmt.Sprintf("%s reached %s %v after it said that it leaves", about(a), run.Endpoint, run.ArrivedAt.Sub(acked)))
		}
	}
	return list
}

// plannedWorkCutsNothing finds requests that had reached a sound endpoint and got no
// whole answer, without an unplanned disturbance of their gateway.
func plannedWorkCutsNothing(e *evidence) []string {
	return e.each(func(a *Request) string {
		runs := e.runs[a.ID]
		if a.Complete || a.Cancelled || len(runs) == 0 || !e.calm(a.Gateway, a.SentAt, a.EndedAt, false) {
			return ""
		}
		for _, run := range runs {
			if !e.soundEndpoint(run) {
				return ""
			}
		}
		return fmt.Sprintf("no whole answer after %v", a.EndedAt.Sub(a.SentAt))
	})
}

// workEndsWithCaller finds endpoints that worked on for callers who had left.
func workEndsWithCaller(e *evidence) []string {
	long := 0
	list := e.each(func(a *Request) string {
		if !a.Cancelled || !a.Route.Repeatable() || !e.calm(a.Gateway, a.SentAt, a.EndedAt.Add(goneBound), false) {
			return ""
		}
		for _, run := range e.runs[a.ID] {
			if !run.Ran || !e.soundEndpoint(run) {
				continue
			}
			long++
			if over := endOf(run).Sub(a.EndedAt); over > goneBound {
				return fmt.Sprintf("%s worked on for %v", run.Endpoint, over)
			}
		}
		return ""
	})
	if len(list) <= max(fewExceptions, long/goneShare) {
		return nil
	}
	return list
}

// linkDisturbed tells whether the store or any link was disturbed between two times: a
// gateway may then not know that a run has ended.
func (e *evidence) linkDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(e.Disturbances, func(d *Disturbance) bool {
		ofLink := d.Kind == kindStoreLink || d.Kind == kindCallersLink || d.Kind == kindEndpointLink
		ofStore := d.Gateway == "" && d.Endpoint == ""
		return (ofLink || ofStore) && d.overlaps(from, to)
	})
}

// memoryGivenBack finds reservations that outlived the last run that used them.
func memoryGivenBack(e *evidence) []string {
	var list []string
	for _, hold := range e.Reservations {
		last, used := e.lastUse(hold.ID)
		if used && hold.LastSeen.Sub(last) > leakBound && !e.linkDisturbed(last, hold.LastSeen) {
			list = append(list, fmt.Sprintf("%s is held at %s %v after its last use", hold.ID, hold.Endpoint, hold.LastSeen.Sub(last)))
		}
	}
	return list
}

// memoryNotIdle finds reservations that were held for long and never used.
func memoryNotIdle(e *evidence) []string {
	var list []string
	for _, hold := range e.Reservations {
		if _, used := e.lastUse(hold.ID); !used && hold.LastSeen.Sub(hold.FirstSeen) > stuckBound && !e.linkDisturbed(hold.FirstSeen, hold.LastSeen) {
			list = append(list, fmt.Sprintf("%s is held at %s for %v and was never used", hold.ID, hold.Endpoint, hold.LastSeen.Sub(hold.FirstSeen)))
		}
	}
	return list
}

// lastUse is when the last run that used a reservation ended.
func (e *evidence) lastUse(ticket string) (last time.Time, used bool) {
	for _, run := range e.users[ticket] {
		if end := endOf(run); end.After(last) {
			last = end
		}
	}
	return last, len(e.users[ticket]) > 0
}
