package attempt

import (
	"slices"
	"time"

	"aspenyard.example/attempt/verdict"
)

// CrashesSuffice returns whether a stored verdict's crashes suffice to put a request into quarantine.
func CrashesSuffice(crashes []verdict.Crash) bool { return len(crashes) >= crashesToQuarantine }

// Known returns what this node knows of a request, to be stored for nodes that start later, whether the request is in
// quarantine, and whether this node observed one of the crashes itself.
func (q *Quarantine) Known(now time.Time, request Fingerprint) (v verdict.Verdict, quarantined, local bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[request]
	if s == nil {
		return verdict.Verdict{}, false, false
	}
	v.Cancelled = slices.Clone(s.cancelled)
	for _, c := range s.crashes {
		v.Crashes = append(v.Crashes, verdict.Crash{Endpoint: c.endpoint, Age: now.Sub(c.at)})
		local = local || c.local
	}
	return v, len(q.unexplained(s)) >= crashesToQuarantine, local
}

// Quarantined returns the requests in quarantine.
func (q *Quarantine) Quarantined() []Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	var requests []Fingerprint
	for request, s := range q.suspects {
		if s.quarantined() && len(q.unexplained(s)) >= crashesToQuarantine {
			requests = append(requests, request)
		}
	}
	return requests
}

// MergeStored adds what the store reports of a request, which may be older than what this node knows. It returns whether
// that put the request into quarantine.
func (q *Quarantine) MergeStored(now time.Time, request Fingerprint, v verdict.Verdict) (quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[request]
	if s == nil && len(v.Crashes) == 0 && len(v.Cancelled) == 0 {
		return false
	}
	if s == nil {
		s = q.addSuspect(now, request)
	}
	if cancelled := verdict.MergeCancelled(s.cancelled, v.Cancelled); !slices.Equal(cancelled, s.cancelled) {
		s.cancelled, s.cancelledAt = cancelled, now
		s.cancel(now, false, func(c crash) bool { return slices.Contains(cancelled, c.endpoint) })
	}
	for _, c := range v.Crashes {
		if c.Endpoint != Answered && c.Age >= 0 && c.Age < findingTTL {
			quarantined = q.addCrash(now, request, crash{endpoint: c.Endpoint, at: now.Add(-c.Age), stored: true}) || quarantined
		}
	}
	return quarantined
}
