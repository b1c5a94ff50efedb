package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

// forwarding is the way of a call from endpoint to endpoint.
type forwarding struct {
	*call
	retrier attempt.Retrier
	request direct.Request
	// relay is set for streams; it outlives a single endpoint.
	relay *relay
	// reserving counts the tries to reserve memory; each has reservations of its own.
	reserving int
	// failure is the last endpoint's whole answer that says it failed.
	failure *whole
}

// forward sends the call to endpoints until one has answered it.
func (c *call) forward() *result.Error {
	ctx, cancel := c.timeout()
	defer cancel()
	f := &forwarding{call: c}
	f.retrier = attempt.Retrier{Repeatable: c.route.Repeatable(), MaxArrivals: c.route.MaxAttempts}
	f.request = direct.Request{
		Service: c.service, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens,
		DataCentre: c.gateway.settings.DataCentre, MaxPause: c.route.TargetGap, Tried: map[directory.Life]bool{},
	}
	if c.route.Kind == directory.Streaming {
		f.relay = &relay{call: c, last: c.LastEvent}
	}
	if failure := f.waitInQueue(ctx); failure != nil {
		return failure
	}
	for {
		if failure := f.refuseQuarantined(); failure != nil {
			return failure
		}
		plan := c.place(&f.request)
		if plan == nil {
			return f.noEndpoint()
		}
		if plan.Overloaded {
			return f.refuseCapacity(plan)
		}
		outcome, err := f.send(ctx, plan)
		if err == nil {
			f.noteAnswer()
			return nil
		}
		if outcome == attempt.Broken && ctx.Err() == nil {
			f.noteCrash(ctx, plan.Endpoint)
		}
		next := f.retrier.After(outcome, func() bool { return c.gateway.retries.Take(time.Now(), c.service.Name) })
		c.log.Add("attempt_failed", zap.String("endpoint", plan.Endpoint.ID), zap.String("outcome", outcome.String()),
			zap.Int("arrivals", f.retrier.Arrivals()), zap.String("next", next.String()), eventlog.Error(err))
		c.gateway.countAttempt(c.service.Name, outcome)
		if ctx.Err() != nil {
			return f.ended(ctx)
		}
		if next != attempt.SendAgain {
			return f.give(next, err)
		}
	}
}

// place picks where the call goes, over the newest snapshot.
func (c *call) place(r *direct.Request) *direct.Plan {
	snapshot := c.gateway.snapshot.Load()
	plan := c.gateway.policy.Place(time.Now(), r, snapshot.Endpoints(c.service.Name))
	if plan == nil || plan.Overloaded {
		return plan
	}
	c.endpoint = plan.Endpoint.ID
	c.log.Add("placed", zap.String("endpoint", plan.Endpoint.ID), zap.String("service", c.service.Name), zap.Uint64("at", snapshot.At),
		zap.Int("candidates", plan.Candidates), zap.Duration("cost_ms", plan.Cost), zap.Duration("prefill_ms", plan.PartPrefill), zap.Strings("helpers", plan.HelperIDs()))
	return plan
}

