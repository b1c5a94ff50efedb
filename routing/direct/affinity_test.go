package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// policyWithRank returns the policy of an entry that knows its rank.
func policyWithRank(index, count int) *Policy {
	p := newPolicy(uint64(index))
	p.tracker.SetEntryCount(count)
	p.tracker.SetRank(index, count)
	return p
}

// Guards against short prompts of one entry sharing engines under low load. When engines
// were assigned to entries by hash, one of four entries got a single engine of twelve,
// because hashing divides a small number of engines unevenly.
func TestEnginesAreDividedEvenly(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ entries, engines int }{{1, 5}, {4, 12}, {7, 60}, {24, 24}, {24, 7}} {
		own := make([]int, c.entries)
		preferring := make([]int, c.engines)
		for index := range c.entries {
			for position := range c.engines {
				if (rank{index, c.entries}).prefers(position, c.engines) {
					own[index]++
					preferring[position]++
				}
			}
		}
		is.True(slices.Max(own)-slices.Min(own) <= 1)
		is.True(slices.Min(own) >= 1) // each entry has at least one
		is.True(slices.Max(preferring)-slices.Min(preferring) <= 1)
		is.True(slices.Min(preferring) >= 1) // each engine belongs to some entry
	}
}

// Guards against a fifth of the short prompts missing their first-token target at a high
// request rate while all engines have free slots. Before entries learn of each other's
// requests, several send to the engine that looks least loaded in their common view, and
// three prompts share a pass. This happened when entries scored all engines, or a new
// random sample for each prompt.
func TestPromptsOfSeveralEntriesDoNotShareAnEngine(t *testing.T) {
	is := is.New(t)
	const entries, engines, each = 4, 60, 5
	list := endpoints(engines)
	placed := map[string]int{}
	for index := range entries {
		p := policyWithRank(index, entries)
		p.tracker.ReplacePeerLoad(testNow, "x", []Demand{{Service: "m", ShortInFlight: 400}}, nil)
		for range each {
			plan := p.Place(testNow, prompt(3000), list)
			p.tracker.Begin(testNow, plan)
			placed[plan.Endpoint.ID]++
		}
	}
	is.Equal(len(placed), entries*each)
}

// Guards against an entry that gets most of the callers making prompts wait while other
// entries' engines are idle, as a fixed division of the engines among entries would.
func TestABusyEntryUsesTheEnginesOfOthers(t *testing.T) {
	is := is.New(t)
	const entries, engines = 4, 24
	list := endpoints(engines)
	p := policyWithRank(1, entries)
	p.tracker.ReplacePeerLoad(testNow, "x", []Demand{{Service: "m", ShortInFlight: 400}}, nil)
	own, others := 0, 0
	for range 200 {
		plan := p.Place(testNow, prompt(3000), list)
		p.tracker.Begin(testNow, plan)
		if p.tracker.rank.prefers(plan.Endpoint.Position, engines) {
			own++
			continue
		}
		is.True(own > 0) // its own engines are used first
		others++
	}
	is.True(others > 100) // three quarters of the engines belong to other entries
}

// Entries that do not know each other yet, for example after all started at once, spread
// their requests at random and add no cost for engines of other entries.
func TestAnEntryThatKnowsNoOtherPrefersNoEngine(t *testing.T) {
	is := is.New(t)
	placed := map[string]bool{}
	for n := range 40 {
		p := newPolicy(uint64(n))
		plan := p.Place(testNow, prompt(3000), endpoints(60))
		is.True(plan.Cost < otherEntryCost)
		placed[plan.Endpoint.ID] = true
	}
	is.True(len(placed) > 15)
}

func BenchmarkPlaceShortPrompt(b *testing.B) {
	for _, engines := range []int{21, 69, 400} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p, list := policyWithRank(3, 24), endpoints(engines)
			r := prompt(3000)
			for b.Loop() {
				p.Place(testNow.Add(time.Second), r, list)
			}
		})
	}
}
