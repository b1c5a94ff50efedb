package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"aspenyard.example/settings"
)

// RandomSites asks for sites that are drawn, so that a policy can be seen on sites that
// nobody tuned it for.
type RandomSites struct {
	Count int   `json:"count"`
	Seed  int64 `json:"seed"`
}

func (r *RandomSites) check(field string, faults *settings.FieldErrors) {
	faults.CheckInt(field+".count", int64(r.Count), 1, mostSites)
	faults.CheckInt(field+".seed", r.Seed, 0, math.MaxInt32)
}

// Ranges that random sites are drawn from. Engines, memory and prompts span those of the
// users' sites by a factor of two or more on either side.
const (
	randomLength  = 20 * time.Second
	randomTurnAt  = 8 * time.Second
	leastLoad     = 0.3
	mostLoad      = 1.1
	shortWorth    = 1.3
	mediumWorth   = 4
	longWorth     = 20
	largestFactor = 4.0 // the longest prompt over the mean of its kind
)

// draw gives the sites, the same for the same seed.
func (r *RandomSites) draw() []Site {
	sites := make([]Site, 0, r.Count)
	for i := range r.Count {
		d := drawer{rand.New(rand.NewPCG(uint64(r.Seed), uint64(i)))}
		sites = append(sites, d.site(fmt.Sprintf("random %d", i+1)))
	}
	return sites
}

type drawer struct{ *rand.Rand }

// between draws a number whose logarithm is even.
func (d drawer) between(low, high float64) float64 {
	return low * math.Exp(d.Float64()*math.Log(high/low))
}

func (d drawer) site(name string) Site {
	s := Site{Name: name, Entries: int(d.between(1, 30)), Engines: int(d.between(8, 100)), Duration: settings.Duration(randomLength)}
	s.Engine = Engine{
		Slots: int(d.between(8, 32)), KVCacheTokens: int(d.between(150_000, 800_000)), Stride: int(d.between(20, 60)), StepMicros: d.between(600, 2000),
		StepMicrosPerRequest: d.between(1, 6), StepMicrosPerThousandTokens: d.between(1, 8), PrefillTokensPerSecond: d.between(80_000, 400_000), AttentionMicrosPerMillionPairs: d.between(60, 250),
	}
	pass := s.Engine.StepMicros * float64(s.Engine.Stride) / 1000 // ms
	s.Kinds = []Kind{
		d.kind("short", d.between(1500, 10_000), d.between(3, 8)*pass, d.between(3, 8)*pass, shortWorth),
		d.kind("medium", d.between(20_000, 80_000), d.between(800, 3000), d.between(300, 1000), mediumWorth),
		d.kind("long", d.between(100_000, 250_000), d.between(1500, 5000), d.between(500, 1500), longWorth),
	}
	d.rates(&s)
	long, short := d.between(1, 3), d.between(1, 3)
	s.LoadChanges = []LoadChange{{settings.Duration(randomTurnAt / 2), []float64{1 / short, 1, long}}, {settings.Duration(randomTurnAt), []float64{short, 1, 1 / (2 * long)}}}
	return s
}

func (d drawer) kind(name string, tokens, targetMS, pauseMS, worth float64) Kind {
	ms := func(x float64) settings.Duration { return settings.Duration(x * float64(time.Millisecond)) }
	return Kind{
		Name: name, MeanTokens: tokens, Spread: d.between(0.3, 1), MaxTokens: int(largestFactor * tokens), Events: int(d.between(10, 40)),
		Target: ms(targetMS), MaxPause: ms(pauseMS), Worth: worth,
	}
}

// rates divides a load, as a part of what the engines can do, between the kinds.
func (d drawer) rates(s *Site) {
	load := leastLoad + d.Float64()*(mostLoad-leastLoad)
	parts := []float64{0.2 + d.Float64(), 0.1 + d.Float64()/2, 0.2 + d.Float64()}
	sum := parts[0] + parts[1] + parts[2]
	for i := range s.Kinds {
		s.Kinds[i].RequestsPerSecond = load * float64(s.Engines) * parts[i] / sum / s.Engine.cost(&s.Kinds[i])
	}
}

// cost is the time of an engine that a request of a kind takes, in seconds: its prefill, and
// its part of the passes in which it decodes beside others in half of the slots.
func (e *Engine) cost(k *Kind) float64 {
	prefill := k.MeanTokens/e.PrefillTokensPerSecond + k.MeanTokens*k.MeanTokens/2*(1+k.Spread*k.Spread)/1e6*e.AttentionMicrosPerMillionPairs/1e6
	beside := float64(e.Slots) / 2
	steps := float64(k.Events * e.Stride)
	decode := steps * (e.StepMicros/beside + e.StepMicrosPerRequest + e.StepMicrosPerThousandTokens*k.MeanTokens/1000) / 1e6
	return prefill + decode
}
