package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// unevenEntries is a load of ten entries, each of which can serve 50 requests a second and gets 25. After two
// seconds three of them are short of processor time.
func unevenEntries(seed uint64, rateFactor, workFactor float64) *EntriesConfig {
	return &EntriesConfig{
		Seed: seed, Entries: 10, Cores: 0.1, RequestsPerSecond: 25, Start: 2 * time.Second, Duration: 17 * time.Second,
		Affected: 3, RateFactor: rateFactor, WorkFactor: workFactor,
	}
}

// simulateEntries sums the results of three seeds by rank, and over all ranks.
func simulateEntries(t *testing.T, name string, refusal func(cores float64) EntryRefusal, rateFactor, workFactor float64) (ranks [len(EntryRanks)]EntriesResult, all EntriesResult) {
	t.Helper()
	add := func(to *EntriesResult, r EntriesResult) {
		to.Requests, to.OnTime, to.Unserved, to.Refusals = to.Requests+r.Requests, to.OnTime+r.OnTime, to.Unserved+r.Unserved, to.Refusals+r.Refusals
	}
	for seed := range uint64(3) {
		config := unevenEntries(seed+1, rateFactor, workFactor)
		config.Refusal = refusal
		for i, r := range SimulateEntries(config) {
			add(&ranks[i], r)
			add(&all, r)
		}
	}
	t.Logf("%-9s on time %.3f (by rank %.3f %.3f %.3f), unserved %.3f, refusals %d of %d requests", name, all.OnTimeShare(), ranks[0].OnTimeShare(), ranks[1].OnTimeShare(), ranks[2].OnTimeShare(), float64(all.Unserved)/float64(all.Requests), all.Refusals, all.Requests)
	return ranks, all
}

// Guards against entries that serve all their callers late while others have spare capacity: where the callers of three
// entries triple, and where three entries become six times slower. The step design is the comparison of
// docs/design/uneven-load.md.
func TestCallersOfAFullEntryAreServedByOthers(t *testing.T) {
	for name, factors := range map[string][2]float64{"callers triple": {3, 1}, "six times slower": {1, 6}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, none := simulateEntries(t, "none", nil, factors[0], factors[1])
			ranks, product := simulateEntries(t, "pressure", NewPressureRefusal, factors[0], factors[1])
			_, step := simulateEntries(t, "step", NewStepRefusal, factors[0], factors[1])
			is.True(product.OnTimeShare() > none.OnTimeShare()+0.05)
			is.True(product.OnTimeShare() > step.OnTimeShare())
			is.True(ranks[0].OnTimeShare() > ranks[2].OnTimeShare()-0.02)
			is.True(ranks[0].Unserved < ranks[2].Unserved)
			is.True(float64(product.Unserved) < 0.1*float64(product.Requests))
		})
	}
}

// Guards against an entry that refuses requests although it has capacity.
func TestEntriesWithCapacityRefuseNothing(t *testing.T) {
	is := is.New(t)
	_, none := simulateEntries(t, "none", nil, 1, 1)
	_, product := simulateEntries(t, "pressure", NewPressureRefusal, 1, 1)
	is.Equal(product.Refusals, 0)
	is.Equal(product.OnTime, none.OnTime)
}
