package attempt

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestActionFor(t *testing.T) {
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

// claimModel is a store with one key, an agent's table, and entries that act on what they
// last read, however old.
type claimModel struct {
	table       *Table
	incarnation uint64
	stored      *Claim
	revision    int
	views       []entryView
	runs        int
	runRequests []Reservation // of the run requests in flight, which may arrive late or twice
	attempts    int
}

// entryView is what one entry knows.
type entryView struct {
	claim           *Claim
	revision        int
	confirmedNotRun bool // the agent confirmed that the claim's run request did not run
	granted         Reservation
	reserved        bool
}

// TestClaimsRunAtMostOnce lets several entries read, reserve, claim, send run requests,
// take over and record in any order, with run requests that arrive late or twice, entries
// paused between any two steps, and the agent replaced. The request runs at most once.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &claimModel{incarnation: 1, table: NewTable(1, testLease, testRetention), views: make([]entryView, 3)}
		now := testStart
		entry := func(t *rapid.T) *entryView { return &m.views[rapid.IntRange(0, 2).Draw(t, "entry")] }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				v := entry(t)
				v.claim, v.revision, v.confirmedNotRun = m.stored, m.revision, false
			},
			"reserve": func(t *rapid.T) {
				v := entry(t)
				v.granted, v.reserved = m.table.Reserve(now), true
			},
			"ask": func(t *rapid.T) {
				v := entry(t)
				if v.claim != nil && ActionFor(v.claim, "d") == AskAgent {
					state, _ := m.table.Peek(now, v.claim.Reservation)
					v.confirmedNotRun = state == DidNotRun
				}
			},
			"claim": func(t *rapid.T) {
				v := entry(t)
				action := ActionFor(v.claim, "d")
				if v.reserved && (action == Proceed || action == AskAgent) {
					m.claim(v)
				}
			},
			"record": func(t *rapid.T) {
				v := entry(t)
				state := rapid.SampledFrom([]ClaimState{ClaimDone, ClaimNotRun, ClaimUnknown}).Draw(t, "state")
				m.record(v, state)
			},
			"deliver": func(t *rapid.T) {
				if len(m.runRequests) == 0 {
					return
				}
				r := rapid.SampledFrom(m.runRequests).Draw(t, "run request")
				if m.table.Accept(now, r) && m.table.Start(r) {
					m.runs++
				}
			},
			"replace agent": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					m.incarnation++
					m.table = NewTable(m.incarnation, testLease, testRetention)
				}
			},
			"": func(t *rapid.T) {
				if m.runs > 1 {
					t.Fatalf("the request ran %d times", m.runs)
				}
			},
		})
	})
}

// claim writes an entry's claim by compare-and-swap and then sends its run request.
func (m *claimModel) claim(v *entryView) {
	m.attempts++
	next := &Claim{Digest: "d", Attempt: string(rune('a' + m.attempts)), State: ClaimClaimed, Reservation: v.granted}
	if v.revision != m.revision || !MayReplace(m.stored, next, v.confirmedNotRun || m.stored == nil || m.stored.State == ClaimNotRun) {
		return
	}
	m.stored, m.revision = next, m.revision+1
	v.claim, v.revision, v.reserved = next, m.revision, false
	m.runRequests = append(m.runRequests, next.Reservation)
}

// record writes the state of a claim that an entry has read last.
func (m *claimModel) record(v *entryView, state ClaimState) {
	if v.claim == nil || v.revision != m.revision {
		return
	}
	next := *v.claim
	next.State = state
	if MayReplace(m.stored, &next, v.confirmedNotRun) {
		m.stored, m.revision = &next, m.revision+1
	}
}
