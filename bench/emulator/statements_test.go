package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// statementSite is a constant load of short and medium prompts on 5 engines an entry.
func statementSite(seed uint64, entries int) *Config {
	c := &Config{Seed: seed, Entries: entries, Engines: 5 * entries, Engine: testEngine(), Kinds: testKinds()[:2], Duration: 16 * time.Second}
	for i := range c.Kinds {
		c.Kinds[i].RequestsPerSecond *= float64(entries) / testEntryCount
	}
	return c
}

// Guards against requests to engines within the backoff that they stated to an entry, against repeats
// for which other engines are known, and against a rush when the backoffs have ended. With -v it logs
// the figures of several ways to treat a backoff on the same loads.
func TestBackoffsOfEngines(t *testing.T) {
	entryCounts := []int{4, 24}
	if testing.Verbose() {
		entryCounts = append(entryCounts, 68)
	}
	for _, entries := range entryCounts {
		shares := map[string]int{"one": 1, "a third": 5 * entries / 3, "all": 5 * entries}
		for _, share := range []string{"one", "a third", "all"} {
			ways := map[string]Refusal{"unread": {Unread: true}, "own entry": {}, "others at a cost": {Shared: true}, "others avoid it": {Avoided: true}, "no ramp": {NoRamp: true}}
			results := map[string]RefusalResult{}
			for _, way := range []string{"unread", "own entry", "others at a cost", "others avoid it", "no ramp"} {
				refusal := ways[way]
				refusal.From, refusal.To, refusal.Engines, refusal.Backoff = 3*time.Second, 9*time.Second, shares[share], 3*time.Second
				config := statementSite(1, entries)
				config.Refusals = []Refusal{refusal}
				load, statements := SimulateStatements(config)
				results[way] = statements.Refusals
				t.Logf("%2d entries, %-7s refuse, %-20s: %4d refused on arrival, %4d repeats, %3d backoffs broken, most in a second %3d; on time %.3f %.3f", entries, share, way,
					statements.Refusals.Refused, statements.Refusals.Repeats, statements.Refusals.Broken, statements.Refusals.MostInASecond, load[0].OnTimeShare(), load[1].OnTimeShare())
			}
			is := is.New(t)
			is.Equal(results["own entry"].Broken, 0)
			is.True(results["own entry"].Repeats <= results["unread"].Repeats)
		}
	}
}

// Guards against requests that end with an engine which has said in time that it leaves, while the
// store is late. With -v it logs the figures of several ways on the same loads.
func TestDeparturesOfEngines(t *testing.T) {
	entryCounts := []int{4, 24}
	if testing.Verbose() {
		entryCounts = append(entryCounts, 68)
	}
	for _, entries := range entryCounts {
		for _, end := range []struct{ delay, after time.Duration }{
			{0, 4 * time.Second}, {2 * time.Second, 6 * time.Second}, {20 * time.Second, 24 * time.Second}, {20 * time.Second, 6 * time.Second},
		} {
			cut := map[string]int{}
			ways := map[string]Departure{"store only": {Unread: true}, "own entry": {}, "all entries": {Shared: true}}
			for _, way := range []string{"store only", "own entry", "all entries"} {
				departure := ways[way]
				departure.From, departure.Interval, departure.Engines = 2*time.Second, 500*time.Millisecond, 10
				departure.StoreDelay, departure.EndsAfter = end.delay, end.after
				config := statementSite(1, entries)
				config.Departures = []Departure{departure}
				load, statements := SimulateStatements(config)
				cut[way] = statements.Departures.Cut
				t.Logf("%2d entries, store %4v late, ends after %v, %-11s: %4d sent to engines that leave, %3d cut; on time %.3f %.3f", entries, end.delay, end.after, way,
					statements.Departures.Sent, statements.Departures.Cut, load[0].OnTimeShare(), load[1].OnTimeShare())
			}
			if end.after > end.delay {
				is.New(t).Equal(cut["all entries"], 0)
			}
			is.New(t).True(cut["all entries"] <= cut["own entry"])
			is.New(t).True(cut["own entry"] <= cut["store only"])
		}
	}
}

// Guards against statements of engines that make more callers late than the capacity which they
// take away.
func TestStatementsCostLittle(t *testing.T) {
	for _, entries := range []int{4, 24} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			var with, without []Result
			for seed := range uint64(4) { // of one seed, four prompts of 240 decide
				config := statementSite(seed+1, entries)
				without = addResults(without, Simulate(config))
				config.Refusals = []Refusal{{From: 3 * time.Second, To: 9 * time.Second, Engines: entries / 4, Backoff: 3 * time.Second}}
				config.Departures = []Departure{{From: 2 * time.Second, Interval: 2 * time.Second, Engines: 2, StoreDelay: 20 * time.Second, EndsAfter: 6 * time.Second, Shared: true}}
				with = addResults(with, Simulate(config))
			}
			for i := range with {
				t.Logf("%s: on time %.3f, without statements %.3f", with[i].Kind, with[i].OnTimeShare(), without[i].OnTimeShare())
				is.New(t).True(with[i].OnTimeShare() >= without[i].OnTimeShare()-0.05)
			}
		})
	}
}

// addResults adds the results of another run to a sum, which is nil before the first.
func addResults(sum, results []Result) []Result {
	if sum == nil {
		return results
	}
	for i, r := range results {
		sum[i].Add(r)
	}
	return sum
}
