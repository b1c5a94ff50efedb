package emulator

import (
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/routing/direct"
)

// Advice names a way to tell refused callers when to return.
type Advice string

// The ways that are compared.
const (
	// ConstantAdvice is a constant for each cause.
	ConstantAdvice Advice = "constant"
	// RandomAdvice adds a random time of up to a second.
	RandomAdvice Advice = "random"
	// ScheduleAdvice is admission.Returns.
	ScheduleAdvice Advice = "schedule"
)

// Callers describes what callers do whose requests are refused.
type Callers struct {
	Advice Advice
	// Deadline is the time that callers have in total. They wait a third of what is left at most,
	// return once and to any entry.
	Deadline time.Duration
	// Impatient is the share of callers, 0 to 1, that ignore the time: they return at once, up to
	// impatientReturns times.
	Impatient float64
	// Outages are times in which entries know of only some engines.
	Outages []EngineOutage
	// InFlight is the number of requests for each slot of the usable engines from which on requests
	// are refused; 0: never. It stands in for admission by priority: less urgent kinds are refused
	// earlier, and the last part is kept for callers that return on time.
	InFlight float64
}

// EngineOutage takes engines out of the entries' lists for a time.
type EngineOutage struct {
	From, To time.Duration
	Engines  int
}

const (
	// impatientReturns is how often callers return that ignore the time, impatientPause the time
	// until they do.
	impatientReturns = 4
	impatientPause   = 50 * time.Millisecond
	// callerWaitShare is the fraction of the remaining time that callers wait at most.
	callerWaitShare = 1.0 / 3
	// returnReserve and tierStep are the fractions of the allowed requests in flight that are kept for
	// returning callers, and from each less urgent kind.
	returnReserve, tierStep = 0.05, 0.1
	// The constants of the gateway.
	outageAdvice   = time.Second
	busyAdvice     = 300 * time.Millisecond
	capacityAdvice = 3 * time.Second
	backlogFactor  = 3
	minAdvice      = 500 * time.Millisecond
	// maxReportedReturns is the number of promises that a heartbeat carries.
	maxReportedReturns = 64
)

// ReturnResult counts the callers of one kind.
type ReturnResult struct {
	Kind string
	// Callers counts the callers, Refused those that were refused at least once, RefusedAgain those
	// of them that returned as told and were refused again. Served were served in the end, OnTime of
	// them on time, counted from their last request.
	Callers, Refused, RefusedAgain, Served, OnTime int
	// Impatient counts the callers among Refused that ignored the time, ImpatientServed those of
	// them that were served.
	Impatient, ImpatientServed int
}

// caller is a caller over all of its requests.
type caller struct {
	key       uint64
	deadline  time.Duration
	impatient bool
	refusals  int
}

// SimulateReturns is Simulate; it also returns what the callers got.
func SimulateReturns(c *Config) ([]Result, []ReturnResult) {
	sim := newSimulation(c)
	for _, k := range c.Kinds {
		sim.returnResults = append(sim.returnResults, ReturnResult{Kind: k.Name})
	}
	for _, e := range sim.entries {
		e.returns = admission.NewReturns(sim.wallTime(), e.name)
		e.returns.SetEntries(c.Entries)
		e.setReturnCapacity(sim)
	}
	for _, outage := range c.Callers.Outages {
		sim.AfterFunc(outage.From, func() { sim.setEngines(c.Engines - outage.Engines) })
		sim.AfterFunc(outage.To, func() { sim.setEngines(c.Engines) })
	}
	sim.run()
	return sim.results, sim.returnResults
}

// setEngines makes the first n engines the usable ones.
func (sim *simulation) setEngines(n int) {
	for _, e := range sim.entries {
		e.endpoints = sim.endpoints[:n]
		e.setReturnCapacity(sim)
	}
}

func (e *entry) setReturnCapacity(sim *simulation) {
	e.returns.SetCapacity(sim.wallTime(), serviceName, direct.ServiceCapacity(sim.service, e.endpoints))
}

// tier is the urgency of a kind: its index.
func (r *request) tier() int { return r.kindIndex }

func (r *request) cost() time.Duration {
	return direct.RequestCost(r.sim.service, r.promptTokens, r.kind.Events*r.sim.config.Engine.Stride)
}

