// Package experiment plays sites, loads, faults and policies in virtual time and compares what
// callers get. It exists so that a policy can be tried on many sites and seeds within a
// minute, and is not tuned to the few that are played in full.
package experiment

import (
	"fmt"
	"slices"
	"time"

	"aspenyard.example/bench/emulator"
	"aspenyard.example/directory"
	"aspenyard.example/settings"
)

// File is an experiment as it is written: each site is played with each seed under each
// policy.
type File struct {
	// Name heads the page.
	Name string `json:"name"`
	// Seeds is how many plays of each site are made under each policy, 1 to 1,000.
	Seeds int `json:"seeds"`
	// Sites are written out; Random are drawn.
	Sites  []Site       `json:"sites"`
	Random *RandomSites `json:"random_sites"`
	// Policies are compared with the first of them.
	Policies []Policy `json:"policies"`
}

// Site is a site and its load.
type Site struct {
	Name    string `json:"name"`
	Entries int    `json:"entries"`
	Engines int    `json:"engines"`
	Engine  Engine `json:"engine"`
	Kinds   []Kind `json:"kinds"`
	// Duration is for how long requests come.
	Duration    settings.Duration `json:"length"`
	LoadChanges []LoadChange      `json:"turns"`
	// Slowdowns engines are known to the entries after PaceKnown; 0: never.
	Slowdowns          []Slowdown        `json:"slow"`
	SlowdownKnownAfter settings.Duration `json:"pace_known"`
	// HeartbeatLoss is the part of the entries' words to each other that is lost.
	HeartbeatLoss float64 `json:"heartbeat_loss"`
	// Skew is how many times as much the busiest entry gets as the idlest; 1 if left out.
	Skew float64 `json:"skew"`
}

