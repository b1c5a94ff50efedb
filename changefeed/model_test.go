package changefeed

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"aspenyard.example/directory"
)

// Plays entries under random faults beside each other, in series and overlapping: entries that end, are
// suspended, lose the store or disagree about who is there, history that the store drops, a store that is
// restored from a copy, several changes at once, datagrams that are lost, late, doubled and out of order. No entry may count as more current
// than it is, and those that are calm and reach the store know each change within the bound.
func TestNoEntryCountsAsMoreCurrentThanItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "entries"))
		w.loss = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "loss")
		w.copies = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "copies")
		w.change()
		pick := func() *entry { return w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				for range rapid.IntRange(1, 3).Draw(t, "changes") {
					w.change()
				}
			},
			"many changes": func(t *rapid.T) {
				for range rapid.IntRange(1, 2*maxLogItems).Draw(t, "changes") {
					w.change()
				}
			},
			"pass": func(t *rapid.T) {
				w.run(w.Now() + time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms"))*time.Millisecond)
			},
			"freeze": func(t *rapid.T) {
				w.freeze(pick(), w.Now()+time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms"))*time.Millisecond)
			},
			"cut": func(t *rapid.T) {
				e := pick()
				e.cut = !e.cut
				e.calmSince = max(e.calmSince, w.Now())
			},
			"end": func(*rapid.T) { w.remove(pick()) },
			"disagree": func(t *rapid.T) {
				e := pick()
				members := e.follower.members
				e.follower.SetMembers(members[:rapid.IntRange(0, len(members)).Draw(t, "known")])
			},
			"drop history": func(*rapid.T) { w.compacted = w.storeAt().Revision() },
			"restore":      func(*rapid.T) { w.restore(rapid.IntRange(0, 30).Draw(t, "lost")) },
			"restore to the same revision": func(t *rapid.T) {
				lost := rapid.IntRange(1, 30).Draw(t, "lost")
				before := len(w.changedAt)
				w.restore(lost)
				for len(w.changedAt) < before {
					w.change()
				}
			},
			"": func(t *rapid.T) {
				w.checkBound()
				if len(w.violations) > 0 {
					t.Fatal(w.violations[0])
				}
			},
		})
	})
}

// Guards against a response that claims changes which it does not carry.
func TestResponsesCarryAllChangesOfTheirRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Log{}
		start := rapid.Uint64Range(1, 50).Draw(t, "start")
		at := func(revision uint64) directory.Position { return directory.At(0, revision) }
		l.Reset(at(start))
		l.Prove(1)
		to := start
		for range rapid.IntRange(0, 8).Draw(t, "appends") {
			next := to + rapid.Uint64Range(0, 500).Draw(t, "changes")
			l.Append(changes(at(rapid.Uint64Range(max(to, 3)-3, to).Draw(t, "overlap")), at(next)), at(next))
			to = next
		}
		after := rapid.Uint64Range(0, to+3).Draw(t, "after")
		known := after
		for _, c := range l.Respond(time.Second, at(after)) {
			if c.TooOld {
				if after >= start && to-after <= maxLogItems {
					t.Fatalf("changes after %d are kept, but refused", after)
				}
				return
			}
			if c.From != at(known) {
				t.Fatalf("chunk from %v after %d", c.From, known)
			}
			for _, i := range c.Items {
				if known++; i.At != at(known) {
					t.Fatalf("%v where revision %d is due", i.At, known)
				}
			}
			if c.Complete && c.To != at(to) || !c.Complete && c.To != at(known) {
				t.Fatalf("chunk up to %v, with changes up to %d of %d", c.To, known, to)
			}
		}
	})
}
