package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/gateway/response"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

// forwarding is the state of a request across its attempts at endpoints.
type forwarding struct {
	*call
	retrier          attempt.Retrier
	placementRequest direct.Request
	// relay is set for streaming routes. It persists across attempts.
	relay *streamRelay
	// reserveAttempts counts the attempts to reserve KV cache; each uses reservation IDs of its own.
	reserveAttempts int
	// usedConns are the connections on which the request was sent.
	usedConns usedConns
	// lastEndpoint is the endpoint of the last attempt.
	lastEndpoint directory.Incarnation
	// allowanceTaken is set if the last attempt used the allowance of an endpoint's limit.
	allowanceTaken bool
	// coldTickets count the last attempt at endpoints that warm up, or may do so.
	coldTickets []*direct.ColdTicket
	// countedAfterBackoff is set while the last attempt counts as one of those after a backoff.
	countedAfterBackoff bool
	// budgetTaken is set if the next attempt has used the retry budget.
	budgetTaken bool
	// handedOver is set if the attempt under way was given up for another one, for which the retry budget has been
	// used, as this process stops.
	handedOver atomic.Bool
	// lengthRecorded is set once the outcome of a long prompt is recorded.
	lengthRecorded bool
	// onTrial is set if the request is sent once although a part of its prompt is blamed for crashes.
	// trialDecided is set once it was answered, or its endpoint crashed.
	onTrial, trialDecided bool
	// lastStatus is the status of the last endpoint's response.
	lastStatus int
	// failedResponse is the last complete response in which an endpoint reported a failure.
	failedResponse *bufferedResponse
	// admitted is set from the admission by priority, in admittedTier, to the first response, and
	// startedInTime if that was not late.
	admitted, startedInTime bool
	admittedTier            admission.Tier
}

// forward sends the request to endpoints until one has answered it or no retry is allowed.
func (c *call) forward() *result.Error {
	ctx, cancel := c.context()
	defer cancel()
	c.restrictRegions()
	f := &forwarding{call: c}
	f.retrier = attempt.Retrier{Repeatable: c.route.Repeatable(), MaxArrivals: c.route.MaxAttempts}
	f.placementRequest = direct.Request{
		Service: c.service, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens,
		DataCentre: c.gateway.settings.DataCentre, Priority: c.priority(), MaxPause: c.route.TargetPause, Tried: map[directory.Incarnation]bool{},
		SpreadMemory: c.service.Engine != nil && c.gateway.admission.routesDiffer(c.config, c.service),
	}
	if c.route.Kind == directory.Streaming {
		f.relay = &streamRelay{call: c, lastEventID: c.LastEventID}
	}
	c.gateway.crashCauses.RecordRequest(c.service.Name, c.sharedParts())
	defer f.endTrial()
	if failure := f.refuseQuarantined(); failure != nil {
		return failure
	}
	if failure := f.admit(); failure != nil {
		return failure
	}
	defer f.endAdmission()
	defer f.recordLengthOutcome(false) // unless it was admitted before
	if failure := f.waitInQueue(ctx); failure != nil {
		return failure
	}
	for {
		if failure := f.refuseQuarantined(); failure != nil {
			return failure
		}
		plan := c.place(&f.placementRequest)
		if plan == nil || plan.Refused() {
			f.returnBudget()
			return f.refuse(plan)
		}
		if !f.takeAllowance(plan.Endpoint) || !f.takeCold(plan) {
			continue // another request has taken it since; the next plan leaves the endpoint out
		}
		f.budgetTaken = false
		f.recordLengthOutcome(true)
		outcome, err := f.sendTo(ctx, plan)
		f.endBackoffCount(plan.Endpoint, false)
		if err == nil {
			f.budgetTaken = f.handedOver.Swap(false)
			f.returnBudget() // of another attempt, if the endpoint responded just as it was given up
			f.recordResponse()
			return nil
		}
		if failure := f.entryError(err); failure != nil {
			return failure
		}
		f.endCold(outcome)
		if outcome == attempt.NotSent {
			f.giveBackLimit(plan.Endpoint)
		}
		if outcome == attempt.Broken && ctx.Err() == nil && !f.handedOver.Load() {
			f.checkForCrash(ctx, plan.Endpoint)
		}
		endedBy := f.endedBy(ctx)
		next := f.retrier.Decide(outcome, f.takeBudget)
		c.log.Add("attempt_failed", zap.String("endpoint", plan.Endpoint.ID), zap.String("outcome", outcome.String()),
			zap.Int("arrivals", f.retrier.Arrivals()), zap.String("next", next.String()), zap.String("ended_by", endedBy), eventlog.Error(err))
		c.gateway.countFailedAttempt(c.service.Name, outcome)
		if ctx.Err() != nil {
			return f.contextError(ctx)
		}
		if next != attempt.Retry {
			return f.finalError(next, err)
		}
		if !f.retrier.MayHaveRun() && !f.canAccept() {
			f.returnBudget()
			return f.refuseLeaving()
		}
	}
}