// Engine describes a model engine.
type Engine struct {
	Slots         int `json:"slots"`
	KVCacheTokens int `json:"memory_tokens"`
	// Stride is how many steps a pass of requests that decode has. Step, StepPerRequest and
	// StepPerThousand are the time of one, in microseconds: its own, for each request, and
	// for each thousand tokens of context.
	Stride                      int     `json:"stride"`
	StepMicros                  float64 `json:"step_us"`
	StepMicrosPerRequest        float64 `json:"step_per_request_us"`
	StepMicrosPerThousandTokens float64 `json:"step_per_thousand_us"`
	// PrefillTokensPerSecond is in tokens; PairsPerMillion is the time for a million pairs of
	// tokens, in microseconds.
	PrefillTokensPerSecond         float64 `json:"prefill_per_second"`
	AttentionMicrosPerMillionPairs float64 `json:"pairs_per_million_us"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `json:"name"`
	// MeanTokens is the mean prompt, Spread its standard deviation over the mean, MostTokens the
	// longest.
	MeanTokens        float64 `json:"tokens"`
	Spread            float64 `json:"spread"`
	MaxTokens         int     `json:"most_tokens"`
	Events            int     `json:"events"`
	RequestsPerSecond float64 `json:"per_second"`
	// Target is the time to the first event, PauseLimit that between events.
	Target   settings.Duration `json:"target"`
	MaxPause settings.Duration `json:"pause_limit"`
	// Worth is what an answer in time earns, 1 if left out; a late one earns a quarter.
	Worth float64 `json:"worth"`
}

// LoadChange changes how many requests of each kind come.
type LoadChange struct {
	At settings.Duration `json:"at"`
	// RateFactors multiply per_second, by kind.
	RateFactors []float64 `json:"factors"`
}

// Slowdown makes engines slow for a time.
type Slowdown struct {
	From    settings.Duration `json:"from"`
	To      settings.Duration `json:"to"`
	Engines int               `json:"engines"`
	// Factor is how many times as long their work takes.
	Factor float64 `json:"pace"`
}

// Policy is one way of placing requests.
type Policy struct {
	Name   string          `json:"name"`
	Policy emulator.Policy `json:"policy"`
	// Disabled are mechanisms of the product's policy that are taken out.
	Disabled []emulator.Mechanism `json:"without"`
	// SingleEntry plays as if all entries were one, which knows at once what all have sent: a
	// bound for what entries can gain by telling each other more.
	SingleEntry bool `json:"one_view"`
	// HeartbeatInterval is the time between two words of an entry to the others; 100ms if left out.
	HeartbeatInterval settings.Duration `json:"heartbeat"`
}

// Limits of what a file may ask for: an experiment of the largest takes some hours.
const (
	maxSeeds        = 1000
	maxEntries      = 1000
	maxEngines      = 10_000
	maxRate         = 100_000
	maxPromptTokens = 10_000_000
	maxEvents       = 10_000
	maxSites        = 10_000
	maxDuration     = time.Hour
)

// Decode reads a file. Error: settings.Faults, which name every field that is wrong.
func Decode(data []byte) (*File, error) {
	f := &File{}
	if err := settings.Decode(data, f); err != nil {
		return nil, err
	}
	return f, nil
}

// Check implements settings.Checker.
func (f *File) Check() settings.FieldErrors {
	var faults settings.FieldErrors
	if f.Name == "" {
		faults.Add("name", f.Name, "a text")
	}
	faults.CheckInt("seeds", int64(f.Seeds), 1, maxSeeds)
	if len(f.Sites) == 0 && f.Random == nil {
		faults.Add("sites", len(f.Sites), "one site or more, or random_sites")
	}
	names := map[string]bool{}
	for i := range f.Sites {
		field := fmt.Sprintf("sites[%d]", i)
		f.Sites[i].check(field, &faults)
		checkUnique(&faults, field+".name", f.Sites[i].Name, names)
	}
	if f.Random != nil {
		f.Random.check("random_sites", &faults)
	}
	if len(f.Policies) == 0 {
		faults.Add("policies", 0, "one policy or more")
	}
	names = map[string]bool{}
	for i := range f.Policies {
		field := fmt.Sprintf("policies[%d]", i)
		f.Policies[i].check(field, &faults)
		checkUnique(&faults, field+".name", f.Policies[i].Name, names)
	}
	return faults
}

func checkUnique(faults *settings.FieldErrors, field, name string, seen map[string]bool) {
	if name == "" || seen[name] {
		faults.Add(field, name, "a text that no other has")
	}
	seen[name] = true
}

func (s *Site) check(field string, faults *settings.FieldErrors) {
	faults.CheckInt(field+".entries", int64(s.Entries), 1, maxEntries)
	faults.CheckInt(field+".engines", int64(s.Engines), 1, maxEngines)
	faults.CheckRange(field+".length", s.Duration.D(), time.Second, maxDuration)
	faults.CheckRange(field+".pace_known", s.SlowdownKnownAfter.D(), 0, maxDuration)
	faults.CheckNumber(field+".heartbeat_loss", s.HeartbeatLoss, 0, 1)
	faults.CheckNumber(field+".skew", s.Skew, 0, 1000)
	s.Engine.check(field+".engine", faults)
	if len(s.Kinds) == 0 {
		faults.Add(field+".kinds", 0, "one kind or more")
	}
	for i := range s.Kinds {
		s.Kinds[i].check(fmt.Sprintf("%s.kinds[%d]", field, i), faults)
	}
	for i, t := range s.LoadChanges {
		at := fmt.Sprintf("%s.turns[%d]", field, i)
		faults.CheckRange(at+".at", t.At.D(), 0, maxDuration)
		if len(t.RateFactors) != len(s.Kinds) || slices.ContainsFunc(t.RateFactors, func(x float64) bool { return !(x >= 0 && x <= maxRate) }) {
			faults.Add(at+".factors", t.RateFactors, "a number from 0 for each kind")
		}
	}
	for i, slow := range s.Slowdowns {
		at := fmt.Sprintf("%s.slow[%d]", field, i)
		faults.CheckRange(at+".from", slow.From.D(), 0, maxDuration)
		faults.CheckRange(at+".to", slow.To.D(), slow.From.D(), maxDuration)
		faults.CheckInt(at+".engines", int64(slow.Engines), 1, int64(max((s.Engines+1)/2, 1)))
		faults.CheckNumber(at+".pace", slow.Factor, 1, 1000)
	}
}

func (e *Engine) check(field string, faults *settings.FieldErrors) {
	faults.CheckInt(field+".slots", int64(e.Slots), 1, 10_000)
	faults.CheckInt(field+".memory_tokens", int64(e.KVCacheTokens), 1, 1e9)
	faults.CheckInt(field+".stride", int64(e.Stride), 1, 10_000)
	faults.CheckNumber(field+".step_us", e.StepMicros, 1, 1e6)
	faults.CheckNumber(field+".step_per_request_us", e.StepMicrosPerRequest, 0, 1e6)
	faults.CheckNumber(field+".step_per_thousand_us", e.StepMicrosPerThousandTokens, 0, 1e6)
	faults.CheckNumber(field+".prefill_per_second", e.PrefillTokensPerSecond, 1, 1e9)
	faults.CheckNumber(field+".pairs_per_million_us", e.AttentionMicrosPerMillionPairs, 0, 1e6)
}

func (k *Kind) check(field string, faults *settings.FieldErrors) {
	if k.Name == "" {
		faults.Add(field+".name", k.Name, "a text")
	}
	faults.CheckNumber(field+".tokens", k.MeanTokens, 1, maxPromptTokens)
	faults.CheckNumber(field+".spread", k.Spread, 0, 10)
	faults.CheckInt(field+".most_tokens", int64(k.MaxTokens), 1, maxPromptTokens)
	faults.CheckInt(field+".events", int64(k.Events), 1, maxEvents)
	faults.CheckNumber(field+".per_second", k.RequestsPerSecond, 0, maxRate)
	faults.CheckRange(field+".target", k.Target.D(), time.Millisecond, maxDuration)
	faults.CheckRange(field+".pause_limit", k.MaxPause.D(), time.Millisecond, maxDuration)
	faults.CheckNumber(field+".worth", k.Worth, 0, 1e6)
}

func (p *Policy) check(field string, faults *settings.FieldErrors) {
	if p.Policy != "" && !slices.Contains(emulator.Policies(), p.Policy) {
		faults.Add(field+".policy", p.Policy, fmt.Sprintf("one of %v", emulator.Policies()))
	}
	for _, m := range p.Disabled {
		if !slices.Contains(emulator.Mechanisms(), m) {
			faults.Add(field+".without", m, fmt.Sprintf("some of %v", emulator.Mechanisms()))
		}
	}
	faults.CheckRange(field+".heartbeat", p.HeartbeatInterval.D(), 0, time.Minute)
}

// emulatorConfig is the play of a site under a policy.
func (s *Site) emulatorConfig(p *Policy, seed uint64) *emulator.Config {
	c := &emulator.Config{
		Seed: seed, Entries: s.Entries, Engines: s.Engines, Engine: s.Engine.directoryEngine(), Duration: s.Duration.D(), SlowdownKnownAfter: s.SlowdownKnownAfter.D(),
		Policy: p.Policy, Disabled: p.Disabled, HeartbeatInterval: p.HeartbeatInterval.D(), HeartbeatLoss: s.HeartbeatLoss, Skew: s.Skew,
	}
	if p.SingleEntry {
		c.Entries = 1
	}
	for _, k := range s.Kinds {
		c.Kinds = append(c.Kinds, emulator.Kind{
			Name: k.Name, MeanTokens: k.MeanTokens, Spread: k.Spread, MaxTokens: k.MaxTokens, Events: k.Events, RequestsPerSecond: k.RequestsPerSecond, Target: k.Target.D(), MaxPause: k.MaxPause.D(),
		})
	}
	for _, t := range s.LoadChanges {
		c.LoadChanges = append(c.LoadChanges, emulator.LoadChange{At: t.At.D(), RateFactors: t.RateFactors})
	}
	for _, slow := range s.Slowdowns {
		c.Slowdowns = append(c.Slowdowns, emulator.Slowdown{From: slow.From.D(), To: slow.To.D(), Engines: slow.Engines, Factor: slow.Factor})
	}
	return c
}

func (e *Engine) directoryEngine() directory.Engine {
	us := func(x float64) time.Duration { return time.Duration(x * float64(time.Microsecond)) }
	return directory.Engine{
		Slots: e.Slots, KVCacheTokens: e.KVCacheTokens, Stride: e.Stride, StepTime: us(e.StepMicros), StepTimePerRequest: us(e.StepMicrosPerRequest), StepTimePerContext: us(e.StepMicrosPerThousandTokens),
		PrefillTokensPerSecond: e.PrefillTokensPerSecond, AttentionTimePerMillionPairs: us(e.AttentionMicrosPerMillionPairs),
	}
}
