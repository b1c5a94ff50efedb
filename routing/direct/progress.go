package direct

import "time"

// minRemaining is the fraction of a prompt's prefill that counts as pending until its first
// token arrives, as engines may take longer than estimated.
const minRemaining = 0.1

// progress estimates how much of a long prompt's prefill is still pending.
type progress struct {
	startedAt time.Time
	// expected is the time until the first token, including the earlier work of its
	// engines, and partPrefill the prefill time at each of them.
	expected, partPrefill time.Duration
}

// remaining is the pending prefill time at each engine.
func (p *progress) remaining(now time.Time) time.Duration {
	if p.expected <= 0 {
		return p.partPrefill
	}
	done := now.Sub(p.startedAt).Seconds() / p.expected.Seconds()
	return time.Duration(max(1-done, minRemaining) * float64(p.partPrefill))
}

// updatePendingPrefill reduces the pending prefill of this entry's long prompts by their
// estimated progress. If it counted in full until the first token, engines that are nearly
// done would look as busy as those that have just begun. Every method that reads loads or
// demands calls it first, once, with the lock held.
func (l *LoadTracker) updatePendingPrefill(now time.Time) {
	for r := range l.prefilling {
		remaining := r.progress.remaining(now)
		for i := range r.parts {
			l.reducePendingPrefill(r.service, &r.parts[i], remaining)
		}
	}
}

// reducePendingPrefill sets the remaining prefill of a part of a long prompt, which never
// grows.
func (l *LoadTracker) reducePendingPrefill(service string, p *part, remaining time.Duration) {
	done := p.prefill - remaining
	if done <= 0 {
		return
	}
	p.prefill = remaining
	if tracked := l.endpoints[p.endpoint]; tracked != nil {
		tracked.pendingPrefill = max(tracked.pendingPrefill-done, 0)
	}
	l.pendingPrefill[service] -= done
}
