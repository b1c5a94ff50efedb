package agent

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/attempt"
	"aspenyard.example/catalogue"
	"aspenyard.example/membership"
	"aspenyard.example/power"
	"aspenyard.example/result"
	"aspenyard.example/wire"
)

// outcomeRetention is how long an attempt's outcome is kept for those who ask
// again: longer than any entry's deadline.
const outcomeRetention = time.Hour

// job is one reservation's work while it is open.
type job struct {
	reservation attempt.Reservation
	class       admission.Class
	repeatable  bool
	// decision gets nil when the work may start, or why it never will.
	decision chan *result.Error
	// cancel ends running work, with the reason as its cause; nil before.
	cancel context.CancelCauseFunc
	// stopping is set once the order was shed and until its place is free.
	stopping bool
}

// controlState is the agent's state on the controlState thread.
type controlState struct {
	agent          *Agent
	startedAt      time.Time
	table          *attempt.Table
	queue          *admission.Queue
	limit          *power.Limit
	jobs           map[uint64]*job
	leaving        bool
	endpointDown   bool
	catalogueView  *catalogue.View
	catalogueReady bool
	// powerRefusals counts the refusals for want of power in this period and the one
	// before; periodEnd is when this one ends.
	powerRefusals, previousPowerRefusals int
	powerPeriodEnd                       time.Time
	gauges                               gauges
}

// gauges holds what other threads may read.
type gauges struct {
	running, queued, attempts, limitWatts atomic.Int64
}

func newControlState(a *Agent) *controlState {
	slots := int(a.status.MaxRunning)
	if a.settings.Kind == "service" {
		slots = int(a.settings.ServiceSlots)
	}
	queue := admission.NewQueue(admission.Config{
		MaxRunning: slots, MemoryTokens: int(a.status.MemoryTokens), PrefillRate: int(a.status.PrefillTokensPerSecond),
	})
	return &controlState{
		agent: a, startedAt: time.Now(), queue: queue,
		table: attempt.NewTable(a.incarnation, a.settings.ReservationLease.D(), outcomeRetention),
		limit: power.NewLimit(a.incarnation, a.status.FloorWatts, a.status.MaxWatts, slots),
		jobs:  map[uint64]*job{},
	}
}

// reserve takes a job into the queue, or refuses it.
func (c *controlState) reserve(now time.Time, request *wire.ReserveRequest) (attempt.Reservation, admission.Decision) {
	if c.endpointDown {
		return attempt.Reservation{}, admission.Decision{Code: result.NoEndpoint, RetryAfter: time.Second}
	}
	reservation := c.table.Reserve(now)
	class := admission.Class(min(request.Class, uint32(admission.Bulk)))
	verdict := c.queue.Offer(now, admission.Job{
		ID: reservation.Number, DeferralKey: request.Key, Account: request.Account, Class: class,
		PromptTokens: int(request.PromptTokens), OutputTokens: int(request.OutputTokens),
		Deadline: now.Add(time.Duration(request.RemainingMs) * time.Millisecond),
	})
	if !verdict.Accepted {
		c.table.Discard(reservation)
		if verdict.Code == result.NoPower {
			c.powerRefusals++
		}
		return reservation, verdict
	}
	c.jobs[reservation.Number] = &job{
		reservation: reservation, class: class, repeatable: request.Repeatable, decision: make(chan *result.Error, 1),
	}
	return reservation, verdict
}

// accept takes the order of a reservation in; nil when it may never start.
func (c *controlState) accept(now time.Time, reservation attempt.Reservation) *job {
	if !c.table.Accept(now, reservation) {
		return nil
	}
	o := c.jobs[reservation.Number]
	c.queue.MarkReady(reservation.Number)
	c.startReady()
	return o
}

// startReady starts whatever may start. While the queue is being emptied nothing may:
// each order that goes could let the next one start.
func (c *controlState) startReady() {
	for !c.endpointDown && !c.leaving {
		id, found := c.queue.StartNext()
		if !found {
			return
		}
		o := c.jobs[id]
		if c.table.Start(o.reservation) {
			o.decision <- nil
			continue
		}
		c.remove(o)
	}
}

