package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
)

// scarceSite is a site of 25 entries whose short prompts are the most urgent. The load changes by
// the given factors after three seconds. A large client account sends four fifths of the requests.
func scarceSite(seed uint64, engines int, factors []float64) *Config {
	c := &Config{
		Seed: seed, Entries: 25, Engines: engines, Duration: 15 * time.Second,
		Engine: directory.Engine{
			Slots: 12, KVCacheTokens: 382_500, Stride: 52, ChunkTokens: 2048, StepTime: 925 * time.Microsecond, StepTimePerRequest: 1500 * time.Nanosecond,
			StepTimePerContext: 700 * time.Nanosecond, PrefillTokensPerSecond: 256_000, AttentionTimePerMillionPairs: 91700 * time.Nanosecond,
		},
		Kinds: []Kind{
			{Name: "short", MeanTokens: 5000, Spread: 0.9, MaxTokens: 23_800, Events: 33, RequestsPerSecond: 77, Target: 250 * time.Millisecond, MaxPause: 200 * time.Millisecond},
			{Name: "medium", MeanTokens: 45_000, Spread: 0.5, MaxTokens: 110_000, Events: 20, RequestsPerSecond: 12, Target: 1500 * time.Millisecond, MaxPause: 500 * time.Millisecond, Priority: 1},
			{Name: "long", MeanTokens: 300_000, Spread: 0.55, MaxTokens: 1_000_000, Events: 16, RequestsPerSecond: 2, Target: 8 * time.Second, MaxPause: 800 * time.Millisecond, Priority: 2},
		},
		LoadChanges: []LoadChange{{3 * time.Second, factors}, {12 * time.Second, []float64{0.3, 0.1, 0}}}, // streams of the burst end while entries still report
	}
	for i := range c.Kinds {
		c.Kinds[i].Accounts = []Account{{"large", 0.8}, {"small", 0.1}, {"smaller", 0.05}, {"smallest", 0.05}}
	}
	return c
}

// booked is the product's admission.
func booked(entry string) Admission {
	return admission.NewController(admission.DefaultControllerConfig(), entry)
}

func threshold(entry string) Admission { return NewThreshold(entry) }

// simulateScarcity sums the results of a few seeds.
func simulateScarcity(t *testing.T, name string, config func(seed uint64) *Config) []Result {
	t.Helper()
	const seeds = 3
	sums := make([]Result, 3)
	for seed := range uint64(seeds) {
		for i, r := range Simulate(config(seed + 1)) {
			sums[i].Kind = r.Kind
			sums[i].Add(r)
		}
	}
	for _, r := range sums {
		t.Logf("%-9s %-6s %4d requests: on time %.3f, of the served %.3f; first late %d, pause late %d, refused %d (not admitted %d, held back %d); served %.3f, largest tenth %.3f; by account %v",
			name, r.Kind, r.Requests, r.OnTimeShare(), servedOnTime(r), r.LateFirst, r.LatePause, r.Refused, r.NotAdmitted, r.HeldBack, servedShare(r), float64(r.LargestServed)/float64(max(r.Largest, 1)), accountShares(r))
	}
	return sums
}

func servedShare(r Result) float64 {
	return float64(r.Requests-r.Refused) / float64(max(r.Requests, 1))
}

func servedOnTime(r Result) float64 {
	return float64(r.OnTime) / float64(max(r.Requests-r.Refused, 1))
}

// accountShares returns the share of each client account's requests that is served.
func accountShares(r Result) map[string]float64 {
	shares := map[string]float64{}
	for name, a := range r.Accounts {
		shares[name] = float64(int(100*float64(a.Served)/float64(max(a.Requests, 1)))) / 100
	}
	return shares
}

// halfTheEngines is a load that needs two and a half times the engines that are left.
func halfTheEngines(seed uint64) *Config { return scarceSite(seed, 30, []float64{2.5, 2.5, 2.5}) }

// longBurst is a burst of less urgent requests that need more than all engines.
func longBurst(seed uint64) *Config { return scarceSite(seed, 60, []float64{1, 3, 3.5}) }

// with returns a load with admission.
func with(config func(seed uint64) *Config, a func(entry string) Admission) func(seed uint64) *Config {
	return func(seed uint64) *Config {
		c := config(seed)
		c.Admission = a
		return c
	}
}

// simulateDesigns plays a load without admission by priority, with the product's, and with a threshold
// that lateness alone moves. With -v it logs the figures of docs/design/admission.md.
func simulateDesigns(t *testing.T, config func(seed uint64) *Config) (none, product, alternative []Result) {
	t.Helper()
	return simulateScarcity(t, "none", config), simulateScarcity(t, "booked", with(config, booked)), simulateScarcity(t, "threshold", with(config, threshold))
}

