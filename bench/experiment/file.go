// Package experiment simulates sites under several placement policies and compares the results.
// A policy can thus be tried on many sites and seeds within a minute and is not tuned to the few
// sites that are tested in full.
package experiment

import (
	"fmt"
	"slices"
	"time"

	"aspenyard.example/bench/emulator"
	"aspenyard.example/directory"
	"aspenyard.example/settings"
)

// File describes an experiment: each site is simulated with each seed under each policy.
type File struct {
	// Name is the heading of the report.
	Name string `json:"name"`
	// Seeds is the number of runs of each site under each policy, 1 to 1,000.
	Seeds int `json:"seeds"`
	// Sites are given in the file, Random are generated; an experiment may have both.
	Sites  []Site       `json:"sites"`
	Random *RandomSites `json:"random_sites"`
	// Policies are the policies to compare; the first is the reference.
	Policies []Policy `json:"policies"`
}

// Site describes a site and its load.
type Site struct {
	Name    string `json:"name"`
	Entries int    `json:"entries"`
	Engines int    `json:"engines"`
	Engine  Engine `json:"engine"`
	Kinds   []Kind `json:"kinds"`
	// Duration is the time during which requests arrive, 1 second to 1 hour.
	Duration    settings.Duration `json:"length"`
	LoadChanges []LoadChange      `json:"turns"`
	// Slowdowns become known to the entries after SlowdownKnownAfter; 0: never.
	Slowdowns          []Slowdown        `json:"slow"`
	SlowdownKnownAfter settings.Duration `json:"pace_known"`
	// HeartbeatLoss is the share of heartbeats between entries that are lost, 0 to 1.
	HeartbeatLoss float64 `json:"heartbeat_loss"`
	// Skew is the arrival rate of the busiest entry divided by that of the least busy;
	// default 1.
	Skew float64 `json:"skew"`
}

// Engine describes an engine.
type Engine struct {
	Slots         int `json:"slots"`
	KVCacheTokens int `json:"memory_tokens"`
	// Stride is the number of decode steps in a pass. StepMicros is the time of one step;
	// StepMicrosPerRequest is added for each decoding request, and
	// StepMicrosPerThousandTokens for each 1,000 tokens of context.
	Stride                      int     `json:"stride"`
	StepMicros                  float64 `json:"step_us"`
	StepMicrosPerRequest        float64 `json:"step_per_request_us"`
	StepMicrosPerThousandTokens float64 `json:"step_per_thousand_us"`
	// AttentionMicrosPerMillionPairs is the prefill time for a million pairs of a prompt
	// token and an earlier one.
	PrefillTokensPerSecond         float64 `json:"prefill_per_second"`
	AttentionMicrosPerMillionPairs float64 `json:"pairs_per_million_us"`
}

// Kind describes one kind of request.
type Kind struct {
	Name string `json:"name"`
	// MeanTokens is the mean prompt length, Spread its standard deviation divided by the
	// mean, and MaxTokens the longest prompt. Events is the number of events of a stream.
	MeanTokens        float64 `json:"tokens"`
	Spread            float64 `json:"spread"`
	MaxTokens         int     `json:"most_tokens"`
	Events            int     `json:"events"`
	RequestsPerSecond float64 `json:"per_second"`
	// Target is the longest time to the first event, and MaxPause the longest pause between
	// events, with which a request counts as on time.
	Target   settings.Duration `json:"target"`
	MaxPause settings.Duration `json:"pause_limit"`
	// Worth is what a response on time earns, default 1; a late one earns a quarter of it.
	Worth float64 `json:"worth"`
}

// LoadChange changes the arrival rate of each kind from a time on.
type LoadChange struct {
	At settings.Duration `json:"at"`
	// RateFactors multiply per_second, one factor for each kind.
	RateFactors []float64 `json:"factors"`
}

// Slowdown makes some engines slow for a time.
type Slowdown struct {
	From    settings.Duration `json:"from"`
	To      settings.Duration `json:"to"`
	Engines int               `json:"engines"`
	// Factor multiplies the time of their work, 1 to 1,000.
	Factor float64 `json:"pace"`
}

