package directory

import "time"

const (
	// leavingGrace is how long an endpoint that leaves is remembered as such while its registration is
	// missing after a loss: it may be written again as that of an endpoint that takes requests.
	leavingGrace = 30 * time.Second
	// withholdTime is how long a registration that a copy may have brought back is not used. An endpoint
	// that has ended does not renew it, and the store drops it within three heartbeats.
	withholdTime = 10 * time.Second
)

// withheldEndpoint is a registration that is not used until a time.
type withheldEndpoint struct {
	Endpoint
	until time.Time
}

// beginEra prepares the replica for the first state of a new era. The store has lost its last writes and may
// hold old ones in their place, so that its word is not enough:
//
//   - The configuration in force stays until a higher version is written.
//   - Endpoints and nodes count as missing until they are listed again, because what the copy lacks is
//     written again within about two seconds.
//   - An incarnation that was leaving stays so. One that has ended, and that the copy lists, is withheld.
//   - Evacuations stay in force for a while without being listed, see Evacuations.ApplyList.
func (r *Replica) beginEra(now time.Time) {
	since := now
	if now.Sub(r.outageEnd) < expiryWindow {
		since = r.outageEnd // when the new era was noticed; reading its state took a while
	}
	for id, e := range r.endpoints {
		if !e.MissingSince.IsZero() && !e.lost {
			delete(r.endpoints, id) // its registration ended before the loss, so that it is withheld if listed
			continue
		}
		e.MissingSince, e.lost = since, true
	}
	for name, n := range r.nodes {
		n.missingSince = since
		r.nodes[name] = n
	}
}

// withhold reports whether a registration in a full state is not to be used: that of an incarnation whose
// end was seen in an earlier era, and which a copy may have brought back. A later change by the endpoint
// itself shows that it runs.
func (r *Replica) withhold(now time.Time, e *Endpoint) bool {
	last, found := r.tombstones[e.ID]
	if !found || r.endpoints[e.ID] != nil || last.at.SameEra(e.At) || last.startUnixMilli != e.StartUnixMilli {
		return false
	}
	until := last.addedAt.Add(withholdTime)
	if !now.Before(until) {
		return false
	}
	r.withheld[e.ID] = withheldEndpoint{*e, until}
	return true
}

// releaseWithheld adds the registrations that were withheld for long enough. It reports whether there were any.
func (r *Replica) releaseWithheld(now time.Time) bool {
	released := false
	for id, e := range r.withheld {
		if now.Before(e.until) {
			continue
		}
		delete(r.withheld, id)
		r.addEndpoint(now, &e.Endpoint)
		released = true
	}
	return released
}

// Withheld returns how many listed registrations are not used because a copy may have brought them back.
func (r *Replica) Withheld() int { return len(r.withheld) }

// Missing returns how many endpoints are kept although their registrations are missing.
func (r *Replica) Missing() int {
	n := 0
	for _, e := range r.endpoints {
		if !e.MissingSince.IsZero() {
			n++
		}
	}
	return n
}
