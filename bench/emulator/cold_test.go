package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/routing/direct"
)

// warmingSite is a load of very short prompts, of which a warm engine serves far more than a cold one
// tolerates, on 60 engines for each 25 entries. Nine tenths of these are cold from second 3 to 9; half become
// cold again at second 12. Meanwhile callers ask for more than the cold engines tolerate.
func warmingSite(seed uint64, entries int, rule direct.ColdRule) *Config {
	c := &Config{Seed: seed, Entries: entries, Engines: max(entries*60/25, 12), Engine: testEngine(), Duration: 16 * time.Second}
	c.Kinds = []Kind{{Name: "short", MeanTokens: 600, Spread: 0.5, MaxTokens: 2000, Events: 2, RequestsPerSecond: 5 * float64(c.Engines), Target: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond}}
	c.LoadChanges = []LoadChange{{4 * time.Second, []float64{10}}, {7 * time.Second, []float64{1}}, {12 * time.Second, []float64{6}}, {14 * time.Second, []float64{1}}}
	c.Warming = &Warming{
		Time: 6 * time.Second, PerSecond: 32, Overshoot: 1.5, Tolerance: 5, Rule: rule,
		WarmUps: []WarmUp{
			{From: 3 * time.Second, To: 9 * time.Second, Engines: c.Engines * 9 / 10, DemandFrom: 4500 * time.Millisecond, DemandTo: 7 * time.Second},
			{From: 12 * time.Second, To: 14 * time.Second, Engines: c.Engines / 2},
		},
	}
	if entries > 100 {
		c.HeartbeatInterval = 300 * time.Millisecond
	}
	return c
}

// warmingDisturbances are what happens to entries beside the warm-ups.
func warmingDisturbances(entries int) map[string][]Disturbance {
	third := max(entries/3, 1)
	return map[string][]Disturbance{
		"none": nil, "a third cut off": {{time.Second, 30 * time.Second, third, true}}, "a third restart": {{2 * time.Second, 4 * time.Second, third, false}},
	}
}

// Guards against entries that together send a cold engine more than it tolerates, and against shares that
// leave a cold engine idle while there is demand. With -v it logs the figures of several rules.
func TestColdEnginesGetWhatTheyBear(t *testing.T) {
	entryCounts := []int{4, 25}
	if testing.Verbose() {
		entryCounts = append(entryCounts, 68, 300)
	}
	rules := map[string]direct.ColdRule{"cold or unconfirmed": direct.ColdOrUnconfirmed, "known to be cold": direct.ColdOnly, "always": direct.ColdAlways, "none": direct.ColdNever}
	for _, entries := range entryCounts {
		for _, name := range []string{"none", "a third cut off", "a third restart"} {
			for _, rule := range []string{"cold or unconfirmed", "known to be cold", "always", "none"} {
				if !testing.Verbose() && rule != "cold or unconfirmed" {
					continue
				}
				t.Run(fmt.Sprintf("%d entries, %s, rule %s", entries, name, rule), func(t *testing.T) {
					config := warmingSite(1, entries, rules[rule])
					config.Warming.Disturbances = warmingDisturbances(entries)[name]
					results, statements := SimulateStatements(config)
					w := statements.Warming
					used := float64(w.Sent) / w.Borne
					t.Logf("| %d entries, %s | %s | %.2f | %.2f | %.3f | %.3f |", entries, name, rule, w.Worst, used, results[0].OnTimeShare(), refusedShare(results[0]))
					if rule == "cold or unconfirmed" {
						is.New(t).True(w.Worst <= 1)
						is.New(t).True(used > 0.5) // a restarted third has a small part for a few seconds
					}
				})
			}
		}
	}
}

func refusedShare(r Result) float64 { return float64(r.Refused) / float64(max(r.Requests, 1)) }

// Guards against warm-ups that change what a service gets for which none is configured, although its
// endpoints say that they are cold.
func TestAServiceWithoutAWarmUpIsPlacedAsBefore(t *testing.T) {
	config := warmingSite(2, 4, direct.ColdOrUnconfirmed)
	config.Warming.Time, config.Warming.PerSecond = 0, 0
	without := warmingSite(2, 4, direct.ColdNever)
	without.Warming = nil
	is.New(t).Equal(Simulate(config), Simulate(without))
}