// Policy is a placement policy in an experiment.
type Policy struct {
	Name   string          `json:"name"`
	Policy emulator.Policy `json:"policy"`
	// Disabled lists mechanisms of the product's policy that are switched off.
	Disabled []emulator.Mechanism `json:"without"`
	// SingleEntry simulates the site with one entry, which knows all requests at once. It
	// bounds what entries could gain by exchanging more of their state.
	SingleEntry bool `json:"one_view"`
	// HeartbeatInterval is the time between an entry's heartbeats; default 100ms.
	HeartbeatInterval settings.Duration `json:"heartbeat"`
}

// Limits of a file's values. An experiment with the largest values takes some hours.
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

// Decode parses and checks a file. Its error is a settings.FieldErrors that names every invalid
// field.
func Decode(data []byte) (*File, error) {
	f := &File{}
	if err := settings.Decode(data, f); err != nil {
		return nil, err
	}
	return f, nil
}

// Check implements settings.Checker.
func (f *File) Check() settings.FieldErrors {
	var fieldErrs settings.FieldErrors
	if f.Name == "" {
		fieldErrs.Add("name", f.Name, "a non-empty text")
	}
	fieldErrs.CheckInt("seeds", int64(f.Seeds), 1, maxSeeds)
	if len(f.Sites) == 0 && f.Random == nil {
		fieldErrs.Add("sites", len(f.Sites), "at least one site, or random_sites")
	}
	names := map[string]bool{}
	for i := range f.Sites {
		field := fmt.Sprintf("sites[%d]", i)
		f.Sites[i].check(field, &fieldErrs)
		checkUnique(&fieldErrs, field+".name", f.Sites[i].Name, names)
	}
	if f.Random != nil {
		f.Random.check("random_sites", &fieldErrs)
	}
	if len(f.Policies) == 0 {
		fieldErrs.Add("policies", 0, "at least one policy")
	}
	names = map[string]bool{}
	for i := range f.Policies {
		field := fmt.Sprintf("policies[%d]", i)
		f.Policies[i].check(field, &fieldErrs)
		checkUnique(&fieldErrs, field+".name", f.Policies[i].Name, names)
	}
	return fieldErrs
}

// checkUnique adds an error if a name is empty or was seen before, and marks it as seen.
func checkUnique(fieldErrs *settings.FieldErrors, field, name string, seen map[string]bool) {
	if name == "" || seen[name] {
		fieldErrs.Add(field, name, "a unique, non-empty text")
	}
	seen[name] = true
}

func (s *Site) check(field string, fieldErrs *settings.FieldErrors) {
	fieldErrs.CheckInt(field+".entries", int64(s.Entries), 1, maxEntries)
	fieldErrs.CheckInt(field+".engines", int64(s.Engines), 1, maxEngines)
	fieldErrs.CheckRange(field+".length", s.Duration.D(), time.Second, maxDuration)
	fieldErrs.CheckRange(field+".pace_known", s.SlowdownKnownAfter.D(), 0, maxDuration)
	fieldErrs.CheckNumber(field+".heartbeat_loss", s.HeartbeatLoss, 0, 1)
	fieldErrs.CheckNumber(field+".skew", s.Skew, 0, 1000)
	s.Engine.check(field+".engine", fieldErrs)
	if len(s.Kinds) == 0 {
		fieldErrs.Add(field+".kinds", 0, "at least one kind")
	}
	for i := range s.Kinds {
		s.Kinds[i].check(fmt.Sprintf("%s.kinds[%d]", field, i), fieldErrs)
	}
	for i, change := range s.LoadChanges {
		at := fmt.Sprintf("%s.turns[%d]", field, i)
		fieldErrs.CheckRange(at+".at", change.At.D(), 0, maxDuration)
		if len(change.RateFactors) != len(s.Kinds) || slices.ContainsFunc(change.RateFactors, func(x float64) bool { return !(x >= 0 && x <= maxRate) }) {
			fieldErrs.Add(at+".factors", change.RateFactors, "a number of at least 0 for each kind")
		}
	}
	for i, slowdown := range s.Slowdowns {
		at := fmt.Sprintf("%s.slow[%d]", field, i)
		fieldErrs.CheckRange(at+".from", slowdown.From.D(), 0, maxDuration)
		fieldErrs.CheckRange(at+".to", slowdown.To.D(), slowdown.From.D(), maxDuration)
		fieldErrs.CheckInt(at+".engines", int64(slowdown.Engines), 1, int64(max((s.Engines+1)/2, 1)))
		fieldErrs.CheckNumber(at+".pace", slowdown.Factor, 1, 1000)
	}
}

