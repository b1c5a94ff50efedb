package admission

import "slices"

// maxMinimums is the fraction of the capacity that the minimums of all tiers may take together.
const maxMinimums = 0.25

// Load is what requests need of engines, in milliseconds of one engine a second. A request that holds
// half of an engine's KV cache for a second needs 500 ms of Memory.
type Load struct {
	Time, Memory float64
}

// times returns the load multiplied by factor. The conversions keep the compiler from fusing the products with a later
// addition, which would make shares differ between architectures.
func (l Load) times(factor float64) Load {
	return Load{float64(factor * l.Time), float64(factor * l.Memory)}
}

func (l Load) plus(other Load) Load { return Load{l.Time + other.Time, l.Memory + other.Memory} }

func (l Load) minus(other Load) Load { return l.plus(other.times(-1)) }

// shareWithin returns the largest share of the load, 0 to 1, that is within room.
func (l Load) shareWithin(room Load) float64 {
	share := 1.0
	if l.Time > 0 {
		share = min(share, room.Time/l.Time)
	}
	if l.Memory > 0 {
		share = min(share, room.Memory/l.Memory)
	}
	return max(share, 0)
}

// GrantShares divides capacity among tiers, most urgent first, and returns the share of each tier's load
// that is granted. Each tier gets what it offers, as far as anything is left of the time and the memory:
// what one tier leaves of the one because it lacks the other is left to the next. Tiers that offer load
// get at least the given fraction of the capacity, or less where there are so many that their minimums
// would exceed maxMinimums. Beyond its minimum, a tier gets something only while it and the more urgent
// ones together have less than its limit, a fraction of the capacity; limits may be nil.
func GrantShares(capacity Load, minimum float64, offered []Load, limits []float64) []float64 {
	shares := make([]float64, len(offered))
	capacity = Load{max(capacity.Time, 0), max(capacity.Memory, 0)}
	each := capacity.times(min(minimum, maxMinimums/float64(max(len(offered), 1))))
	left := capacity
	for i, o := range offered {
		shares[i] = o.shareWithin(each)
		left = left.minus(o.times(shares[i]))
	}
	given := Load{}
	for i, o := range offered {
		room := left
		if limits != nil {
			limit := capacity.times(limits[i]).minus(given).minus(o.times(shares[i]))
			room = Load{min(left.Time, limit.Time), min(left.Memory, limit.Memory)}
		}
		more := min(o.shareWithin(room), 1-shares[i])
		shares[i] += more
		given = given.plus(o.times(shares[i]))
		left = left.minus(o.times(more))
	}
	return shares
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
