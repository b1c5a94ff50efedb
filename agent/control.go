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

// outcomeRetention is how long the outcome of an attempt is kept for entries that ask for it
// again. It is longer than any deadline that an entry accepts.
const outcomeRetention = time.Hour

// job is a reservation from its acceptance into the queue until its batch slot and memory
// are free. Its mutable fields belong to the control thread.
type job struct {
	reservation attempt.Reservation
	class       admission.Class
	repeatable  bool
	// decision receives once: nil when the job may start, or the reason why it never will.
	decision chan *result.Error
	// accepted is set once the run request has come.
	accepted bool
	// cancel stops the running job with the reason as the context's cause. It is nil before
	// the job runs, and for the jobs of a plain service.
	cancel context.CancelCauseFunc
	// stopping is set once the job was shed. Its slot stays taken until the job is removed.
	stopping bool
}

// controlState is the part of the agent's state that belongs to the control thread. It
// implements membership.Delegate.
type controlState struct {
	agent     *Agent
	startedAt time.Time
	table     *attempt.Table
	queue     *admission.Queue
	limit     *power.Limit
	jobs      map[uint64]*job
	leaving   bool
	// refused holds the reservations that were refused by startDraining before their run requests came;
	// refusedReservations is their number, which any thread may read.
	refused             map[uint64]struct{}
	refusedReservations atomic.Int64
	endpointDown        bool
	catalogueView       *catalogue.View
	catalogueReady      bool
	// announce sends a heartbeat at once, as entries must learn without delay whether the agent serves its models
	// and services: they would refuse callers until the next heartbeat.
	announce func()
	// powerRefusals and previousPowerRefusals count the reservations that were refused for
	// lack of power in the current powerRefusalPeriod, which ends at powerPeriodEnd, and in
	// the one before.
	powerRefusals, previousPowerRefusals int
	powerPeriodEnd                       time.Time
	gauges                               gauges
}

// gauges holds the values of metrics, which any thread may read.
type gauges struct {
	running, queued, attempts, limitWatts atomic.Int64
}

// newControlState returns the control state of an agent that has taken over its endpoint.
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
		jobs:  map[uint64]*job{}, refused: map[uint64]struct{}{}, announce: func() {},
	}
}

// reserve offers a request to the queue. If the queue accepts it, reserve returns its
// reservation, whose lease has started. Otherwise the decision holds the reason.
func (c *controlState) reserve(now time.Time, request *wire.ReserveRequest) (attempt.Reservation, admission.Decision) {
	if c.endpointDown {
		return attempt.Reservation{}, admission.Decision{Code: result.NoEndpoint, RetryAfter: time.Second}
	}
	reservation := c.table.Reserve(now)
	class := admission.Class(min(request.Class, uint32(admission.Bulk)))
	decision := c.queue.Offer(now, admission.Job{
		ID: reservation.Number, DeferralKey: request.Key, Account: request.Account, Class: class,
		PromptTokens: int(request.PromptTokens), OutputTokens: int(request.OutputTokens),
		Deadline: now.Add(time.Duration(request.RemainingMs) * time.Millisecond),
	})
	if !decision.Accepted {
		c.table.Discard(reservation)
		if decision.Code == result.NoPower {
			c.powerRefusals++
		}
		return reservation, decision
	}
	c.jobs[reservation.Number] = &job{
		reservation: reservation, class: class, repeatable: request.Repeatable, decision: make(chan *result.Error, 1),
	}
	return reservation, decision
}

// accept accepts the run request of a reservation and returns its job, or nil if the run
// request must never start. The job may start from now on.
func (c *controlState) accept(now time.Time, reservation attempt.Reservation) *job {
	if !c.table.Accept(now, reservation) {
		c.forgetRefused(reservation)
		return nil
	}
	j := c.jobs[reservation.Number]
	j.accepted = true
	c.queue.MarkReady(reservation.Number)
	c.startReady()
	return j
}

