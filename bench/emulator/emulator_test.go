package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// The site of most tests: 21 engines and four entries, where the mix of short and long prompts
// changes every ten seconds, as on a user's site.
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

// changingMix is a load whose mix changes from the usual one to mostly long prompts, to short
// ones and back to long ones.
func changingMix(seed uint64) *Config {
	return &Config{
		Seed: seed, Entries: testEntryCount, Engines: testEngineCount, Engine: testEngine(), Kinds: testKinds(), Duration: 33 * time.Second,
		LoadChanges: []LoadChange{{2 * time.Second, []float64{0.39, 1.3, 2.7}}, {12 * time.Second, []float64{1.8, 0.5, 0.05}}, {22 * time.Second, []float64{0.39, 1.3, 2.7}}},
	}
}

// simulateSeeds sums the results of seedCount runs with different seeds.
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

// seedCount is the number of runs that a test sums.
const seedCount = 6

// Guards against pauses of over 250 ms in short streams, and first tokens of long prompts after
// seconds, when the mix changes as in changingMix. Each cause was seen with its mechanism
// removed: entries do not know what memory others use (0.75 of long prompts on time); short
// prompts run on engines for long ones (0.75 of short ones on time); long prompts are not queued
// while enough prefill is pending at the engines (0.76 of short ones); prompts that would delay
// others are not refused (0.73 of long ones); parts of medium prompts run on engines for short
// ones (0.809 of short ones).
func TestTargetsAreMetAsTheLoadMixChanges(t *testing.T) {
	is := is.New(t)
	short, medium, long := simulateSeeds(t, changingMix)
	is.True(short.OnTimeShare() > 0.82)
	is.True(medium.OnTimeShare() > 0.92)
	is.True(long.OnTimeShare() > 0.78)
}

// largeLongPrompts is a load in which a third of the long prompts need more memory than one
// engine has.
func largeLongPrompts(seed uint64) *Config {
	c := changingMix(seed)
	c.LoadChanges = nil
	c.Kinds[2].MeanTokens, c.Kinds[2].RequestsPerSecond = 170_000, 1.5
	return c
}

// Guards against pauses of short streams whenever a prompt arrives that needs more memory than
// one engine has. Its parts were prefilled on all engines (0.51 of short prompts on time).
func TestShortStreamsAreNotDelayedByPromptsLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	short, _, long := simulateSeeds(t, largeLongPrompts)
	is.True(short.OnTimeShare() > 0.9)
	is.True(long.OnTimeShare() > 0.85)
}

// largeSite is a load on 69 engines behind 24 entries whose mix changes from long prompts to
// short ones. The mean long prompt needs as much memory as one engine has.
func largeSite(seed uint64) *Config {
	c := &Config{Seed: seed, Entries: 24, Engines: 69, Engine: testEngine(), Kinds: testKinds(), Duration: 20 * time.Second}
	c.Engine.Slots, c.Engine.KVCacheTokens, c.Engine.Stride = 12, 197_200, 48
	short, medium, long := &c.Kinds[0], &c.Kinds[1], &c.Kinds[2]
	short.RequestsPerSecond, medium.RequestsPerSecond, long.RequestsPerSecond = 115, 7.8, 4.8
	long.MeanTokens, long.Target = 190_000, 3*time.Second
	c.LoadChanges = []LoadChange{{time.Second, []float64{0.36, 1.3, 2.7}}, {10 * time.Second, []float64{2.5, 0.5, 0.05}}}
	return c
}

