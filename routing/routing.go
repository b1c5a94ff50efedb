// Package routing picks the endpoint for a request that is sent to the agent beside it:
// filters drop endpoints that cannot serve the request, scorers estimate what each would
// cost it, and a picker takes one. It works on a read-only snapshot, so that requests never
// wait for the control loop. A stale snapshot costs time and never correctness, because the
// agent decides whether work starts.
package routing

import (
	"math/rand/v2"
	"time"

	"aspenyard.example/admission"
)

// Endpoint is an endpoint as last reported to an entry.
type Endpoint struct {
	// Name identifies the endpoint's VM; Addr is its agent's address.
	Name, Addr, DataCentre string
	// EngineAddr is the address from which other engines import its KV cache.
	EngineAddr  string
	Incarnation uint64
	Models      []string
	Services    []string
	// Suspect is set when nothing was received from the endpoint for too long, Leaving when
	// the endpoint itself or the platform's list says that it is leaving.
	Suspect, Leaving bool

	// MemoryTokens is the size of the KV cache in tokens, PrefillRate the prefill rate in
	// tokens a second, and MaxRunning the batch size.
	MemoryTokens, PrefillRate, MaxRunning int

	// Running and Queued are the numbers of requests, FreeMemory is the free KV cache in
	// tokens and Backlog the prefill backlog, all by the last load report.
	Running, Queued, FreeMemory int
	Backlog                     admission.Backlog
	// Reported is when this entry received that report.
	Reported time.Time
}

// Request describes a request for routing.
type Request struct {
	// Model or Service names what must serve the request.
	Model, Service             string
	Class                      admission.Class
	PromptTokens, OutputTokens int
	// Prefix holds the hashes of the prompt's prefixes, see PrefixHashes.
	Prefix []uint64
	// DataCentre is the entry's own data centre, the nearest to the caller.
	DataCentre string
	// Tried holds the names of the endpoints that have already failed this request.
	Tried map[string]bool
	// Key identifies a refused request whenever it comes back, at any entry.
	Key uint64
	// PrefillPart is set for a part of a prompt that no endpoint holds alone.
	PrefillPart bool
}

// Level returns the request's priority level at the engine.
func (r *Request) Level() admission.Level {
	return admission.LevelOf(r.Class, r.PromptTokens)
}

// Filter drops endpoints that must not get a request.
type Filter interface {
	// Keep reports whether the endpoint may serve the request.
	Keep(r *Request, e *Endpoint) bool
}

// Scorer estimates what an endpoint would cost a request.
type Scorer interface {
	// Cost returns the expected delay of the first token, in seconds; negative for time
	// saved.
	Cost(r *Request, e *Endpoint) float64
}

// Scored is an endpoint that passed the filters, with the sum of its costs in seconds.
type Scored struct {
	Endpoint *Endpoint
	Cost     float64
}

// Picker picks one of the scored endpoints.
type Picker interface {
	// Pick returns the picked endpoint. scored must not be empty.
	Pick(r *Request, scored []Scored) *Endpoint
}

// Policy combines the filters, scorers and picker that route a request.
type Policy struct {
	Name    string
	Filters []Filter
	// Sample draws the endpoints that are scored; its zero value keeps all.
	Sample  Sample
	Scorers []Scorer
	Picker  Picker
	// OnPick, if set, is called with every pick.
	OnPick func(now time.Time, r *Request, e *Endpoint)
	// Priorities is set when the policy uses the engines' priorities.
	Priorities bool
	// Admission is set when the policy uses the agents' queue and refusals.
	Admission bool
}

// Route returns the endpoint for a request, or nil when no endpoint passes the filters.
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

// Rand is the source of randomness for pickers.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

var _ Rand = (*rand.Rand)(nil)
