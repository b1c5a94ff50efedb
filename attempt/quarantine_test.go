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

// noCause says of every crash that no other cause is known.
func noCause(uint32) bool { return false }

func fingerprintOf(body string) Fingerprint {
	return Fingerprint{FingerprintScope("acme", "POST", "front.example", "/a", len(body)), FingerprintBody([]byte(body))}
}

// Copies of a request have the same fingerprint; another account, method, host, path, length or
// body has another.
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

// Guards against refusing a request that was in flight at one or two crashes without causing
// them.
func TestTwoCrashesDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(noCause)
	is.True(q.Empty())
	for range 3 { // one incarnation counts once
		q.RecordCrash(quarantineStart, fingerprintOf("a"), 1)
	}
	crashes, quarantined := q.RecordCrash(quarantineStart, fingerprintOf("a"), 2)
	is.Equal(crashes, 2)
	is.True(!quarantined)
	is.Equal(q.Remaining(quarantineStart, fingerprintOf("a")), time.Duration(0))
	_, quarantined = q.RecordCrash(quarantineStart, fingerprintOf("a"), 3)
	is.True(quarantined)
	is.Equal(q.Remaining(quarantineStart, fingerprintOf("a")), findingTTL)
	is.Equal(q.Remaining(quarantineStart, fingerprintOf("b")), time.Duration(0)) // another request
	is.True(q.HasSuspect(fingerprintOf("a").Scope))
	is.True(!q.HasSuspect(fingerprintOf("longer").Scope))
}

// Guards against refusing a request that is sent often and was in flight at several crashes.
func TestResponseClearsEarlierCrashes(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(noCause)
	q.RecordCrash(quarantineStart, fingerprintOf("a"), 1)
	q.RecordCrash(quarantineStart, fingerprintOf("a"), 2)
	q.RecordResponse(quarantineStart.Add(time.Second), fingerprintOf("a"))
	crashes, quarantined := q.RecordCrash(quarantineStart.Add(2*time.Second), fingerprintOf("a"), 3)
	is.Equal(crashes, 1)
	is.True(!quarantined)
	// Crashes before the response that another node reports late do not count either.
	is.Equal(len(q.Merge(quarantineStart.Add(2*time.Second), []Finding{{fingerprintOf("a"), 4, 2 * time.Second}, {fingerprintOf("a"), 5, 2 * time.Second}})), 0)
	is.Equal(q.Remaining(quarantineStart.Add(2*time.Second), fingerprintOf("a")), time.Duration(0))
}

// Guards against nodes that keep a finding alive by reporting it to each other.
func TestFindingsExpireOnAllNodesTogether(t *testing.T) {
	is := is.New(t)
	a, b := NewQuarantine(noCause), NewQuarantine(noCause)
	for incarnation := range uint32(3) {
		a.RecordCrash(quarantineStart, fingerprintOf("a"), incarnation+1)
	}
	for at := quarantineStart; at.Sub(quarantineStart) < 2*findingTTL; at = at.Add(time.Minute) {
		b.Merge(at, a.Findings(at, true, 100))
		a.Merge(at, b.Findings(at, true, 100))
		is.Equal(a.Remaining(at, fingerprintOf("a")) > 0, at.Sub(quarantineStart) < findingTTL)
	}
	is.True(a.Empty() && b.Empty())
}

// Guards against a metric that still counts a request after its quarantine has ended, on a node
// without peers.
func TestCountsLeaveOutExpiredFindings(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(noCause)
	for incarnation := range uint32(crashesToQuarantine) {
		q.RecordCrash(quarantineStart, fingerprintOf("a"), incarnation+1)
	}
	suspects, quarantined := q.Counts(quarantineStart.Add(findingTTL - 1))
	is.Equal([]int{suspects, quarantined}, []int{1, 1})
	suspects, quarantined = q.Counts(quarantineStart.Add(findingTTL))
	is.Equal([]int{suspects, quarantined}, []int{0, 0})
}

