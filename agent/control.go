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

// order is one reservation's work while it is open.
type order struct {
	reservation attempt.Reservation
	class       admission.Class
	repeatable  bool
	// verdict gets nil when the work may start, or why it never will.
	verdict chan *result.Error
	// cancel ends running work, with the reason as its cause; nil before.
	cancel context.CancelCauseFunc
	// stopping is set once the order was shed and until its place is free.
	stopping bool
}

// control is the agent's state on the control thread.
type control struct {
	agent     *Agent
	started   time.Time
	table     *attempt.Table
	queue     *admission.Queue
	limit     *power.Limit
	orders    map[uint64]*order
	leaving   bool
	down      bool
	catalogue *catalogue.View
	ready     bool
	// powerRefusals counts the refusals for want of power in this period and the one
	// before; periodEnd is when this one ends.
	powerRefusals, powerRefusalsBefore int
	periodEnd                          time.Time
	stats                              stats
}

// stats holds what other threads may read.
type stats struct {
	running, queued, attempts, limitWatts atomic.Int64
}

func newControl(a *Agent) *control {
	slots := int(a.status.MaxRunning)
	if a.settings.Kind == "service" {
		slots = int(a.settings.ServiceSlots)
	}
	queue := admission.NewQueue(admission.Config{
		MaxRunning: slots, MemoryTokens: int(a.status.MemoryTokens), PrefillRate: int(a.status.PrefillRate),
	})
	return &control{
		agent: a, started: time.Now(), queue: queue,
		table:  attempt.NewTable(a.incarnation, a.settings.ReservationLease.D(), outcomeRetention),
		limit:  power.NewLimit(a.incarnation, a.status.FloorWatts, a.status.MaxWatts, slots),
		orders: map[uint64]*order{},
	}
}

