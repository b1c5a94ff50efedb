package routing

import "sync/atomic"

// LowestCost picks the endpoint of lowest cost. Among those within Slack seconds of it, it
// picks one at random, so that many entries with the same view do not all pick the same.
type LowestCost struct {
	Slack float64
	Rand  Rand
}

// Pick implements Picker.
func (p LowestCost) Pick(_ *Request, scored []Scored) *Endpoint {
	lowest := scored[0].Cost
	for _, s := range scored[1:] {
		lowest = min(lowest, s.Cost)
	}
	var picked *Endpoint
	near := 0
	for _, s := range scored {
		if s.Cost > lowest+p.Slack {
			continue
		}
		near++
		if p.Rand.IntN(near) == 0 {
			picked = s.Endpoint
		}
	}
	return picked
}

// Random picks an endpoint at random, with equal probability.
type Random struct {
	Rand Rand
}

// Pick implements Picker.
func (p Random) Pick(_ *Request, scored []Scored) *Endpoint {
	return scored[p.Rand.IntN(len(scored))].Endpoint
}

// RoundRobin picks the endpoints in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements Picker.
func (p *RoundRobin) Pick(_ *Request, scored []Scored) *Endpoint {
	return scored[p.next.Add(1)%uint64(len(scored))].Endpoint
}

// TwoChoices draws two endpoints at random and picks the cheaper one.
type TwoChoices struct {
	Rand Rand
}

// Pick implements Picker.
func (p TwoChoices) Pick(_ *Request, scored []Scored) *Endpoint {
	a := scored[p.Rand.IntN(len(scored))]
	b := scored[p.Rand.IntN(len(scored))]
	if b.Cost < a.Cost {
		return b.Endpoint
	}
	return a.Endpoint
}
