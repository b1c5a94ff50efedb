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
	retrier          attempt.Retrier
	placementRequest direct.Request
	// relay is set for streams; it outlives a single endpoint.
	relay *streamRelay
	// reserveAttempts counts the tries to reserve memory; each has reservations of its own.
	reserveAttempts int
	// failedResponse is the last endpoint's whole answer that says it failed.
	failedResponse *bufferedResponse
}

// forward sends the call to endpoints until one has answered it.
func (c *call) forward() *result.Error {
	ctx, cancel := c.withDeadline()
	defer cancel()
	f := &forwarding{call: c}
	f.retrier = attempt.Retrier{Repeatable: c.route.Repeatable(), MaxArrivals: c.route.MaxAttempts}
	f.placementRequest = direct.Request{
		Service: c.service, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens,
		DataCentre: c.gateway.settings.DataCentre, MaxPause: c.route.TargetPause, Tried: map[directory.Incarnation]bool{},
	}
	if c.route.Kind == directory.Streaming {
		f.relay = &streamRelay{call: c, lastEventID: c.LastEventID}
	}
	if failure := f.waitInQueue(ctx); failure != nil {
		return failure
	}
	for {
		if failure := f.refuseQuarantined(); failure != nil {
			return failure
		}
		plan := c.place(&f.placementRequest)
		if plan == nil {
			return f.noEndpointError()
		}
		if plan.Overloaded {
			return f.refuseCapacity(plan)
		}
		outcome, err := f.sendTo(ctx, plan)
		if err == nil {
			f.recordAnswer()
			return nil
		}
		if outcome == attempt.Broken && ctx.Err() == nil {
			f.checkForCrash(ctx, plan.Endpoint)
		}
		next := f.retrier.Decide(outcome, func() bool { return c.gateway.retries.Take(time.Now(), c.service.Name) })
		c.log.Add("attempt_failed", zap.String("endpoint", plan.Endpoint.ID), zap.String("outcome", outcome.String()),
			zap.Int("arrivals", f.retrier.Arrivals()), zap.String("next", next.String()), eventlog.Error(err))
		c.gateway.countFailedAttempt(c.service.Name, outcome)
		if ctx.Err() != nil {
			return f.contextError(ctx)
		}
		if next != attempt.Retry {
			return f.finalError(next, err)
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
	c.lastEndpoint = plan.Endpoint.ID
	c.log.Add("placed", zap.String("endpoint", plan.Endpoint.ID), zap.String("service", c.service.Name), zap.Uint64("at", snapshot.Revision),
		zap.Int("candidates", plan.Candidates), zap.Duration("cost_ms", plan.Cost), zap.Duration("prefill_ms", plan.PartPrefill), zap.Strings("helpers", plan.HelperIDs()))
	return plan
}

// sendTo sends the call to one endpoint and passes its answer on.
func (f *forwarding) sendTo(ctx context.Context, plan *direct.Plan) (attempt.SendOutcome, error) {
	f.placementRequest.Tried[plan.Endpoint.Incarnation] = true
	load := f.gateway.ledger.Begin(time.Now(), plan)
	defer load.End()
	if plan.Long {
		f.gateway.peers.sendHeartbeat()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var helpers []string
	stopWatch := f.watchFirstToken(plan)
	defer stopWatch()
	onFirstEvent := func() {
		stopWatch()
		load.FinishPrefill()
	}
	if plan.HelperMemoryTokens > 0 {
		f.reserveAttempts++
		reservations, err := f.gateway.reserve(ctx, f.call, plan, f.reserveAttempts)
		if err != nil {
			return attempt.NotSent, err
		}
		defer reservations.release()
		helpers = reservations.helperRefs
		// An engine that does not begin would keep the helpers' memory from others.
		idleTimer := time.AfterFunc(f.gateway.memoryIdleLimit(), cancel)
		defer idleTimer.Stop()
		endPrefill := onFirstEvent
		onFirstEvent = func() {
			idleTimer.Stop()
			endPrefill()
		}
	}
	response, sendErr := f.gateway.exchange(ctx, plan.Endpoint, f.buildRequest(plan, helpers), !f.route.Repeatable(), f.silenceTimeout())
	if sendErr != nil {
		return sendErr.outcome, sendErr
	}
	if response.parsed.HasLoad {
		f.gateway.ledger.RecordLoadReport(time.Now(), plan.Endpoint.Incarnation, response.parsed.Running, response.parsed.Waiting)
	}
	if outcome, err := classify(response); err != nil {
		response.discard()
		if outcome == attempt.NotExecuted {
			outcome = f.avoidFaultyEndpoint(plan, response)
		}
		return outcome, err
	}
	if f.streamStarted() && response.status != http.StatusOK {
		response.discard()
		return attempt.Broken, errors.Errorf("status %d where a stream was to go on", response.status)
	}
	if f.relay != nil && response.status == http.StatusOK {
		return f.relay.run(response, onFirstEvent, func(pause time.Duration) { f.checkPause(plan, pause) })
	}
	return f.relayBuffered(response)
}

const (
	// avoidBusyFor is how long an endpoint that refused work is passed over: some of its
	// requests have ended by then.
	avoidBusyFor = 400 * time.Millisecond
	// avoidGoneFor is how long one is passed over that is leaving or is not the one that was
	// meant: by then the list tells.
	avoidGoneFor = 2 * time.Second
)

// avoidFaultyEndpoint finds which endpoint a request did not run because of, and passes it over
// for a while. A prompt that is prefilled on many engines needs every one of them: a
// single engine that is leaving, and that a node which cannot reach the store still
// has on its list, would make each long prompt fail.
func (f *forwarding) avoidFaultyEndpoint(plan *direct.Plan, r *endpointResponse) attempt.SendOutcome {
	for _, helper := range plan.Helpers {
		if helper.Addr == r.parsed.FaultyAddr && helper.Incarnation != plan.Endpoint.Incarnation {
			f.gateway.ledger.Avoid(helper.Incarnation, time.Now().Add(avoidGoneFor))
			delete(f.placementRequest.Tried, plan.Endpoint.Incarnation)
			return attempt.HelperFailed
		}
	}
	wait := avoidBusyFor
	if r.status == http.StatusMisdirectedRequest {
		wait = avoidGoneFor
	}
	f.gateway.ledger.Avoid(plan.Endpoint.Incarnation, time.Now().Add(wait))
	return attempt.NotExecuted
}

// streamStarted tells whether a part of a stream has been passed on.
func (f *forwarding) streamStarted() bool { return f.relay != nil && f.relay.headSent }

// Silence of an endpoint after which it is probed.
const (
	minSilenceTimeout = 200 * time.Millisecond
	maxSilenceTimeout = 1200 * time.Millisecond
)

// silenceTimeout is after which time without a byte the endpoint is probed: a little before
// the answer is late. 0 for a request that could not go on elsewhere, which waits for
// whatever still comes.
func (f *forwarding) silenceTimeout() time.Duration {
	if !f.retrier.CanRetryAfterNext() {
		return 0
	}
	wait := f.route.Target
	if f.route.Kind == directory.Streaming {
		wait = 2 * f.route.TargetPause
	}
	return min(max(wait, minSilenceTimeout), maxSilenceTimeout)
}

// buildRequest makes the request for an endpoint.
func (f *forwarding) buildRequest(plan *direct.Plan, helpers []string) *outgoingRequest {
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
		d.LastEventID = f.relay.lastEventID
	}
	header := forwardableHeaders(f.httpRequest.Header)
	f.gateway.dialect.Forward(header, d)
	return &outgoingRequest{id: f.ID, method: f.httpRequest.Method, target: f.httpRequest.RequestURI, host: f.httpRequest.Host, header: header, body: f.body}
}

// priority is the account's rank, or else the route's.
func (c *call) priority() int {
	if c.account != nil && c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

// contextError tells why a call whose context contextError has failed.
func (f *forwarding) contextError(ctx context.Context) *result.Error {
	ran := result.RanNo
	if f.retrier.MayHaveRun() {
		ran = result.RanUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Fail(result.DeadlineExceeded, ran, "the deadline passed")
	}
	return result.Fail(result.Cancelled, ran, "the caller went away")
}

// noEndpointError ends a call for which no endpoint is left.
func (f *forwarding) noEndpointError() *result.Error {
	switch {
	case f.failedResponse != nil:
		return f.failedResponse.writeTo(f.call)
	case f.retrier.MayHaveRun():
		return result.Fail(result.EndpointFailed, result.RanUnknown, "the endpoint failed and no other is left")
	}
	return result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "no endpoint of service %q", f.service.Name)
}

// refuseCapacity ends a call whose prompt would hold up others for too long.
func (f *forwarding) refuseCapacity(plan *direct.Plan) *result.Error {
	f.log.Add("capacity_refused", zap.Duration("prefill_ms", plan.PartPrefill), zap.Int("engines", 1+len(plan.Helpers)), zap.Int("open", plan.InFlight), zap.Int("harmed", plan.Delayed))
	if f.retrier.MayHaveRun() {
		return result.Fail(result.EndpointFailed, result.RanUnknown, "the endpoint failed and no other has room")
	}
	return result.Refuse(result.Overloaded, capacityRetryAfter, "no room for %d tokens on engines in use", f.PromptTokens)
}

// finalError ends a call that is not sent again.
func (f *forwarding) finalError(next attempt.RetryAction, err error) *result.Error {
	switch next {
	case attempt.PassOn:
		return f.failedResponse.writeTo(f.call)
	case attempt.Fail:
		return result.Fail(result.EndpointFailed, result.RanUnknown, "%v", err)
	}
	return result.Refuse(result.Overloaded, overloadedRetryAfter, "%v", err)
}

// capacityRetryAfter is when a caller may come back with a prompt that engines in use cannot
// take: the users' mix changes within seconds.
const capacityRetryAfter = 3 * time.Second

// overloadedRetryAfter is when a caller may come back whom endpoints were too busy for:
// by then a batch of short work has ended.
const overloadedRetryAfter = 300 * time.Millisecond