// markPrefilled notes that an order's prefill is done, which may let another start.
func (c *controlState) markPrefilled(o *job) {
	c.queue.MarkPrefilled(o.reservation.Number)
	c.startReady()
}

// remove frees what an order held.
func (c *controlState) remove(o *job) {
	delete(c.jobs, o.reservation.Number)
	c.queue.Remove(o.reservation.Number)
	c.table.Discard(o.reservation)
	c.startReady()
}

// withdraw cancels a reservation that has not started, or tells its state.
func (c *controlState) withdraw(now time.Time, reservation attempt.Reservation, peek bool) (attempt.State, attempt.Outcome) {
	if peek {
		return c.table.Peek(now, reservation)
	}
	state, outcome := c.table.Withdraw(reservation)
	if state == attempt.DidNotRun {
		if o := c.jobs[reservation.Number]; o != nil && reservation.Incarnation == c.agent.incarnation {
			c.refuse(o, result.Refuse(result.Withdrawn, 0, "withdrawn"))
		}
	}
	return state, outcome
}

// refuse ends an order that has not started.
func (c *controlState) refuse(o *job, why *result.Error) {
	select {
	case o.decision <- why:
	default:
	}
	c.remove(o)
}

// startDraining refuses new work and sends queued work away; running work ends.
func (c *controlState) startDraining() {
	c.leaving = true
	c.queue.SetClosed(true)
	c.refuseQueued(result.Refuse(result.Leaving, 0, "the endpoint is leaving"))
}

func (c *controlState) refuseQueued(why *result.Error) {
	for _, id := range c.queue.Waiting() {
		o := c.jobs[id]
		if state, _ := c.table.Withdraw(o.reservation); state == attempt.DidNotRun {
			c.refuse(o, why)
		}
	}
}

// setDown follows the endpoint's health. When it stops answering, all orders end
// at once: their callers are served elsewhere rather than at their deadlines.
func (c *controlState) setDown(down bool) {
	if c.endpointDown == down {
		return
	}
	c.endpointDown = down
	if !down {
		c.startReady()
		return
	}
	c.refuseQueued(result.Refuse(result.NoEndpoint, time.Second, "the endpoint does not answer"))
	for _, o := range c.jobs {
		if o.cancel != nil && o.repeatable {
			o.cancel(result.Fail(result.EndpointFailed, result.RanYes, "the endpoint does not answer"))
		}
	}
}

// applyGrant applies a power applyGrant and sheds work that does not fit it, the least
// urgent and latest first.
func (c *controlState) applyGrant(request *wire.GrantRequest) *wire.GrantResponse {
	applied := c.limit.Apply(request.Incarnation, request.Revision, request.Watts)
	c.applyLimit()
	if applied {
		c.shed()
	}
	return &wire.GrantResponse{Applied: applied, LimitWatts: c.limit.EnforcedWatts(c.queue.Report().Running), Revision: c.limit.Revision()}
}

func (c *controlState) applyLimit() {
	c.queue.SetSlots(c.limit.Slots())
	c.startReady()
}

func (c *controlState) shed() {
	excess := c.queue.Report().Running - c.limit.Slots()
	var running []*job
	for _, o := range c.jobs {
		if o.stopping {
			excess--
		} else if o.cancel != nil && o.repeatable {
			running = append(running, o)
		}
	}
	if excess <= 0 {
		return
	}
	slices.SortFunc(running, func(a, b *job) int {
		if a.class != b.class {
			return int(b.class) - int(a.class)
		}
		return int(b.reservation.Number) - int(a.reservation.Number)
	})
	for _, o := range running[:min(excess, len(running))] {
		o.stopping = true
		o.cancel(result.Fail(result.NoPower, result.RanYes, "stopped to keep the site within its power cap"))
	}
}

