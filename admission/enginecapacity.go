package admission

import "time"

// EngineState is what an entry knows of an engine that may be sent requests. The loads are those
// of all entries.
type EngineState struct {
	// Slowdown multiplies the time of all work; 1 for an engine at the described speed.
	Slowdown float64
	// Slots is how many requests the engine runs at once, InFlight how many it has.
	Slots, InFlight int
	// PendingPrefill is the prefill time that was sent to the engine and is not done.
	PendingPrefill time.Duration
	// KVCacheTokens is the size of the KV cache, MemoryTokens what requests need of it.
	KVCacheTokens, MemoryTokens int
}

// fullPrefill is the pending prefill with which an engine counts as fully in use: about as long as
// the first token of a short prompt may take.
const fullPrefill = 250 * time.Millisecond

// use is the fraction of the engine's slots, memory or time that is in use, whichever is largest;
// 0 to 1.
func (e *EngineState) use() float64 {
	used := float64(e.InFlight) / float64(max(e.Slots, 1))
	used = max(used, e.memoryUse())
	return min(max(used, e.Slowdown*e.PendingPrefill.Seconds()/fullPrefill.Seconds()), 1)
}

// memoryUse is the fraction of the engine's KV cache that is in use, 0 to 1.
func (e *EngineState) memoryUse() float64 {
	if e.KVCacheTokens <= 0 {
		return 0
	}
	return min(float64(e.MemoryTokens)/float64(e.KVCacheTokens), 1)
}

// EngineCapacity sums up the engines of a service.
type EngineCapacity struct {
	// Rate is the engine time that the engines provide, in milliseconds a second. A slow engine
	// provides less.
	Rate float64
	// Use is the mean fraction of the engines that is in use, 0 to 1. A slow engine counts less.
	Use float64
	// MemoryRate is Rate over the engines whose KV cache is known, and MemoryUse the mean fraction of
	// it that is in use, 0 to 1.
	MemoryRate, MemoryUse float64
}

// SumEngines sums up engines.
func SumEngines(engines []EngineState) EngineCapacity {
	var c EngineCapacity
	for i := range engines {
		e := &engines[i]
		rate := millisecondsPerSecond / max(e.Slowdown, 1)
		c.Rate += rate
		c.Use += e.use() * rate
		if e.KVCacheTokens > 0 {
			c.MemoryRate += rate
			c.MemoryUse += e.memoryUse() * rate
		}
	}
	c.Use /= max(c.Rate, 1)
	c.MemoryUse /= max(c.MemoryRate, 1)
	return c
}

const millisecondsPerSecond = 1000

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return d.Seconds() * millisecondsPerSecond }

// Places estimates how many requests with the given engine time and prefill time the engines can
// start so that their first tokens come within slack: how many find a free slot, or one that
// another request frees by then, and are prefilled by then. able is false if no engine could start
// any in time even if it had nothing else to do.
func Places(engines []EngineState, slack, cost, prefill time.Duration) (places float64, able bool) {
	for i := range engines {
		e := &engines[i]
		slowdown := max(e.Slowdown, 1)
		able = able || slowdown*prefill.Seconds() <= slack.Seconds()
		left := slack.Seconds() - slowdown*(e.PendingPrefill+prefill).Seconds()
		if left < 0 {
			continue
		}
		prefills := 1 + left/max(slowdown*prefill.Seconds(), minPrefillSeconds)
		freed := left / max(slowdown*cost.Seconds(), minPrefillSeconds)
		places += max(min(float64(e.Slots-e.InFlight)+freed, prefills), 0)
	}
	return places, able
}

// minPrefillSeconds keeps estimates finite for prompts of a few tokens.
const minPrefillSeconds = 0.001
