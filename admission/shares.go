package admission

import "slices"

// maxMinimums is the fraction of the capacity that the minimums of all tiers may take together.
const maxMinimums = 0.25

// Grant divides capacity among tiers, most urgent first. Each tier gets what it asks for, as far
// as anything is left. Tiers that offer load get at least the given fraction of the capacity, or
// less where there are so many that their minimums would exceed maxMinimums. Beyond its minimum, a
// tier gets something only while it and the more urgent ones together have less than its limit, a
// fraction of the capacity; limits may be nil. The sum of the grants does not exceed the capacity.
// All amounts have the same unit.
func Grant(capacity, minimum float64, offered, limits []float64) []float64 {
	granted := make([]float64, len(offered))
	capacity = max(capacity, 0)
	each := capacity * min(minimum, maxMinimums/float64(max(len(offered), 1)))
	left := capacity
	for i, o := range offered {
		granted[i] = min(max(o, 0), each)
		left -= granted[i]
	}
	given := 0.0
	for i, o := range offered {
		room := left
		if limits != nil {
			room = min(left, limits[i]*capacity-given-granted[i])
		}
		more := max(min(o-granted[i], room), 0)
		granted[i] += more
		given += granted[i]
		left -= more
	}
	return granted
}

// FairLevel divides capacity among client accounts by max-min fairness: it returns the largest
// amount that an account may have, so that accounts that offer less get all that they offer.
// accounts holds what each listed account offers. rest is what all others offer together; they
// count as accounts that offer as much as the smallest listed one. RestEach is that amount, of
// which the same level may be had.
func FairLevel(capacity float64, accounts []float64, rest float64) (level, restEach float64) {
	type group struct{ each, count float64 }
	groups := make([]group, 0, len(accounts)+1)
	for _, o := range accounts {
		if o > 0 {
			groups = append(groups, group{o, 1})
		}
	}
	slices.SortFunc(groups, func(a, b group) int {
		if a.each < b.each {
			return -1
		}
		return 1
	})
	if rest > 0 {
		count := 1.0
		if len(groups) > 0 {
			count = max(rest/groups[0].each, 1)
		}
		restEach = rest / count
		groups = slices.Insert(groups, 0, group{restEach, count})
		if len(groups) > 1 && groups[1].each < restEach {
			groups[0], groups[1] = groups[1], groups[0]
		}
	}
	left, count := max(capacity, 0), 0.0
	for _, g := range groups {
		count += g.count
	}
	for _, g := range groups {
		if g.each*count >= left {
			return left / count, restEach
		}
		left -= g.each * g.count
		count -= g.count
	}
	if len(groups) == 0 {
		return left, restEach
	}
	return groups[len(groups)-1].each, restEach
}
