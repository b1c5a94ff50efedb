package direct

import (
	"time"

	"aspenyard.example/directory"
)

// scored is an endpoint with its estimated cost for a request and the load behind it.
type scored struct {
	endpoint *directory.EndpointState
	cost     time.Duration
	// inFlight is the number of the engine's requests in flight, pendingPrefill its pending
	// prefill time.
	inFlight       int
	pendingPrefill time.Duration
	// delayed is the number of its requests that would be late by the pause that a part
	// causes; 0 where parts are short enough not to be counted.
	delayed int
	// memoryTokens is the KV cache that its requests need, in tokens. full is set when the
	// engine lacks the memory that a request's endpoint must provide, see endpointMemory.
	memoryTokens int
	full         bool
	// preferred is set for the engine to which the request should be sent.
	preferred bool
	// slowdown is the engine's slowdown, see slowThreshold; 1 unless it is slow.
	slowdown float64
}

// longInFlightCost is what each request in flight on an engine adds to its cost for a long
// prompt, whose part would pause it. If it were more than a short part costs, parts would
// go to engines that already have much to prefill.
const longInFlightCost = 50 * time.Millisecond

// inFlightCostFor returns what each request in flight adds to an engine's cost for a
// prompt.
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
		if p.tracker.backoffs.peerBackoff(now, e.Incarnation) {
			s.cost += peerBackoffCost
		}
		if e.DataCentre != r.DataCentre {
			s.cost += distanceCost
		}
		list = append(list, s)
	}
	return list
}

// addCost adds a cost to engines that should be left to other requests.
func addCost(list []scored, cost time.Duration) {
	for i := range list {
		list[i].cost += cost
	}
}

// markPreferred marks the cheapest of the engines that are not slow and whose memory is
// not full. A prompt whose other parts are prefilled elsewhere should be sent to it.
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
