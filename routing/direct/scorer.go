package direct

import (
	"time"

	"aspenyard.example/directory"
)

type scored struct {
	endpoint *directory.EndpointState
	cost     time.Duration
	// open is how many requests the engine has, reading what it has to prefill.
	open    int
	reading time.Duration
	// harmed is how many of the open requests would be late by the pause that a part means for
	// them; 0 where parts are short enough not to be counted.
	harmed int
	// memory is the KV cache in use there, in tokens; full is set when it has no room for
	// what the request's first engine must hold.
	memory int
	full   bool
	// preferred is set for the engine that is to hold the request.
	preferred bool
	// pace is how many times as long as described the engine's work takes.
	pace float64
}

// longOpenCost is what each open request on an engine adds to its cost for a long
// prompt, whose part would pause it. More than a short part costs would send parts to
// engines that already have much to prefill.
const longOpenCost = 50 * time.Millisecond

// openCostFor is what each open request adds to an engine's cost for a prompt.
func openCostFor(s *directory.Service, tokens int) time.Duration {
	if IsLongPrompt(s, tokens) {
		return longOpenCost
	}
	return openCost
}

// score estimates what each endpoint would cost the request.
func (p *Policy) score(now time.Time, r *Request, kept []*directory.EndpointState, engine *directory.Engine) []scored {
	list := make([]scored, 0, len(kept))
	openCost := openCostFor(r.Service, r.PromptTokens)
	pass := float64(PassTime(engine))
	for _, e := range kept {
		there := p.ledger.estimate(now, e.Incarnation)
		s := scored{endpoint: e, open: there.open, reading: there.reading, pace: there.pace}
		reading := time.Duration(s.pace*float64(there.reading)) + time.Duration(slowPassShare*(s.pace-1)*pass)
		s.cost = reading + time.Duration(there.open)*openCost + time.Duration(max(there.open+1-e.Slots, 0))*slotCost
		if engine != nil && engine.KVCacheTokens > 0 {
			s.memory = there.memory
			s.cost += time.Duration(float64(memoryCost) * float64(s.memory) / float64(engine.KVCacheTokens))
			s.full = s.memory+firstMemory(engine, r.PromptTokens+r.OutputTokens) > engine.KVCacheTokens
		}
		if e.DataCentre != r.DataCentre {
			s.cost += distanceCost
		}
		list = append(list, s)
	}
	return list
}

// discourage makes engines dearer that had better be left to others.
func discourage(list []scored, cost time.Duration) {
	for i := range list {
		list[i].cost += cost
	}
}

// preferHolder marks the cheapest of some engines that are not slow and have room: it is to
// hold a prompt whose other parts are prefilled elsewhere.
func preferHolder(list []scored) {
	best := -1
	for i, s := range list {
		if s.full || s.pace >= slowPace {
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
