package admission

import "time"

// minSlowTime is how long an entry must have waited for a caller before it may cut the caller off for
// the bytes of others. A caller on a slow link that loses a packet waits for less.
const minSlowTime = time.Second

// slowShare is the part of the bound that callers who keep the entry waiting may hold while other requests
// are refused. Above it, readers are cut off, so that the rest serves callers that send and read at once.
const slowShare = 0.5

// SlowCaller is a caller for which an entry holds bytes while it waits for the caller to send or to read.
type SlowCaller struct {
	// Held is the number of bytes that are held for the caller.
	Held int64
	// Since is when the wait began, and Deadline when the request ends in any case.
	Since, Deadline time.Time
	// Sends is set for a caller that sends a body. Announced is the body's size, negative if it is not known, Received how
	// much of it has arrived, and Progress when the last of that did.
	Sends               bool
	Announced, Received int64
	Progress            time.Time
	// Rank is 0 for the most urgent requests and 1 for the least urgent.
	Rank float64
}

// minUnknownPace is how many bytes of a body of unknown size must arrive a second for it not to be hopeless.
const minUnknownPace = SmallBody

// hopeless reports whether a body has stopped arriving, or is not complete by the deadline if it goes on arriving as until now.
// Its request cannot be served, and its bytes are held for nothing.
func (s *SlowCaller) hopeless(now time.Time) bool {
	waited, whole := now.Sub(s.Since), s.Deadline.Sub(s.Since)
	switch {
	case now.Sub(s.Progress) >= minSlowTime:
		return true
	case s.Announced < 0:
		return float64(s.Received) < minUnknownPace*waited.Seconds()
	}
	return float64(s.Received)*whole.Seconds() < float64(s.Announced)*waited.Seconds()
}

// isSlow reports whether the entry has waited for the caller for long enough.
func (s *SlowCaller) isSlow(now time.Time) bool { return s.Held > 0 && now.Sub(s.Since) >= minSlowTime }

// mayCut reports whether the caller may be cut off. readers is set if callers that read may be, although their
// requests have run.
func (s *SlowCaller) mayCut(now time.Time, readers bool) bool {
	if !s.isSlow(now) {
		return false
	}
	if s.Sends {
		return s.hopeless(now)
	}
	return readers
}

// PickSlowCaller returns the index of the caller that is cut off when bytes of a purpose are needed and the
// bound is reached; -1 if none may be. For a request that has not run, callers whose requests have run are cut
// off only where slow callers hold more than slowShare of the bound. Bodies that cannot be complete in time go first, as they cost no endpoint's
// work; then the less urgent request, then the one that holds more.
func PickSlowCaller(now time.Time, purpose BytePurpose, bound int64, callers []SlowCaller) int {
	slow := int64(0)
	for i := range callers {
		if callers[i].isSlow(now) {
			slow += callers[i].Held
		}
	}
	readers := purpose != BodyBytes && purpose != HeadBytes || float64(slow) > slowShare*float64(bound)
	best := -1
	for i := range callers {
		if callers[i].mayCut(now, readers) && (best < 0 || callers[i].cutBefore(&callers[best])) {
			best = i
		}
	}
	return best
}

// cutBefore reports whether the caller is cut off rather than another one.
func (s *SlowCaller) cutBefore(other *SlowCaller) bool {
	if s.Sends != other.Sends {
		return s.Sends
	}
	if s.Rank != other.Rank {
		return s.Rank > other.Rank
	}
	return s.Held > other.Held
}

// PickForConnection returns the index of the caller that is cut off when connections are needed of which callers may have limit;
// -1 if none may be. Callers whose requests have run are cut off only where slow callers have more than slowShare of the
// connections. The one that has been waited for the longest goes first.
func PickForConnection(now time.Time, limit int64, callers []SlowCaller) int {
	slow := 0
	for i := range callers {
		if now.Sub(callers[i].Since) >= minSlowTime {
			slow++
		}
	}
	readers := float64(slow) > slowShare*float64(limit)
	best := -1
	for i := range callers {
		c := &callers[i]
		if now.Sub(c.Since) < minSlowTime || !c.Sends && !readers || c.Sends && !c.hopeless(now) {
			continue
		}
		if best < 0 || c.Sends && !callers[best].Sends || c.Sends == callers[best].Sends && c.Since.Before(callers[best].Since) {
			best = i
		}
	}
	return best
}
