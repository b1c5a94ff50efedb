package direct

import (
	"math"
	"time"

	"aspenyard.example/directory"
)

const (
	// aloneShare is the part of an engine's memory that one request may need; the rest
	// is for those that decode there.
	aloneShare = 0.85
	// firstShare is the part of its memory that the first engine of a request gives
	// that needs more than one engine's.
	firstShare = 0.3
	// reserveSpare lets a quarter of the helpers refuse.
	reserveSpare = 1.34
)

// aloneMemory is the largest need of memory, in tokens, that one engine takes.
func aloneMemory(engine *directory.Engine) int {
	if engine.MemoryTokens == 0 {
		return math.MaxInt
	}
	return int(aloneShare * float64(engine.MemoryTokens))
}

// spread takes all engines for a request that needs more memory than one has.
func (p *Policy) spread(now time.Time, r *Request, kept []*directory.Listed, list []scored) ([]scored, int) {
	if len(list) < maxParts {
		list = p.score(now, r, kept, r.Service.Engine)
	}
	return list, min(maxParts, len(list))
}

// divideMemory sets what each engine of a plan has to hold.
func (plan *Plan) divideMemory(engine *directory.Engine) {
	plan.FirstMemory = plan.Memory
	if plan.Memory <= aloneMemory(engine) || len(plan.Helpers) == 0 {
		return
	}
	plan.FirstMemory = int(firstShare * float64(engine.MemoryTokens))
	plan.HelperMemory = int(reserveSpare * float64(plan.Memory-plan.FirstMemory) / float64(len(plan.Helpers)))
}
