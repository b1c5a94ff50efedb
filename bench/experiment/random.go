package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"aspenyard.example/settings"
)

// RandomSites generates sites, on which a policy can be tested that was not tuned for them. The
// same seed generates the same sites.
type RandomSites struct {
	Count int   `json:"count"`
	Seed  int64 `json:"seed"`
}

func (r *RandomSites) check(field string, fieldErrs *settings.FieldErrors) {
	fieldErrs.CheckInt(field+".count", int64(r.Count), 1, maxSites)
	fieldErrs.CheckInt(field+".seed", r.Seed, 0, math.MaxInt32)
}

// Parameters of random sites. The ranges of engines, memory and prompts in sampler.site extend
// beyond those of the users' sites by a factor of two or more on either side.
const (
	randomDuration = 20 * time.Second
	randomChangeAt = 8 * time.Second
	minLoad        = 0.3
	maxLoad        = 1.1
	shortWorth     = 1.3
	mediumWorth    = 4
	longWorth      = 20
	largestFactor  = 4.0 // the longest prompt divided by the mean of its kind
)

// generate returns the sites.
func (r *RandomSites) generate() []Site {
	sites := make([]Site, 0, r.Count)
	for i := range r.Count {
		sample := sampler{rand.New(rand.NewPCG(uint64(r.Seed), uint64(i)))}
		sites = append(sites, sample.site(fmt.Sprintf("random %d", i+1)))
	}
	return sites
}

// sampler draws the values of one site.
type sampler struct{ *rand.Rand }

// logUniform draws a number whose logarithm is uniformly distributed.
func (sample sampler) logUniform(low, high float64) float64 {
	return low * math.Exp(sample.Float64()*math.Log(high/low))
}

// site draws a site whose load changes to more long prompts and then to more short ones.
func (sample sampler) site(name string) Site {
	s := Site{Name: name, Entries: int(sample.logUniform(1, 30)), Engines: int(sample.logUniform(8, 100)), Duration: settings.Duration(randomDuration)}
	s.Engine = Engine{
		Slots: int(sample.logUniform(8, 32)), KVCacheTokens: int(sample.logUniform(150_000, 800_000)), Stride: int(sample.logUniform(20, 60)), StepMicros: sample.logUniform(600, 2000),
		StepMicrosPerRequest: sample.logUniform(1, 6), StepMicrosPerThousandTokens: sample.logUniform(1, 8), PrefillTokensPerSecond: sample.logUniform(80_000, 400_000), AttentionMicrosPerMillionPairs: sample.logUniform(60, 250),
	}
	passMS := s.Engine.StepMicros * float64(s.Engine.Stride) / 1000
	s.Kinds = []Kind{
		sample.kind("short", sample.logUniform(1500, 10_000), sample.logUniform(3, 8)*passMS, sample.logUniform(3, 8)*passMS, shortWorth),
		sample.kind("medium", sample.logUniform(20_000, 80_000), sample.logUniform(800, 3000), sample.logUniform(300, 1000), mediumWorth),
		sample.kind("long", sample.logUniform(100_000, 250_000), sample.logUniform(1500, 5000), sample.logUniform(500, 1500), longWorth),
	}
	sample.setRates(&s)
	longFactor, shortFactor := sample.logUniform(1, 3), sample.logUniform(1, 3)
	s.LoadChanges = []LoadChange{{settings.Duration(randomChangeAt / 2), []float64{1 / shortFactor, 1, longFactor}}, {settings.Duration(randomChangeAt), []float64{shortFactor, 1, 1 / (2 * longFactor)}}}
	return s
}

// kind draws a kind of request without its arrival rate.
func (sample sampler) kind(name string, tokens, targetMS, pauseMS, worth float64) Kind {
	ms := func(x float64) settings.Duration { return settings.Duration(x * float64(time.Millisecond)) }
	return Kind{
		Name: name, MeanTokens: tokens, Spread: sample.logUniform(0.3, 1), MaxTokens: int(largestFactor * tokens), Events: int(sample.logUniform(10, 40)),
		Target: ms(targetMS), MaxPause: ms(pauseMS), Worth: worth,
	}
}

// setRates draws the load of the site, as a share of its engines' capacity, and the share of each
// kind in that load.
func (sample sampler) setRates(s *Site) {
	load := minLoad + sample.Float64()*(maxLoad-minLoad)
	parts := []float64{0.2 + sample.Float64(), 0.1 + sample.Float64()/2, 0.2 + sample.Float64()}
	sum := parts[0] + parts[1] + parts[2]
	for i := range s.Kinds {
		s.Kinds[i].RequestsPerSecond = load * float64(s.Engines) * parts[i] / sum / s.Engine.engineSeconds(&s.Kinds[i])
	}
}

// engineSeconds is the engine time that a request of a kind takes, in seconds: its prefill, and
// its share of the passes in which it decodes while half of the slots are in use.
func (e *Engine) engineSeconds(k *Kind) float64 {
	prefill := k.MeanTokens/e.PrefillTokensPerSecond + k.MeanTokens*k.MeanTokens/2*(1+k.Spread*k.Spread)/1e6*e.AttentionMicrosPerMillionPairs/1e6
	decoding := float64(e.Slots) / 2
	steps := float64(k.Events * e.Stride)
	decode := steps * (e.StepMicros/decoding + e.StepMicrosPerRequest + e.StepMicrosPerThousandTokens*k.MeanTokens/1000) / 1e6
	return prefill + decode
}
