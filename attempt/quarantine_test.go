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

var quarantineNow = time.Now()

func printOf(body string) Fingerprint {
	return Fingerprint{FingerprintScope("acme", "POST", "front.example", "/a", len(body)), FingerprintBody([]byte(body))}
}

// Copies have one fingerprint; another caller, path or body has another.
func TestAFingerprintNamesWhatIsAskedAndByWhom(t *testing.T) {
	is := is.New(t)
	is.Equal(printOf("a"), printOf("a"))
	is.True(printOf("a") != printOf("b"))
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
func TestTwoCrashesAreForgiven(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	is.True(q.Empty())
	for range 3 { // one life counts once
		q.RecordCrash(quarantineNow, printOf("a"), 1)
	}
	crashes, held := q.RecordCrash(quarantineNow, printOf("a"), 2)
	is.Equal(crashes, 2)
	is.True(!held)
	is.Equal(q.Remaining(quarantineNow, printOf("a")), time.Duration(0))
	_, held = q.RecordCrash(quarantineNow, printOf("a"), 3)
	is.True(held)
	is.Equal(q.Remaining(quarantineNow, printOf("a")), findingLife)
	is.Equal(q.Remaining(quarantineNow, printOf("b")), time.Duration(0)) // another request
	is.True(q.HasSuspect(printOf("a").Scope))
	is.True(!q.HasSuspect(printOf("longer").Scope))
}

// Guards against refusing a request that is asked for often and was under way at several crashes.
func TestAnAnswerClearsARequest(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	q.RecordCrash(quarantineNow, printOf("a"), 1)
	q.RecordCrash(quarantineNow, printOf("a"), 2)
	q.RecordAnswer(quarantineNow.Add(time.Second), printOf("a"))
	crashes, held := q.RecordCrash(quarantineNow.Add(2*time.Second), printOf("a"), 3)
	is.Equal(crashes, 1)
	is.True(!held)
	// what another node tells late of the time before does not count either
	is.Equal(len(q.Merge(quarantineNow.Add(2*time.Second), []Finding{{printOf("a"), 4, 2 * time.Second}, {printOf("a"), 5, 2 * time.Second}})), 0)
	is.Equal(q.Remaining(quarantineNow.Add(2*time.Second), printOf("a")), time.Duration(0))
}

// Guards against nodes that keep a finding alive by telling each other of it.
func TestFindingsEndEverywhereAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := NewQuarantine(), NewQuarantine()
	for life := range uint32(3) {
		a.RecordCrash(quarantineNow, printOf("a"), life+1)
	}
	for at := quarantineNow; at.Sub(quarantineNow) < 2*findingLife; at = at.Add(time.Minute) {
		b.Merge(at, a.Findings(at, true, 100))
		a.Merge(at, b.Findings(at, true, 100))
		is.Equal(a.Remaining(at, printOf("a")) > 0, at.Sub(quarantineNow) < findingLife)
	}
	is.True(a.Empty() && b.Empty())
}

// Guards against a metric that shows requests in quarantine after their time, on a node without peers.
func TestWhatIsCountedExpires(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	for life := range uint32(crashesToQuarantine) {
		q.RecordCrash(quarantineNow, printOf("a"), life+1)
	}
	suspects, held := q.Counts(quarantineNow.Add(findingLife - 1))
	is.Equal([]int{suspects, held}, []int{1, 1})
	suspects, held = q.Counts(quarantineNow.Add(findingLife))
	is.Equal([]int{suspects, held}, []int{0, 0})
}

// Guards against memory and messages that grow with the number of different requests that crash endpoints.
func TestManySuspectsTakeBoundedMemory(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	for life := range uint32(3) {
		q.RecordCrash(quarantineNow, printOf("kept"), life+1)
	}
	for i := range 10_000 {
		q.RecordCrash(quarantineNow.Add(time.Duration(i)), printOf(fmt.Sprint("n", i)), uint32(i+1))
	}
	suspects, held := q.Counts(quarantineNow)
	is.Equal(suspects, maxSuspects)
	is.Equal(held, 1) // what is in quarantine goes last
	told := map[Finding]bool{}
	for range maxSuspects/32 + 2 {
		list := q.Findings(quarantineNow, true, 32)
		is.Equal(len(list), 32)
		for _, f := range list {
			told[f] = true
		}
	}
	is.Equal(len(told), maxSuspects+2) // in turns, all of them
}

// What one endpoint's crash makes of the requests that were open there is told by who saw it alone.
func TestAFindingIsPassedOnOnceItIsNoSingleOne(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine()
	q.Merge(quarantineNow, []Finding{{printOf("a"), 1, 0}})
	is.Equal(len(q.Findings(quarantineNow, true, 100)), 0)
	q.RecordCrash(quarantineNow, printOf("a"), 2)
	is.Equal(len(q.Findings(quarantineNow, false, 100)), 2)
	is.Equal(len(q.Findings(quarantineNow.Add(2*freshAge), false, 100)), 0)
	is.Equal(len(q.Findings(quarantineNow.Add(2*freshAge), true, 100)), 2)
}

// Nodes that see crashes and answers and tell each other in any order, with losses, refuse a request
// only after three lives ended since its last answer, and agree once all have been heard.
func TestNodesAgreeOnWhatIsInQuarantine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*Quarantine{NewQuarantine(), NewQuarantine(), NewQuarantine()}
		requests := []Fingerprint{printOf("a"), printOf("b")}
		since := map[Fingerprint]map[uint32]bool{requests[0]: {}, requests[1]: {}}
		now, lives := quarantineNow, uint32(0)
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
