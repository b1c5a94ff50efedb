package direct

import "time"

const (
	// ViewResponseWait is how long a starting entry waits for a view before it asks another entry.
	ViewResponseWait = 50 * time.Millisecond
	// maxViewRequests is the number of entries that a starting entry asks for a view.
	maxViewRequests = 4
	// maxViewsPerSecond is the number of views that an entry sends a second: a view takes about as
	// much processor time as ten heartbeats.
	maxViewsPerSecond = 10
)

// ViewRequests decides which entries a starting entry asks for a view, and when. The zero value has
// asked none.
type ViewRequests struct {
	asked map[string]bool
	last  time.Time
	// closed is set once no view is needed any more, unanswered once Unanswered has reported.
	closed, unanswered bool
}

// Next returns the entry to ask now; false if none is to be asked now. heard is the number of the
// other entries that have sent full heartbeats. No view is needed once half of them have.
func (r *ViewRequests) Next(now time.Time, entries []string, heard int, rand Rand) (string, bool) {
	if len(entries) > 0 && 2*heard >= len(entries) {
		r.closed = true
	}
	if r.closed || len(r.asked) >= maxViewRequests || len(r.asked) > 0 && now.Sub(r.last) < ViewResponseWait {
		return "", false
	}
	left := make([]string, 0, len(entries))
	for _, entry := range entries {
		if !r.asked[entry] {
			left = append(left, entry)
		}
	}
	if len(left) == 0 {
		return "", false
	}
	if r.asked == nil {
		r.asked = map[string]bool{}
	}
	entry := left[rand.IntN(len(left))]
	r.asked[entry], r.last = true, now
	return entry, true
}

// Awaits reports whether a view from an entry may be used: it was asked, and a view is still needed.
func (r *ViewRequests) Awaits(entry string) bool { return !r.closed && r.asked[entry] }

// Close records that no view is needed any more.
func (r *ViewRequests) Close() { r.closed = true }

// Unanswered reports, once, that all of the entries that may be asked were asked in vain. A view that
// comes later may still be used.
func (r *ViewRequests) Unanswered(now time.Time, entries int) bool {
	if r.closed || r.unanswered || len(r.asked) == 0 || len(r.asked) < min(maxViewRequests, entries) || now.Sub(r.last) < ViewResponseWait {
		return false
	}
	r.unanswered = true
	return true
}

// ViewBudget bounds the views that an entry sends. The zero value has sent none.
type ViewBudget struct {
	sent [maxViewsPerSecond]time.Time
	next int
}

// Take reports whether a view may be sent now, and counts it.
func (b *ViewBudget) Take(now time.Time) bool {
	if oldest := b.sent[b.next]; !oldest.IsZero() && now.Sub(oldest) < time.Second {
		return false
	}
	b.sent[b.next] = now
	b.next = (b.next + 1) % len(b.sent)
	return true
}
