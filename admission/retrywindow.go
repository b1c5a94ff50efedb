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
	services map[string]*retryService
}

const (
	// retrySlots is how many parts a window is counted in; it slides by one part.
	retrySlots = 10
	// keptSlots are counted of what a limit holds for: the present part has only begun, so
	// that without one more the counts would be of less than a window.
	keptSlots = retrySlots + 1
)

type retryService struct {
	slot     int64
	requests [keptSlots]float64
	repeats  [keptSlots]float64
}

// entryCounts keeps the greatest number of entries in each part of a window. None is known
// at first.
type entryCounts struct {
	slot int64
	now  int
	most [keptSlots]int
}

// at moves on to a part.
func (c *entryCounts) at(slot int64) {
	for c.slot = max(c.slot, slot-keptSlots); c.slot < slot; {
		c.slot++
		c.most[c.slot%keptSlots] = c.now
	}
}

// set tells how many there are from now on.
func (c *entryCounts) set(slot int64, n int) {
	c.at(slot)
	c.now = n
	here := &c.most[slot%keptSlots]
	*here = max(*here, n)
}

// greatest is the greatest number in the window.
func (c *entryCounts) greatest(slot int64) int {
	c.at(slot)
	if n := slices.Max(c.most[:]); n > 0 {
		return n
	}
	return unseenEntries
}

const (
	// unseenEntries is how many entries there are taken to be until one knows.
	unseenEntries = 32
	// retrySafety is the part of the limits that is used: entries that start know late
	// how many there are, and what one spent before it was started again is not known.
	retrySafety = 0.8
	// firstPart is how much of its part of the allowance an entry takes in the first window
	// of its life: with retrySafety, entries that had spent all before they were started
	// again, once in a window, stay within the limits. Not nothing, so that an engine that is
	// gone costs the first callers of a new life no answer.
	firstPart = 0.2
)

// NewRetryWindow makes an empty window.
func NewRetryWindow(now time.Time, limits RetryLimits) *RetryWindow {
	return &RetryWindow{origin: now, limits: limits, services: map[string]*retryService{}}
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
	w.entries.set(w.slot(now), max(n, 1))
}

// slot is the part of a window that a time lies in.
func (w *RetryWindow) slot(now time.Time) int64 {
	return int64(now.Sub(w.origin) / (w.limits.Window / retrySlots))
}

// allowance is this entry's part of what may be repeated besides the ratio.
func (w *RetryWindow) allowance(now time.Time) float64 {
	part := w.limits.Allowance / float64(w.entries.greatest(w.slot(now)))
	if now.Sub(w.origin) < w.limits.Window {
		part *= firstPart
	}
	return part
}

// Request counts a caller's request for a service.
func (w *RetryWindow) Request(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(now, service)
	s.requests[s.slot%keptSlots]++
}

// Take spends one repeat if the limits allow it.
func (w *RetryWindow) Take(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(now, service)
	repeats, requests := 0.0, -s.requests[(s.slot+1)%keptSlots] // the oldest part is not all in the window
	for i := range keptSlots {
		requests += s.requests[i]
		repeats += s.repeats[i]
	}
	allowed := retrySafety * (w.limits.Ratio*requests + w.allowance(now))
	if repeats+1 > allowed {
		return false
	}
	s.repeats[s.slot%keptSlots]++
	return true
}

// service finds a service's counts and clears the parts that the window has left.
func (w *RetryWindow) service(now time.Time, name string) *retryService {
	slot := w.slot(now)
	s := w.services[name]
	if s == nil {
		s = &retryService{slot: slot}
		w.services[name] = s
	}
	if slot-s.slot >= keptSlots {
		*s = retryService{slot: slot}
	}
	for s.slot < slot {
		s.slot++
		s.requests[s.slot%keptSlots], s.repeats[s.slot%keptSlots] = 0, 0
	}
	return s
}
