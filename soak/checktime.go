package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"
)

// incarnation is one incarnation of a gateway.
type incarnation struct {
	gateway string
	number  int
}

// checkConfigNeverReverts finds gateways that handled a request by an older edit than one that an
// endpoint had seen the effect of before the request was sent.
func checkConfigNeverReverts(ix *indexedRecord) []string {
	type seen struct {
		sent, arrived time.Time
		edit          int
		attempt       *Request
	}
	lives := map[incarnation][]seen{}
	for i := range ix.Arrivals {
		run := &ix.Arrivals[i]
		req := ix.requestsByID[run.ID]
		if req == nil || !run.Ran || req.APIKey != keyPerEdit || req.Incarnation < 0 {
			continue
		}
		if edit := ix.editOfAccount(run.Account); edit >= 0 {
			of := incarnation{req.Gateway, req.Incarnation}
			lives[of] = append(lives[of], seen{req.SentAt, run.ArrivedAt, edit, req})
		}
	}
	var findings []string
	for _, all := range lives {
		for _, first := range all {
			for _, second := range all {
				if second.edit < first.edit && second.sent.After(first.arrived.Add(revertSlack)) {
					findings = append(findings, fmt.Sprintf("%s was handled by edit %d, %v after %s by edit %d", describe(second.attempt), second.edit, second.sent.Sub(first.arrived), first.attempt.ID, first.edit))
				}
			}
		}
	}
	return findings
}

// checkConfigApplied finds requests that were handled as only older edits allow, later than
// an edit must be in force.
func checkConfigApplied(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		newest := sort.Search(len(ix.Edits), func(i int) bool { return ix.Edits[i].AckedAt.Add(configWithin).After(req.SentAt) }) - 1
		if newest < 0 || !ix.undisturbed(req.Gateway, ix.Edits[newest].AckedAt, req.EndedAt, true) {
			return ""
		}
		if edit := ix.handlingEdit(req); edit >= 0 && edit < newest {
			return fmt.Sprintf("handled by edit %d, %v after edit %d", edit, req.SentAt.Sub(ix.Edits[newest].AckedAt), newest)
		}
		if ix.deniedSince(req, newest) {
			return fmt.Sprintf("status %d, which only edits before %d allow", req.Status, newest)
		}
		return ""
	})
}

// handlingEdit gives the edit by which an attempt was handled, where that can be told; -1:
// it can't.
func (ix *indexedRecord) handlingEdit(req *Request) int {
	for _, run := range ix.arrivalsByID[req.ID] {
		if run.Ran && req.APIKey == keyPerEdit {
			return ix.editOfAccount(run.Account)
		}
	}
	return -1
}

// deniedSince tells whether an attempt was refused for a route or key that is in an edit
// and in all that were begun before the attempt ended.
func (ix *indexedRecord) deniedSince(req *Request, newest int) bool {
	if !req.Complete || req.ExpectedStatus != 0 || req.HasServerStamp {
		return false
	}
	for _, edit := range ix.Edits[newest:] {
		if edit.WrittenAt.After(req.EndedAt) {
			break
		}
		lacksRoute := req.Status == http.StatusNotFound && req.Route.Optional && !edit.HasExtraRoute
		lacksKey := req.Status == http.StatusUnauthorized && req.APIKey == keyGuest && !edit.HasGuestKey
		if lacksRoute || lacksKey {
			return false
		}
	}
	return req.Status == http.StatusNotFound || req.Status == http.StatusUnauthorized
}

// checkTimeouts finds requests without a final answer after their route's timeout.
func checkTimeouts(ix *indexedRecord) []string {
	long := 0
	findings := ix.findRequests(func(req *Request) string {
		took := req.EndedAt.Sub(req.SentAt)
		if took < req.Route.Timeout || !ix.undisturbed(req.Gateway, req.SentAt, req.EndedAt, false) {
			return ""
		}
		long++
		if took > req.Route.Timeout+timeoutSlack {
			return fmt.Sprintf("%v, the route allows %v", took, req.Route.Timeout)
		}
		return ""
	})
	if 2*len(findings) <= long {
		return nil
	}
	return findings
}

