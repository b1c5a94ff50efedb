package directory

import "slices"

const (
	// maxPriority is the largest priority that is told apart; priorities above count as this one.
	maxPriority = 15
	// priorityBase is the factor of the first priority in a tier.
	priorityBase = maxPriority + 1
)

// Tier ranks the requests of a client account, which may be nil, to the route; 0 is the most urgent. The
// account's priority (the route's where the account has none) ranks before the route's.
func (r *Route) Tier(account *Account) int {
	first := r.Priority
	if account != nil && account.HasPriority {
		first = account.Priority
	}
	return priorityBase*clampPriority(first) + clampPriority(r.Priority)
}

func clampPriority(priority int) int { return min(max(priority, 0), maxPriority) }

// indexTiers returns the tiers that requests of the configuration can have, in ascending order.
func (c *Config) indexTiers() []int {
	overrides := map[int]*Account{}
	withoutOverride := c.accounts == nil
	for _, account := range c.accounts {
		if account.HasPriority {
			overrides[clampPriority(account.Priority)] = account
		} else {
			withoutOverride = true
		}
	}
	var tiers []int
	for _, routes := range c.routes {
		for _, route := range routes {
			if withoutOverride || route.Public {
				tiers = append(tiers, route.Tier(nil))
			}
			for _, account := range overrides {
				tiers = append(tiers, route.Tier(account))
			}
		}
	}
	slices.Sort(tiers)
	return slices.Compact(tiers)
}

// PriorityRank returns how urgent the requests of a client account to a route are among all that the
// configuration allows: 0 for the most urgent, 1 for the least urgent, 0 if all are equally urgent.
func (c *Config) PriorityRank(route *Route, account *Account) float64 {
	if len(c.tiers) < 2 {
		return 0
	}
	rank, _ := slices.BinarySearch(c.tiers, route.Tier(account))
	return float64(min(rank, len(c.tiers)-1)) / float64(len(c.tiers)-1)
}
