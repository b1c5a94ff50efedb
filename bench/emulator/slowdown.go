package emulator

import (
	"time"

	"aspenyard.example/directory"
)

// scheduleSlowdown slows every other engine from the end of the list, where the engines for
// long prompts are.
func (sim *simulation) scheduleSlowdown(s *Slowdown) {
	for i := range s.Engines {
		endpoint := sim.endpoints[len(sim.endpoints)-1-2*i]
		set := func(factor float64) {
			sim.engines[endpoint.Incarnation].slowdown = factor
			if sim.config.SlowdownKnownAfter > 0 {
				sim.AfterFunc(sim.config.SlowdownKnownAfter, func() { sim.reportSlowdown(endpoint.Incarnation, factor, s.To) })
			}
		}
		sim.AfterFunc(s.From, func() { set(s.Factor) })
		sim.AfterFunc(s.To, func() { set(1) })
	}
}

// reportSlowdown tells all entries how slow an engine is, and repeats that each second until
// the slowdown ends.
func (sim *simulation) reportSlowdown(incarnation directory.Incarnation, factor float64, until time.Duration) {
	for _, e := range sim.entries {
		e.tracker.SetSlowdown(sim.wallTime(), incarnation, factor)
	}
	if factor > 1 && sim.Now() < until {
		sim.AfterFunc(time.Second, func() { sim.reportSlowdown(incarnation, sim.engines[incarnation].slowdown, until) })
	}
}