// startReady starts the jobs that the queue has capacity for. While the endpoint is down or
// the agent drains it starts none: refuseQueued removes the queued jobs one by one, and each
// removal would otherwise start the next job shortly before refuseQueued removes it too.
func (c *controlState) startReady() {
	for !c.endpointDown && !c.leaving {
		id, found := c.queue.StartNext()
		if !found {
			return
		}
		j := c.jobs[id]
		if c.table.Start(j.reservation) {
			j.decision <- nil
			continue
		}
		c.remove(j)
	}
}

// markPrefilled records the end of a job's prefill, after which another job may start.
func (c *controlState) markPrefilled(j *job) {
	c.queue.MarkPrefilled(j.reservation.Number)
	c.startReady()
}

// remove frees the slot and the memory of a job and starts the jobs that fit in their place.
func (c *controlState) remove(j *job) {
	delete(c.jobs, j.reservation.Number)
	c.queue.Remove(j.reservation.Number)
	c.table.Discard(j.reservation)
	c.startReady()
}

// withdraw cancels a reservation that has not started and returns attempt.DidNotRun, or
// returns the reservation's state and outcome. With peek it cancels nothing.
func (c *controlState) withdraw(now time.Time, reservation attempt.Reservation, peek bool) (attempt.State, attempt.Outcome) {
	if peek {
		return c.table.Peek(now, reservation)
	}
	state, outcome := c.table.Withdraw(reservation)
	if state == attempt.DidNotRun {
		c.forgetRefused(reservation)
		if j := c.jobs[reservation.Number]; j != nil && reservation.Incarnation == c.agent.incarnation {
			c.refuse(j, result.Refuse(result.Withdrawn, 0, "the reservation was withdrawn before it started"))
		}
	}
	return state, outcome
}

// refuse removes a job that has not started and sends the reason to its run request.
func (c *controlState) refuse(j *job, reason *result.Error) {
	select {
	case j.decision <- reason:
	default:
	}
	c.remove(j)
}

// startDraining refuses new and queued jobs. Running jobs go on.
func (c *controlState) startDraining() {
	c.leaving = true
	c.queue.SetClosed(true)
	for _, id := range c.queue.Waiting() {
		if j := c.jobs[id]; !j.accepted {
			c.refused[id] = struct{}{}
		}
	}
	c.refusedReservations.Store(int64(len(c.refused)))
	c.refuseQueued(result.Refuse(result.Leaving, 0, "the endpoint's agent is draining"))
}

// forgetRefused records that the entry of a refused reservation knows of it.
func (c *controlState) forgetRefused(reservation attempt.Reservation) {
	if reservation.Incarnation == c.agent.incarnation {
		delete(c.refused, reservation.Number)
		c.refusedReservations.Store(int64(len(c.refused)))
	}
}

// refuseQueued refuses all jobs that have not started, with reason.
func (c *controlState) refuseQueued(reason *result.Error) {
	for _, id := range c.queue.Waiting() {
		j := c.jobs[id]
		if state, _ := c.table.Withdraw(j.reservation); state == attempt.DidNotRun {
			c.refuse(j, reason)
		}
	}
}

// setDown records whether the endpoint is down. When it goes down, the queued jobs are
// refused and the running jobs that are repeatable are stopped, so that entries retry them
// elsewhere at once instead of waiting until their deadlines.
func (c *controlState) setDown(down bool) {
	if c.endpointDown == down {
		return
	}
	c.endpointDown = down
	c.announce()
	if !down {
		c.startReady()
		return
	}
	c.refuseQueued(result.Refuse(result.NoEndpoint, time.Second, "the endpoint does not answer"))
	for _, j := range c.jobs {
		if j.cancel != nil && j.repeatable {
			j.cancel(result.Fail(result.EndpointFailed, result.RanYes, "the endpoint does not answer"))
		}
	}
}

// applyGrant applies a power grant and sheds the running jobs that exceed it.
func (c *controlState) applyGrant(request *wire.GrantRequest) *wire.GrantResponse {
	applied := c.limit.Apply(request.Incarnation, request.Revision, request.Watts)
	c.applyLimit()
	if applied {
		c.shed()
	}
	return &wire.GrantResponse{Applied: applied, LimitWatts: c.limit.EnforcedWatts(c.queue.Report().Running), Revision: c.limit.Revision()}
}

