package emulator

import (
	"slices"
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
)

// WarmUp makes some engines cold for a time. They state it in their responses; their registrations
// say so, which entries that reach the store learn within a moment.
type WarmUp struct {
	From, To time.Duration
	// Engines is the number of engines, spread over the list.
	Engines int
	// DemandFrom and DemandTo bound the time in which callers ask for more than cold engines tolerate.
	DemandFrom, DemandTo time.Duration
}

// Warming describes what cold engines tolerate and how entries keep to it.
type Warming struct {
	WarmUps []WarmUp
	// Time and PerSecond are those of the service. Overshoot and Tolerance are what is tolerated.
	Time                            time.Duration
	PerSecond, Overshoot, Tolerance float64
	Rule                            direct.ColdRule
	Disturbances                    []Disturbance
}

// Disturbance is something that happens to some entries.
type Disturbance struct {
	From, To time.Duration
	// Entries are those at the start of the list.
	Entries int
	// Cut entries reach neither the store nor the others. Others are killed at From and start again at
	// To; callers come back to them then.
	Cut bool
}

const (
	// maxReportedCold is the number of cold engines that a heartbeat carries.
	maxReportedCold = 64
	// storeInterval is the time between two answers of the store to an entry.
	storeInterval = 400 * time.Millisecond
	// registrationTTL is how long an entry stays registered that does not renew it.
	registrationTTL = 12 * time.Second
)

// WarmingResult is what cold engines got.
type WarmingResult struct {
	// Worst is the highest ratio of the requests in a second to those that are allowed; above 1 the
	// bound was broken.
	Worst float64
	// Sent is the number of requests that arrived at cold engines while there was demand, Borne what
	// they tolerate in that time.
	Sent  int
	Borne float64
}

// entryState is the standing of an entry in a run with cold engines.
type entryState struct {
	cut, dead bool
	// since is when it registered.
	since, lastSeen time.Duration
}

// scheduleWarming schedules cold engines and disturbances.
func (sim *simulation) scheduleWarming(w *Warming) {
	sim.service.ColdTime, sim.service.ColdPerSecond = w.Time, w.PerSecond
	for _, e := range sim.entries {
		e.state.since = -time.Hour
		sim.joinWarming(e)
	}
	sim.AfterFunc(0, sim.answerFromStore)
	for i := range w.WarmUps {
		sim.AfterFunc(w.WarmUps[i].From, func() { sim.startWarmUp(&w.WarmUps[i]) })
	}
	for _, d := range w.Disturbances {
		for _, e := range sim.entries[:d.Entries] {
			sim.AfterFunc(d.From, func() { e.state.cut, e.state.dead = d.Cut, !d.Cut })
			sim.AfterFunc(d.To, func() {
				if !d.Cut {
					sim.restart(e)
				}
				e.state.cut, e.state.dead = false, false
			})
		}
	}
}

// joinWarming sets an entry up that has just started.
func (sim *simulation) joinWarming(e *entry) {
	cold, w := e.tracker.Cold(), sim.config.Warming
	cold.SetBound(w.Overshoot, w.Tolerance)
	cold.SetRule(w.Rule)
	cold.SetStarted(sim.epoch.Add(e.state.since))
}

// restart starts an entry anew, which knows nothing.
func (sim *simulation) restart(e *entry) {
	e.state.since = sim.Now()
	e.tracker = direct.NewLoadTracker()
	e.tracker.SetEntryCount(sim.config.Entries)
	e.policy = direct.NewPolicy(e.tracker, sim.rand)
	sim.joinWarming(e)
}

// answerFromStore tells the entries that reach the store what it has.
func (sim *simulation) answerFromStore() {
	var names []string
	for _, e := range sim.entries {
		if !e.state.dead && !e.state.cut {
			e.state.lastSeen = sim.Now()
		}
		if sim.Now()-e.state.lastSeen < registrationTTL {
			names = append(names, e.name)
		}
	}
	for _, e := range sim.entries {
		cold := e.tracker.Cold()
		if e.state.dead || e.state.cut {
			cold.SetHeard(0)
			continue
		}
		cold.SetEntries(sim.wallTime(), e.name, names)
		cold.SetCurrent(sim.wallTime())
		cold.SetHeard(len(names) - 1)
		cold.SetRegistered(sim.epoch.Add(e.state.since), sim.wallTime().Add(registrationTTL))
		e.endpoints = sim.endpoints
	}
	if sim.Now() < sim.config.Duration {
		sim.AfterFunc(storeInterval, sim.answerFromStore)
	}
}

// startWarmUp makes engines cold. Their registrations say so from the store's next answer on.
func (sim *simulation) startWarmUp(w *WarmUp) {
	endpoints := slices.Clone(sim.endpoints)
	for i := range w.Engines {
		position := i * len(endpoints) / w.Engines
		changed := *endpoints[position]
		changed.ColdSeenAt, changed.ColdUntil = sim.wallTime(), sim.epoch.Add(w.To)
		endpoints[position] = &changed
		sim.engines[changed.Incarnation].coldUntil = w.To
	}
	sim.endpoints = endpoints
}

// recordCold records a request, or a part, that arrives while the engine is cold.
func (e *engine) recordCold() {
	if e.sim.Now() < e.coldUntil {
		e.coldArrivals = append(e.coldArrivals, e.sim.Now())
	}
}

// takeCold uses the entry's shares of a plan's engines; false if one of them can take no request now.
func (r *request) takeCold(plan *direct.Plan) bool {
	var tickets []*direct.ColdTicket
	for _, e := range append([]*directory.EndpointState{plan.Endpoint}, plan.Helpers...) {
		ticket, ok := r.entry.tracker.Cold().Take(r.sim.wallTime(), r.sim.service, e)
		if !ok {
			for _, taken := range tickets {
				taken.GiveBack()
			}
			return false
		}
		tickets = append(tickets, ticket)
	}
	for _, ticket := range tickets {
		ticket.Sent(r.sim.wallTime())
	}
	return true
}

// observeCold tells the entry, with the response's head, how long the engine still warms up. It draws
// no random number, so that runs with and without warm-ups have the same load.
func (r *request) observeCold(plan *direct.Plan) {
	if left := r.engine.coldUntil - r.sim.Now(); left > 0 {
		sentAt := r.sim.epoch.Add(r.sentAt)
		r.sim.AfterFunc(minMessageDelay, func() { r.entry.tracker.Cold().Observe(r.sim.wallTime(), plan.Endpoint, sentAt, left) })
	}
}

// warmingResult sums up what cold engines got.
func (sim *simulation) warmingResult() WarmingResult {
	var result WarmingResult
	w := sim.config.Warming
	if w == nil {
		return result
	}
	for _, warmUp := range w.WarmUps {
		result.Borne += float64(warmUp.Engines) * w.PerSecond * (warmUp.DemandTo - warmUp.DemandFrom).Seconds()
	}
	for _, e := range sim.engines {
		for _, at := range e.coldArrivals {
			if slices.ContainsFunc(w.WarmUps, func(w WarmUp) bool { return at >= w.DemandFrom && at < w.DemandTo }) {
				result.Sent++
			}
		}
		result.Worst = max(result.Worst, float64(mostWithin(e.coldArrivals, time.Second))/(w.PerSecond*w.Overshoot+w.Tolerance))
	}
	return result
}
