package crashcause

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Nodes that observe crashes and answers and exchange findings with losses, in any order, blame the same parts in
// the end as one that observed everything itself.
func TestNodesAgreeOnTheCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		nodes := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		reference := NewTracker()
		prompts := [][]Part{{first, cause}, {first}, {first, other}, {other, cause}, {5, 6, 7}, {5}}
		now, incarnation := start, uint32(0)
		report := func(from, to int, full bool) { nodes[to].Merge(now, nodes[from].Findings(now, full, limit)) }
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			now = now.Add(momentLength / 2)
			node := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			parts := rapid.SampledFrom(prompts).Draw(t, "prompt")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if !slices.Contains(parts, cause) || rapid.IntRange(0, 9).Draw(t, "changed") == 0 {
					nodes[node].RecordAnswer(now, parts)
					reference.RecordAnswer(now, parts)
				}
			case 1, 2, 3, 4:
				incarnation++
				for range rapid.IntRange(1, 3).Draw(t, "witnesses") {
					witness, request := rapid.IntRange(0, len(nodes)-1).Draw(t, "witness"), rapid.Uint32Range(1, 20).Draw(t, "request")
					inFlight := rapid.SampledFrom(prompts).Draw(t, "in flight")
					nodes[witness].RecordCrash(now, inFlight, incarnation, request)
					reference.RecordCrash(now, inFlight, incarnation, request)
				}
			default:
				report(node, rapid.IntRange(0, len(nodes)-1).Draw(t, "to"), rapid.Bool().Draw(t, "full"))
			}
		}
		for range 4 {
			for from := range nodes {
				for to := range nodes {
					report(from, to, true)
				}
			}
		}
		for i, node := range nodes {
			if !maps.Equal(node.blamed, reference.blamed) {
				t.Fatalf("node %d blames %v; with all findings %v are blamed", i, node.blamed, reference.blamed)
			}
		}
	})
}
