package emulator

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/routing/direct"
)

// maxHelpers is how many engines may prefill parts of a prompt beside its first.
const maxHelpers = 16

// placeBaseline sends a request as the policies do that the product's is compared with.
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

func (sim *simulation) randomEngine() *engine {
	return sim.engines[sim.endpoints[sim.rand.IntN(len(sim.endpoints))].Incarnation]
}

// engineList gives the engines in the order of their list.
func (sim *simulation) engineList() []*engine {
	list := make([]*engine, 0, len(sim.endpoints))
	for _, listed := range sim.endpoints {
		list = append(list, sim.engines[listed.Incarnation])
	}
	return list
}

// shuffledEngines gives the engines in a random order, so that equal ones are not taken in turn.
func (sim *simulation) shuffledEngines() []*engine {
	list := sim.engineList()
	sim.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// leastOutstanding gives the first engine to which the entry has sent leastOutstanding that has not ended.
func (e *entry) leastOutstanding(list []*engine) *engine {
	return slices.MinFunc(list, func(a, b *engine) int { return cmp.Compare(e.inFlight[a], e.inFlight[b]) })
}

// fixedSplit gives an engine of the half for prompts that are not long, or of the other half one
// and its helpers.
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
