package direct

import (
	"cmp"
	"slices"
	"time"
)

// chooseEngines takes the engines with the least cost. The one that a long prompt is sent to is
// that, of them, whose memory is least used; a short one is sent to the engine for short
// prompts that is preferred, where its events come sooner and its memory is in nobody's way,
// and its other parts to engines for long ones. Where none of them has room, another one is
// taken: an engine without room holds a request back until another one ends, and prompts that
// are prefilled in less than a second would begin after several. The helpers of a request that
// needs more memory than alone come in the order of what is free there, as the first of them
// are to hold it. It gives the most that any of the engines has to prefill before.
func (p *Policy) chooseEngines(plan *Plan, list []scored, parts, singleEngineMemory int) (maxPending time.Duration) {
	for i := range list { // random among equals
		j := i + p.rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	slices.SortStableFunc(list, byPreference)
	first := 0
	for i := 1; i < parts; i++ {
		if plan.Long && list[i].memoryTokens < list[first].memoryTokens || list[first].full && !list[i].full {
			first = i
		}
	}
	if list[first].full {
		first = replaceLastWithRoom(list, parts, first)
	}
	plan.Endpoint, plan.Cost = list[first].endpoint, list[first].cost
	helpers := append(list[:first:first], list[first+1:parts]...)
	if plan.MemoryTokens > singleEngineMemory {
		slices.SortStableFunc(helpers, func(a, b scored) int { return cmp.Compare(a.memoryTokens, b.memoryTokens) })
	}
	for _, s := range helpers {
		plan.Helpers = append(plan.Helpers, s.endpoint)
	}
	for _, s := range list[:parts] {
		plan.InFlight += s.inFlight
		plan.Delayed += s.delayed
		maxPending = max(maxPending, s.pendingPrefill)
	}
	return maxPending
}

// byPreference orders engines for the parts of a prompt.
func byPreference(a, b scored) int {
	if a.preferred != b.preferred {
		if a.preferred {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

// replaceLastWithRoom brings the cheapest engine that has room among the first of a list, in place
// of the last of them, and gives its index; first where none has.
func replaceLastWithRoom(list []scored, parts, first int) int {
	for i := parts; i < len(list); i++ {
		if !list[i].full {
			list[parts-1], list[i] = list[i], list[parts-1]
			return parts - 1
		}
	}
	return first
}

// pickCheapest takes the lowest cost, one at random among equals, so that entries with the
// same view do not all take the same.
func pickCheapest(rand Rand, list []scored) scored {
	best, equal := list[0], 1
	for _, s := range list[1:] {
		switch {
		case s.cost < best.cost:
			best, equal = s, 1
		case s.cost == best.cost:
			equal++
			if rand.IntN(equal) == 0 {
				best = s
			}
		}
	}
	return best
}