// reserve takes a job into the queue, or refuses it.
func (c *control) reserve(now time.Time, request *wire.ReserveRequest) (attempt.Reservation, admission.Decision) {
	if c.down {
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
	c.orders[reservation.Number] = &order{
		reservation: reservation, class: class, repeatable: request.Repeatable, verdict: make(chan *result.Error, 1),
	}
	return reservation, verdict
}

// claim takes the order of a reservation in; nil when it may never start.
func (c *control) claim(now time.Time, reservation attempt.Reservation) *order {
	if !c.table.Accept(now, reservation) {
		return nil
	}
	o := c.orders[reservation.Number]
	c.queue.MarkReady(reservation.Number)
	c.pump()
	return o
}

// pump starts whatever may start. While the queue is being emptied nothing may:
// each order that goes could let the next one start.
func (c *control) pump() {
	for !c.down && !c.leaving {
		id, found := c.queue.StartNext()
		if !found {
			return
		}
		o := c.orders[id]
		if c.table.Start(o.reservation) {
			o.verdict <- nil
			continue
		}
		c.close(o)
	}
}

// prefilled notes that an order's prefill is done, which may let another start.
func (c *control) prefilled(o *order) {
	c.queue.MarkPrefilled(o.reservation.Number)
	c.pump()
}

// close frees what an order held.
func (c *control) close(o *order) {
	delete(c.orders, o.reservation.Number)
	c.queue.Remove(o.reservation.Number)
	c.table.Discard(o.reservation)
	c.pump()
}

// withdraw cancels a reservation that has not started, or tells its state.
func (c *control) withdraw(now time.Time, reservation attempt.Reservation, peek bool) (attempt.State, attempt.Outcome) {
	if peek {
		return c.table.Peek(now, reservation)
	}
	state, outcome := c.table.Withdraw(reservation)
	if state == attempt.DidNotRun {
		if o := c.orders[reservation.Number]; o != nil && reservation.Incarnation == c.agent.incarnation {
			c.refuse(o, result.Refuse(result.Withdrawn, 0, "withdrawn"))
		}
	}
	return state, outcome
}

// refuse ends an order that has not started.
func (c *control) refuse(o *order, why *result.Error) {
	select {
	case o.verdict <- why:
	default:
	}
	c.close(o)
}

// leave refuses new work and sends queued work away; running work ends.
func (c *control) leave() {
	c.leaving = true
	c.queue.SetClosed(true)
	c.refuseQueued(result.Refuse(result.Leaving, 0, "the endpoint is leaving"))
}

func (c *control) refuseQueued(why *result.Error) {
	for _, id := range c.queue.Waiting() {
		o := c.orders[id]
		if state, _ := c.table.Withdraw(o.reservation); state == attempt.DidNotRun {
			c.refuse(o, why)
		}
	}
}

// setDown follows the endpoint's health. When it stops answering, all orders end
// at once: their callers are served elsewhere rather than at their deadlines.
func (c *control) setDown(down bool) {
	if c.down == down {
		return
	}
	c.down = down
	if !down {
		c.pump()
		return
	}
	c.refuseQueued(result.Refuse(result.NoEndpoint, time.Second, "the endpoint does not answer"))
	for _, o := range c.orders {
		if o.cancel != nil && o.repeatable {
			o.cancel(result.Fail(result.EndpointFailed, result.RanYes, "the endpoint does not answer"))
		}
	}
}

// grant applies a power grant and sheds work that does not fit it, the least
// urgent and latest first.
func (c *control) grant(request *wire.GrantRequest) *wire.GrantResponse {
	applied := c.limit.Apply(request.Incarnation, request.Revision, request.Watts)
	c.followLimit()
	if applied {
		c.shed()
	}
	return &wire.GrantResponse{Applied: applied, LimitWatts: c.limit.Keeping(c.queue.Report().Running), Revision: c.limit.Revision()}
}

func (c *control) followLimit() {
	c.queue.SetSlots(c.limit.Slots())
	c.pump()
}

func (c *control) shed() {
	excess := c.queue.Report().Running - c.limit.Slots()
	var running []*order
	for _, o := range c.orders {
		if o.stopping {
			excess--
		} else if o.cancel != nil && o.repeatable {
			running = append(running, o)
		}
	}
	if excess <= 0 {
		return
	}
	slices.SortFunc(running, func(a, b *order) int {
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
func (c *control) FillHeartbeat(now time.Time, h *wire.Heartbeat) {
	a := c.agent
	h.Endpoint, h.EngineAddr, h.OperatorsAddr = a.settings.Name, a.settings.Endpoint, a.settings.OperatorsListen
	h.Models, h.Services = a.status.Models, a.settings.Services
	if c.down || !c.ready {
		// Nothing is offered that would be refused: without the catalogue this agent
		// does not know whether its site has a power cap.
		h.Models, h.Services = nil, nil
	}
	h.Load = c.load(now)
	if a.settings.Kind == "engine" {
		report := c.queue.Report()
		h.Power = &wire.Power{
			FloorWatts: a.status.FloorWatts, MaxWatts: a.status.MaxWatts, WantWatts: c.limit.Draw(c.want()),
			LimitWatts: c.limit.Keeping(report.Running), GrantRevision: c.limit.Revision(),
		}
	}
	a.catalogue.Fill(h)
}

// wantPeriod is the time over which refusals for want of power are counted.
const wantPeriod = 2 * time.Second

// want is how many batch places the present work could use. Work that was refused
// for want of power counts: an endpoint without a grant has no other work, and
// would never ask for one while the others use up the cap.
func (c *control) want() int {
	return c.queue.SlotDemand() + max(c.powerRefusals, c.powerRefusalsBefore)
}

func (c *control) load(now time.Time) *wire.Load {
	report := c.queue.Report()
	load := &wire.Load{
		Running: uint32(report.Running), Queued: uint32(report.Queued),
		FreeMemoryTokens: uint64(max(0, report.FreeMemoryTokens)), MemoryTokens: c.agent.status.MemoryTokens,
		PrefillTokensPerSecond: c.agent.status.PrefillRate, MaxRunning: c.agent.status.MaxRunning,
		TakenMs: now.Sub(c.started).Milliseconds(),
	}
	for _, tokens := range report.Backlog {
		load.BacklogTokens = append(load.BacklogTokens, uint64(tokens))
	}
	return load
}

// HandleHeartbeat implements membership.Delegate.
func (c *control) HandleHeartbeat(_ time.Time, h *wire.Heartbeat) {
	c.agent.catalogue.Heard(h)
}

// Tick implements membership.Delegate.
func (c *control) Tick(now time.Time, _ *membership.View) {
	c.expire(now)
	switch leaving := c.agent.loop.Leaving(); {
	case leaving && !c.leaving:
		c.leave()
	case !leaving && c.leaving:
		c.leaving = false
		c.queue.SetClosed(false)
		c.pump()
	}
	if now.After(c.periodEnd) {
		c.powerRefusals, c.powerRefusalsBefore, c.periodEnd = 0, c.powerRefusals, now.Add(wantPeriod)
	}
	c.followCatalogue()
	if c.limit.Revision() > 0 {
		// Work that was just starting when a grant was lowered is shed now.
		c.shed()
	}
	report := c.queue.Report()
	c.stats.running.Store(int64(report.Running))
	c.stats.queued.Store(int64(report.Queued))
	c.stats.attempts.Store(int64(c.table.Len()))
	c.stats.limitWatts.Store(int64(c.limit.Keeping(report.Running)))
}

// expire frees the places of reservations whose order never came.
func (c *control) expire(now time.Time) {
	for _, lapsed := range c.table.Sweep(now) {
		if o := c.orders[lapsed.Number]; o != nil {
			c.close(o)
		}
	}
}

// followCatalogue learns whether this data centre's site has a power cap. Until
// the catalogue is known, it is taken to have one, and nothing starts.
func (c *control) followCatalogue() {
	view, ready := c.agent.catalogue.View(), c.agent.catalogue.Ready()
	if view == c.catalogue && ready == c.ready {
		return
	}
	c.catalogue, c.ready = view, ready
	c.limit.SetCapped(!ready || view.SiteOf(c.agent.settings.DataCentre) != nil)
	c.followLimit()
}
