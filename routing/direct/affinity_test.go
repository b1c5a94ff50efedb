package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// policyWithRank is an entry's policy that knows its rank.
func policyWithRank(index, count int) *Policy {
	p := newPolicy(uint64(index))
	p.tracker.SetEntryCount(count)
	p.tracker.SetRank(index, count)
	return p
}

// Symptom: on a quiet day short prompts of one entry meet on its engines. Sequence: engines
// belong to entries by their hashes, and one of four entries has a single one of twelve.
// Cause: a division by chance is uneven where engines are few.
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
		is.True(slices.Min(own) >= 1) // each entry has one
		is.True(slices.Max(preferring)-slices.Min(preferring) <= 1)
		is.True(slices.Min(preferring) >= 1) // each engine is some entry's
	}
}

// Symptom: of short prompts that come at a high rate a fifth is late by its first event
// though all engines have slots free. Sequence: in the time until entries hear of each other,
// several send to the engine that has the least to do by the view that they share; three
// prompts meet in one pass. Cause: they weighed all engines, or some drawn anew for each
// prompt.
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

// Symptom, were it there: an entry that gets most of the callers lets prompts wait while the
// engines of others are idle. Cause: a part of the engines for each entry, whatever comes.
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
		is.True(own > 0) // its own come first
		others++
	}
	is.True(others > 100) // three quarters of the engines are others'
}

// Entries that do not know each other yet, as after a start of all at once, spread what they
// send by chance and charge no engine for being another's.
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
