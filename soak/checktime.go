package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"
)

// incarnation identifies one incarnation of a gateway.
type incarnation struct {
	gateway string
	number  int
}

// checkConfigNeverReverts finds gateway incarnations that handled a request by an older edit
// although a newer one had already taken effect before the request was sent.
func checkConfigNeverReverts(ix *indexedRecord) []string {
	type sighting struct {
		sent, arrived time.Time
		edit          int
		request       *Request
	}
	sightings := map[incarnation][]sighting{}
	for i := range ix.Arrivals {
		run := &ix.Arrivals[i]
		req := ix.requestsByID[run.ID]
		if req == nil || !run.Ran || req.APIKey != keyPerEdit || req.Incarnation < 0 {
			continue
		}
		if edit := ix.editOfAccount(run.Account); edit >= 0 {
			key := incarnation{req.Gateway, req.Incarnation}
			sightings[key] = append(sightings[key], sighting{req.SentAt, run.ArrivedAt, edit, req})
		}
	}
	var findings []string
	for _, all := range sightings {
		for _, first := range all {
			for _, second := range all {
				if second.edit < first.edit && second.sent.After(first.arrived.Add(revertSlack)) {
					findings = append(findings, fmt.Sprintf("%s was handled by edit %d, %v after %s was by edit %d", describe(second.request), second.edit, second.sent.Sub(first.arrived), first.request.ID, first.edit))
				}
			}
		}
	}
	return findings
}

// checkConfigApplied finds requests that were handled as only older edits allow, although a newer
// edit had to be in effect by then.
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
			return fmt.Sprintf("status %d, which only edits before edit %d justify", req.Status, newest)
		}
		return ""
	})
}

// handlingEdit returns the edit by which a request was handled, or -1 if that is not known.
func (ix *indexedRecord) handlingEdit(req *Request) int {
	for _, run := range ix.arrivalsByID[req.ID] {
		if run.Ran && req.APIKey == keyPerEdit {
			return ix.editOfAccount(run.Account)
		}
	}
	return -1
}

// deniedSince reports whether a request was denied because of its route or API key, although edit
// newest and every later edit written before the request ended contain both.
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

// checkTimeouts finds requests without a complete response timeoutSlack after their route's
// timeout. They are reported only if they are more than half of the requests that reached the
// timeout.
func checkTimeouts(ix *indexedRecord) []string {
	timedOut := 0
	findings := ix.findRequests(func(req *Request) string {
		took := req.EndedAt.Sub(req.SentAt)
		if took < req.Route.Timeout || !ix.undisturbed(req.Gateway, req.SentAt, req.EndedAt, false) {
			return ""
		}
		timedOut++
		if took > req.Route.Timeout+timeoutSlack {
			return fmt.Sprintf("took %v, the route allows %v", took, req.Route.Timeout)
		}
		return ""
	})
	if 2*len(findings) <= timedOut {
		return nil
	}
	return findings
}

// checkLeavingEndpoints finds requests that reached an endpoint more than leavingWithin after it
// had announced that it leaves.
func checkLeavingEndpoints(ix *indexedRecord) []string {
	leftAt := map[string]time.Time{}
	for _, d := range ix.Departures {
		leftAt[d.Endpoint] = d.AckedAt
	}
	var findings []string
	for i := range ix.Arrivals {
		arrival := &ix.Arrivals[i]
		acked, leaving := leftAt[arrival.Endpoint]
		req := ix.requestsByID[arrival.ID]
		if !leaving || req == nil || arrival.Status == http.StatusMisdirectedRequest || !arrival.ArrivedAt.After(acked.Add(leavingWithin)) {
			continue
		}
		if ix.undisturbed(req.Gateway, acked, arrival.ArrivedAt, true) {
			findings = append(findings, fmt.Sprintf("%s reached %s %v after it had announced that it leaves", describe(req), arrival.Endpoint, arrival.ArrivedAt.Sub(acked)))
		}
	}
	return findings
}

// checkRunsCancelled finds endpoints that went on running repeatable requests after the callers
// had cancelled.
func checkRunsCancelled(ix *indexedRecord) []string {
	cancelled := 0
	findings := ix.findRequests(func(req *Request) string {
		if !req.Cancelled || !req.Route.Repeatable() || !ix.undisturbed(req.Gateway, req.SentAt, req.EndedAt.Add(maxRunAfterCancel), false) {
			return ""
		}
		for _, run := range ix.arrivalsByID[req.ID] {
			if !run.Ran || !ix.endpointUndisturbed(run) {
				continue
			}
			cancelled++
			if over := runEnd(run).Sub(req.EndedAt); over > maxRunAfterCancel {
				return fmt.Sprintf("%s ran on for %v after the caller had cancelled", run.Endpoint, over)
			}
		}
		return ""
	})
	if len(findings) <= max(allowedExceptions, cancelled/runsPerAllowedLateCancel) {
		return nil
	}
	return findings
}

// linkDisturbed reports whether the store or any link was disturbed between from and to. A
// gateway may then not know that a run has ended.
func (ix *indexedRecord) linkDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(ix.Disturbances, func(d *Disturbance) bool {
		ofLink := d.Kind == kindStoreLink || d.Kind == kindCallersLink || d.Kind == kindEndpointLink
		ofStore := d.Gateway == "" && d.Endpoint == ""
		return (ofLink || ofStore) && d.overlaps(from, to)
	})
}

// checkReservationsReleased finds reservations that were held too long after the last run that
// used them.
func checkReservationsReleased(ix *indexedRecord) []string {
	var findings []string
	for _, reservation := range ix.Reservations {
		last, used := ix.lastUse(reservation.ID)
		if used && reservation.LastSeen.Sub(last) > maxHeldAfterUse && !ix.linkDisturbed(last, reservation.LastSeen) {
			findings = append(findings, fmt.Sprintf("reservation %s is held at %s %v after its last use", reservation.ID, reservation.Endpoint, reservation.LastSeen.Sub(last)))
		}
	}
	return findings
}

// checkReservationsUsed finds reservations that were held for long and never used.
func checkReservationsUsed(ix *indexedRecord) []string {
	var findings []string
	for _, reservation := range ix.Reservations {
		if _, used := ix.lastUse(reservation.ID); !used && reservation.LastSeen.Sub(reservation.FirstSeen) > maxHeldUnused && !ix.linkDisturbed(reservation.FirstSeen, reservation.LastSeen) {
			findings = append(findings, fmt.Sprintf("reservation %s is held at %s for %v and was never used", reservation.ID, reservation.Endpoint, reservation.LastSeen.Sub(reservation.FirstSeen)))
		}
	}
	return findings
}

// lastUse returns when the last run that used a reservation ended, and whether any run used it.
func (ix *indexedRecord) lastUse(id string) (last time.Time, used bool) {
	for _, run := range ix.runsByReservation[id] {
		if end := runEnd(run); end.After(last) {
			last = end
		}
	}
	return last, len(ix.runsByReservation[id]) > 0
}
