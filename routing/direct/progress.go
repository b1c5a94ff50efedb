package direct

import "time"

// leastLeft is the part of a prompt's prefill that counts as left until its first token has come:
// engines may take longer than estimated.
const leastLeft = 0.1

// progress tells how much of a long prompt's prefill is left.
type progress struct {
	began time.Time
	// expected is how long the prefill takes with what its engines had to do before, part what it
	// takes at each of them.
	expected, part time.Duration
}

// left is what is left at each engine.
func (p *progress) left(now time.Time) time.Duration {
	if p.expected <= 0 {
		return p.part
	}
	done := now.Sub(p.began).Seconds() / p.expected.Seconds()
	return time.Duration(max(1-done, leastLeft) * float64(p.part))
}

// advance counts down what this entry's long prompts have left to prefill. Counted in full until
// their first tokens, engines that are nearly done would look as busy as those that have begun. Whoever
// reads loads or demands calls it first, once under the lock.
func (l *LoadTracker) advance(now time.Time) {
	for c := range l.prefilling {
		left := c.progress.left(now)
		for i := range c.parts {
			l.countDown(c.service, &c.parts[i], left)
		}
	}
}

// countDown sets what a part of a long prompt has left, which never grows.
func (l *LoadTracker) countDown(service string, p *part, left time.Duration) {
	done := p.prefill - left
	if done <= 0 {
		return
	}
	p.prefill = left
	if known := l.loads[p.endpoint]; known != nil {
		known.prefill = max(known.prefill-done, 0)
	}
	l.reading[service] -= done
}