// send sends the call to one endpoint and passes its answer on.
func (f *forwarding) send(ctx context.Context, plan *direct.Plan) (attempt.SendOutcome, error) {
	f.request.Tried[plan.Endpoint.Life] = true
	charge := f.gateway.ledger.Begin(time.Now(), plan)
	defer charge.End()
	if plan.Long {
		f.gateway.peers.announce()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var helpers []string
	begun := f.watchFirst(plan)
	defer begun()
	prefilled := func() {
		begun()
		charge.FinishPrefill()
	}
	if plan.HelperMemoryTokens > 0 {
		f.reserving++
		held, err := f.gateway.reserve(ctx, f.call, plan, f.reserving)
		if err != nil {
			return attempt.NotSent, err
		}
		defer held.release()
		helpers = held.helpers
		// An engine that does not begin would keep the helpers' memory from others.
		idle := time.AfterFunc(f.gateway.memoryIdle(), cancel)
		defer idle.Stop()
		reserved := prefilled
		prefilled = func() {
			idle.Stop()
			reserved()
		}
	}
	reply, failed := f.gateway.exchange(ctx, plan.Endpoint, f.outgoing(plan, helpers), !f.route.Repeatable(), f.silence())
	if failed != nil {
		return failed.outcome, failed
	}
	if reply.answer.HasLoad {
		f.gateway.ledger.RecordLoadReport(time.Now(), plan.Endpoint.Life, reply.answer.Running, reply.answer.Waiting)
	}
	if outcome, err := classify(reply); err != nil {
		reply.abandonOrFinish()
		if outcome == attempt.NotExecuted {
			outcome = f.blame(plan, reply)
		}
		return outcome, err
	}
	if f.begun() && reply.status != http.StatusOK {
		reply.abandonOrFinish()
		return attempt.Broken, errors.Errorf("status %d where a stream was to go on", reply.status)
	}
	if f.relay != nil && reply.status == http.StatusOK {
		return f.relay.pass(reply, prefilled, func(gap time.Duration) { f.watchGap(plan, gap) })
	}
	return f.passWhole(reply)
}

const (
	// avoidBusy is how long an endpoint that refused work is passed over: some of its
	// requests have ended by then.
	avoidBusy = 400 * time.Millisecond
	// avoidGone is how long one is passed over that is leaving or is not the one that was
	// meant: by then the list tells.
	avoidGone = 2 * time.Second
)

// blame finds which endpoint a request did not run because of, and passes it over
// for a while. A prompt that is prefilled on many engines needs every one of them: a
// single engine that is leaving, and that a node which cannot reach the store still
// has on its list, would make each long prompt fail.
func (f *forwarding) blame(plan *direct.Plan, r *reply) attempt.SendOutcome {
	for _, helper := range plan.Helpers {
		if helper.Addr == r.answer.AtFault && helper.Life != plan.Endpoint.Life {
			f.gateway.ledger.Avoid(helper.Life, time.Now().Add(avoidGone))
			delete(f.request.Tried, plan.Endpoint.Life)
			return attempt.HelperFailed
		}
	}
	wait := avoidBusy
	if r.status == http.StatusMisdirectedRequest {
		wait = avoidGone
	}
	f.gateway.ledger.Avoid(plan.Endpoint.Life, time.Now().Add(wait))
	return attempt.NotExecuted
}

// begun tells whether a part of a stream has been passed on.
func (f *forwarding) begun() bool { return f.relay != nil && f.relay.begun }

// Silence of an endpoint after which it is probed.
const (
	silenceLeast = 200 * time.Millisecond
	silenceMost  = 1200 * time.Millisecond
)

// silence is after which time without a byte the endpoint is probed: a little before
// the answer is late. 0 for a request that could not go on elsewhere, which waits for
// whatever still comes.
func (f *forwarding) silence() time.Duration {
	if !f.retrier.CanRepeat() {
		return 0
	}
	wait := f.route.Target
	if f.route.Kind == directory.Streaming {
		wait = 2 * f.route.TargetGap
	}
	return min(max(wait, silenceLeast), silenceMost)
}

// outgoing makes the request for an endpoint.
func (f *forwarding) outgoing(plan *direct.Plan, helpers []string) *outgoing {
	d := &Dispatch{Helpers: helpers, EndpointID: plan.Endpoint.ID, Remaining: time.Until(f.deadline)}
	if f.account != nil {
		d.Account = f.account.Name
	}
	if plan.HelperMemoryTokens == 0 {
		for _, helper := range plan.Helpers {
			d.Helpers = append(d.Helpers, helper.Addr)
		}
	}
	if f.service.Engine != nil {
		d.Priority, d.HasPriority = direct.EnginePriority(f.PromptTokens, f.priority()), true
	}
	if f.relay != nil {
		d.LastEvent = f.relay.last
	}
	header := forwardable(f.in.Header)
	f.gateway.dialect.Forward(header, d)
	return &outgoing{id: f.ID, method: f.in.Method, target: f.in.RequestURI, host: f.in.Host, header: header, body: f.body}
}

// priority is the account's rank, or else the route's.
func (c *call) priority() int {
	if c.account != nil && c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

// ended tells why a call whose context ended has failed.
func (f *forwarding) ended(ctx context.Context) *result.Error {
	ran := result.RanNo
	if f.retrier.MayHaveRun() {
		ran = result.RanUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Fail(result.DeadlineExceeded, ran, "the deadline passed")
	}
	return result.Fail(result.Cancelled, ran, "the caller went away")
}

// noEndpoint ends a call for which no endpoint is left.
func (f *forwarding) noEndpoint() *result.Error {
	switch {
	case f.failure != nil:
		return f.failure.write(f.call)
	case f.retrier.MayHaveRun():
		return result.Fail(result.EndpointFailed, result.RanUnknown, "the endpoint failed and no other is left")
	}
	return result.Refuse(result.NoEndpoint, noEndpointRetry, "no endpoint of service %q", f.service.Name)
}

// refuseCapacity ends a call whose prompt would hold up others for too long.
func (f *forwarding) refuseCapacity(plan *direct.Plan) *result.Error {
	f.log.Add("capacity_refused", zap.Duration("prefill_ms", plan.PartPrefill), zap.Int("engines", 1+len(plan.Helpers)), zap.Int("open", plan.InFlight), zap.Int("harmed", plan.Delayed))
	if f.retrier.MayHaveRun() {
		return result.Fail(result.EndpointFailed, result.RanUnknown, "the endpoint failed and no other has room")
	}
	return result.Refuse(result.Overloaded, crowdedRetry, "no room for %d tokens on engines in use", f.PromptTokens)
}

// give ends a call that is not sent again.
func (f *forwarding) give(next attempt.Next, err error) *result.Error {
	switch next {
	case attempt.PassOn:
		return f.failure.write(f.call)
	case attempt.Fail:
		return result.Fail(result.EndpointFailed, result.RanUnknown, "%v", err)
	}
	return result.Refuse(result.Overloaded, overloadedRetry, "%v", err)
}

// crowdedRetry is when a caller may come back with a prompt that engines in use cannot
// take: the users' mix changes within seconds.
const crowdedRetry = 3 * time.Second

// overloadedRetry is when a caller may come back whom endpoints were too busy for:
// by then a batch of short work has ended.
const overloadedRetry = 300 * time.Millisecond
