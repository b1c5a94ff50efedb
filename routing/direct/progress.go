package direct

import "time"

// minRemaining is the part of a prompt's prefill that counts as left until its first token has come:
// engines may take longer than estimated.
const minRemaining = 0.1

// progress tells how much of a long prompt's prefill is left.
type progress struct {
	startedAt time.Time
	// expected is how long the prefill takes with what its engines had to do before, partPrefill what it
	// takes at each of them.
	expected, partPrefill time.Duration
}

// remaining is what is remaining at each engine.
func (p *progress) remaining(now time.Time) time.Duration {
	if p.expected <= 0 {
		return p.partPrefill
	}
	done := now.Sub(p.startedAt).Seconds() / p.expected.Seconds()
	return time.Duration(max(1-done, minRemaining) * float64(p.partPrefill))
}

// updatePendingPrefill counts down what this entry's long prompts have left to prefill. Counted in full until
// their first tokens, engines that are nearly done would look as busy as those that have begun. Whoever
// reads loads or demands calls it first, once under the lock.
func (l *LoadTracker) updatePendingPrefill(now time.Time) {
	for c := range l.prefilling {
		remaining := c.progress.remaining(now)
		for i := range c.parts {
			l.reducePendingPrefill(c.service, &c.parts[i], remaining)
		}
	}
}

// reducePendingPrefill sets what a part of a long prompt has left, which never grows.
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
