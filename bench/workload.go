package bench

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/admission"
	standin "aspenyard.example/standin/engine"
)

// Workload describes the requests of one run and the engines.
type Workload struct {
	Seed uint64
	// Engines is the number of engines.
	Engines int
	// Load is the offered work divided by the engines' capacity.
	Load float64
	// LongShare is the share of requests above 100,000 tokens; 0.02 is one in 50.
	LongShare float64
	// Burst is the arrival rate in bursts, which take a tenth of the time, divided by the mean
	// rate; 1: no bursts.
	Burst float64
	// Duration is the virtual time during which requests arrive.
	Duration time.Duration
	// LongestPrompt is the longest prompt in tokens; 0: DefaultLongestPrompt.
	LongestPrompt int
	Engine        standin.Config
}

// job is one request of a workload.
type job struct {
	id           int
	arrivesAt    time.Duration
	class        admission.Class
	account      string
	promptTokens int
	outputTokens int
	// prefix identifies the text that the first sharedTokens tokens share with other
	// requests; 0: none.
	prefix, sharedTokens int
	timeout              time.Duration // from arrival to the end of the response
	retried              bool          // the caller has retried after a refusal
}

// lengthBands is the mix of prompt lengths, in tokens, without the long ones.
var lengthBands = []struct {
	share     float64
	low, high int
}{
	{0.72, 1_000, 4_000}, {0.20, 4_000, 16_000}, {0.08, 16_000, 100_000},
}

// Bounds of the longest prompt, in tokens.
const (
	MinLongestPrompt = 110_000
	MaxLongestPrompt = 1_000_000
	// DefaultLongestPrompt fits an engine of the default size with room to spare.
	DefaultLongestPrompt = 300_000
)

// Parameters of the requests. Prompts that need several engines are left out: splitting a prompt is
// the entry's work, which the demo and the scenarios cover. Longer prompts need larger engines here.
const (
	minLongPrompt      = 100_001
	accounts           = 10
	largeAccounts      = 2
	largeShare         = 0.35 // share of the requests of each large account
	prefixPool         = 40
	sharedPrefixChance = 0.5
	burstTimeShare     = 0.1
	burstPeriod        = 20 * time.Second
)

// deadlines are how long callers of each class wait for the whole response.
var deadlines = map[admission.Class]time.Duration{
	admission.Urgent: 15 * time.Second, admission.Normal: 90 * time.Second, admission.Bulk: 10 * time.Minute,
}

// jobs draws the requests of a workload, in order of arrival. Arrivals do not depend on responses (an
// open loop), so that a slow system does not reduce its own load.
func (w Workload) jobs() []job {
	random := rand.New(rand.NewPCG(w.Seed, 7))
	rate := w.Load * float64(w.Engines) / w.meanEngineSeconds()
	var jobs []job
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / (rate * w.rateFactor(at)) * float64(time.Second))
		if at > w.Duration {
			return jobs
		}
		jobs = append(jobs, w.drawJob(random, len(jobs), at))
	}
}

// rateFactor is the arrival rate at a time divided by the mean rate.
func (w Workload) rateFactor(at time.Duration) float64 {
	burst := max(1, w.Burst)
	quiet := (1 - burstTimeShare*burst) / (1 - burstTimeShare)
	if quiet <= 0 {
		quiet = 0.05
	}
	if float64(at%burstPeriod) < burstTimeShare*float64(burstPeriod) {
		return burst
	}
	return quiet
}

// meanEngineSeconds is the mean engine time of a request in seconds, estimated from a sample with
// its own fixed seed.
func (w Workload) meanEngineSeconds() float64 {
	random := rand.New(rand.NewPCG(99, 99))
	sum := 0.0
	const samples = 20_000
	for i := range samples {
		sum += w.engineSeconds(w.drawJob(random, i, 0))
	}
	return sum / samples
}

// engineSeconds is the engine time of a request in seconds.
func (w Workload) engineSeconds(j job) float64 {
	c := w.Engine.WithDefaults()
	return float64(j.promptTokens)/float64(c.PrefillRate()) + float64(j.outputTokens)*c.DecodeTime.Seconds()
}

// memoryFactor is an engine's memory divided by the longest prompt, the same as for the default
// size.
const memoryFactor = 4.0 / 3

