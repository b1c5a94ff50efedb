package direct

import (
	"maps"
	"slices"
	"time"
)

// LimitReport is an entry's report of an endpoint's limit to others. Ages are those of the
// request and of the response that stated it, when the report is sent.
type LimitReport struct {
	Endpoint          EndpointHash
	Limited           bool
	PerSecond         float64
	SentAge, HeardAge time.Duration
}

// Reports returns the reports for other entries, at most most of them. Every entry reports the
// changes that it learned of; with full, also the limits that stand. Those are reported by
// entries that heard them from the endpoint itself, and by its holders and a few more, so that a
// limit outlives the entry that heard it and entries that start learn of it.
func (l *EndpointLimits) Reports(now time.Time, full bool, most int) []LimitReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed, standing []EndpointHash
	for _, endpoint := range slices.Sorted(maps.Keys(l.limits)) {
		switch k := l.limits[endpoint]; {
		case now.Sub(k.changedAt) < changeReportTime:
			changed = append(changed, endpoint)
		case full && l.shouldReport(now, endpoint, k):
			standing = append(standing, endpoint)
		}
	}
	if len(standing) > 0 { // in turns, where there are too many
		start := l.nextReport % len(standing)
		standing = append(standing[start:], standing[:start]...)
		l.nextReport += max(most-len(changed), 0)
	}
	var reports []LimitReport
	for _, endpoint := range append(changed, standing...) {
		if len(reports) == most {
			break
		}
		k := l.limits[endpoint]
		reports = append(reports, LimitReport{endpoint, k.limited, k.perSecond, now.Sub(k.sentAt), now.Sub(k.heardAt)})
	}
	return reports
}

// shouldReport returns whether this entry reports a limit that has not changed lately.
func (l *EndpointLimits) shouldReport(now time.Time, endpoint EndpointHash, k *knownLimit) bool {
	if now.Sub(k.heardAt) > limitReportTTL {
		return false
	}
	l.refresh(now, endpoint, k)
	return now.Sub(k.ownAt) < ownReportTime || k.rank < l.holders(k.perSecond, len(l.entries)+1)+extraReporters
}

// Merge applies the reports of another entry and returns the limits that they changed. delay is
// how late the reports are.
func (l *EndpointLimits) Merge(now time.Time, delay time.Duration, reports []LimitReport) []LimitChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []LimitChange
	for _, r := range reports {
		if r.HeardAge+delay > limitReportTTL || r.SentAge < r.HeardAge {
			continue
		}
		known := l.limits[r.Endpoint]
		if known == nil && !r.Limited {
			continue
		}
		s := statement{r.Limited, min(r.PerSecond, maxLimitRate), now.Add(-r.SentAge - delay), now.Add(-r.HeardAge - delay)}
		if change, changed := l.apply(now, r.Endpoint, s); changed {
			changes = append(changes, change)
		}
	}
	return changes
}
