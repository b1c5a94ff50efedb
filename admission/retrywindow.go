package admission

import (
	"slices"
	"sync"
	"time"
)

// RetryLimits bound what all entries together send again to the endpoints of a
// service: in any window at most Ratio of its requests plus Allowance.
type RetryLimits struct {
	Ratio, Allowance float64
	Window           time.Duration
}

// RetryWindow keeps one entry's part of the limits. Entries do not tell each other
// what they repeat: each takes the ratio of its own requests, and of the allowance the
// part that falls to it by the number of entries. So the sum over all entries keeps
// the limits without a message between them. Safe for concurrent use.
//
// Entries come and go: what one that ended has repeated still counts for a window, at the
// others and at its own next life. So a part grows only a window after their number fell,
// and is small in the first window of a life.
type RetryWindow struct {
	mu sync.Mutex
	// origin makes times into numbers; both have a monotonic reading, so that a jump
	// of the time of day neither empties nor freezes the window.
	origin   time.Time
	limits   RetryLimits
	entries  entryCounts
	services map[string]*serviceCounts
}

const (
	// windowSlots is how many parts a window is counted in; it slides by one part.
	windowSlots = 10
	// keptSlots are counted of what a limit holds for: the present part has only begun, so
	// that without one more the counts would be of less than a window.
	keptSlots = windowSlots + 1
)

// slotRing is a number for each part of a window. The zero value has the number 0 for all.
type slotRing struct {
	current int64
	slots   [keptSlots]float64
}

// advance moves on to a part, fills those that begin with a number, and gives the present one.
func (r *slotRing) advance(slot int64, fill float64) *float64 {
	for r.current = max(r.current, slot-keptSlots); r.current < slot; {
		r.current++
		r.slots[r.current%keptSlots] = fill
	}
	return &r.slots[r.current%keptSlots]
}

func (r *slotRing) sum() float64 {
	sum := 0.0
	for _, n := range r.slots {
		sum += n
	}
	return sum
}

// oldest is the number of the part that is not all in the window any more.
func (r *slotRing) oldest() float64 { return r.slots[(r.current+1)%keptSlots] }

// serviceCounts is what was counted for a service.
type serviceCounts struct{ requests, retries slotRing }

// entryCounts keeps the greatest number of entries in each part of a window. None is known
// at first.
type entryCounts struct {
	current float64
	maxima  slotRing
}

// set tells how many there are from now on.
func (c *entryCounts) set(slot int64, n int) {
	here := c.maxima.advance(slot, c.current)
	c.current = float64(n)
	*here = max(*here, c.current)
}

// maximum is the maximum number in the window.
func (c *entryCounts) maximum(slot int64) float64 {
	c.maxima.advance(slot, c.current)
	if n := slices.Max(c.maxima.slots[:]); n > 0 {
		return n
	}
	return assumedEntries
}

const (
	// assumedEntries is how many entries there are taken to be until one knows.
	assumedEntries = 32
	// retrySafetyFactor is the part of the limits that is used: entries that start know late
	// how many there are, and what one spent before it was started again is not known.
	retrySafetyFactor = 0.8
	// firstWindowShare is how much of its part of the allowance an entry takes in the first window
	// of its life: with retrySafety, entries that had spent all before they were started
	// again, once in a window, stay within the limits. Not nothing, so that an engine that is
	// gone costs the first callers of a new life no answer.
	firstWindowShare = 0.2
)

// NewRetryWindow makes an empty window.
func NewRetryWindow(now time.Time, limits RetryLimits) *RetryWindow {
	return &RetryWindow{origin: now, limits: limits, services: map[string]*serviceCounts{}}
}

// SetLimits changes the limits.
func (w *RetryWindow) SetLimits(limits RetryLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = limits
}

// SetEntries tells how many entries share the limits, those that are leaving included: they
// still repeat what they have.
func (w *RetryWindow) SetEntries(now time.Time, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries.set(w.slotOf(now), max(n, 1))
}

// slotOf is the part of a window that a time lies in.
func (w *RetryWindow) slotOf(now time.Time) int64 {
	return int64(now.Sub(w.origin) / (w.limits.Window / windowSlots))
}

// allowanceShare is this entry's part of what may be repeated besides the ratio.
func (w *RetryWindow) allowanceShare(now time.Time) float64 {
	part := w.limits.Allowance / w.entries.maximum(w.slotOf(now))
	if now.Sub(w.origin) < w.limits.Window {
		part *= firstWindowShare
	}
	return part
}

// RecordRequest counts a caller's request for a service.
func (w *RetryWindow) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*w.countsOf(service).requests.advance(w.slotOf(now), 0)++
}

// Take spends one repeat if the limits allow it.
func (w *RetryWindow) Take(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, slot := w.countsOf(service), w.slotOf(now)
	s.requests.advance(slot, 0)
	spent := s.retries.advance(slot, 0)
	allowed := retrySafetyFactor * (w.limits.Ratio*(s.requests.sum()-s.requests.oldest()) + w.allowanceShare(now))
	if s.retries.sum()+1 > allowed {
		return false
	}
	*spent++
	return true
}

// countsOf finds what was counted for a countsOf.
func (w *RetryWindow) countsOf(name string) *serviceCounts {
	s := w.services[name]
	if s == nil {
		s = &serviceCounts{}
		w.services[name] = s
	}
	return s
}
