package direct

import (
	"math"

	"aspenyard.example/directory"
)

const (
	// aloneShare is the part of an engine's memory that one request may need; what needs more
	// is reserved at several engines. A request over half of it finds no engine with room
	// while two like it decode on each, and waits at its first one; all parts that it has
	// elsewhere count meanwhile as prefill under way, and hold others back.
	aloneShare = 0.5
	// firstShare is the part of its memory that the first engine of a request gives
	// that needs more than one engine's.
	firstShare = 0.3
	// helperShare is the part of its memory that a helper can be expected to have free.
	helperShare = 0.5
	// reserveSpare is how much more than needed is reserved, so that a quarter of the holders
	// may refuse; leastHolders are as many as that takes.
	reserveSpare = 1.34
	leastHolders = 4
)

// aloneMemory is the largest need of memory, in tokens, that one engine takes.
func aloneMemory(engine *directory.Engine) int {
	if engine.KVCacheTokens == 0 {
		return math.MaxInt
	}
	return int(aloneShare * float64(engine.KVCacheTokens))
}

// holders is on how many engines a request needs memory, when its helpers each give
// helperShare of theirs.
func holders(engine *directory.Engine, memory int) int {
	if memory <= aloneMemory(engine) {
		return 1
	}
	each := helperShare * float64(engine.KVCacheTokens)
	return 1 + int(math.Ceil(float64(memory-firstMemory(engine, memory))/each))
}

// firstMemory is what the first engine of a request has to hold of the memory that it
// needs, in tokens.
func firstMemory(engine *directory.Engine, memory int) int {
	if memory <= aloneMemory(engine) {
		return memory
	}
	return int(firstShare * float64(engine.KVCacheTokens))
}

// divideMemory sets what each engine of a plan has to hold. Few helpers hold memory, the
// first ones, which have most of it free: each holder takes an order to reserve, one to release and one a
// second between them, and the other helpers prefill their parts without any.
func (plan *Plan) divideMemory(engine *directory.Engine) {
	plan.EndpointMemoryTokens = plan.MemoryTokens
	if plan.MemoryTokens <= aloneMemory(engine) || len(plan.Helpers) == 0 {
		return
	}
	plan.EndpointMemoryTokens = firstMemory(engine, plan.MemoryTokens)
	reserved := reserveSpare * float64(plan.MemoryTokens-plan.EndpointMemoryTokens)
	each := helperShare * float64(engine.KVCacheTokens)
	plan.ReservingHelpers = min(max(leastHolders, int(math.Ceil(reserved/each))), len(plan.Helpers))
	plan.HelperMemoryTokens = int(math.Ceil(reserved / float64(plan.ReservingHelpers)))
}
