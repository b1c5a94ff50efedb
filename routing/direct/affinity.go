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
	// awayCost is what another entry's engine costs a short prompt more: about what two
	// prompts take that meet in a pass. More keeps an entry that gets many times as many
	// callers as another from engines that are free.
	awayCost = 60 * time.Millisecond
	// awayDrawn is how many of other entries' engines are weighed.
	awayDrawn = 1
	// otherDrawn is how many of the engines for long prompts are weighed: with one, short
	// prompts would miss those that are idle in a rush of them.
	otherDrawn = 4
	// leastDrawn are weighed by an entry that has fewer engines of its own.
	leastDrawn = 2
)

// rank says which part of the engines an entry prefers: its number among the entries in the
// order of their names. Entries that disagree about it for a moment prefer the same engines
// and nothing else. One that does not know yet, as many do that start at once, prefers none.
type rank struct{ number, of int }

// prefers tells whether an engine, by its position among so many, is one of the entry's own.
// Engines are dealt out in turn: by hashes one entry of four might have a single engine of
// twelve and another one five. Where there are fewer engines than entries several have one.
func (r rank) prefers(position, engines int) bool {
	switch {
	case r.of == 0:
		return false
	case engines < r.of:
		return position == r.number%engines
	}
	return position%r.of == r.number
}

// drawn are the engines that a short prompt is weighed against.
type drawn struct {
	// own are engines for short prompts that this entry prefers, away others for short
	// prompts, other those for long ones.
	own, away, other []*directory.EndpointState
}

// draw takes of the engines for short prompts this entry's own and a few of the others', and
// a few of those for long ones. What is not drawn need not be scored.
func (p *Policy) draw(short, long []*directory.EndpointState) drawn {
	var d drawn
	for _, e := range short {
		if p.ledger.rank.prefers(e.Position, len(short)) {
			d.own = append(d.own, e)
		} else {
			d.away = append(d.away, e)
		}
	}
	d.away = p.sample(d.away, max(awayDrawn, leastDrawn-len(d.own)))
	d.other = p.sample(slices.Clone(long), otherDrawn)
	return d
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
