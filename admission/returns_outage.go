package admission

import (
	"cmp"
	"time"
)

const (
	// minOutage is the shortest time without a response that counts as an outage. Single endpoints
	// that refuse a request end earlier.
	minOutage = 200 * time.Millisecond
	// initialOutage is the expected length of a service's first outage: processes take seconds to
	// start. Most callers return once, so that a time that is too short costs more than a longer one
	// (docs/design/returning-callers.md).
	initialOutage = 2 * time.Second
	// outageLapse is the time without a refusal after which nothing is known of an outage: a service
	// with few requests has neither refusals nor responses for a while.
	outageLapse = 3 * time.Second
	// outageMargin lengthens the expected time to the end of an outage, so that most returns arrive
	// after it.
	outageMargin = 0.1
	// outageWeight is the weight of the latest outage in the average of their lengths.
	outageWeight = 0.5
	// minOutageWait and maxOutageWait bound the estimated time to the end. A longer one would keep
	// callers away long after an outage that has just ended.
	minOutageWait = 300 * time.Millisecond
	maxOutageWait = 5 * time.Second
)

// outage estimates when a service whose endpoints are all gone serves again.
type outage struct {
	// since is when the outage began, zero while there is none; refusedAt is its last refusal.
	since, refusedAt time.Time
	// observed is the average length of earlier outages; 0 if there was none.
	observed time.Duration
}

// refuse records a refusal and returns the estimated time to the end. base is the time to tell where
// nothing is known. Unless the outage is certain, it counts from minOutage on.
func (o *outage) refuse(now time.Time, base time.Duration, certain bool) time.Duration {
	if o.since.IsZero() || now.Sub(o.refusedAt) > outageLapse {
		o.since = now
	}
	o.refusedAt = now
	elapsed := now.Sub(o.since)
	if !certain && elapsed < minOutage {
		return base
	}
	expected := cmp.Or(o.observed, initialOutage)
	left := expected - elapsed
	switch {
	case left <= 0:
		// An outage that has lasted for some time beyond the usual is expected to last as long again.
		return max(base, min(-left, maxOutageWait))
	case o.observed == 0:
		return max(base, left)
	}
	left += time.Duration(outageMargin * float64(expected))
	return min(max(left, minOutageWait), maxOutageWait)
}

// end records that the service serves again.
func (o *outage) end(now time.Time) {
	length := now.Sub(o.since)
	lapsed := now.Sub(o.refusedAt) > outageLapse
	if !o.since.IsZero() && length >= minOutage && !lapsed {
		if o.observed == 0 {
			o.observed = length
		} else {
			o.observed += time.Duration(outageWeight * float64(length-o.observed))
		}
	}
	o.since = time.Time{}
}
