package emulator

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/routing/direct"
)

// maxHelpers is the number of helpers that may prefill parts of a prompt under FixedSplit.
const maxHelpers = 16

// placeBaseline places a request by one of the policies that the product's is compared with.
// It refuses only prompts that are larger than the KV cache of one engine.
func (r *request) placeBaseline() {
	sim := r.sim
	if r.promptTokens+maxOutputTokens > sim.config.Engine.KVCacheTokens {
		r.result.Refused++
		return
	}
	var helpers []*engine
	switch sim.config.Policy {
	case LeastOutstanding:
		r.engine = r.entry.leastOutstanding(sim.shuffledEngines())
	case TwoChoices:
		r.engine = r.entry.leastOutstanding([]*engine{sim.randomEngine(), sim.randomEngine()})
	case FixedSplit:
		r.engine, helpers = r.entry.fixedSplit(r)
	default:
		r.engine = sim.randomEngine()
	}
	prefill := direct.PrefillTime(&sim.config.Engine, r.promptTokens)
	r.entry.inFlight[r.engine]++
	r.engine.submit(&job{
		request: r, memoryTokens: r.promptTokens + maxOutputTokens, helpers: helpers, unfinishedParts: 1 + len(helpers), partPrefill: prefill / time.Duration(1+len(helpers)), eventsLeft: r.kind.Events,
	})
}

// randomEngine returns an engine drawn at random.
func (sim *simulation) randomEngine() *engine {
	return sim.engines[sim.endpoints[sim.rand.IntN(len(sim.endpoints))].Incarnation]
}

// engineList returns the engines in the order of the endpoint list.
func (sim *simulation) engineList() []*engine {
	list := make([]*engine, 0, len(sim.endpoints))
	for _, endpoint := range sim.endpoints {
		list = append(list, sim.engines[endpoint.Incarnation])
	}
	return list
}

// shuffledEngines returns the engines in random order, so that ties between equally loaded
// engines do not always go to the same one.
func (sim *simulation) shuffledEngines() []*engine {
	list := sim.engineList()
	sim.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// leastOutstanding returns the first engine at which this entry has the fewest requests in
// flight.
func (e *entry) leastOutstanding(list []*engine) *engine {
	return slices.MinFunc(list, func(a, b *engine) int { return cmp.Compare(e.inFlight[a], e.inFlight[b]) })
}

// fixedSplit returns an engine of the half for short prompts, or, for a long prompt, an engine
// of the other half and its helpers.
func (e *entry) fixedSplit(r *request) (*engine, []*engine) {
	list := r.sim.engineList()
	half := max(len(list)/2, 1)
	short, long := list[:half], list[half:]
	if len(long) == 0 || !direct.IsLongPrompt(r.sim.service, r.promptTokens) {
		return e.leastOutstanding(short), nil
	}
	slices.SortStableFunc(long, func(a, b *engine) int { return cmp.Compare(e.inFlight[a], e.inFlight[b]) })
	return long[0], long[1:min(1+maxHelpers, len(long))]
}
