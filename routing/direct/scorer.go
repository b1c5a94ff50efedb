package direct

import (
	"time"

	"aspenyard.example/directory"
)

type scored struct {
	endpoint *directory.EndpointState
	cost     time.Duration
	// inFlight is how many requests the engine has, reading what it has to prefill.
	inFlight       int
	pendingPrefill time.Duration
	// delayed is how many of the open requests would be late by the pause that a part means for
	// them; 0 where parts are short enough not to be counted.
	delayed int
	// memoryTokens is the KV cache in use there, in tokens; full is set when it has no room for
	// what the request's first engine must hold.
	memoryTokens int
	full         bool
	// preferred is set for the engine that is to hold the request.
	preferred bool
	// slowdown is how many times as long as described the engine's work takes.
	slowdown float64
}

// longInFlightCost is what each open request on an engine adds to its cost for a long
// prompt, whose part would pause it. More than a short part costs would send parts to
// engines that already have much to prefill.
const longInFlightCost = 50 * time.Millisecond

// inFlightCostFor is what each open request adds to an engine's cost for a prompt.
func inFlightCostFor(s *directory.Service, tokens int) time.Duration {
	if IsLongPrompt(s, tokens) {
		return longInFlightCost
	}
	return inFlightCost
}

// score estimates what each endpoint would cost the request.
func (p *Policy) score(now time.Time, r *Request, candidates []*directory.EndpointState, engine *directory.Engine) []scored {
	list := make([]scored, 0, len(candidates))
	perRequest := inFlightCostFor(r.Service, r.PromptTokens)
	pass := float64(PassTime(engine))
	for _, e := range candidates {
		load := p.tracker.estimate(now, e.Incarnation)
		s := scored{endpoint: e, inFlight: load.inFlight, pendingPrefill: load.pendingPrefill, slowdown: load.slowdown}
		prefill := time.Duration(s.slowdown*float64(load.pendingPrefill)) + time.Duration(passesPerSlowdown*(s.slowdown-1)*pass)
		s.cost = prefill + time.Duration(load.inFlight)*perRequest + time.Duration(max(load.inFlight+1-e.Slots, 0))*overSlotsCost
		if engine != nil && engine.KVCacheTokens > 0 {
			s.memoryTokens = load.memoryTokens
			s.cost += time.Duration(float64(memoryCost) * float64(s.memoryTokens) / float64(engine.KVCacheTokens))
			s.full = s.memoryTokens+endpointMemory(engine, r.PromptTokens+r.OutputTokens) > engine.KVCacheTokens
		}
		if e.DataCentre != r.DataCentre {
			s.cost += distanceCost
		}
		list = append(list, s)
	}
	return list
}

// addCost makes engines dearer that had better be left to others.
func addCost(list []scored, cost time.Duration) {
	for i := range list {
		list[i].cost += cost
	}
}

// markPreferred marks the cheapest of some engines that are not slow and have room: it is to
// hold a prompt whose other parts are prefilled elsewhere.
func markPreferred(list []scored) {
	best := -1
	for i, s := range list {
		if s.full || s.slowdown >= slowThreshold {
			continue
		}
		if best < 0 || s.cost < list[best].cost {
			best = i
		}
	}
	if best >= 0 {
		list[best].preferred = true
	}
}
