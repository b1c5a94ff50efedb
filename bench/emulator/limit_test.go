package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/admission"
)

// limitedSite is a constant load of short and medium prompts on 5 engines an entry, of which some
// state a limit from second 2 on.
func limitedSite(seed uint64, entries int, limited func(engines int) int, perSecond float64) *Config {
	c := &Config{Seed: seed, Entries: entries, Engines: 5 * entries, Engine: testEngine(), Kinds: testKinds()[:2], Duration: 16 * time.Second}
	for i := range c.Kinds {
		c.Kinds[i].RequestsPerSecond *= float64(entries) / testEntryCount
	}
	c.Limits = []Limit{{From: 2 * time.Second, To: 16 * time.Second, Engines: limited(c.Engines), PerSecond: perSecond}}
	if entries > 100 {
		c.HeartbeatInterval = 300 * time.Millisecond
	}
	return c
}

// Guards against limits that many entries exceed together, and against limits that make more callers
// late than the capacity that they take away.
func TestLimitedEnginesKeepTheirLimits(t *testing.T) {
	one, tenth := func(int) int { return 1 }, func(engines int) int { return engines / 10 }
	for _, c := range []struct {
		entries   int
		limited   func(engines int) int
		perSecond float64
	}{{4, one, 1}, {4, tenth, 1}, {4, tenth, 5}, {68, one, 2}, {68, tenth, 2}} {
		t.Run(fmt.Sprintf("%d entries, %v of 100 engines, %v a second", c.entries, c.limited(100), c.perSecond), func(t *testing.T) {
			is := is.New(t)
			config := limitedSite(1, c.entries, c.limited, c.perSecond)
			results, limits := SimulateLimits(config)
			t.Logf("%+v, %+v", limits, results)
			is.True(limits.Worst <= 1)
			config.Limits = nil
			for i, without := range Simulate(config) {
				is.True(results[i].OnTimeShare() >= without.OnTimeShare()-0.05) // four fifths of the engines or more are left
			}
		})
	}
}

// Guards against a rule for how many entries share a limit that exceeds it, or that serves fewer
// callers than a single holder would. With -v it logs the figures of three rules on the same loads.
func TestHolderRules(t *testing.T) {
	all := func(engines int) int { return engines }
	rules := map[string]func(float64, int) int{
		"a few": admission.Holders, "all": func(_ float64, entries int) int { return entries }, "one": func(float64, int) int { return 1 },
	}
	for _, entries := range []int{4, 24} {
		for _, perSecond := range []float64{1, 3} {
			for _, skew := range []float64{1, 6} {
				onTime := map[string]float64{}
				for name, rule := range rules {
					config := limitedSite(1, entries, all, perSecond)
					config.Holders, config.Skew = rule, skew
					results, limits := SimulateLimits(config)
					t.Logf("%2d entries, all engines at %v a second, skew %v, holders %-5s: worst %.2f, used %.2f, on time %.3f %.3f", entries, perSecond, skew, name,
						limits.Worst, float64(limits.Sent)/limits.Allowed, results[0].OnTimeShare(), results[1].OnTimeShare())
					onTime[name] = results[0].OnTimeShare()
					if name == "a few" {
						is.New(t).True(limits.Worst <= 1)
					}
				}
				is.New(t).True(onTime["a few"] >= onTime["one"]-0.03)
			}
		}
	}
}