// Guards against a lack of capacity that makes all requests late together, against a large client
// account that displaces small ones, against less urgent requests that are not served at all, and
// against a design that serves more.
func TestUrgentRequestsAreOnTimeWhileCapacityIsScarce(t *testing.T) {
	is := is.New(t)
	none, results, alternative := simulateDesigns(t, halfTheEngines)
	short, medium, long := results[0], results[1], results[2]
	is.True(short.OnTimeShare() > 0.7 && short.OnTimeShare() > 3*none[0].OnTimeShare())
	is.True(servedOnTime(short) > 0.88)
	is.True(servedOnTime(medium) > 0.9)
	is.True(medium.OnTime > 0 && long.OnTime > 0)
	is.Equal(short.HeldBack, 0)
	shares := accountShares(short)
	is.True(shares["smallest"] > 0.9 && shares["smaller"] > 0.9 && shares["small"] > 0.9)
	is.True(sumOnTime(results) > sumOnTime(alternative)+0.2)
}

// Guards against a burst of less urgent requests that makes urgent ones late, and against refusing
// it while engines could serve it.
func TestABurstOfLongPromptsDoesNotDisplaceUrgentOnes(t *testing.T) {
	is := is.New(t)
	none, results, alternative := simulateDesigns(t, longBurst)
	is.True(results[0].OnTimeShare() > 0.885 && results[0].OnTimeShare() > none[0].OnTimeShare()+0.05)
	is.True(servedShare(results[0]) > 0.98)
	is.True(results[1].OnTimeShare() > 0.9)
	is.True(servedShare(results[2]) > 0.5)
	is.True(sumOnTime(results) > sumOnTime(alternative)+0.2)
}

// Half of the engines are four times as slow while the load is 1.3 times the usual one.
func slowEnginesAndLoad(seed uint64) *Config {
	c := scarceSite(seed, 60, []float64{1.3, 1.3, 1.3})
	c.Slowdowns = []Slowdown{{3 * time.Second, 12 * time.Second, 30, 4}}
	c.SlowdownKnownAfter = 600 * time.Millisecond
	return c
}

// shortBurst is a burst of urgent requests that need more than all engines.
func shortBurst(seed uint64) *Config { return scarceSite(seed, 60, []float64{5, 1, 1}) }

// Guards against admission that counts slow engines in full, and against a burst of urgent requests that
// makes all of them late.
func TestUrgentRequestsGainFromAdmissionUnderOtherLoads(t *testing.T) {
	is := is.New(t)
	none, results := simulateScarcity(t, "none", slowEnginesAndLoad), simulateScarcity(t, "booked", with(slowEnginesAndLoad, booked))
	is.True(results[0].OnTimeShare() > none[0].OnTimeShare()+0.03)
	is.True(results[1].OnTimeShare() > 0.88) // 0.863 while lateness at slow engines counted
	none, results = simulateScarcity(t, "none", shortBurst), simulateScarcity(t, "booked", with(shortBurst, booked))
	is.True(results[0].OnTimeShare() > 2*none[0].OnTimeShare())
	is.True(servedOnTime(results[0]) > 0.9)
}

// shortMemory is a burst of prompts whose streams hold more memory than the engines have, and less of their time.
func shortMemory(seed uint64) *Config {
	c := scarceSite(seed, 60, []float64{1, 3, 1})
	c.Engine.KVCacheTokens, c.Kinds[1].Events = 160_000, 80
	return c
}

// Guards against prompts that are admitted and wait for memory, or are refused while engines have it.
func TestPromptsAreOnTimeWhileMemoryIsShort(t *testing.T) {
	is := is.New(t)
	results := simulateScarcity(t, "memory", with(shortMemory, booked))
	is.True(results[0].OnTimeShare() > 0.93) // 0.922 while memory was part of the cost
	is.True(results[1].OnTimeShare() > 0.79) // 0.708
	is.True(servedOnTime(results[1]) > 0.87) // 0.856
}

// Guards against admission by priority that changes anything while capacity suffices.
func TestNothingChangesWhileCapacitySuffices(t *testing.T) {
	is := is.New(t)
	sufficient := func(seed uint64) *Config { return scarceSite(seed, 60, []float64{1, 1, 1}) }
	for seed := range uint64(3) {
		is.Equal(Simulate(with(sufficient, booked)(seed+1)), Simulate(sufficient(seed+1)))
	}
}

// sumOnTime is the sum of all kinds' shares of requests on time.
func sumOnTime(results []Result) float64 {
	sum := 0.0
	for _, r := range results {
		sum += r.OnTimeShare()
	}
	return sum
}

// Guards against shares that depend on every report arriving.
func TestSharesAgreeWhenReportsAreLost(t *testing.T) {
	is := is.New(t)
	lossy := func(seed uint64) *Config {
		c := with(halfTheEngines, booked)(seed)
		c.HeartbeatLoss, c.Skew = 0.2, 6
		return c
	}
	results := simulateScarcity(t, "lossy", lossy)
	is.True(results[0].OnTimeShare() > 0.6)
}
