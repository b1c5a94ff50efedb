package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// Numbers of a site of 21 engines behind four entries whose mix of short and long prompts
// turns every ten seconds, as a user's does.
const (
	testEngineCount = 21
	testEntryCount  = 4
)

func testEngine() directory.Engine {
	return directory.Engine{
		Slots: 16, KVCacheTokens: 232_000, Stride: 43, ChunkTokens: 2048, StepTime: 1020 * time.Microsecond, StepTimePerRequest: 2260 * time.Nanosecond,
		StepTimePerContext: 4310 * time.Nanosecond, PrefillTokensPerSecond: 206_000, AttentionTimePerMillionPairs: 138 * time.Microsecond,
	}
}

func testKinds() []Kind {
	return []Kind{
		{Name: "short", MeanTokens: 5000, Spread: 0.9, MaxTokens: 23_800, Events: 32, RequestsPerSecond: 44.6, Target: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond},
		{Name: "medium", MeanTokens: 45_000, Spread: 0.5, MaxTokens: 110_000, Events: 19, RequestsPerSecond: 2.4, Target: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond},
		{Name: "long", MeanTokens: 133_000, Spread: 0.55, MaxTokens: 600_000, Events: 16, RequestsPerSecond: 2, Target: 2500 * time.Millisecond, MaxPause: time.Second},
	}
}

// changingMix is a load whose mix turns from the usual one to long prompts, to short ones and
// back.
func changingMix(seed uint64) *Config {
	return &Config{
		Seed: seed, Entries: testEntryCount, Engines: testEngineCount, Engine: testEngine(), Kinds: testKinds(), Duration: 33 * time.Second,
		LoadChanges: []LoadChange{{2 * time.Second, []float64{0.39, 1.3, 2.7}}, {12 * time.Second, []float64{1.8, 0.5, 0.05}}, {22 * time.Second, []float64{0.39, 1.3, 2.7}}},
	}
}

// simulateSeeds sums what callers got over seeds.
func simulateSeeds(t *testing.T, config func(seed uint64) *Config) (short, medium, long Result) {
	t.Helper()
	sums := make([]Result, 3)
	for seed := range uint64(seedCount) {
		for i, r := range Simulate(config(seed + 1)) {
			sums[i].Kind = r.Kind
			sums[i].Add(r)
		}
	}
	for _, r := range sums {
		t.Logf("%.3f on time of %+v", r.OnTimeShare(), r)
	}
	return sums[0], sums[1], sums[2]
}

// seedCount are played and summed: 33 s of requests each.
const seedCount = 6

// Symptom: on a site whose mix turns, short streams pause for over 250 ms and long prompts
// begin after seconds. Sequence: see turning. Cause, each seen with its mechanism taken
// out: entries that do not know what memory others use (0.75 of long prompts on time), short
// prompts on engines for long ones (0.75 of short ones), no waiting for engines with enough
// to prefill (0.76 of short ones), no refusal of what would hold up others (0.73 of long
// ones), parts of medium ones on engines for short ones (0.809 of short ones).
func TestTargetsAreMetAsTheLoadMixChanges(t *testing.T) {
	is := is.New(t)
	short, medium, long := simulateSeeds(t, changingMix)
	is.True(short.OnTimeShare() > 0.82)
	is.True(medium.OnTimeShare() > 0.92)
	is.True(long.OnTimeShare() > 0.78)
}

// largeLongPrompts is a load in which a third of the long prompts need more memory than one engine has.
func largeLongPrompts(seed uint64) *Config {
	c := changingMix(seed)
	c.LoadChanges = nil
	c.Kinds[2].MeanTokens, c.Kinds[2].RequestsPerSecond = 170_000, 1.5
	return c
}

// Symptom: short streams pause whenever a prompt comes that needs more memory than one
// engine has. Cause: its parts were prefilled on all engines (0.51 of short ones on time).
func TestShortStreamsAreNotDelayedByPromptsLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	short, _, long := simulateSeeds(t, largeLongPrompts)
	is.True(short.OnTimeShare() > 0.9)
	is.True(long.OnTimeShare() > 0.85)
}

// largeSite is a load on 69 engines behind 24 entries, whose mix turns from long prompts to short
// ones; the mean long prompt needs as much memory as one engine has.
func largeSite(seed uint64) *Config {
	c := &Config{Seed: seed, Entries: 24, Engines: 69, Engine: testEngine(), Kinds: testKinds(), Duration: 20 * time.Second}
	c.Engine.Slots, c.Engine.KVCacheTokens, c.Engine.Stride = 12, 197_200, 48
	short, medium, long := &c.Kinds[0], &c.Kinds[1], &c.Kinds[2]
	short.RequestsPerSecond, medium.RequestsPerSecond, long.RequestsPerSecond = 115, 7.8, 4.8
	long.MeanTokens, long.Target = 190_000, 3*time.Second
	c.LoadChanges = []LoadChange{{time.Second, []float64{0.36, 1.3, 2.7}}, {10 * time.Second, []float64{2.5, 0.5, 0.05}}}
	return c
}

