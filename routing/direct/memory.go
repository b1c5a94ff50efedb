package direct

import (
	"math"

	"aspenyard.example/directory"
)

const (
	// singleEngineShare is the part of an engine's memory that one request may need; what needs more
	// is reserved at several engines. A request over half of it finds no engine with room
	// while two like it decode on each, and waits at its first one; all parts that it has
	// elsewhere count meanwhile as prefill under way, and hold others back.
	singleEngineShare = 0.5
	// endpointShare is the part of its memory that the first engine of a request gives
	// that needs more than one engine's.
	endpointShare = 0.3
	// helperShare is the part of its memory that a helper can be expected to have free.
	helperShare = 0.5
	// reserveFactor is how much more than needed is reserved, so that a quarter of the holders
	// may refuse; leastHolders are as many as that takes.
	reserveFactor       = 1.34
	minReservingHelpers = 4
)

// maxSingleEngineMemory is the largest need of memory, in tokens, that one engine takes.
func maxSingleEngineMemory(engine *directory.Engine) int {
	if engine.KVCacheTokens == 0 {
		return math.MaxInt
	}
	return int(singleEngineShare * float64(engine.KVCacheTokens))
}

// enginesForMemory is on how many engines a request needs memory, when its helpers each give
// helperShare of theirs.
func enginesForMemory(engine *directory.Engine, memory int) int {
	if memory <= maxSingleEngineMemory(engine) {
		return 1
	}
	each := helperShare * float64(engine.KVCacheTokens)
	return 1 + int(math.Ceil(float64(memory-endpointMemory(engine, memory))/each))
}

// endpointMemory is what the first engine of a request has to hold of the memory that it
// needs, in tokens.
func endpointMemory(engine *directory.Engine, memory int) int {
	if memory <= maxSingleEngineMemory(engine) {
		return memory
	}
	return int(endpointShare * float64(engine.KVCacheTokens))
}

// splitMemory sets what each engine of a plan has to hold. Few helpers hold memory, the
// first ones, which have most of it free: each holder takes an order to reserve, one to release and one a
// second between them, and the other helpers prefill their parts without any.
func (plan *Plan) splitMemory(engine *directory.Engine) {
	plan.EndpointMemoryTokens = plan.MemoryTokens
	if plan.MemoryTokens <= maxSingleEngineMemory(engine) || len(plan.Helpers) == 0 {
		return
	}
	plan.EndpointMemoryTokens = endpointMemory(engine, plan.MemoryTokens)
	reserved := reserveFactor * float64(plan.MemoryTokens-plan.EndpointMemoryTokens)
	each := helperShare * float64(engine.KVCacheTokens)
	plan.ReservingHelpers = min(max(minReservingHelpers, int(math.Ceil(reserved/each))), len(plan.Helpers))
	plan.HelperMemoryTokens = int(math.Ceil(reserved / float64(plan.ReservingHelpers)))
}