// takeBudget takes a retry from the retry budget.
func (f *forwarding) takeBudget() bool {
	f.budgetTaken = f.handedOver.Swap(false) || f.gateway.retries.Take(time.Now(), f.service.Name)
	return f.budgetTaken
}

// returnBudget returns a retry to the budget that was not sent.
func (f *forwarding) returnBudget() {
	if f.budgetTaken {
		f.budgetTaken = false
		f.gateway.retries.GiveBack(time.Now(), f.service.Name)
	}
}

// place selects an endpoint, and helpers, from the newest snapshot. It returns nil when no
// endpoint is eligible.
func (c *call) place(r *direct.Request) *direct.Plan {
	snapshot := c.gateway.snapshot.Load()
	plan := c.gateway.policy.Place(time.Now(), r, c.allowedEndpoints(snapshot))
	if plan == nil || plan.Refused() {
		return plan
	}
	c.lastEndpoint, c.placedAt = plan.Endpoint.ID, time.Now()
	c.log.Add("placed", zap.String("endpoint", plan.Endpoint.ID), zap.String("service", c.service.Name), zap.Uint64("at", snapshot.At.Revision()), zap.Stringer("era", snapshot.At.Era()),
		zap.Int("candidates", plan.Candidates), zap.Duration("cost_ms", plan.Cost), zap.Duration("prefill_ms", plan.PartPrefill), zap.Strings("helpers", plan.HelperIDs()))
	return plan
}

// sendTo makes one attempt at the plan's endpoint and relays its response. After an error the
// outcome says whether the request may have run.
func (f *forwarding) sendTo(ctx context.Context, plan *direct.Plan) (attempt.SendOutcome, error) {
	f.placementRequest.Tried[plan.Endpoint.Incarnation] = true
	f.lastEndpoint = plan.Endpoint.Incarnation
	load := f.gateway.loadTracker.Begin(time.Now(), plan)
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
		f.recordFirstResponse()
	}
	if plan.HelperMemoryTokens > 0 {
		f.reserveAttempts++
		reservations, err := f.gateway.reserve(ctx, f.call, plan, f.reserveAttempts, func() error { return f.checkSend(plan) })
		if err != nil {
			return f.notSent(plan, err)
		}
		defer reservations.release()
		load.MoveHelperMemory(reservations.holders, plan.HelperMemoryTokens)
		helpers = reservations.helperRefs
		// An engine that does not start the request would keep the helpers' memory from other
		// requests.
		idleTimer := time.AfterFunc(f.gateway.memoryIdleLimit(), cancel)
		defer idleTimer.Stop()
		endPrefill := onFirstEvent
		onFirstEvent = func() {
			idleTimer.Stop()
			endPrefill()
		}
	}
	sentAt := time.Now()
	response, sendErr := f.gateway.exchange(ctx, plan.Endpoint, f.buildRequest(plan, helpers), !f.route.Repeatable(), f.silenceTimeout(), f.handOver(plan))
	if sendErr != nil && sendErr.outcome == attempt.NotSent {
		return f.notSent(plan, sendErr)
	}
	if sendErr != nil {
		return sendErr.outcome, sendErr
	}
	f.lastStatus = response.status
	f.gateway.observeResponse(response, sentAt)
	f.observeServed(response, sentAt)
	f.endBackoffCount(plan.Endpoint, response.status < http.StatusInternalServerError)
	if outcome, err := classify(response); err != nil {
		response.discard()
		if outcome == attempt.NotExecuted {
			outcome = f.avoidFaultyEndpoint(plan, response)
		}
		return outcome, err
	}
	if f.streamStarted() && response.status != http.StatusOK {
		response.discard()
		return attempt.Broken, errors.Errorf("endpoint answered with status %d when a stream was to be resumed", response.status)
	}
	if f.relay != nil && response.status == http.StatusOK {
		return f.relay.run(ctx, response, onFirstEvent, func(pause time.Duration) { f.checkPause(plan, pause) })
	}
	return f.relayBuffered(ctx, response)
}

