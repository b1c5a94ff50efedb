package direct

import (
	"cmp"
	"slices"
	"time"
)

// chooseEngines assigns the cheapest engines to a plan, one for each part of the prompt: one
// as the plan's endpoint and the others as helpers. It returns the largest pending prefill
// of these engines.
//
// The endpoint of a long prompt is the engine among them whose memory is least used. The
// endpoint of a short prompt is the preferred engine for short prompts: its events come
// sooner there, and its memory displaces no long prompt. The other parts of a short prompt
// go to engines for long prompts.
//
// If none of the engines has enough free memory, the last one is replaced by the cheapest
// engine that has, which becomes the endpoint. An engine whose memory is full makes a
// request wait until another request ends: a prompt with less than a second of prefill
// would start only after several seconds.
//
// The helpers of a request that needs more memory than one engine provides are sorted by
// memory use, least first, because the first helpers are the ones that reserve memory.
func (p *Policy) chooseEngines(plan *Plan, list []scored, parts, singleEngineMemory int) (maxPending time.Duration) {
	for i := range list { // shuffle, so that equals come in random order
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
		first = replaceLastByNonFull(list, parts, first)
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

// byPreference orders engines for the parts of a prompt: the preferred one first, the
// others by cost.
func byPreference(a, b scored) int {
	if a.preferred != b.preferred {
		if a.preferred {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

// replaceLastByNonFull replaces the last of the first parts elements by the cheapest further
// engine whose memory is not full, and returns its index; it returns first where there is
// no such engine.
func replaceLastByNonFull(list []scored, parts, first int) int {
	for i := parts; i < len(list); i++ {
		if !list[i].full {
			list[parts-1], list[i] = list[i], list[parts-1]
			return parts - 1
		}
	}
	return first
}

// pickCheapest returns the element of lowest cost, a random one among equals, so that
// entries with the same view do not all pick the same.
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
