package direct

import (
	"math"
	"time"
)

// health is how an endpoint has lately done by this entry's requests. An endpoint may
// fail part of its requests, or be several times slower than its peers, while its own
// health answers are good; callers see it first.
type health struct {
	at time.Time
	// failures is the share of requests that failed, delay how much longer than
	// expected the answers took; both fade.
	failures float64
	delay    time.Duration
}

const (
	// healthWeight is the weight of one request in the averages: five in a row show.
	healthWeight = 0.25
	// healthHalf is the time in which a bad record fades by half, so that an endpoint
	// that has recovered is tried again within seconds.
	healthHalf = 2 * time.Second
	// failureCost is what an endpoint costs that fails every request, far more than
	// what load makes endpoints differ by.
	failureCost = time.Second
	// delayWeight is the part of the delay that counts: a long prompt may have caused it.
	delayWeight = 0.5
)

// fade lets the averages decay to now.
func (h *health) fade(now time.Time) {
	if h.at.IsZero() {
		h.at = now
		return
	}
	left := math.Pow(0.5, now.Sub(h.at).Seconds()/healthHalf.Seconds())
	h.failures *= left
	h.delay = time.Duration(float64(h.delay) * left)
	h.at = now
}

// cost is what the record adds to an endpoint's cost.
func (h *health) cost(now time.Time) time.Duration {
	if h.failures == 0 && h.delay == 0 {
		return 0
	}
	h.fade(now)
	return time.Duration(h.failures*float64(failureCost)) + time.Duration(delayWeight*float64(h.delay))
}

// Note records how one request did at an endpoint: whether it failed there, and how
// much longer than expected its answer, or first event, took.
func (l *Ledger) Note(now time.Time, endpoint string, failed bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.load(endpoint).health
	h.fade(now)
	value := 0.0
	if failed {
		value = 1
	}
	h.failures += healthWeight * (value - h.failures)
	h.delay += time.Duration(healthWeight * float64(max(delay, 0)-h.delay))
}
