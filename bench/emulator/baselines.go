package emulator

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/routing/direct"
)

// mostHelpers is how many engines may prefill parts of a prompt beside its first.
const mostHelpers = 16

// placeBaseline sends a request as the policies do that the product's is compared with.
func (r *request) placeBaseline() {
	w := r.world
	if r.tokens+outputTokens > w.config.Engine.KVCacheTokens {
		r.result.Refused++
		return
	}
	var helpers []*engine
	switch w.config.Policy {
	case LeastOutstanding:
		r.engine = r.entry.least(w.all())
	case TwoChoices:
		r.engine = r.entry.least([]*engine{w.any(), w.any()})
	case FixedSplit:
		r.engine, helpers = r.entry.split(r)
	default:
		r.engine = w.any()
	}
	prefill := direct.PrefillTime(&w.config.Engine, r.tokens)
	r.entry.outstanding[r.engine]++
	r.engine.submit(&job{
		request: r, memory: r.tokens + outputTokens, helpers: helpers, missing: 1 + len(helpers), part: prefill / time.Duration(1+len(helpers)), events: r.kind.Events,
	})
}

func (w *world) any() *engine { return w.engines[w.list[w.rand.IntN(len(w.list))].Incarnation] }

// ordered gives the engines in the order of their list.
func (w *world) ordered() []*engine {
	list := make([]*engine, 0, len(w.list))
	for _, listed := range w.list {
		list = append(list, w.engines[listed.Incarnation])
	}
	return list
}

// all gives the engines in a random order, so that equal ones are not taken in turn.
func (w *world) all() []*engine {
	list := w.ordered()
	w.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// least gives the first engine to which the entry has sent least that has not ended.
func (e *entry) least(list []*engine) *engine {
	return slices.MinFunc(list, func(a, b *engine) int { return cmp.Compare(e.outstanding[a], e.outstanding[b]) })
}

// split gives an engine of the half for prompts that are not long, or of the other half one
// and its helpers.
func (e *entry) split(r *request) (*engine, []*engine) {
	list := r.world.ordered()
	half := max(len(list)/2, 1)
	short, long := list[:half], list[half:]
	if len(long) == 0 || !direct.IsLongPrompt(r.world.service, r.tokens) {
		return e.least(short), nil
	}
	slices.SortStableFunc(long, func(a, b *engine) int { return cmp.Compare(e.outstanding[a], e.outstanding[b]) })
	return long[0], long[1:min(1+mostHelpers, len(long))]
}
