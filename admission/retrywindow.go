package admission

import (
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
type RetryWindow struct {
	mu sync.Mutex
	// origin makes times into numbers; both have a monotonic reading, so that a jump
	// of the time of day neither empties nor freezes the window.
	origin   time.Time
	limits   RetryLimits
	entries  int
	services map[string]*retryService
}

// retrySlots is how many parts a window is counted in; it slides by one part.
const retrySlots = 10

type retryService struct {
	slot     int64
	requests [retrySlots]float64
	repeats  [retrySlots]float64
}

const (
	// unseenEntries is how many entries there are taken to be until one knows.
	unseenEntries = 32
	// retrySafety is the part of the limits that is used: the limits hold for any
	// window, and counting in parts is exact to one part.
	retrySafety = 0.8
)

// NewRetryWindow makes an empty window.
func NewRetryWindow(now time.Time, limits RetryLimits) *RetryWindow {
	return &RetryWindow{origin: now, limits: limits, entries: unseenEntries, services: map[string]*retryService{}}
}

// SetLimits changes the limits.
func (w *RetryWindow) SetLimits(limits RetryLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = limits
}

// SetEntries tells how many entries share the limits.
func (w *RetryWindow) SetEntries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(n, 1)
}

// Request counts a caller's request for a service.
func (w *RetryWindow) Request(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(now, service)
	s.requests[s.slot%retrySlots]++
}

// Take spends one repeat if the limits allow it.
func (w *RetryWindow) Take(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(now, service)
	requests, repeats := 0.0, 0.0
	for i := range retrySlots {
		requests += s.requests[i]
		repeats += s.repeats[i]
	}
	allowed := retrySafety * (w.limits.Ratio*requests + w.limits.Allowance/float64(w.entries))
	if repeats+1 > allowed {
		return false
	}
	s.repeats[s.slot%retrySlots]++
	return true
}

// service finds a service's counts and clears the parts that the window has left.
func (w *RetryWindow) service(now time.Time, name string) *retryService {
	part := w.limits.Window / retrySlots
	slot := int64(now.Sub(w.origin) / part)
	s := w.services[name]
	if s == nil {
		s = &retryService{slot: slot}
		w.services[name] = s
	}
	if slot-s.slot >= retrySlots {
		*s = retryService{slot: slot}
	}
	for s.slot < slot {
		s.slot++
		s.requests[s.slot%retrySlots], s.repeats[s.slot%retrySlots] = 0, 0
	}
	return s
}
