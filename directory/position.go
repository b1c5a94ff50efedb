package directory

import (
	"math"
	"strconv"
)

// Era identifies a span of the store's history in which revisions only rise. A store that is restored from a
// copy begins a new era: it gives out again the revisions and leases that it has lost.
//
// The store states its era in its responses. A store that states none has era 0; if it is nevertheless found
// to have gone back, its era is Next.
type Era uint64

// unstatedBits is the number of bits of an Era that count eras which the store has not stated.
const unstatedBits = 16

// StatedEra returns the era that the store states as n.
func StatedEra(n uint64) Era { return Era(min(n, math.MaxUint64>>unstatedBits) << unstatedBits) }

// maxUnstated is the highest count of eras that the store has not stated.
const maxUnstated = 1<<unstatedBits - 1

// Next returns the era after one that the store has not stated; the same one at the highest count.
func (e Era) Next() Era { return e + Era(min(maxUnstated-e&maxUnstated, 1)) }

// Stated returns the number that the store states for the era; 0 if it states none.
func (e Era) Stated() uint64 { return uint64(e >> unstatedBits) }

// String returns the era as it appears in logs: the number that the store states, and after a dot the
// number of times that it went back without stating it.
func (e Era) String() string {
	text := strconv.FormatUint(e.Stated(), 10)
	if unstated := e & maxUnstated; unstated != 0 {
		text += "." + strconv.FormatUint(uint64(unstated), 10)
	}
	return text
}

// Position is a point of the store's history: a revision within an era. Positions of different eras have
// no order, because the same revisions stand for different writes; all comparisons between them are false.
type Position struct {
	era      Era
	revision uint64
}

// At returns the position of a revision within an era.
func At(era Era, revision uint64) Position { return Position{era, revision} }

// Era returns the era in which the position lies.
func (p Position) Era() Era { return p.era }

// Revision returns the revision without its era, for calls to the store, messages and logs.
func (p Position) Revision() uint64 { return p.revision }

// IsZero reports whether no state of the store is known at the position.
func (p Position) IsZero() bool { return p.revision == 0 }

// SameEra reports whether two positions lie in one era, so that they have an order.
func (p Position) SameEra(q Position) bool { return p.era == q.era }

// After reports whether p comes after q in one era.
func (p Position) After(q Position) bool { return p.era == q.era && p.revision > q.revision }

// AtLeast reports whether p is q or comes after it in one era.
func (p Position) AtLeast(q Position) bool { return p.era == q.era && p.revision >= q.revision }

// Later returns the later one of two positions of one era; p if they lie in different ones.
func (p Position) Later(q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// revisionBits is the number of bits of an incarnation number that are the revision.
const revisionBits = 40

// IncarnationNumber returns a number that rises with each registration of a process, also from one era to
// the next.
func (p Position) IncarnationNumber() uint64 {
	unstated := uint64(p.era & maxUnstated)
	return (p.era.Stated()+unstated)<<revisionBits | p.revision&(1<<revisionBits-1)
}

// Compare orders positions of one era for sorting; 0 for those of different eras.
func (p Position) Compare(q Position) int {
	switch {
	case p.After(q):
		return 1
	case q.After(p):
		return -1
	}
	return 0
}
