package direct

import (
	"math"

	"aspenyard.example/directory"
)

const (
	// singleEngineShare is the fraction of an engine's memory that one request may need; a
	// request that needs more reserves memory on several engines. While each engine runs two
	// other long prompts, none has half of its memory free, and a request that needs more
	// than half on one engine waits at its first engine. Meanwhile all its parts elsewhere
	// count as pending prefill and keep other prompts queued.
	singleEngineShare = 0.5
	// endpointShare is the fraction of its memory that the endpoint itself provides for a
	// request that needs more than one engine's.
	endpointShare = 0.3
	// helperShare is the fraction of its memory that a helper can be expected to have free.
	helperShare = 0.5
	// reserveFactor is the ratio of the memory reserved to the memory needed, so that a
	// quarter of the reserving helpers may refuse. minReservingHelpers is the least number
	// for which that holds.
	reserveFactor       = 1.34
	minReservingHelpers = 4
)

// maxSingleEngineMemory is the largest memory, in tokens, that a request may need on one
// engine alone.
func maxSingleEngineMemory(engine *directory.Engine) int {
	if engine.KVCacheTokens == 0 {
		return math.MaxInt
	}
	return int(singleEngineShare * float64(engine.KVCacheTokens))
}

// enginesForMemory is the number of engines on which a request needs memory when each
// helper provides helperShare of its own.
func enginesForMemory(engine *directory.Engine, memory int) int {
	if memory <= maxSingleEngineMemory(engine) {
		return 1
	}
	each := helperShare * float64(engine.KVCacheTokens)
	return 1 + int(math.Ceil(float64(memory-endpointMemory(engine, memory))/each))
}

// endpointMemory is the part of a request's memory, in tokens, that the endpoint it is sent
// to must provide.
func endpointMemory(engine *directory.Engine, memory int) int {
	if memory <= maxSingleEngineMemory(engine) {
		return memory
	}
	return int(endpointShare * float64(engine.KVCacheTokens))
}

// splitMemory sets how much memory each engine of a plan must provide. Only the first few
// helpers, which have the most memory free, reserve any: each of them takes one call to
// reserve, one to release and one a second in between to renew, while the other helpers
// prefill their parts without any calls.
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
