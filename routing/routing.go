// Package routing picks the endpoint for a request: filters drop endpoints that
// cannot serve it, scorers estimate what each would cost it, and a picker takes
// one. It works on a read-only snapshot, so that callers' threads never wait for
// the control loop; a stale snapshot costs time and never correctness, because
// the agent decides whether work starts.
package routing

import (
	"math/rand/v2"
	"time"

	"aspenyard.example/admission"
)

// Endpoint is one endpoint as an entry last heard of it.
type Endpoint struct {
	// Name identifies the endpoint's VM; Addr is its agent's address.
	Name, Addr, DataCentre string
	// EngineAddr is where other engines import its KV cache from.
	EngineAddr  string
	Incarnation uint64
	Models      []string
	Services    []string
	// Suspect: not heard of for too long. Leaving: said so by itself or by the
	// platform's list.
	Suspect, Leaving bool

	// Sizes: KV cache in tokens, prefill in tokens a second, batch size.
	MemoryTokens, PrefillRate, MaxRunning int

	// The load as last reported.
	Running, Queued, FreeMemory int
	Backlog                     admission.Backlog
	// Reported is when the report arrived here.
	Reported time.Time
}

// Request is what routing needs to know of a request.
type Request struct {
	// Model or Service names what must serve it.
	Model, Service             string
	Class                      admission.Class
	PromptTokens, OutputTokens int
	// Prefix holds the hashes of the prompt's beginnings, see PrefixHashes.
	Prefix []uint64
	// DataCentre is the caller's nearest: the entry's own.
	DataCentre string
	// Tried holds the names of endpoints that failed this request already.
	Tried map[string]bool
	// Key is the same whenever a refused request comes back, at any entry.
	Key uint64
	// SpanPart is set for a part of a prompt that no endpoint holds alone.
	SpanPart bool
}

// Level is the request's level at the engine.
func (r *Request) Level() admission.Level {
	return admission.LevelOf(r.Class, r.PromptTokens)
}

// Filter drops endpoints that must not get a request.
type Filter interface {
	// Keep tells whether the endpoint may serve the request.
	Keep(r *Request, e *Endpoint) bool
}

// Scorer estimates a cost.
type Scorer interface {
	// Cost is the expected delay of the first token, in seconds; negative for
	// time saved.
	Cost(r *Request, e *Endpoint) float64
}

// Scored is a kept endpoint with the sum of its costs in seconds.
type Scored struct {
	Endpoint *Endpoint
	Cost     float64
}

// Picker takes one endpoint out of those that were kept.
type Picker interface {
	// Pick returns nil only for an empty list.
	Pick(r *Request, scored []Scored) *Endpoint
}

// Policy is a whole way of routing.
type Policy struct {
	Name    string
	Filters []Filter
	// Sample draws the endpoints that are scored; its zero value takes all.
	Sample  Sample
	Scorers []Scorer
	Picker  Picker
	// OnPick, when set, is told of every choice.
	OnPick func(now time.Time, r *Request, e *Endpoint)
	// Priorities is set when the policy uses the engines' priorities.
	Priorities bool
	// Admission is set when the policy uses the agents' queue and refusals.
	Admission bool
}

// Route picks an endpoint for the request, or nil when none is kept.
func (p *Policy) Route(now time.Time, r *Request, endpoints []Endpoint) *Endpoint {
	kept := make([]*Endpoint, 0, len(endpoints))
	for i := range endpoints {
		if e := &endpoints[i]; p.keep(r, e) {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return nil
	}
	drawn := p.Sample.draw(r, kept)
	scored := make([]Scored, 0, len(drawn))
	for _, e := range drawn {
		scored = append(scored, Scored{Endpoint: e, Cost: p.cost(r, e)})
	}
	picked := p.Picker.Pick(r, scored)
	if p.OnPick != nil {
		p.OnPick(now, r, picked)
	}
	return picked
}

func (p *Policy) keep(r *Request, e *Endpoint) bool {
	for _, filter := range p.Filters {
		if !filter.Keep(r, e) {
			return false
		}
	}
	return true
}

func (p *Policy) cost(r *Request, e *Endpoint) float64 {
	cost := 0.0
	for _, scorer := range p.Scorers {
		cost += scorer.Cost(r, e)
	}
	return cost
}

// Rand is the randomness that pickers need.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

var _ Rand = (*rand.Rand)(nil)
