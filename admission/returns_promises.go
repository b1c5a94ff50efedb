package admission

import (
	"container/heap"
	"math"
	"time"
)

const (
	// maxPromises bounds the promises that are kept, of about 150 bytes each.
	maxPromises = 4096
	// maxReportedWait is the longest time that is believed from another entry.
	maxReportedWait = time.Minute
	// maxKeptReports bounds the promises whose end is still to be reported.
	maxKeptReports = 256
	// shareWindow is the time constant of the counted refusals, sharePrior the number of refusals of
	// each entry that is assumed before any is counted.
	shareWindow = 2 * time.Second
	sharePrior  = 8
)

// promise is one return that is expected.
type promise struct {
	key uint64
	due time.Time
	// last is the latest time that a copy of the request was told.
	last time.Time
	// own is set if this entry promised it; another entry's heartbeat reported it otherwise.
	own bool
	// claimed is set when a request has returned on time, until it ends or is refused again.
	claimed bool
	// kept is set when its request has returned. It is remembered, so that a late report does not
	// bring the promise back.
	kept bool
	// confirmed counts the early returns that were told the time again.
	confirmed uint8
	// reports counts how often it was reported to the other entries.
	reports uint8
	index   int // in the heap
}

// promiseTable holds the promises by key and by the order in which they are due.
type promiseTable struct {
	byKey map[uint64]*promise
	order promiseHeap
	// unreported are the keys of own promises that are not reported, the newest last. repeated are
	// those that the next full report repeats, as a heartbeat may be lost.
	unreported, repeated []uint64
	// kept are the keys of promises that were kept and not reported yet.
	kept []uint64
}

// supersededBy reports whether a time that another entry reports belongs to a later promise for the
// same request. Reports whose delay is not known seem to be later than they are; they must not bring
// back a promise that was kept.
func (p *promise) supersededBy(due time.Time) bool {
	if p.kept {
		return due.After(p.due.Add(returnGrace))
	}
	return !due.Before(p.due.Add(earlyTolerance))
}

func newPromiseTable() promiseTable { return promiseTable{byKey: map[uint64]*promise{}} }

func (t *promiseTable) find(key uint64) *promise {
	if key == 0 {
		return nil
	}
	return t.byKey[key]
}

// put records a promise. A full table drops the one that is due first if its time has passed;
// otherwise the new one is not recorded, and its caller has no precedence.
func (t *promiseTable) put(now time.Time, key uint64, due time.Time, own bool) {
	if key == 0 {
		return
	}
	p := t.byKey[key]
	if p == nil {
		t.prune(now)
		if len(t.byKey) >= maxPromises {
			if t.order[0].due.After(now) {
				return
			}
			t.remove(t.order[0])
		}
		p = &promise{key: key, due: due}
		t.byKey[key] = p
		heap.Push(&t.order, p)
	}
	p.due, p.own, p.claimed, p.kept, p.confirmed, p.reports = due, own, false, false, 0, 0
	heap.Fix(&t.order, p.index)
	if own {
		t.unreported = append(t.unreported, key)
		if len(t.unreported) > maxPromises {
			t.unreported = t.unreported[len(t.unreported)-maxPromises:]
		}
	}
}

// prune drops promises whose time passed longer than returnGrace ago.
func (t *promiseTable) prune(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].due) > returnGrace {
		t.remove(t.order[0])
	}
}

func (t *promiseTable) remove(p *promise) {
	heap.Remove(&t.order, p.index)
	delete(t.byKey, p.key)
}

func (t *promiseTable) reportKept(key uint64) {
	if len(t.kept) < maxKeptReports {
		t.kept = append(t.kept, key)
	}
}

// ReturnReport is what an entry reports of a promise.
type ReturnReport struct {
	Key uint64
	// Left is the time until the return is due.
	Left time.Duration
	// Kept is set when the promise has ended because its request returned.
	Kept bool
}

// Reports returns what to tell the other entries, at most the given number: promises that were kept,
// then new promises, the newest first. A full report repeats those of the last reports once.
func (r *Returns) Reports(now time.Time, full bool, most int) []ReturnReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.promises
	t.prune(now)
	var reports []ReturnReport
	for len(t.kept) > 0 && len(reports) < most {
		reports = append(reports, ReturnReport{Key: t.kept[0], Kept: true})
		t.kept = t.kept[1:]
	}
	reports, t.unreported = t.report(now, reports, t.unreported, 0, most)
	if full {
		reports, _ = t.report(now, reports, t.repeated, 1, most)
		t.repeated = t.repeated[:0]
	}
	return reports
}

// report appends reports of promises that were reported the given number of times, the newest first,
// and returns the keys that are left.
func (t *promiseTable) report(now time.Time, reports []ReturnReport, keys []uint64, times uint8, most int) ([]ReturnReport, []uint64) {
	for len(keys) > 0 && len(reports) < most {
		p := t.byKey[keys[len(keys)-1]]
		keys = keys[:len(keys)-1]
		if p == nil || !p.own || p.claimed || p.kept || p.reports != times || !p.due.After(now) {
			continue
		}
		p.reports++
		reports = append(reports, ReturnReport{Key: p.key, Left: p.due.Sub(now)})
		if times == 0 && len(t.repeated) < maxPromises {
			t.repeated = append(t.repeated, p.key)
		}
	}
	return reports, keys
}

// Merge applies the reports of another entry, which arrive with a delay. Of two times for one
// request the later one is in force, so that an old report reverts nothing. A lost or late report
// costs the caller its precedence and nothing else.
func (r *Returns) Merge(now time.Time, delay time.Duration, reports []ReturnReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		p := r.promises.find(report.Key)
		switch {
		case report.Kept:
			if p != nil && !p.claimed {
				p.kept = true
			}
			continue
		case report.Left < 0 || report.Left > maxReportedWait:
			continue
		}
		due := now.Add(report.Left - delay)
		if now.Sub(due) > returnGrace || p != nil && !p.supersededBy(due) {
			continue
		}
		r.share.count(now, false)
		r.promises.put(now, report.Key, due, false)
	}
}

// SetEntries sets the number of entries among which the capacity is divided.
func (r *Returns) SetEntries(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.entries = max(n, 1)
}

// returnShare estimates this entry's share of all refusals, and so of the capacity that may be
// promised. Entries that get more callers than others refuse more.
type returnShare struct {
	entries       int
	own, reported float64
	countedAt     time.Time
}

func (s *returnShare) decay(now time.Time) {
	if passed := now.Sub(s.countedAt); passed > 0 {
		factor := math.Exp(-passed.Seconds() / shareWindow.Seconds())
		s.own, s.reported, s.countedAt = s.own*factor, s.reported*factor, now
	}
}

// count counts a refusal.
func (s *returnShare) count(now time.Time, own bool) {
	s.decay(now)
	if own {
		s.own++
	} else {
		s.reported++
	}
}

// of returns the share, above 0 and at most 1.
func (s *returnShare) of(now time.Time) float64 {
	s.decay(now)
	return (s.own + sharePrior) / (s.own + s.reported + sharePrior*float64(s.entries))
}

// promiseHeap is a heap of promises by the time that they are due. It implements heap.Interface.
type promiseHeap []*promise

func (h promiseHeap) Len() int           { return len(h) }
func (h promiseHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h promiseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a promise; called by package heap only.
func (h *promiseHeap) Push(x any) {
	added := x.(*promise)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop removes the last promise; called by package heap only.
func (h *promiseHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