// Guards against late first events of most short prompts after the mix has changed to them,
// while long prompts queue at their entries for their whole target and engines are idle half of
// the time. It happens when prompts that need over half of an engine's memory are sent to
// engines where two such prompts decode, and the largest prompts start before shorter ones. Each
// cause was seen with its fix removed. Without a reservation for such prompts they waited at
// their engine, and all their parts at helpers counted as pending prefill for three to six
// seconds (0.599 of short prompts on time, 0.911 of medium ones). When all
// prompts started below the same limit on pending prefill, whatever their own prefill, 0.755 of
// long and 0.701 of short ones were on time; with neither fix, 0.488 of short, 0.867 of medium
// and 0.625 of long ones. Short prompts of several entries also met in one pass of an engine when
// entries drew anew, for each prompt, the engines that they compared (0.764 of short ones).
func TestPromptsAsLargeAsAnEngineDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	short, medium, long := simulateSeeds(t, largeSite)
	is.True(short.OnTimeShare() > 0.78)
	is.True(medium.OnTimeShare() > 0.92)
	is.True(long.OnTimeShare() > 0.79)
	is.True(10*long.LargestServed > 2*long.Largest) // more than a fifth of the longest tenth is served
}

// slowEngines is a load with a constant mix, during which a fifth and later a seventh of the
// engines are slow for a while.
func slowEngines(seed uint64) *Config {
	c := changingMix(seed)
	c.LoadChanges = nil
	c.Slowdowns = []Slowdown{{4 * time.Second, 12 * time.Second, 4, 3}, {18 * time.Second, 28 * time.Second, 3, 5}}
	c.SlowdownKnownAfter = 600 * time.Millisecond
	return c
}

// Guards against half of the long prompts being late while a few engines are slow. No entry knew
// which engines were slow, and every prompt in parts waited for them (0.48 on time).
func TestSlowEnginesDoNotMakeLongPromptsLate(t *testing.T) {
	is := is.New(t)
	_, _, long := simulateSeeds(t, slowEngines)
	is.True(long.OnTimeShare() > 0.66)
}

// The same seed gives the same results, and every request has exactly one outcome.
func TestSimulationIsDeterministicAndEveryRequestEndsOnce(t *testing.T) {
	is := is.New(t)
	first, second := Simulate(changingMix(7)), Simulate(changingMix(7))
	is.Equal(first, second)
	for _, r := range first {
		is.Equal(r.Requests, r.OnTime+r.LateFirst+r.LatePause+r.Refused)
	}
}

// highLoad is a load that keeps the engines for long prompts busy most of the time: 65 engines
// behind 22 entries, a mix that changes from long prompts to short ones and back, and prompts so
// long that prefilling a seventeenth of one takes longer than most streams may pause. load
// multiplies the arrival rate of all kinds.
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
				{Name: "medium", MeanTokens: 45_000, Spread: 0.5, MaxTokens: 110_000, Events: 16, RequestsPerSecond: 7.2 * load, Target: 1500 * time.Millisecond, Deadline: 10 * time.Second, MaxPause: 800 * time.Millisecond},
				{Name: "long", MeanTokens: 260_000, Spread: 0.55, MaxTokens: 900_000, Events: 13, RequestsPerSecond: 1.8 * load, Target: 4 * time.Second, Deadline: 15 * time.Second, MaxPause: 1200 * time.Millisecond},
			},
			LoadChanges: []LoadChange{{2 * time.Second, []float64{0.38, 1.3, 2.8}}, {12 * time.Second, []float64{2.4, 0.5, 0.05}}, {23 * time.Second, []float64{0.33, 1.3, 2.6}}},
		}
	}
}

// Guards against refusing most of the largest tenth of the long prompts while shorter ones are
// served.
func TestTheLargestPromptsAreServedBesideOthers(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			_, _, long := simulateSeeds(t, highLoad(load))
			served := float64(long.Requests-long.Refused) / float64(long.Requests)
			largest := float64(long.LargestServed) / float64(long.Largest)
			t.Logf("served: %.3f of all, %.3f of the largest tenth", served, largest)
			is.True(largest >= served/2)
		})
	}
}

// Guards against sending long prompts that can only be late into a burst of short ones.
func TestUnmeetableLongPromptsDoNotDelayABurstOfShortOnes(t *testing.T) {
	is := is.New(t)
	short, _, long := simulateSeeds(t, highLoad(1))
	is.True(short.OnTimeShare() > 0.75)
	is.True(long.LateFirst*20 < long.Requests) // refused in time rather than late
}
