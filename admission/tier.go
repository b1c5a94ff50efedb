package admission

// Tier is the rank of a request while capacity is scarce. Lower tiers go first.
type Tier uint8

// priorityCount is the number of priorities, 0 to 15, of a client account or a route.
const priorityCount = 16

// TierOf returns the tier of a request. first is the client account's priority, or the route's
// where the account has none; second is the route's priority. A priority outside of 0 to 15
// counts as the nearest in it.
func TierOf(first, second int) Tier {
	bounded := func(priority int) int { return min(max(priority, 0), priorityCount-1) }
	return Tier(priorityCount*bounded(first) + bounded(second))
}
