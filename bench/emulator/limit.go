package emulator

import (
	"fmt"
	"time"
)

// Limit is a limit of requests per second that some engines state in their responses while it
// lasts. They do not enforce it.
type Limit struct {
	From, To time.Duration
	// Engines is the number of engines, spread over the list.
	Engines   int
	PerSecond float64
}

const (
	// maxReportedLimits is the number of limits that a heartbeat carries.
	maxReportedLimits = 64
	// fullHeartbeatOneIn is the share of heartbeats that report all limits.
	fullHeartbeatOneIn = 10
	// A limit is exceeded if, limitContact after it was first stated, an engine gets within
	// limitWindow more than limitFactor times what it allows and limitExtra.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitExtra   = 5
)

// LimitResult is what the engines that stated limits got.
type LimitResult struct {
	// Allowed is what their limits allowed in total from limitContact on, and Sent what they got.
	Allowed float64
	Sent    int
	// Worst is the highest ratio of the requests in a window to those that are tolerated; above
	// 1 a limit was exceeded.
	Worst float64
}

// entryNames returns the names of all entries.
func (sim *simulation) entryNames() []string {
	names := make([]string, sim.config.Entries)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	return names
}

// isFullHeartbeat reports whether the present heartbeat reports everything. Entries send in turn,
// so that every entry has its full heartbeats.
func (sim *simulation) isFullHeartbeat() bool {
	return (sim.heartbeats/sim.config.Entries)%fullHeartbeatOneIn == 0
}

// scheduleLimit makes engines state a limit for its time.
func (sim *simulation) scheduleLimit(limit *Limit) {
	for i := range limit.Engines {
		e := sim.engines[sim.endpoints[i*len(sim.endpoints)/limit.Engines].Incarnation]
		sim.AfterFunc(limit.From, func() { e.limit = limit })
		sim.AfterFunc(limit.To, func() { e.limit = nil })
	}
}

// recordArrival records a request that arrives while the engine states a limit.
func (e *engine) recordArrival() {
	if e.limit != nil && e.sim.Now() >= e.limit.From+limitContact {
		e.limitedArrivals = append(e.limitedArrivals, e.sim.Now())
	}
}

// observeLimit tells the entry, with the response's head, whether the engine states a limit.
func (r *request) observeLimit() {
	if len(r.sim.config.Limits) == 0 {
		return
	}
	limited, perSecond := r.engine.limit != nil, 0.0
	if limited {
		perSecond = r.engine.limit.PerSecond
	}
	r.sim.AfterFunc(r.sim.messageDelay(), func() {
		r.entry.tracker.Limits().Observe(r.sim.wallTime(), r.engine.endpoint, r.sim.epoch.Add(r.sentAt), limited, perSecond)
	})
}

// limitResult sums up what the engines with limits got. An engine states one limit at most.
func (sim *simulation) limitResult() LimitResult {
	var result LimitResult
	for i := range sim.config.Limits {
		limit := &sim.config.Limits[i]
		result.Allowed += float64(limit.Engines) * limit.PerSecond * (limit.To - limit.From - limitContact).Seconds()
		tolerated := limitFactor*limit.PerSecond*limitWindow.Seconds() + limitExtra
		for n := range limit.Engines {
			arrivals := sim.engines[sim.endpoints[n*len(sim.endpoints)/limit.Engines].Incarnation].limitedArrivals
			result.Sent += len(arrivals)
			result.Worst = max(result.Worst, float64(mostWithin(arrivals, limitWindow))/tolerated)
		}
	}
	return result
}

// mostWithin returns the largest number of ascending times within any span of the given length.
func mostWithin(times []time.Duration, span time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
