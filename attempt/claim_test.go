package attempt

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestJudge(t *testing.T) {
	cases := []struct {
		name  string
		claim *Claim
		want  ClaimAction
	}{
		{"none", nil, Proceed},
		{"other request", &Claim{Digest: "b", State: ClaimDone}, Mismatch},
		{"done", &Claim{Digest: "a", State: ClaimDone}, Replay},
		{"not run", &Claim{Digest: "a", State: ClaimNotRun}, Proceed},
		{"claimed", &Claim{Digest: "a", State: ClaimClaimed}, AskAgent},
		{"unknown", &Claim{Digest: "a", State: ClaimUnknown}, ReportUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ActionFor(c.claim, "a"), c.want)
		})
	}
}

// world is a store with one key, an agent's table, and entries that act on what
// they last read, however old.
type claimModel struct {
	table       *Table
	incarnation uint64
	stored      *Claim
	revision    int
	views       []entryView
	runs        int
	runRequests []Reservation // claimed, on their way, may arrive late or twice
	attempts    int
}

type entryView struct {
	claim           *Claim
	revision        int
	confirmedNotRun bool // the agent said that the claim's order did not run
	granted         Reservation
	reserved        bool
}

// TestClaimsRunAtMostOnce has several entries read, reserve, claim, order, take
// over and record in any order, with orders delayed and doubled, entries paused
// between any two steps, and the agent replaced. The key runs at most once.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimModel{incarnation: 1, table: NewTable(1, testLease, testRetention), views: make([]entryView, 3)}
		now := testStart
		entry := func(t *rapid.T) *entryView { return &w.views[rapid.IntRange(0, 2).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				v := entry(t)
				v.claim, v.revision, v.confirmedNotRun = w.stored, w.revision, false
			},
			"reserve": func(t *rapid.T) {
				v := entry(t)
				v.granted, v.reserved = w.table.Reserve(now), true
			},
			"ask": func(t *rapid.T) {
				v := entry(t)
				if v.claim != nil && ActionFor(v.claim, "d") == AskAgent {
					state, _ := w.table.Peek(now, v.claim.Reservation)
					v.confirmedNotRun = state == DidNotRun
				}
			},
			"claim": func(t *rapid.T) {
				v := entry(t)
				judged := ActionFor(v.claim, "d")
				if v.reserved && (judged == Proceed || judged == AskAgent) {
					w.claim(v)
				}
			},
			"record": func(t *rapid.T) {
				v := entry(t)
				state := rapid.SampledFrom([]ClaimState{ClaimDone, ClaimNotRun, ClaimUnknown}).Draw(t, "state")
				w.record(v, state)
			},
			"deliver": func(t *rapid.T) {
				if len(w.runRequests) == 0 {
					return
				}
				r := rapid.SampledFrom(w.runRequests).Draw(t, "order")
				if w.table.Accept(now, r) && w.table.Start(r) {
					w.runs++
				}
			},
			"replace agent": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					w.incarnation++
					w.table = NewTable(w.incarnation, testLease, testRetention)
				}
			},
			"": func(t *rapid.T) {
				if w.runs > 1 {
					t.Fatalf("ran %d times", w.runs)
				}
			},
		})
	})
}

// claim is an entry's compare-and-swap of its own claim; the order follows.
func (w *claimModel) claim(v *entryView) {
	w.attempts++
	next := &Claim{Digest: "d", Attempt: string(rune('a' + w.attempts)), State: ClaimClaimed, Reservation: v.granted}
	if v.revision != w.revision || !MayReplace(w.stored, next, v.confirmedNotRun || w.stored == nil || w.stored.State == ClaimNotRun) {
		return
	}
	w.stored, w.revision = next, w.revision+1
	v.claim, v.revision, v.reserved = next, w.revision, false
	w.runRequests = append(w.runRequests, next.Reservation)
}

// record writes what became of a claim, as an entry may that knows it.
func (w *claimModel) record(v *entryView, state ClaimState) {
	if v.claim == nil || v.revision != w.revision {
		return
	}
	next := *v.claim
	next.State = state
	if MayReplace(w.stored, &next, v.confirmedNotRun) {
		w.stored, w.revision = &next, w.revision+1
	}
}
