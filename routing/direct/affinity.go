package direct

import (
	"slices"
	"time"

	"aspenyard.example/directory"
)

// Entries that see the same loads send to the same engines until they hear of each other, and
// three prompts that meet in one pass of an engine are late whatever it had to do before.
// So each entry prefers a part of the engines: what it sends there it knows at once, and
// others seldom send there. What its own engines cannot take goes to one of another entry's,
// drawn at random, as long as that is cheaper by awayCost. It gains short prompts that are on
// time, beside a few engines drawn anew for each of them.
const (
	// otherEntryCost is what another entry's engine costs a short prompt more: about what two
	// prompts take that meet in a pass. More keeps an entry that gets many times as many
	// callers as another from engines that are free.
	otherEntryCost = 60 * time.Millisecond
	// otherEntrySample is how many of other entries' engines are weighed.
	otherEntrySample = 1
	// longEngineSample is how many of the engines for long prompts are weighed: with one, short
	// prompts would miss those that are idle in a rush of them.
	longEngineSample = 4
	// minSample are weighed by an entry that has fewer engines of its own.
	minSample = 2
)

// rank says which part of the engines an entry prefers: its number among the entries in the
// order of their names. Entries that disagree about it for a moment prefer the same engines
// and nothing else. One that does not know yet, as many do that start at once, prefers none.
type rank struct{ index, count int }

// prefers tells whether an engine, by its position among so many, is one of the entry's own.
// Engines are dealt out in turn: by hashes one entry of four might have a single engine of
// twelve and another one five. Where there are fewer engines than entries several have one.
func (r rank) prefers(position, engines int) bool {
	switch {
	case r.count == 0:
		return false
	case engines < r.count:
		return position == r.index%engines
	}
	return position%r.count == r.index
}

// engineSample are the engines that a short prompt is weighed against.
type engineSample struct {
	// own are engines for short prompts that this entry prefers, otherEntries others for short
	// prompts, longEngines those for long ones.
	own, otherEntries, longEngines []*directory.EndpointState
}

// sampleEngines takes of the engines for short prompts this entry's own and a few of the others', and
// a few of those for long ones. What is not drawn need not be scored.
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

// sample brings n at random to the front of a list and gives them.
func (p *Policy) sample(list []*directory.EndpointState, n int) []*directory.EndpointState {
	n = min(n, len(list))
	for i := range n {
		j := i + p.rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}