// Symptom: after the mix has turned to short prompts most of these are late by their first
// event, and long ones wait at their entries for as long as their target is, while engines
// are idle half of the time. Sequence: prompts of over half of an engine's memory are sent
// to engines on which two like them decode; the largest ones begin before shorter ones. Causes,
// each seen with its change taken out: such prompts were not reserved for, so that they
// waited at their first engine and all parts that they had elsewhere counted as prefill under
// way for three to six seconds (0.599 of short ones on time, 0.911 of medium ones); all began
// under the same limit, whatever they take of it (0.755 of long ones, 0.701 of short ones).
// With neither: 0.488, 0.867 and 0.625. And short prompts of several entries met in one pass
// of an engine, as these weighed engines drawn anew for each prompt (0.764 of short ones).
func TestPromptsAsLargeAsAnEngineDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	short, medium, long := simulateSeeds(t, largeSite)
	is.True(short.OnTimeShare() > 0.78)
	is.True(medium.OnTimeShare() > 0.92)
	is.True(long.OnTimeShare() > 0.79)
	is.True(10*long.LargestServed > 2*long.Largest) // the longest tenth is not starved
}

// slowEngines is a load at a steady mix, in which a seventh or a fifth of the engines are slow
// for a while.
func slowEngines(seed uint64) *Config {
	c := changingMix(seed)
	c.LoadChanges = nil
	c.Slowdowns = []Slowdown{{4 * time.Second, 12 * time.Second, 4, 3}, {18 * time.Second, 28 * time.Second, 3, 5}}
	c.SlowdownKnownAfter = 600 * time.Millisecond
	return c
}

// Symptom: half of the long prompts are late while a few engines are slow. Cause: nobody
// knew which, and every prompt in parts waited for them (0.48 on time).
func TestSlowEnginesDoNotMakeLongPromptsLate(t *testing.T) {
	is := is.New(t)
	_, _, long := simulateSeeds(t, slowEngines)
	is.True(long.OnTimeShare() > 0.66)
}

// The same seed gives the same play, and every request ends once.
func TestSimulationIsDeterministicAndEveryRequestEndsOnce(t *testing.T) {
	is := is.New(t)
	one, two := Simulate(changingMix(7)), Simulate(changingMix(7))
	is.Equal(one, two)
	for _, r := range one {
		is.Equal(r.Asked, r.OnTime+r.LateFirst+r.LatePause+r.Refused)
	}
}

// highLoad is a load at which the engines for long prompts are in use most of the time: 65 of
// them behind 22 entries, a mix that turns from long prompts to short ones and back, and prompts
// that a seventeenth of which is longer than most streams may pause. All kinds come so many times
// as often as usual.
func highLoad(load float64) func(seed uint64) *Config {
	return func(seed uint64) *Config {
		return &Config{
			Seed: seed, Entries: 22, Engines: 65, Duration: 33 * time.Second,
			Engine: directory.Engine{
				Slots: 10, KVCacheTokens: 405_000, Stride: 53, ChunkTokens: 2048, StepTime: 1310 * time.Microsecond, StepTimePerRequest: 917 * time.Nanosecond,
				StepTimePerContext: 2130 * time.Nanosecond, PrefillTokensPerSecond: 154_000, AttentionTimePerMillionPairs: 162 * time.Microsecond,
			},
			Kinds: []Kind{
				{Name: "short", MeanTokens: 4960, Spread: 0.9, MaxTokens: 23_800, Events: 26, RequestsPerSecond: 88 * load, Target: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond},
				{Name: "medium", MeanTokens: 45_000, Spread: 0.5, MaxTokens: 110_000, Events: 16, RequestsPerSecond: 7.2 * load, Target: 1500 * time.Millisecond, MaxPause: 800 * time.Millisecond},
				{Name: "long", MeanTokens: 260_000, Spread: 0.55, MaxTokens: 900_000, Events: 13, RequestsPerSecond: 1.8 * load, Target: 4 * time.Second, MaxPause: 1200 * time.Millisecond},
			},
			LoadChanges: []LoadChange{{2 * time.Second, []float64{0.38, 1.3, 2.8}}, {12 * time.Second, []float64{2.4, 0.5, 0.05}}, {23 * time.Second, []float64{0.33, 1.3, 2.6}}},
		}
	}
}

// Guards against long prompts of which the largest tenth is refused most of the time while others are served.
func TestTheLargestPromptsAreServedBesideOthers(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			_, _, long := simulateSeeds(t, highLoad(load))
			served := float64(long.Asked-long.Refused) / float64(long.Asked)
			largest := float64(long.LargestServed) / float64(long.Largest)
			t.Logf("served: %.3f of all, %.3f of the largest tenth", served, largest)
			is.True(largest >= served/2)
		})
	}
}

// Guards against long prompts that are sent when they can only be late, into a rush of short ones.
func TestUnmeetableLongPromptsDoNotDelayABurstOfShortOnes(t *testing.T) {
	is := is.New(t)
	short, _, long := simulateSeeds(t, highLoad(1))
	is.True(short.OnTimeShare() > 0.75)
	is.True(long.LateFirst*20 < long.Asked) // refused in time rather than late
}