func (e *Engine) check(field string, fieldErrs *settings.FieldErrors) {
	fieldErrs.CheckInt(field+".slots", int64(e.Slots), 1, 10_000)
	fieldErrs.CheckInt(field+".memory_tokens", int64(e.KVCacheTokens), 1, 1e9)
	fieldErrs.CheckInt(field+".stride", int64(e.Stride), 1, 10_000)
	fieldErrs.CheckNumber(field+".step_us", e.StepMicros, 1, 1e6)
	fieldErrs.CheckNumber(field+".step_per_request_us", e.StepMicrosPerRequest, 0, 1e6)
	fieldErrs.CheckNumber(field+".step_per_thousand_us", e.StepMicrosPerThousandTokens, 0, 1e6)
	fieldErrs.CheckNumber(field+".prefill_per_second", e.PrefillTokensPerSecond, 1, 1e9)
	fieldErrs.CheckNumber(field+".pairs_per_million_us", e.AttentionMicrosPerMillionPairs, 0, 1e6)
}

func (k *Kind) check(field string, fieldErrs *settings.FieldErrors) {
	if k.Name == "" {
		fieldErrs.Add(field+".name", k.Name, "a non-empty text")
	}
	fieldErrs.CheckNumber(field+".tokens", k.MeanTokens, 1, maxPromptTokens)
	fieldErrs.CheckNumber(field+".spread", k.Spread, 0, 10)
	fieldErrs.CheckInt(field+".most_tokens", int64(k.MaxTokens), 1, maxPromptTokens)
	fieldErrs.CheckInt(field+".events", int64(k.Events), 1, maxEvents)
	fieldErrs.CheckNumber(field+".per_second", k.RequestsPerSecond, 0, maxRate)
	fieldErrs.CheckRange(field+".target", k.Target.D(), time.Millisecond, maxDuration)
	fieldErrs.CheckRange(field+".pause_limit", k.MaxPause.D(), time.Millisecond, maxDuration)
	fieldErrs.CheckNumber(field+".worth", k.Worth, 0, 1e6)
}

func (p *Policy) check(field string, fieldErrs *settings.FieldErrors) {
	if p.Policy != "" && !slices.Contains(emulator.Policies(), p.Policy) {
		fieldErrs.Add(field+".policy", p.Policy, fmt.Sprintf("one of %v", emulator.Policies()))
	}
	for _, m := range p.Disabled {
		if !slices.Contains(emulator.Mechanisms(), m) {
			fieldErrs.Add(field+".without", m, fmt.Sprintf("any of %v", emulator.Mechanisms()))
		}
	}
	fieldErrs.CheckRange(field+".heartbeat", p.HeartbeatInterval.D(), 0, time.Minute)
}

// emulatorConfig returns the configuration of one run of the site under a policy.
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
	for _, change := range s.LoadChanges {
		c.LoadChanges = append(c.LoadChanges, emulator.LoadChange{At: change.At.D(), RateFactors: change.RateFactors})
	}
	for _, slowdown := range s.Slowdowns {
		c.Slowdowns = append(c.Slowdowns, emulator.Slowdown{From: slowdown.From.D(), To: slowdown.To.D(), Engines: slowdown.Engines, Factor: slowdown.Factor})
	}
	return c
}

// directoryEngine converts the engine to the form that the placement policy uses.
func (e *Engine) directoryEngine() directory.Engine {
	micros := func(x float64) time.Duration { return time.Duration(x * float64(time.Microsecond)) }
	return directory.Engine{
		Slots: e.Slots, KVCacheTokens: e.KVCacheTokens, Stride: e.Stride, StepTime: micros(e.StepMicros), StepTimePerRequest: micros(e.StepMicrosPerRequest), StepTimePerContext: micros(e.StepMicrosPerThousandTokens),
		PrefillTokensPerSecond: e.PrefillTokensPerSecond, AttentionTimePerMillionPairs: micros(e.AttentionMicrosPerMillionPairs),
	}
}