// checkLeavingEndpoints finds requests that reached an endpoint later than it must be left
// alone after its word that it leaves.
func checkLeavingEndpoints(ix *indexedRecord) []string {
	left := map[string]time.Time{}
	for _, d := range ix.Departures {
		left[d.Endpoint] = d.AckedAt
	}
	var findings []string
	for i := range ix.Arrivals {
		run := &ix.Arrivals[i]
		acked, leaving := left[run.Endpoint]
		req := ix.requestsByID[run.ID]
		if !leaving || req == nil || run.Status == http.StatusMisdirectedRequest || !run.ArrivedAt.After(acked.Add(leavingWithin)) {
			continue
		}
		if ix.undisturbed(req.Gateway, acked, run.ArrivedAt, true) {
			findings = append(findings, fmt.Sprintf("%s reached %s %v after it said that it leaves", describe(req), run.Endpoint, run.ArrivedAt.Sub(acked)))
		}
	}
	return findings
}

// checkNoRequestCut finds requests that had reached a sound endpoint and got no
// whole answer, without an unplanned disturbance of their gateway.
func checkNoRequestCut(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		runs := ix.arrivalsByID[req.ID]
		if req.Complete || req.Cancelled || len(runs) == 0 || !ix.undisturbed(req.Gateway, req.SentAt, req.EndedAt, false) {
			return ""
		}
		for _, run := range runs {
			if !ix.endpointUndisturbed(run) {
				return ""
			}
		}
		return fmt.Sprintf("no whole answer after %v", req.EndedAt.Sub(req.SentAt))
	})
}

// checkRunsCancelled finds endpoints that worked on for callers who had left.
func checkRunsCancelled(ix *indexedRecord) []string {
	long := 0
	findings := ix.findRequests(func(req *Request) string {
		if !req.Cancelled || !req.Route.Repeatable() || !ix.undisturbed(req.Gateway, req.SentAt, req.EndedAt.Add(maxRunAfterCancel), false) {
			return ""
		}
		for _, run := range ix.arrivalsByID[req.ID] {
			if !run.Ran || !ix.endpointUndisturbed(run) {
				continue
			}
			long++
			if over := runEnd(run).Sub(req.EndedAt); over > maxRunAfterCancel {
				return fmt.Sprintf("%s worked on for %v", run.Endpoint, over)
			}
		}
		return ""
	})
	if len(findings) <= max(allowedExceptions, long/runsPerAllowedLateCancel) {
		return nil
	}
	return findings
}

// linkDisturbed tells whether the store or any link was disturbed between two times: a
// gateway may then not know that a run has ended.
func (ix *indexedRecord) linkDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(ix.Disturbances, func(d *Disturbance) bool {
		ofLink := d.Kind == kindStoreLink || d.Kind == kindCallersLink || d.Kind == kindEndpointLink
		ofStore := d.Gateway == "" && d.Endpoint == ""
		return (ofLink || ofStore) && d.overlaps(from, to)
	})
}

// checkReservationsReleased finds reservations that outlived the last run that used them.
func checkReservationsReleased(ix *indexedRecord) []string {
	var findings []string
	for _, hold := range ix.Reservations {
		last, used := ix.lastUse(hold.ID)
		if used && hold.LastSeen.Sub(last) > maxHeldAfterUse && !ix.linkDisturbed(last, hold.LastSeen) {
			findings = append(findings, fmt.Sprintf("%s is held at %s %v after its last use", hold.ID, hold.Endpoint, hold.LastSeen.Sub(last)))
		}
	}
	return findings
}

// checkReservationsUsed finds reservations that were held for long and never used.
func checkReservationsUsed(ix *indexedRecord) []string {
	var findings []string
	for _, hold := range ix.Reservations {
		if _, used := ix.lastUse(hold.ID); !used && hold.LastSeen.Sub(hold.FirstSeen) > maxHeldUnused && !ix.linkDisturbed(hold.FirstSeen, hold.LastSeen) {
			findings = append(findings, fmt.Sprintf("%s is held at %s for %v and was never used", hold.ID, hold.Endpoint, hold.LastSeen.Sub(hold.FirstSeen)))
		}
	}
	return findings
}

// lastUse is when the last run that used a reservation ended.
func (ix *indexedRecord) lastUse(ticket string) (last time.Time, used bool) {
	for _, run := range ix.runsByReservation[ticket] {
		if end := runEnd(run); end.After(last) {
			last = end
		}
	}
	return last, len(ix.runsByReservation[ticket]) > 0
}