// EngineFor returns the configuration of an engine that can hold a prompt of longest tokens: the
// default size if that is enough, else a larger one.
func EngineFor(longest int) standin.Config {
	if longest <= DefaultLongestPrompt {
		return standin.Config{}
	}
	return standin.Config{MemoryTokens: int(memoryFactor * float64(longest))}
}

// longestPrompt is LongestPrompt with its default.
func (w Workload) longestPrompt() int {
	if w.LongestPrompt == 0 {
		return DefaultLongestPrompt
	}
	return w.LongestPrompt
}

// logUniform draws a number whose logarithm is uniformly distributed.
func logUniform(random *rand.Rand, low, high int) int {
	return int(float64(low) * math.Pow(float64(high)/float64(low), random.Float64()))
}

// drawJob draws a request that arrives at a time.
func (w Workload) drawJob(random *rand.Rand, id int, at time.Duration) job {
	j := job{id: id, arrivesAt: at, outputTokens: 32 + random.IntN(200), account: drawAccount(random)}
	if random.Float64() < w.LongShare {
		j.promptTokens = logUniform(random, minLongPrompt, w.longestPrompt())
	} else {
		pick := random.Float64()
		for _, band := range lengthBands {
			if pick -= band.share; pick < 0 {
				j.promptTokens = logUniform(random, band.low, band.high)
				break
			}
		}
		if j.promptTokens == 0 {
			j.promptTokens = lengthBands[0].low
		}
	}
	j.class = drawClass(random, j.promptTokens)
	j.timeout = deadlines[j.class]
	if random.Float64() < sharedPrefixChance {
		j.prefix = 1 + random.IntN(prefixPool)
		j.sharedTokens = min(j.promptTokens, 1024<<random.IntN(3))
	}
	return j
}

// drawAccount draws the client account of a request.
func drawAccount(random *rand.Rand) string {
	pick := random.Float64()
	for i := range largeAccounts {
		if pick -= largeShare; pick < 0 {
			return "large-" + strconv.Itoa(i)
		}
	}
	return "small-" + strconv.Itoa(random.IntN(accounts-largeAccounts))
}

// drawClass draws the class of a request; shorter prompts are more often urgent.
func drawClass(random *rand.Rand, prompt int) admission.Class {
	urgent := []float64{0.7, 0.3, 0.05, 0}[admission.Band(prompt)]
	bulk := []float64{0.05, 0.1, 0.3, 0.5}[admission.Band(prompt)]
	switch pick := random.Float64(); {
	case pick < urgent:
		return admission.Urgent
	case pick > 1-bulk:
		return admission.Bulk
	}
	return admission.Normal
}

// blocks returns the hashes of the prompt's blocks in the prefix cache.
func (j *job) blocks() []uint64 {
	blocks := make([]uint64, j.promptTokens/standin.BlockTokens)
	for i := range blocks {
		blocks[i] = j.hash((i + 1) * standin.BlockTokens)
	}
	return blocks
}

// prefixHashes returns the hashes of the prompt's prefixes as routing uses them.
func (j *job) prefixHashes() []uint64 {
	var hashes []uint64
	for tokens := 1024; tokens <= j.promptTokens; tokens *= 2 {
		hashes = append(hashes, j.hash(tokens))
	}
	return hashes
}

// key identifies the request; a retry has the same key.
func (j *job) key() uint64 { return xxhash.Sum64String(strconv.Itoa(j.id)) }

// hash is the hash of the prompt's first tokens. It is equal for two requests if and only if these
// tokens are.
func (j *job) hash(tokens int) uint64 {
	if tokens <= j.sharedTokens {
		return xxhash.Sum64String("shared " + strconv.Itoa(j.prefix) + " " + strconv.Itoa(tokens))
	}
	return xxhash.Sum64String("own " + strconv.Itoa(j.id) + " " + strconv.Itoa(tokens))
}

// withoutLongPrompts returns the jobs without the long prompts; the other arrivals do not change.
func withoutLongPrompts(jobs []job) []job {
	var kept []job
	for _, j := range jobs {
		if j.promptTokens < minLongPrompt {
			kept = append(kept, j)
		}
	}
	return kept
}

// quantile sorts the values and returns their quantile q, 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
