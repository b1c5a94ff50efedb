package emulator

import (
	"testing"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
)

// scarceSite is a site of 60 engines and 25 entries. Short prompts are the most urgent.
func scarceSite(seed uint64, engines int, factors []float64, accounts []Account) *Config {
	c := &Config{
		Seed: seed, Entries: 25, Engines: engines, Duration: 14 * time.Second,
		Engine: directory.Engine{
			Slots: 12, KVCacheTokens: 382_500, Stride: 52, ChunkTokens: 2048, StepTime: 925 * time.Microsecond, StepTimePerRequest: 1500 * time.Nanosecond,
			StepTimePerContext: 700 * time.Nanosecond, PrefillTokensPerSecond: 256_000, AttentionTimePerMillionPairs: 91700 * time.Nanosecond,
		},
		Kinds: []Kind{
			{Name: "short", MeanTokens: 5000, Spread: 0.9, MaxTokens: 23_800, Events: 33, RequestsPerSecond: 77, Target: 250 * time.Millisecond, MaxPause: 200 * time.Millisecond, Accounts: accounts},
			{Name: "medium", MeanTokens: 45_000, Spread: 0.5, MaxTokens: 110_000, Events: 20, RequestsPerSecond: 12, Target: 1500 * time.Millisecond, MaxPause: 500 * time.Millisecond, Priority: 1, Accounts: accounts},
			{Name: "long", MeanTokens: 300_000, Spread: 0.55, MaxTokens: 1_000_000, Events: 16, RequestsPerSecond: 2, Target: 8 * time.Second, MaxPause: 800 * time.Millisecond, Priority: 2, Accounts: accounts},
		},
	}
	c.LoadChanges = []LoadChange{{3 * time.Second, factors}}
	return c
}

func logResults(t *testing.T, name string, results []Result) {
	t.Helper()
	for _, r := range results {
		served := r.Requests - r.Refused
		t.Logf("%-22s %-6s %5d requests: on time %.3f, of the served %.3f; late first %d, late pause %d, refused %d (not admitted %d, held back %d), largest tenth served %d of %d",
			name, r.Kind, r.Requests, r.OnTimeShare(), float64(r.OnTime)/float64(max(served, 1)), r.LateFirst, r.LatePause, r.Refused, r.NotAdmitted, r.HeldBack, r.LargestServed, r.Largest)
	}
}

// With -v it logs the outcomes of scarce capacity with and without admission by priority.
func TestScarcity(t *testing.T) {
	booked := func(entry string) Admission {
		return admission.NewController(admission.DefaultControllerConfig(), entry)
	}
	for _, load := range []struct {
		name    string
		engines int
		factors []float64
	}{{"normal", 60, []float64{1, 1, 1}}, {"long and medium x3", 60, []float64{1, 3, 3.5}}, {"half the engines, x2.5", 30, []float64{2.5, 2.5, 2.5}}} {
		for name, design := range map[string]func(string) Admission{"none": nil, "booked": booked} {
			sums := make([]Result, 3)
			for seed := range uint64(2) {
				c := scarceSite(seed+1, load.engines, load.factors, nil)
				c.Admission = design
				for i, r := range Simulate(c) {
					sums[i].Kind = r.Kind
					sums[i].Add(r)
				}
			}
			logResults(t, load.name+"/"+name, sums)
		}
	}
}