// FillHeartbeat implements membership.Delegate.
func (c *controlState) FillHeartbeat(now time.Time, h *wire.Heartbeat) {
	a := c.agent
	h.Endpoint, h.EngineAddr, h.OperatorsAddr = a.settings.Name, a.settings.Endpoint, a.settings.OperatorsListen
	h.Models, h.Services = a.status.Models, a.settings.Services
	if c.endpointDown || !c.catalogueReady {
		// Nothing is offered that would be refused: without the catalogue this agent
		// does not know whether its site has a power cap.
		h.Models, h.Services = nil, nil
	}
	h.Load = c.loadReport(now)
	if a.settings.Kind == "engine" {
		report := c.queue.Report()
		h.Power = &wire.Power{
			FloorWatts: a.status.FloorWatts, MaxWatts: a.status.MaxWatts, WantWatts: c.limit.WorstCaseDraw(c.slotDemand()),
			LimitWatts: c.limit.EnforcedWatts(report.Running), GrantRevision: c.limit.Revision(),
		}
	}
	a.catalogue.FillHeartbeat(h)
}

// powerRefusalPeriod is the time over which refusals for want of power are counted.
const powerRefusalPeriod = 2 * time.Second

// slotDemand is how many batch places the present work could use. Work that was refused
// for slotDemand of power counts: an endpoint without a grant has no other work, and
// would never ask for one while the others use up the cap.
func (c *controlState) slotDemand() int {
	return c.queue.SlotDemand() + max(c.powerRefusals, c.previousPowerRefusals)
}

func (c *controlState) loadReport(now time.Time) *wire.Load {
	report := c.queue.Report()
	load := &wire.Load{
		Running: uint32(report.Running), Queued: uint32(report.Queued),
		FreeMemoryTokens: uint64(max(0, report.FreeMemoryTokens)), MemoryTokens: c.agent.status.MemoryTokens,
		PrefillTokensPerSecond: c.agent.status.PrefillTokensPerSecond, MaxRunning: c.agent.status.MaxRunning,
		TakenMs: now.Sub(c.startedAt).Milliseconds(),
	}
	for _, tokens := range report.Backlog {
		load.BacklogTokens = append(load.BacklogTokens, uint64(tokens))
	}
	return load
}

// HandleHeartbeat implements membership.Delegate.
func (c *controlState) HandleHeartbeat(_ time.Time, h *wire.Heartbeat) {
	c.agent.catalogue.HandleHeartbeat(h)
}

// Tick implements membership.Delegate.
func (c *controlState) Tick(now time.Time, _ *membership.View) {
	c.removeExpired(now)
	switch leaving := c.agent.loop.Leaving(); {
	case leaving && !c.leaving:
		c.startDraining()
	case !leaving && c.leaving:
		c.leaving = false
		c.queue.SetClosed(false)
		c.startReady()
	}
	if now.After(c.powerPeriodEnd) {
		c.powerRefusals, c.previousPowerRefusals, c.powerPeriodEnd = 0, c.powerRefusals, now.Add(powerRefusalPeriod)
	}
	c.updatePowerCap()
	if c.limit.Revision() > 0 {
		// Work that was just starting when a grant was lowered is shed now.
		c.shed()
	}
	report := c.queue.Report()
	c.gauges.running.Store(int64(report.Running))
	c.gauges.queued.Store(int64(report.Queued))
	c.gauges.attempts.Store(int64(c.table.Len()))
	c.gauges.limitWatts.Store(int64(c.limit.EnforcedWatts(report.Running)))
}

// removeExpired frees the places of reservations whose order never came.
func (c *controlState) removeExpired(now time.Time) {
	for _, lapsed := range c.table.Sweep(now) {
		if o := c.jobs[lapsed.Number]; o != nil {
			c.remove(o)
		}
	}
}

// updatePowerCap learns whether this data centre's site has a power cap. Until
// the catalogue is known, it is taken to have one, and nothing starts.
func (c *controlState) updatePowerCap() {
	view, ready := c.agent.catalogue.View(), c.agent.catalogue.Ready()
	if view == c.catalogueView && ready == c.catalogueReady {
		return
	}
	c.catalogueView, c.catalogueReady = view, ready
	c.limit.SetCapped(!ready || view.SiteOf(c.agent.settings.DataCentre) != nil)
	c.applyLimit()
}
