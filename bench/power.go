package bench

import (
	"fmt"
	"math/rand/v2"

	"aspenyard.example/power"
)

// PowerResult shows how much of a site's power cap was used.
type PowerResult struct {
	Case string `json:"case"`
	// Unused is the share of the cap above the endpoints' floors that the demand could have
	// used but did not; EqualUnused is the same with a static equal split.
	Unused      float64 `json:"idle"`
	EqualUnused float64 `json:"equal_idle"`
	// Writes is the number of ledger writes a round, Exceeded the number of rounds in which
	// the draw was above the cap.
	Writes   float64 `json:"writes_per_round"`
	Exceeded int     `json:"exceeded"`
}

// powerCases name how the demand is distributed over the endpoints.
var powerCases = []string{"even", "half idle", "one in five busy", "moving", "bursts"}

const (
	powerEndpoints = 25
	powerRounds    = 2000
	powerSlots     = 32
	powerFloor     = 1000
	powerMax       = 5000
	powerCap       = 75_000 // in watts, like powerFloor and powerMax
	moveRounds     = 50
)

// simulatedEndpoint is an endpoint that runs as much of its demand, in slots, as its power grant allows.
type simulatedEndpoint struct {
	limit  *power.Limit
	demand int
}

func (e *simulatedEndpoint) running() int { return min(e.demand, e.limit.Slots()) }

func (e *simulatedEndpoint) report(name string) power.Report {
	return power.Report{
		Endpoint: name, Incarnation: 1, FloorWatts: powerFloor, MaxWatts: powerMax, WantWatts: e.limit.WorstCaseDraw(e.demand),
		LimitWatts: e.limit.EnforcedWatts(e.running()), Revision: e.limit.Revision(),
	}
}

// Power runs the real power ledger over rounds of changing demand, for each case. In each
// round the power coordinator gets the reports, plans the ledger and sends the grants. The agents
// confirm a grant with their report of the next round.
func Power(seed uint64) ([]PowerResult, error) {
	var results []PowerResult
	for _, name := range powerCases {
		result, err := runPower(seed, name)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// runPower runs one case.
func runPower(seed uint64, name string) (PowerResult, error) {
	random := rand.New(rand.NewPCG(seed, 5))
	ledger, err := power.DecodeLedger(nil)
	if err != nil {
		return PowerResult{}, err
	}
	endpoints := make([]*simulatedEndpoint, powerEndpoints)
	for i := range endpoints {
		endpoints[i] = &simulatedEndpoint{limit: power.NewLimit(1, powerFloor, powerMax, powerSlots)}
		endpoints[i].limit.SetCapped(true)
	}
	result := PowerResult{Case: name}
	usable, used, equalUsed, writes := 0.0, 0.0, 0.0, 0
	for round := range powerRounds {
		for i, e := range endpoints {
			e.demand = demandOf(random, name, round, i, e.demand)
		}
		reports := make([]power.Report, 0, len(endpoints))
		for i, e := range endpoints {
			reports = append(reports, e.report(fmt.Sprint("worker-", i)))
		}
		if next := power.Plan(ledger, powerCap, reports); next != nil {
			ledger = next
			writes++
		}
		for i, e := range endpoints {
			grant := ledger.Grants[fmt.Sprint("worker-", i)]
			e.limit.Apply(grant.Incarnation, grant.Revision, grant.Watts)
		}
		roundUsable, roundUsed, roundEqual, draw := sumUsage(endpoints)
		usable, used, equalUsed = usable+roundUsable, used+roundUsed, equalUsed+roundEqual
		if draw > powerCap {
			result.Exceeded++
		}
	}
	result.Unused, result.EqualUnused = 1-used/usable, 1-equalUsed/usable
	result.Writes = float64(writes) / powerRounds
	return result, nil
}

// sumUsage sums the watts above the floors that the demand could use within the cap, that it used,
// and that it would use with equal shares of the cap, and the total draw in watts.
func sumUsage(endpoints []*simulatedEndpoint) (usable, used, equal float64, draw uint64) {
	const perSlot = (powerMax - powerFloor) / powerSlots
	const equalSlots = (powerCap/powerEndpoints - powerFloor) / perSlot
	demand := 0
	for _, e := range endpoints {
		demand += e.demand
		used += float64(e.running() * perSlot)
		equal += float64(min(e.demand, equalSlots) * perSlot)
		draw += e.limit.WorstCaseDraw(e.running())
	}
	usable = min(float64(demand*perSlot), powerCap-powerEndpoints*powerFloor)
	return usable, used, equal, draw
}

// demandOf is the demand of endpoint i in a round, in slots.
func demandOf(random *rand.Rand, name string, round, i, previous int) int {
	switch name {
	case "half idle":
		if i%2 == 0 {
			return 1
		}
	case "one in five busy":
		if i%5 != 0 {
			return 2
		}
	case "moving":
		if (round/moveRounds+i)%3 == 0 {
			return 2
		}
	case "bursts":
		if random.IntN(10) != 0 {
			return previous
		}
		return random.IntN(powerSlots + 1)
	case "even":
		return 20 + random.IntN(8)
	}
	return powerSlots
}
