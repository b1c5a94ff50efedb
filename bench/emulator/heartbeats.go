package emulator

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/routing/direct"
)

// sendHeartbeats sends an entry's heartbeats while requests arrive.
func (sim *simulation) sendHeartbeats(e *entry) {
	sim.sendHeartbeat(e)
	sim.tickStarting(e)
	if sim.Now() < sim.config.Duration {
		sim.AfterFunc(sim.heartbeatInterval(), func() { sim.sendHeartbeats(e) })
	}
}

func (sim *simulation) heartbeatInterval() time.Duration {
	return cmp.Or(sim.config.HeartbeatInterval, defaultHeartbeatInterval)
}

// sendHeartbeat sends an entry's load to all others; each copy may be lost.
func (sim *simulation) sendHeartbeat(e *entry) {
	demands, loads := e.tracker.Demands(sim.wallTime()), e.tracker.Loads(sim.wallTime())
	sim.heartbeats++
	outcomes := e.tracker.TakeOutcomes(maxReportedOutcomes)
	full := sim.isFullHeartbeat()
	offered := e.offeredLoads(sim.wallTime(), full)
	limits := e.tracker.Limits().Reports(sim.wallTime(), sim.isFullHeartbeat(), maxReportedLimits)
	var backoffs []direct.BackoffReport
	if len(sim.config.Refusals) > 0 && sim.config.Refusals[0].Shared {
		backoffs = e.tracker.Backoffs().Reports(sim.wallTime(), sim.isFullHeartbeat(), maxReportedBackoffs)
	}
	returns := e.returnReports(sim)
	var cold []direct.ColdReport
	if sim.config.Warming != nil {
		cold = e.tracker.Cold().Reports(sim.wallTime(), sim.isFullHeartbeat(), maxReportedCold, slices.Values(e.endpoints))
	}
	for _, other := range sim.entries {
		lost := e.state.cut || e.state.dead || other.state.cut || other.state.dead || sim.config.HeartbeatLoss > 0 && sim.rand.Float64() < sim.config.HeartbeatLoss
		if other != e && !lost && sim.reports(e, other) {
			sim.AfterFunc(sim.messageDelay(), func() {
				other.starting.hear(e)
				other.tracker.ReplacePeerLoad(sim.wallTime(), e.name, demands, loads)
				other.tracker.MergeOutcomes(sim.wallTime(), outcomes)
				other.mergeOffered(sim.wallTime(), e.name, offered, full)
				other.tracker.Limits().Merge(sim.wallTime(), 0, limits)
				other.tracker.Backoffs().Merge(sim.wallTime(), 0, backoffs)
				other.mergeReturns(sim, returns)
				other.tracker.Cold().Merge(sim.wallTime(), 0, cold)
			})
		}
	}
}

// messageDelay draws the delay of a message. As delays differ, messages may overtake each
// other.
func (sim *simulation) messageDelay() time.Duration {
	return minMessageDelay + time.Duration(sim.rand.Int64N(int64(maxMessageDelay-minMessageDelay)))
}
