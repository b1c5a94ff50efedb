package admission

import (
	"math"
	"time"
)

const (
	// toleratedLateness is the share of late requests at which the capacity given out begins to
	// shrink. Some are late for reasons that less load does not change.
	toleratedLateness = 0.1
	// latenessGain is by how much the capacity shrinks for a share of late requests beyond that.
	latenessGain = 1.0
	// minFeedback bounds the shrinking: lateness that does not end with less load, such as that
	// of an engine which is slow and does not report it, must not refuse most callers.
	minFeedback = 0.5
	// feedbackTime is the time constant with which the factor follows: that of a few requests, so
	// that the effect of a change is seen before the next one.
	feedbackTime = time.Second
	// tierTolerance and tierGain are like toleratedLateness and latenessGain for what is left to less
	// urgent tiers, which give way earlier. minTierLimit is the least fraction of the capacity up to
	// which they get what more urgent ones leave.
	tierTolerance, tierGain, minTierLimit = 0.05, 3.0, 0.7
	// negligibleLate is the sum of late requests, each of which counts less the longer ago it was, below
	// which none was late in the last second, and negligibleLateShare their share of all.
	negligibleLate, negligibleLateShare = 0.4, 0.01
	// minStarted is the number of first responses, over all entries, from which their lateness
	// says anything.
	minStarted = 5
)

// feedback is the factor by which the capacity that is given out shrinks while requests of the
// more urgent tiers are late although they were admitted. It depends on the latest reports of all
// entries and forgets its past within seconds, so that entries that have missed reports, or have
// just started, come to the same factor.
type feedback struct {
	// shrunk is 1 minus the factor.
	shrunk    float64
	updatedAt time.Time
}

// update moves the factor towards the one for the present lateness and returns it.
func (f *feedback) update(now time.Time, late float64) float64 {
	target := min(latenessGain*max(late-toleratedLateness, 0), 1-minFeedback)
	if passed := now.Sub(f.updatedAt); passed > 0 {
		f.shrunk += (target - f.shrunk) * (1 - math.Exp(-passed.Seconds()/feedbackTime.Seconds()))
		f.updatedAt = now
	}
	return 1 - f.shrunk
}

// tierLimits returns, for each tier, the fraction of the capacity that it and the more urgent ones may
// be granted. It shrinks while the more urgent ones are late: less urgent requests, which pause their
// streams and take their slots, give way first.
func tierLimits(tiers []*demandSum) []float64 {
	limits := make([]float64, len(tiers))
	started, late := 0.0, 0.0
	for i, d := range tiers {
		limits[i] = 1
		if started >= minStarted {
			limits[i] = max(1-tierGain*max(late/started-tierTolerance, 0), minTierLimit)
		}
		started += d.started
		late += d.late
	}
	return limits
}

// allOnTime reports whether no request was late in the last second, or one of a hundred, which less load
// would not change.
func allOnTime(tiers []*demandSum) bool {
	started, late := 0.0, 0.0
	for _, d := range tiers {
		started += d.started
		late += d.late
	}
	return late < max(negligibleLate, negligibleLateShare*started)
}

// urgentLateness returns the share of late requests among the most urgent tiers that together
// have at least half of all first responses. tiers are in order of urgency.
func urgentLateness(tiers []*demandSum) float64 {
	total := 0.0
	for _, d := range tiers {
		total += d.started
	}
	if total < minStarted {
		return 0
	}
	started, late := 0.0, 0.0
	for _, d := range tiers {
		started += d.started
		late += d.late
		if started >= total/2 {
			break
		}
	}
	return min(late/started, 1)
}