// Guards against memory and messages that grow with the number of different requests that crash
// endpoints.
func TestManySuspectsTakeBoundedMemory(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(noCause)
	for incarnation := range uint32(3) {
		q.RecordCrash(quarantineStart, fingerprintOf("kept"), incarnation+1)
	}
	for i := range 10_000 {
		q.RecordCrash(quarantineStart.Add(time.Duration(i)), fingerprintOf(fmt.Sprint("n", i)), uint32(i+1))
	}
	suspects, quarantined := q.Counts(quarantineStart)
	is.Equal(suspects, maxSuspects)
	is.Equal(quarantined, 1) // suspects in quarantine are evicted last
	reported := map[Finding]bool{}
	for range maxSuspects/32 + 2 {
		list := q.Findings(quarantineStart, true, 32)
		is.Equal(len(list), 32)
		for _, f := range list {
			reported[f] = true
		}
	}
	is.Equal(len(reported), maxSuspects+2) // successive reports cover all findings
}

// A single crash is reported only by the node that observed it, and forwarded by others once a
// second crash counts.
func TestPeerFindingIsForwardedAfterSecondCrash(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(noCause)
	q.Merge(quarantineStart, []Finding{{fingerprintOf("a"), 1, 0}})
	is.Equal(len(q.Findings(quarantineStart, true, 100)), 0)
	q.RecordCrash(quarantineStart, fingerprintOf("a"), 2)
	is.Equal(len(q.Findings(quarantineStart, false, 100)), 2)
	is.Equal(len(q.Findings(quarantineStart.Add(2*freshFindingAge), false, 100)), 0)
	is.Equal(len(q.Findings(quarantineStart.Add(2*freshFindingAge), true, 100)), 2)
}

// Nodes that observe crashes and responses and exchange findings in any order, with losses, refuse
// a request only after three incarnations crashed since its last response, and agree once all
// findings have arrived.
func TestNodesAgreeOnQuarantine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*Quarantine{NewQuarantine(noCause), NewQuarantine(noCause), NewQuarantine(noCause)}
		requests := []Fingerprint{fingerprintOf("a"), fingerprintOf("b")}
		crashedSince := map[Fingerprint]map[uint32]bool{requests[0]: {}, requests[1]: {}}
		now, incarnations := quarantineStart, uint32(0)
		report := func(from, to int) { nodes[to].Merge(now, nodes[from].Findings(now, true, 100)) }
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			node, request := rapid.IntRange(0, 2).Draw(t, "node"), rapid.SampledFrom(requests).Draw(t, "request")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				for i := range nodes { // a response counts on nodes that have the suspect
					report(i, node)
				}
				nodes[node].RecordResponse(now, request)
				clear(crashedSince[request])
			case 1, 2, 3:
				if len(crashedSince[request]) == 0 || rapid.Bool().Draw(t, "another incarnation") {
					incarnations++
					crashedSince[request][incarnations] = true
					nodes[rapid.IntRange(0, 2).Draw(t, "witness")].RecordCrash(now, request, incarnations)
				}
				incarnation := rapid.SampledFrom(slices.Sorted(maps.Keys(crashedSince[request]))).Draw(t, "incarnation")
				nodes[node].RecordCrash(now, request, incarnation)
			default:
				report(node, rapid.IntRange(0, 2).Draw(t, "to"))
			}
			for i, q := range nodes {
				for _, r := range requests {
					if q.Remaining(now, r) > 0 && len(crashedSince[r]) < crashesToQuarantine && rapid.Bool().Draw(t, "heard all") {
						for j := range nodes {
							report(j, i)
						}
						if q.Remaining(now, r) > 0 {
							t.Fatalf("node %d refuses a request with %d crashes since its last response", i, len(crashedSince[r]))
						}
					}
				}
			}
		}
		for range 3 {
			for i := range nodes {
				for j := range nodes {
					report(i, j)
				}
			}
		}
		for _, r := range requests {
			quarantined := nodes[0].Remaining(now, r) > 0
			if quarantined != (len(crashedSince[r]) >= crashesToQuarantine) {
				t.Fatalf("quarantined: %v with %d crashes", quarantined, len(crashedSince[r]))
			}
			for i, q := range nodes {
				if (q.Remaining(now, r) > 0) != quarantined {
					t.Fatalf("node %d disagrees on the quarantine", i)
				}
			}
		}
	})
}

// Measures the fingerprint of a request body of one megabyte.
func BenchmarkFingerprintOfAMegabyte(b *testing.B) {
	body := make([]byte, 1<<20)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintBody(body)
	}
}
