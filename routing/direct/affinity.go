package direct

import (
	"slices"
	"time"

	"aspenyard.example/directory"
)

// Entries that see the same loads send to the same engines until they learn of each other's
// requests. Three prompts that an engine prefills in one pass miss their targets, however
// little it had to do before. Each entry therefore prefers a subset of the engines: it
// knows at once what it sends there itself, and other entries seldom send there. Requests
// that its own engines cannot take go to an engine of another entry, picked at random, if
// that is cheaper by more than otherEntryCost. Compared with sampling a few engines anew
// for each prompt, more short prompts meet their targets.
const (
	// otherEntryCost is added to the cost of another entry's engine for a short prompt. It
	// is about the time of two prompts prefilled in one pass. A higher cost would keep an
	// entry that gets many times as many callers as another away from free engines.
	otherEntryCost = 60 * time.Millisecond
	// otherEntrySample is the number of other entries' engines that are scored.
	otherEntrySample = 1
	// longEngineSample is the number of engines for long prompts that are scored. With only
	// one, short prompts would miss the idle ones during a burst of short prompts.
	longEngineSample = 4
	// minSample is the least number of engines for short prompts that are scored when the
	// entry has fewer of its own.
	minSample = 2
)

// rank is an entry's index among all entries in the order of their names, and their count.
// It determines which engines the entry prefers. When entries briefly disagree about it,
// they prefer the same engines; nothing else goes wrong. An entry that does not know its
// rank yet, as when many start at once, has a count of 0 and prefers none.
type rank struct{ index, count int }

// prefers reports whether an engine is one of the entry's own, by its position among the
// given number of engines.
// Engines are assigned round-robin: by hashing, one of four entries might get a single
// engine of twelve and another one five. With fewer engines than entries, several entries
// share one.
func (r rank) prefers(position, engines int) bool {
	switch {
	case r.count == 0:
		return false
	case engines < r.count:
		return position == r.index%engines
	}
	return position%r.count == r.index
}

// engineSample holds the engines that are scored for a short prompt.
type engineSample struct {
	// own are engines for short prompts that this entry prefers, otherEntries are further
	// engines for short prompts, longEngines are engines for long prompts.
	own, otherEntries, longEngines []*directory.EndpointState
}

// sampleEngines returns this entry's own engines for short prompts, a few of the other
// entries' and a few of those for long prompts. Engines that are not sampled need not be
// scored.
func (p *Policy) sampleEngines(short, long []*directory.EndpointState) engineSample {
	var sample engineSample
	for _, e := range short {
		if p.tracker.rank.prefers(e.Position, len(short)) {
			sample.own = append(sample.own, e)
		} else {
			sample.otherEntries = append(sample.otherEntries, e)
		}
	}
	sample.otherEntries = p.sample(sample.otherEntries, max(otherEntrySample, minSample-len(sample.own)))
	sample.longEngines = p.sample(slices.Clone(long), longEngineSample)
	return sample
}

// sample moves n random elements to the front of the list and returns them.
func (p *Policy) sample(list []*directory.EndpointState, n int) []*directory.EndpointState {
	n = min(n, len(list))
	for i := range n {
		j := i + p.rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
