// Package verdict holds what nodes keep in a shared store of a cause of crashes (a request, or a part of prompts) that
// they refuse, for nodes that start while no other runs. Several nodes write the same verdict, and a write may be
// carried out late, after the one that withdraws it. Therefore verdicts merge: a crash is identified by the endpoint's
// incarnation, of which there is never another one, and a crash that was cancelled never counts again. Neither the order of
// writes nor the clocks of their writers decide whether a verdict stands.
// The package does no I/O and reads no clock.
package verdict

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashes and maxCancelled bound what is kept of one cause, the latest crashes and cancellations.
	maxCrashes   = 24
	maxCancelled = 2 * maxCrashes
)

// Crash is the crash of an endpoint's incarnation, given by its hash.
type Crash struct {
	Endpoint uint32
	// Request is a hash of a request that was in flight there; 0 if the cause is the request itself.
	Request uint32
	// Age is how long ago the crash was.
	Age time.Duration
}

// Verdict is what is known of one cause.
type Verdict struct {
	// Position is the smallest index that a part has had in prompts; 0 for other causes.
	Position uint8
	// Crashes are those that count, the oldest first.
	Crashes []Crash
	// Cancelled identifies the crashes that count no longer, the latest cancellations last.
	Cancelled []uint32
	// Trials is how many requests nodes have claimed the right to send, to find out whether the verdict is right.
	Trials int
	// Confirmed is set once such a request, or an earlier one sent for that purpose, has ended in a crash.
	Confirmed bool
}

// Later returns the verdict as it is some time later.
func (v Verdict) Later(by time.Duration) Verdict {
	v.Crashes = slices.Clone(v.Crashes)
	for i := range v.Crashes {
		v.Crashes[i].Age += by
	}
	return v
}

// Merge returns what both verdicts together say. stands returns whether a verdict's crashes suffice; trials of a
// verdict that does not stand any more do not count for a later one.
func Merge(a, b Verdict, stands func(crashes []Crash) bool) Verdict {
	merged := Verdict{Cancelled: MergeCancelled(a.Cancelled, b.Cancelled)}
	merged.Crashes = mergeCrashes(a.Crashes, b.Crashes, merged.Cancelled)
	switch {
	case len(merged.Crashes) == 0: // it begins anew with the next crash
	case len(a.Crashes) == 0:
		merged.Position = b.Position
	case len(b.Crashes) == 0:
		merged.Position = a.Position
	default:
		merged.Position = min(a.Position, b.Position)
	}
	for _, v := range []Verdict{a, b} {
		if stands(mergeCrashes(v.Crashes, nil, merged.Cancelled)) {
			merged.Trials, merged.Confirmed = max(merged.Trials, v.Trials), merged.Confirmed || v.Confirmed
		}
	}
	return merged
}

// mergeCrashes returns the crashes of both lists that are not cancelled, each incarnation's once.
func mergeCrashes(a, b []Crash, cancelled []uint32) []Crash {
	var merged []Crash
	for _, c := range slices.Concat(a, b) {
		known := slices.IndexFunc(merged, func(k Crash) bool { return k.Endpoint == c.Endpoint })
		switch {
		case slices.Contains(cancelled, c.Endpoint):
		case known < 0:
			merged = append(merged, c)
		default:
			merged[known].Request, merged[known].Age = min(merged[known].Request, c.Request), max(merged[known].Age, c.Age)
		}
	}
	slices.SortStableFunc(merged, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return merged[max(len(merged)-maxCrashes, 0):]
}

// MergeCancelled adds cancelled crashes to a list of them, the latest last, and returns the list.
func MergeCancelled(known, added []uint32) []uint32 {
	merged := slices.Clone(known)
	for _, endpoint := range added {
		if !slices.Contains(merged, endpoint) {
			merged = append(merged, endpoint)
		}
	}
	return merged[max(len(merged)-maxCancelled, 0):]
}
