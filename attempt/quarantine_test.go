package attempt

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var quarantineStart = time.Now()

func fingerprintOf(body string) Fingerprint {
	return Fingerprint{FingerprintScope("acme", "POST", "front.example", "/a", len(body)), FingerprintBody([]byte(body))}
}

// Copies have one fingerprint; another caller, path or body has another.
func TestFingerprintIdentifiesRequestAndCaller(t *testing.T) {
	is := is.New(t)
	is.Equal(fingerprintOf("a"), fingerprintOf("a"))
	is.True(fingerprintOf("a") != fingerprintOf("b"))
	scopes := map[uint64]bool{}
	for _, s := range []struct {
		account, method, host, target string
		bytes                         int
	}{{"a", "POST", "h", "/x", 1}, {"b", "POST", "h", "/x", 1}, {"a", "GET", "h", "/x", 1}, {"a", "POST", "i", "/x", 1}, {"a", "POST", "h", "/y", 1}, {"a", "POST", "h", "/x", 2}, {"ap", "OST", "h", "/x", 1}} {
		scopes[FingerprintScope(s.account, s.method, s.host, s.target, s.bytes)] = true
	}
	is.Equal(len(scopes), 7)
}

// Guards against a request that is refused though it had nothing to do with one or two crashes.
func TestTwoCrashesDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	is.True(q.Empty())
	for range 3 { // one life counts once
		q.RecordCrash(quarantineStart, fingerprintOf("a"), 1)
	}
	crashes, held := q.RecordCrash(quarantineStart, fingerprintOf("a"), 2)
	is.Equal(crashes, 2)
	is.True(!held)
	is.Equal(q.Remaining(quarantineStart, fingerprintOf("a")), time.Duration(0))
	_, held = q.RecordCrash(quarantineStart, fingerprintOf("a"), 3)
	is.True(held)
	is.Equal(q.Remaining(quarantineStart, fingerprintOf("a")), findingTTL)
	is.Equal(q.Remaining(quarantineStart, fingerprintOf("b")), time.Duration(0)) // another request
	is.True(q.HasSuspect(fingerprintOf("a").Scope))
	is.True(!q.HasSuspect(fingerprintOf("longer").Scope))
}

// Guards against refusing a request that is asked for often and was under way at several crashes.
func TestAnswerClearsEarlierCrashes(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	q.RecordCrash(quarantineStart, fingerprintOf("a"), 1)
	q.RecordCrash(quarantineStart, fingerprintOf("a"), 2)
	q.RecordAnswer(quarantineStart.Add(time.Second), fingerprintOf("a"))
	crashes, held := q.RecordCrash(quarantineStart.Add(2*time.Second), fingerprintOf("a"), 3)
	is.Equal(crashes, 1)
	is.True(!held)
	// what another node tells late of the time before does not count either
	is.Equal(len(q.Merge(quarantineStart.Add(2*time.Second), []Finding{{fingerprintOf("a"), 4, 2 * time.Second}, {fingerprintOf("a"), 5, 2 * time.Second}})), 0)
	is.Equal(q.Remaining(quarantineStart.Add(2*time.Second), fingerprintOf("a")), time.Duration(0))
}

// Guards against nodes that keep a finding alive by telling each other of it.
func TestFindingsExpireOnAllNodesTogether(t *testing.T) {
	is := is.New(t)
	a, b := NewQuarantine(), NewQuarantine()
	for life := range uint32(3) {
		a.RecordCrash(quarantineStart, fingerprintOf("a"), life+1)
	}
	for at := quarantineStart; at.Sub(quarantineStart) < 2*findingTTL; at = at.Add(time.Minute) {
		b.Merge(at, a.Findings(at, true, 100))
		a.Merge(at, b.Findings(at, true, 100))
		is.Equal(a.Remaining(at, fingerprintOf("a")) > 0, at.Sub(quarantineStart) < findingTTL)
	}
	is.True(a.Empty() && b.Empty())
}

// Guards against a metric that shows requests in quarantine after their time, on a node without peers.
func TestCountsLeaveOutExpiredFindings(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	for life := range uint32(crashesToQuarantine) {
		q.RecordCrash(quarantineStart, fingerprintOf("a"), life+1)
	}
	suspects, held := q.Counts(quarantineStart.Add(findingTTL - 1))
	is.Equal([]int{suspects, held}, []int{1, 1})
	suspects, held = q.Counts(quarantineStart.Add(findingTTL))
	is.Equal([]int{suspects, held}, []int{0, 0})
}

