package admission

import (
	"slices"
	"sync"
	"time"
)

// RetryLimits bound the retries that all entries together send to the endpoints of a
// service: in any Window at most Ratio times its requests, plus Allowance.
type RetryLimits struct {
	Ratio, Allowance float64
	Window           time.Duration
}

// RetryWindow enforces one entry's share of the retry limits over a sliding window. Each
// entry may use the ratio of its own requests and an equal share of the allowance, so
// that all entries together keep the limits without telling each other about their
// retries. It is safe for concurrent use.
//
// The retries of an entry that ended still count for a window, and the other entries and
// its own next incarnation do not know them. Therefore a share of the allowance grows
// only one window after the number of entries has fallen, and is small in the first
// window of an incarnation.
type RetryWindow struct {
	mu sync.Mutex
	// origin is the start of slot 0. Like the times that are passed in, it has a
	// monotonic reading, so that a jump of the wall clock neither empties nor freezes the
	// window.
	origin   time.Time
	limits   RetryLimits
	entries  entryCounts
	services map[string]*serviceCounts
}

const (
	// windowSlots is the number of slots in a window, which slides by one slot.
	windowSlots = 10
	// keptSlots is the number of slots that are kept. The current slot has only begun, so
	// that without one more slot the counts would cover less than a window.
	keptSlots = windowSlots + 1
)

// slotRing is a ring buffer with one value for each slot of a window. In a zero slotRing,
// all values are 0.
type slotRing struct {
	current int64
	slots   [keptSlots]float64
}

// advance moves on to a slot, gives each slot that it enters the value fill, and returns a
// pointer to the current slot's value.
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

// oldest returns the value of the slot that is no longer wholly inside the window.
func (r *slotRing) oldest() float64 { return r.slots[(r.current+1)%keptSlots] }

// serviceCounts counts the requests and the retries of a service.
type serviceCounts struct{ requests, retries slotRing }

// entryCounts keeps the largest number of entries in each slot of a window. The numbers
// are 0 until one is set.
type entryCounts struct {
	current float64
	maxima  slotRing
	assumed float64 // in place of assumedEntries, if larger
}

// set sets the number of entries from the given slot on.
func (c *entryCounts) set(slot int64, n int) {
	maximum := c.maxima.advance(slot, c.current)
	c.current = float64(n)
	*maximum = max(*maximum, c.current)
}

// maximum returns the largest number of entries in the window, or the assumed number if none
// was set.
func (c *entryCounts) maximum(slot int64) float64 {
	c.maxima.advance(slot, c.current)
	if n := slices.Max(c.maxima.slots[:]); n > 0 {
		return n
	}
	return max(assumedEntries, c.assumed)
}

const (
	// assumedEntries is the assumed number of entries while the true one is not known.
	assumedEntries = 32
	// retrySafetyFactor is the fraction of the limits that is used. The rest is a margin
	// for entries that learn the number of entries late after a start, and for the
	// retries of an entry's previous incarnation, which it does not know.
	retrySafetyFactor = 0.8
	// firstWindowShare is the fraction of its share of the allowance that an entry may use
	// in the first window of an incarnation. Together with retrySafetyFactor it keeps the
	// limits when entries that have used their whole share restart once in a window. It
	// is not 0, so that a lost engine does not fail the first callers of a new
	// incarnation.
	firstWindowShare = 0.2
)

// NewRetryWindow returns the window of an entry that starts at now, without requests or
// retries. now must have a monotonic clock reading.
func NewRetryWindow(now time.Time, limits RetryLimits) *RetryWindow {
	return &RetryWindow{origin: now, limits: limits, services: map[string]*serviceCounts{}}
}

// SetLimits replaces the limits and keeps the counts.
func (w *RetryWindow) SetLimits(limits RetryLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = limits
}

// SetEntries sets how many entries share the limits. Entries that are leaving count too,
// because they still retry the requests that they have in flight.
func (w *RetryWindow) SetEntries(now time.Time, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries.set(w.slotOf(now), max(n, 1))
}

// AssumeEntries sets the number of entries that is assumed while the true one is not known. The default
// is kept if it is larger: among more entries than are assumed, all that start at once together exceed the
// limits.
func (w *RetryWindow) AssumeEntries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries.assumed = float64(n)
}

// slotOf returns the number of the slot that a time lies in.
func (w *RetryWindow) slotOf(now time.Time) int64 {
	return int64(now.Sub(w.origin) / (w.limits.Window / windowSlots))
}

// allowanceShare returns this entry's share of the allowance, in retries per window.
func (w *RetryWindow) allowanceShare(now time.Time) float64 {
	share := w.limits.Allowance / w.entries.maximum(w.slotOf(now))
	if now.Sub(w.origin) < w.limits.Window {
		share *= firstWindowShare
	}
	return share
}

// RecordRequest counts a caller's request for a service. Retries are not counted here.
func (w *RetryWindow) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*w.countsOf(service).requests.advance(w.slotOf(now), 0)++
}

// Take counts one retry for a service and returns true if this entry's share of the
// limits allows it.
func (w *RetryWindow) Take(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, slot := w.countsOf(service), w.slotOf(now)
	s.requests.advance(slot, 0)
	used := s.retries.advance(slot, 0)
	allowed := retrySafetyFactor * (w.limits.Ratio*(s.requests.sum()-s.requests.oldest()) + w.allowanceShare(now))
	if s.retries.sum()+1 > allowed {
		return false
	}
	*used++
	return true
}

// GiveBack returns a retry that was taken just now and not sent.
func (w *RetryWindow) GiveBack(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	retries := w.countsOf(service).retries.advance(w.slotOf(now), 0)
	*retries = max(*retries-1, 0)
}

// countsOf returns the counts of a service; new ones are 0.
func (w *RetryWindow) countsOf(name string) *serviceCounts {
	s := w.services[name]
	if s == nil {
		s = &serviceCounts{}
		w.services[name] = s
	}
	return s
}