const (
	// avoidBusyFor is how long an endpoint that refused a request is avoided: some of its
	// requests have ended by then.
	avoidBusyFor = 400 * time.Millisecond
	// avoidGoneFor is how long an endpoint is avoided that is draining or has been replaced at
	// its address: by then the snapshot reflects it.
	avoidGoneFor = 2 * time.Second
)

// avoidFaultyEndpoint finds the endpoint that kept a request from running and avoids it for a
// while. A prompt that is prefilled in parts needs all of its engines: a single draining engine
// that a node without access to the store still lists would make every long prompt fail.
func (f *forwarding) avoidFaultyEndpoint(plan *direct.Plan, r *endpointResponse) attempt.SendOutcome {
	for _, helper := range plan.Helpers {
		if helper.Addr == r.parsed.FaultyAddr && helper.Incarnation != plan.Endpoint.Incarnation {
			f.gateway.loadTracker.Avoid(helper.Incarnation, time.Now().Add(avoidGoneFor))
			delete(f.placementRequest.Tried, plan.Endpoint.Incarnation)
			return attempt.HelperFailed
		}
	}
	wait := avoidBusyFor
	if r.status == http.StatusMisdirectedRequest {
		wait = avoidGoneFor
		f.giveBackCold()
	}
	f.gateway.loadTracker.Avoid(plan.Endpoint.Incarnation, time.Now().Add(wait))
	return attempt.NotExecuted
}

// beforeWrite decides, once there is a connection, whether the request is written to it.
func (f *forwarding) beforeWrite(plan *direct.Plan) error {
	if err := f.checkSend(plan); err != nil {
		return err
	}
	if !f.recordColdSent() {
		return errConnectedLate
	}
	return nil
}

// notSent ends an attempt of which nothing was sent. The next plan may use an endpoint from which the request was only
// withheld, without the helper that was the reason.
func (f *forwarding) notSent(plan *direct.Plan, err error) (attempt.SendOutcome, error) {
	var withheld *withheldError
	if errors.As(err, &withheld) {
		delete(f.placementRequest.Tried, plan.Endpoint.Incarnation)
	}
	return attempt.NotSent, err
}

// streamStarted reports whether the head of a response, which is that of a stream, has been sent to the caller.
func (f *forwarding) streamStarted() bool { return f.response.State() != response.Unsent }

// Bounds of the time without a byte from an endpoint after which it is probed.
const (
	minSilenceTimeout = 200 * time.Millisecond
	maxSilenceTimeout = 1200 * time.Millisecond
)

// silenceTimeout returns the time without a byte after which the endpoint is probed: shortly
// before the response is late. It is 0, for never, when the request could not be retried at
// another endpoint; such a request waits for whatever still comes.
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

// buildRequest builds the request that is sent to the plan's endpoint. helpers are the helpers
// of a plan with reservations; otherwise they are taken from the plan.
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
	f.gateway.headerCodec.Forward(header, d)
	return &outgoingRequest{id: f.ID, method: f.httpRequest.Method, target: f.httpRequest.RequestURI, host: f.httpRequest.Host, header: header, body: f.body, used: &f.usedConns, beforeWrite: func() error { return f.beforeWrite(plan) }}
}

// priority returns the client account's priority, or the route's if the account has none.
func (c *call) priority() int {
	if c.account != nil && c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}