// Guards against memory and messages that grow with the number of different requests that crash endpoints.
func TestManySuspectsTakeBoundedMemory(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	for life := range uint32(3) {
		q.RecordCrash(quarantineStart, fingerprintOf("kept"), life+1)
	}
	for i := range 10_000 {
		q.RecordCrash(quarantineStart.Add(time.Duration(i)), fingerprintOf(fmt.Sprint("n", i)), uint32(i+1))
	}
	suspects, held := q.Counts(quarantineStart)
	is.Equal(suspects, maxSuspects)
	is.Equal(held, 1) // what is in quarantine goes last
	told := map[Finding]bool{}
	for range maxSuspects/32 + 2 {
		list := q.Findings(quarantineStart, true, 32)
		is.Equal(len(list), 32)
		for _, f := range list {
			told[f] = true
		}
	}
	is.Equal(len(told), maxSuspects+2) // in turns, all of them
}

// What one endpoint's crash makes of the requests that were open there is told by who saw it alone.
func TestPeerFindingIsForwardedAfterSecondCrash(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	q.Merge(quarantineStart, []Finding{{fingerprintOf("a"), 1, 0}})
	is.Equal(len(q.Findings(quarantineStart, true, 100)), 0)
	q.RecordCrash(quarantineStart, fingerprintOf("a"), 2)
	is.Equal(len(q.Findings(quarantineStart, false, 100)), 2)
	is.Equal(len(q.Findings(quarantineStart.Add(2*freshFindingAge), false, 100)), 0)
	is.Equal(len(q.Findings(quarantineStart.Add(2*freshFindingAge), true, 100)), 2)
}

// Nodes that see crashes and answers and tell each other in any order, with losses, refuse a request
// only after three lives ended since its last answer, and agree once all have been heard.
func TestNodesAgreeOnQuarantine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*Quarantine{NewQuarantine(), NewQuarantine(), NewQuarantine()}
		requests := []Fingerprint{fingerprintOf("a"), fingerprintOf("b")}
		since := map[Fingerprint]map[uint32]bool{requests[0]: {}, requests[1]: {}}
		now, lives := quarantineStart, uint32(0)
		tell := func(from, to int) { nodes[to].Merge(now, nodes[from].Findings(now, true, 100)) }
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			node, request := rapid.IntRange(0, 2).Draw(t, "node"), rapid.SampledFrom(requests).Draw(t, "request")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				for i := range nodes { // an answer counts where the request is known
					tell(i, node)
				}
				nodes[node].RecordAnswer(now, request)
				clear(since[request])
			case 1, 2, 3:
				if len(since[request]) == 0 || rapid.Bool().Draw(t, "another life") {
					lives++
					since[request][lives] = true
					nodes[rapid.IntRange(0, 2).Draw(t, "witness")].RecordCrash(now, request, lives)
				}
				life := rapid.SampledFrom(slices.Sorted(maps.Keys(since[request]))).Draw(t, "life")
				nodes[node].RecordCrash(now, request, life)
			default:
				tell(node, rapid.IntRange(0, 2).Draw(t, "to"))
			}
			for i, q := range nodes {
				for _, r := range requests {
					if q.Remaining(now, r) > 0 && len(since[r]) < crashesToQuarantine && rapid.Bool().Draw(t, "heard all") {
						for j := range nodes {
							tell(j, i)
						}
						if q.Remaining(now, r) > 0 {
							t.Fatalf("node %d refuses a request with %d crashes since its answer", i, len(since[r]))
						}
					}
				}
			}
		}
		for range 3 {
			for i := range nodes {
				for j := range nodes {
					tell(i, j)
				}
			}
		}
		for _, r := range requests {
			held := nodes[0].Remaining(now, r) > 0
			if held != (len(since[r]) >= crashesToQuarantine) {
				t.Fatalf("held %v with %d crashes", held, len(since[r]))
			}
			for i, q := range nodes {
				if (q.Remaining(now, r) > 0) != held {
					t.Fatalf("node %d disagrees", i)
				}
			}
		}
	})
}

// What it costs to know a copy of a request of a megabyte.
func BenchmarkFingerprintOfAMegabyte(b *testing.B) {
	body := make([]byte, 1<<20)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintBody(body)
	}
}