// applyLimit sets the number of slots that the power limit allows and starts ready jobs.
func (c *controlState) applyLimit() {
	c.queue.SetSlots(c.limit.Slots())
	c.startReady()
}

// shed stops as many running jobs as exceed the slots of the power limit: those of the least
// urgent class first, and within a class those that were reserved last. Only repeatable jobs
// are stopped. Jobs that are already stopping count as stopped.
func (c *controlState) shed() {
	excess := c.queue.Report().Running - c.limit.Slots()
	var running []*job
	for _, j := range c.jobs {
		if j.stopping {
			excess--
		} else if j.cancel != nil && j.repeatable {
			running = append(running, j)
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
	for _, j := range running[:min(excess, len(running))] {
		j.stopping = true
		j.cancel(result.Fail(result.NoPower, result.RanYes, "stopped to keep the site within its power cap"))
	}
}

// FillHeartbeat implements membership.Delegate: it adds the endpoint, its load report, its
// power and the catalogue's digest to a heartbeat.
func (c *controlState) FillHeartbeat(now time.Time, h *wire.Heartbeat) {
	a := c.agent
	h.Endpoint, h.EngineAddr, h.OperatorsAddr = a.settings.Name, a.settings.Endpoint, a.settings.OperatorsListen
	if c.serves() {
		h.Models, h.Services = a.status.Models, a.settings.Services
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

// serves returns whether the agent starts requests for its models and services, which it advertises only then. Without
// the catalogue the agent of an engine does not know whether its site has a power cap, and starts nothing; the agent of
// a plain service has no limit of power and needs no catalogue.
func (c *controlState) serves() bool {
	return !c.endpointDown && (c.catalogueReady || c.agent.settings.Kind != "engine")
}

// powerRefusalPeriod is the length of the periods in which refusals for lack of power are
// counted.
const powerRefusalPeriod = 2 * time.Second

// slotDemand returns the number of batch slots that the current jobs and those recently
// refused for lack of power could use. The refused ones count because an endpoint without a
// grant has no other jobs, and would never ask for a grant while other endpoints use up the
// cap.
func (c *controlState) slotDemand() int {
	return c.queue.SlotDemand() + max(c.powerRefusals, c.previousPowerRefusals)
}

// loadReport returns the load report for heartbeats and for responses to reservations.
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

// HandleHeartbeat implements membership.Delegate: it compares the sender's catalogue with
// this node's.
func (c *controlState) HandleHeartbeat(_ time.Time, h *wire.Heartbeat) {
	c.agent.catalogue.HandleHeartbeat(h)
}

// Tick implements membership.Delegate: it expires reservations, follows the leaving state,
// the power cap and the power limit, and updates the gauges.
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
		// Jobs that had started but could not be cancelled yet when a grant was lowered are
		// shed now.
		c.shed()
	}
	report := c.queue.Report()
	c.gauges.running.Store(int64(report.Running))
	c.gauges.queued.Store(int64(report.Queued))
	c.gauges.attempts.Store(int64(c.table.Len()))
	c.gauges.limitWatts.Store(int64(c.limit.EnforcedWatts(report.Running)))
}

// removeExpired removes the jobs whose lease has expired without a run request.
func (c *controlState) removeExpired(now time.Time) {
	for _, expired := range c.table.Sweep(now) {
		if j := c.jobs[expired.Number]; j != nil {
			c.remove(j)
		}
	}
}

// updatePowerCap reads from the catalogue whether the site of this data centre has a power
// cap. Until the catalogue is known, the site is assumed to have one, and no job starts.
func (c *controlState) updatePowerCap() {
	view, ready := c.agent.catalogue.View(), c.agent.catalogue.Ready()
	if view == c.catalogueView && ready == c.catalogueReady {
		return
	}
	served := c.serves()
	c.catalogueView, c.catalogueReady = view, ready
	if c.serves() != served {
		c.announce()
	}
	c.limit.SetCapped(!ready || view.SiteOf(c.agent.settings.DataCentre) != nil)
	c.applyLimit()
}
