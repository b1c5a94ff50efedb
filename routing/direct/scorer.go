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
	// requestsFit is the number of requests like this one for whose endpoint's memory the engine has
	// room.
	requestsFit float64
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
			needed := endpointMemory(engine, r.PromptTokens+r.OutputTokens)
			s.full = s.memoryTokens+needed > engine.KVCacheTokens
			s.requestsFit = float64(engine.KVCacheTokens-s.memoryTokens) / float64(max(needed, 1))
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

// ampleRequests is the number of requests like the one that is placed for which the cheapest engine must have
// memory to be picked by all entries: several of them pick it within the 100 ms between two reports.
const ampleRequests = 4

// memoryDrawPrecision is the number of steps of a request in which memory is weighed.
const memoryDrawPrecision = 16

// markPreferred marks the cheapest of the first count engines, those for short prompts, that are not slow
// and whose memory is not full. A prompt whose other parts are prefilled elsewhere should be sent to it.
// With spreadMemory, and where its memory is short, a random one of all engines is marked, by how many such
// requests they have memory for: entries learn of each other's requests 100 ms later, and if all picked the
// cheapest engine, prompts would wait there for seconds while others have memory.
func (p *Policy) markPreferred(list []scored, count int, spreadMemory bool) {
	best := -1
	for i, s := range list[:count] {
		if s.full || s.slowdown >= slowThreshold {
			continue
		}
		if best < 0 || s.cost < list[best].cost {
			best = i
		}
	}
	if spreadMemory && (best < 0 || list[best].requestsFit < ampleRequests) {
		if drawn := p.drawByMemory(list); drawn >= 0 {
			best = drawn
		}
	}
	if best >= 0 {
		list[best].preferred = true
	}
}

// memoryWeight is the weight of an engine by the number of requests like the one that is placed, beyond the
// first, for which it has memory; 0 for a slow one.
func (s *scored) memoryWeight() int {
	if s.slowdown >= slowThreshold {
		return 0
	}
	return max(int(memoryDrawPrecision*(s.requestsFit-1)), 0)
}

// drawByMemory draws an engine by memoryWeight and returns its index; -1 if none has memory for more than
// one request.
func (p *Policy) drawByMemory(list []scored) int {
	drawn, sum := -1, 0
	for i, s := range list {
		weight := s.memoryWeight()
		if weight <= 0 {
			continue
		}
		if sum += weight; p.rand.IntN(sum) < weight {
			drawn = i
		}
	}
	return drawn
}