// arriveAsCaller recognises a request and reports whether it is admitted.
func (r *request) arriveAsCaller() bool {
	sim, callers := r.sim, r.sim.config.Callers
	if callers == nil {
		return true
	}
	if r.caller == nil {
		sim.callers++
		r.caller = &caller{key: uint64(sim.callers), deadline: sim.Now() + callers.Deadline, impatient: sim.rand.Float64() < callers.Impatient}
		sim.returnResults[r.kindIndex].Callers++
	}
	r.status = r.entry.returns.Check(sim.wallTime(), r.caller.key)
	if r.status.State == admission.ReturnUnknown {
		r.entry.returns.RecordArrival(sim.wallTime(), serviceName, r.tier(), r.cost())
	}
	allowed := callers.InFlight * float64(len(r.entry.endpoints)*sim.config.Engine.Slots) * (1 - tierStep*float64(r.tier()))
	if r.status.State != admission.ReturnOnTime || callers.Advice != ScheduleAdvice {
		allowed *= 1 - returnReserve
	}
	if len(r.entry.endpoints) == 0 {
		r.refuse(admission.CauseOutage, outageAdvice)
		return false
	}
	if callers.InFlight > 0 && float64(sim.inFlight) >= allowed {
		r.refuse(admission.CauseCapacity, busyAdvice)
		return false
	}
	return true
}

// refuse ends a request that is refused. Its caller may return.
func (r *request) refuse(cause admission.ReturnCause, constant time.Duration) {
	sim := r.sim
	if r.caller == nil {
		r.result.Refused++
		return
	}
	counts := &sim.returnResults[r.kindIndex]
	r.caller.refusals++
	switch {
	case r.caller.refusals == 1:
		counts.Refused++
		if r.caller.impatient {
			counts.Impatient++
		}
	case !r.caller.impatient && r.caller.refusals == 2:
		counts.RefusedAgain++
	}
	wait := min(r.advise(cause, constant), time.Duration(callerWaitShare*float64(r.caller.deadline-sim.Now())))
	returns := 1
	if r.caller.impatient {
		wait, returns = impatientPause, impatientReturns
	}
	if r.caller.refusals > returns || wait <= 0 {
		r.result.Refused++
		return
	}
	next := &request{sim: sim, kind: r.kind, kindIndex: r.kindIndex, result: r.result, promptTokens: r.promptTokens, caller: r.caller}
	sim.AfterFunc(wait, func() {
		next.entry, next.arrivedAt = sim.pickEntry(), sim.Now()
		next.start()
	})
}

// advise returns the time that the caller is told.
func (r *request) advise(cause admission.ReturnCause, constant time.Duration) time.Duration {
	sim := r.sim
	switch sim.config.Callers.Advice {
	case ConstantAdvice:
		return constant
	case RandomAdvice:
		return constant + time.Duration(sim.rand.Int64N(int64(time.Second)))
	}
	return r.entry.returns.Promise(sim.wallTime(), admission.ReturnRequest{
		Key: r.caller.key, Service: serviceName, Tier: r.tier(), Cause: cause, Earliest: constant, Cost: r.cost(), Remaining: r.caller.deadline - sim.Now(),
	})
}

// countInFlight counts a request that is sent to an engine.
func (r *request) countInFlight() {
	r.sim.inFlight++
	if r.caller == nil {
		return
	}
	if r.status.State == admission.ReturnEarly || r.status.State == admission.ReturnOnTime {
		r.entry.returns.Complete(r.caller.key)
	}
}

// servedCaller counts a request that has ended.
func (r *request) servedCaller(onTime bool) {
	r.sim.inFlight--
	if r.caller == nil {
		return
	}
	counts := &r.sim.returnResults[r.kindIndex]
	counts.Served++
	if onTime {
		counts.OnTime++
	}
	if r.caller.impatient && r.caller.refusals > 0 {
		counts.ImpatientServed++
	}
}

// observeServed tells the entry's schedule that an engine has responded.
func (r *request) observeServed() {
	if r.caller != nil {
		r.entry.returns.RecordServed(r.sim.wallTime(), serviceName, r.sim.Now()-r.sentAt)
	}
}

// returnReports returns the entry's promises for a heartbeat.
func (e *entry) returnReports(sim *simulation) []admission.ReturnReport {
	if e.returns == nil {
		return nil
	}
	return e.returns.Reports(sim.wallTime(), sim.isFullHeartbeat(), maxReportedReturns)
}

// mergeReturns applies another entry's promises.
func (e *entry) mergeReturns(sim *simulation, reports []admission.ReturnReport) {
	if e.returns != nil {
		e.returns.Merge(sim.wallTime(), 0, reports)
	}
}
