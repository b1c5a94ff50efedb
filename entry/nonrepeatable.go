package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/infra"
	"aspenyard.example/membership"
	"aspenyard.example/result"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

const (
	// storeRetryAfter is the Retry-After of a request that needs the store while it is
	// unavailable, and the time between background writes of an outcome.
	storeRetryAfter = 5 * time.Second
	// inProgressRetryAfter is the Retry-After of a request whose earlier copy still
	// runs, and the time between background queries to its agent.
	inProgressRetryAfter = time.Second
	// resolveInterval is the time between queries to an agent whose stream broke.
	resolveInterval = 200 * time.Millisecond
	// recordTries is unused. It was meant to bound the writes of an outcome before the
	// caller is answered; recordOutcome makes one. backgroundRecordTime is how long an
	// entry keeps trying to resolve and record an outcome after that.
	recordTries          = 3
	backgroundRecordTime = 10 * time.Minute
)

// nonRepeatableCall is a request with an idempotency key that runs at most once.
//
// The order of its steps ensures this. First it reserves a place at an agent, because
// the claim names the reservation's number. Then it writes the claim to the store, where
// the write of only one request succeeds. Last it sends the run request, which starts only
// if it names that reservation. An entry that finds the claim later queries the one agent it names.
type nonRepeatableCall struct {
	entry    *Entry
	call     *call
	body     []byte
	digest   string
	claimKey string
	routing  routing.Request
	// storedValue is the value of claimKey as last read from the store. ownClaim is the
	// claim that this call has written, nil before.
	storedValue infra.Value
	ownClaim    *attempt.Claim
}

// serviceResponse is the response of a plain service.
type serviceResponse struct {
	status   int
	body     []byte
	replayed bool // it is the recorded response of an earlier request
}

func (e *Entry) newNonRepeatableCall(c *call, body []byte) *nonRepeatableCall {
	return &nonRepeatableCall{
		entry: e, call: c, body: body, digest: attempt.Digest(c.kind.ID, body), claimKey: attempt.ClaimKey(c.account.ID, c.idempotencyKey),
		routing: routing.Request{
			Service: c.kind.Work.Service, Class: c.class(), DataCentre: e.settings.DataCentre, Tried: map[string]bool{},
		},
	}
}

// run carries the request out, or returns the outcome that its key already has. It
// continues when the caller disconnects, because the call may have been sent and its
// outcome must be on record when the caller retries.
func (n *nonRepeatableCall) run(ctx context.Context) (serviceResponse, *result.Error) {
	ctx, stopped := n.entry.shutdown.Context(context.WithoutCancel(ctx), 0)
	defer stopped()
	ctx, cancel := n.call.withDeadline(ctx)
	defer cancel()
	var last *result.Error
	for tries := 0; tries < routing.MaxAttempts; tries++ {
		claim, failure := n.readClaim(ctx)
		if failure != nil {
			return serviceResponse{}, failure
		}
		switch attempt.ActionFor(claim, n.digest) {
		case attempt.Mismatch:
			return serviceResponse{}, result.Refuse(result.KeyReused, 0, "the idempotency key was used for a different request")
		case attempt.Replay:
			return replayOutcome(claim)
		case attempt.ReportUnknown:
			return serviceResponse{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "it cannot be determined whether an earlier request with this key ran")
		case attempt.AskAgent:
			response, failure, settled := n.resolveClaim(ctx, claim)
			if !settled {
				return response, failure
			}
		}
		response, failure := n.attempt(ctx, claim)
		if failure != nil && failure.Ran == result.RanNo && (endedByStop(ctx) || !n.entry.canServe(0)) {
			return response, refuseLeaving()
		}
		if failure == nil || failure.Ran != result.RanNo || !n.mayRetry(failure) {
			return response, failure
		}
		last = failure
	}
	return serviceResponse{}, last
}

// mayRetry reports whether a call that did not run may make another attempt after this
// failure.
func (n *nonRepeatableCall) mayRetry(failure *result.Error) bool {
	switch failure.Code {
	case result.Leaving, result.NoEndpoint, result.NoReservation, result.Withdrawn, result.Overloaded:
		return n.call.remaining() > 0
	}
	return false
}

// readClaim reads the claim of the key, nil for none. While the store is unavailable, it
// is unknown whether an earlier request with this key ran. The error then states that
// nothing ran only if the caller has stated that there was no earlier request.
func (n *nonRepeatableCall) readClaim(ctx context.Context) (*attempt.Claim, *result.Error) {
	value, err := n.entry.store.Get(ctx, n.claimKey)
	if err != nil {
		return nil, n.storeUnavailable("the store cannot be read; this request was not sent to any endpoint")
	}
	claim, err := attempt.DecodeClaim(value.Data)
	if err != nil {
		return nil, result.Fail(result.Internal, result.RanUnknown, "the claim in the store cannot be decoded")
	}
	n.storedValue = value
	return claim, nil
}

// storeUnavailable returns the error of a call that was not sent because the store is
// unavailable. See readClaim for what the error states about earlier requests.
func (n *nonRepeatableCall) storeUnavailable(detail string) *result.Error {
	failure := result.Refuse(result.StoreUnavailable, storeRetryAfter, "%s", detail)
	if !n.call.firstAttempt {
		failure.Ran = result.RanUnknown
	}
	return failure
}

// replayOutcome returns the outcome that a claim in the state ClaimDone records.
func replayOutcome(claim *attempt.Claim) (serviceResponse, *result.Error) {
	outcome := claim.Outcome
	response := serviceResponse{status: outcome.ServiceStatus, body: outcome.Body, replayed: true}
	if outcome.Code != int(result.OK) {
		return response, result.Fail(result.Code(outcome.Code), result.RanYes, "this is the recorded outcome of an earlier request with this key")
	}
	return response, nil
}

// resolveClaim queries the agent that a claim names for the outcome, and records what is
// final. settled is true when the claimed run did not and will not start, so that the
// key may be claimed again.
func (n *nonRepeatableCall) resolveClaim(ctx context.Context, claim *attempt.Claim) (response serviceResponse, failure *result.Error, settled bool) {
	reservation := &wire.Reservation{Incarnation: claim.Reservation.Incarnation, Number: claim.Reservation.Number}
	withdrawal, err := n.entry.withdraw(ctx, claim.Addr, reservation, true)
	if err != nil {
		return serviceResponse{}, &result.Error{
			Code: result.OutcomeUnknown, Ran: result.RanUnknown, RetryAfter: inProgressRetryAfter,
			Detail: "the endpoint that may have run the earlier request does not answer",
		}, false
	}
	switch withdrawal.State {
	case wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN:
		return serviceResponse{}, nil, true
	case wire.AttemptState_ATTEMPT_STATE_FINISHED:
		response, failure = n.handleEnd(ctx, claim, withdrawal.End)
		return response, failure, false
	case wire.AttemptState_ATTEMPT_STATE_FORGOTTEN:
		unknown := *claim
		unknown.State = attempt.ClaimUnknown
		_ = n.replaceClaim(ctx, claim, &unknown, false)
		return serviceResponse{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "the agent no longer knows whether the earlier request ran"), false
	}
	return serviceResponse{}, &result.Error{
		Code: result.InProgress, Ran: result.RanUnknown, RetryAfter: inProgressRetryAfter,
		Detail: "an earlier request with this key is still running",
	}, false
}

// attempt makes one attempt: it reserves a place, writes the claim in place of old and
// sends the run request, in this order.
func (n *nonRepeatableCall) attempt(ctx context.Context, old *attempt.Claim) (serviceResponse, *result.Error) {
	n.call.attempts++
	endpoint := n.entry.policy.Route(time.Now(), &n.routing, *n.entry.control.endpoints.Load())
	if endpoint == nil {
		return serviceResponse{}, n.markNotRun(ctx, result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "no live endpoint serves the service %q", n.routing.Service))
	}
	reservation, refusal := n.entry.reserve(ctx, n.call, endpoint, &n.routing)
	if refusal != nil {
		n.routing.Tried[endpoint.Name] = true
		return serviceResponse{}, refusal
	}
	claim := &attempt.Claim{
		Digest: n.digest, Attempt: newID(), RequestID: n.call.id, State: attempt.ClaimClaimed, Endpoint: endpoint.Name, Addr: endpoint.Addr,
		Reservation: attempt.Reservation{Incarnation: reservation.Incarnation, Number: reservation.Number},
	}
	if ctx.Err() != nil {
		return serviceResponse{}, result.Refuse(result.DeadlineExceeded, 0, "the deadline passed before the run request was sent")
	}
	if failure := n.writeClaim(ctx, old, claim); failure != nil {
		// The reservation is not needed. If this call fails, it expires by itself.
		_, _ = n.entry.withdraw(context.WithoutCancel(ctx), endpoint.Addr, reservation, false)
		return serviceResponse{}, failure
	}
	n.ownClaim = claim
	response, failure := n.sendRun(ctx, claim, endpoint, reservation)
	if failure != nil && failure.Ran == result.RanNo {
		n.routing.Tried[endpoint.Name] = true
		return serviceResponse{}, n.markNotRun(ctx, failure)
	}
	return response, failure
}

// writeClaim writes the claim of this call in place of old. The run request may be sent
// only if it returns nil.
func (n *nonRepeatableCall) writeClaim(ctx context.Context, old, claim *attempt.Claim) *result.Error {
	err := n.replaceClaimFrom(ctx, &n.storedValue, old, claim, true)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, infra.ErrConflict):
		return &result.Error{
			Code: result.InProgress, Ran: result.RanUnknown, RetryAfter: inProgressRetryAfter,
			Detail: "another request with this key was accepted first",
		}
	}
	return n.storeUnavailable("the claim could not be written; this request was not sent to any endpoint")
}

// replaceClaim replaces a claim by compare-and-swap. If it is unclear whether a write
// took effect, the claim is read back. confirmed is set when the agent has confirmed that
// the run of the claim old did not start. Errors: infra.ErrConflict when the store holds another
// claim or the change is not allowed, infra.ErrUnavailable when the store did not answer.
func (n *nonRepeatableCall) replaceClaim(ctx context.Context, old, next *attempt.Claim, confirmed bool) error {
	return n.replaceClaimFrom(ctx, nil, old, next, confirmed)
}

// replaceClaimFrom is replaceClaim with a value that was just read, which saves a read;
// known is nil to read first.
func (n *nonRepeatableCall) replaceClaimFrom(ctx context.Context, known *infra.Value, old, next *attempt.Claim, confirmed bool) error {
	change := func(data []byte) ([]byte, bool, error) {
		current, err := attempt.DecodeClaim(data)
		if err != nil {
			return nil, false, err
		}
		if !sameClaim(current, old) || !attempt.MayReplace(current, next, confirmed) {
			return nil, false, infra.ErrConflict
		}
		encoded, err := next.Encode()
		return encoded, false, err
	}
	isOwn := func(data []byte) bool {
		current, err := attempt.DecodeClaim(data)
		return err == nil && current != nil && current.Attempt == next.Attempt && current.State == next.State
	}
	return infra.Update(ctx, n.entry.store, n.claimKey, known, change, isOwn)
}

// sameClaim reports whether two claims are of one attempt and in the same state.
func sameClaim(a, b *attempt.Claim) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Attempt == b.Attempt && a.State == b.State
}

// sendRun sends the run request and waits for its outcome.
func (n *nonRepeatableCall) sendRun(ctx context.Context, claim *attempt.Claim, endpoint *routing.Endpoint, reservation *wire.Reservation) (serviceResponse, *result.Error) {
	ctx, watch := n.entry.watchAttempt(ctx, n.call, &n.routing, endpoint, reservation)
	defer watch.end()
	run, err := n.entry.startRun(ctx, claim.Addr, &wire.RunRequest{
		Reservation: reservation, RequestId: n.call.account.ID + "/" + n.call.idempotencyKey, Attempt: n.call.attempts,
		RemainingMs: n.call.remaining().Milliseconds(), ServiceKind: n.call.kind.ID, ServiceBody: n.body,
	})
	if err == nil {
		run.watch = watch
		defer run.close()
		var event *wire.RunEvent
		event, err = run.receive()
		if err == nil && event.GetEnd() != nil {
			return n.handleEnd(ctx, claim, event.GetEnd())
		}
	}
	if failure := result.FromError(err); failure != nil && failure.Ran == result.RanNo {
		return serviceResponse{}, failure
	}
	return n.resolveLostRun(ctx, claim, reservation)
}

// resolveLostRun withdraws the reservation of a run whose stream broke. If the run has
// started, the agent answers with its state instead. The call is repeated until the outcome
// is known, ctx ends, or the agent does not answer and is suspect. In the last two cases
// resolveLostRun returns OutcomeUnknown and keeps querying the agent in the background.
func (n *nonRepeatableCall) resolveLostRun(ctx context.Context, claim *attempt.Claim, reservation *wire.Reservation) (serviceResponse, *result.Error) {
	for first := true; ctx.Err() == nil || first && endedByStop(ctx); first = false {
		askCtx := ctx
		if endedByStop(ctx) {
			askCtx = context.WithoutCancel(ctx)
		}
		response, err := n.entry.withdraw(askCtx, claim.Addr, reservation, false)
		if err != nil {
			if n.agentIsSuspect(claim) {
				break
			}
			membership.Sleep(ctx, resolveInterval)
			continue
		}
		switch response.State {
		case wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN:
			return serviceResponse{}, result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "%s lost the run request before it started", claim.Endpoint)
		case wire.AttemptState_ATTEMPT_STATE_FINISHED:
			return n.handleEnd(ctx, claim, response.End)
		case wire.AttemptState_ATTEMPT_STATE_FORGOTTEN:
			unknown := *claim
			unknown.State = attempt.ClaimUnknown
			_ = n.replaceClaim(ctx, claim, &unknown, false)
			return serviceResponse{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "the agent no longer knows whether the request ran")
		}
		membership.Sleep(ctx, resolveInterval)
	}
	go n.resolveInBackground(claim)
	return serviceResponse{}, &result.Error{
		Code: result.OutcomeUnknown, Ran: result.RanUnknown, RetryAfter: inProgressRetryAfter,
		Detail: "the run request was sent, but its outcome did not arrive in time; retry with the same key",
	}
}

// resolveInBackground keeps querying the agent after the caller was answered, so that an
// outcome that only the agent knows is recorded before the agent is replaced. It gives
// up after backgroundRecordTime.
func (n *nonRepeatableCall) resolveInBackground(claim *attempt.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundRecordTime)
	defer cancel()
	for ctx.Err() == nil {
		membership.Sleep(ctx, inProgressRetryAfter)
		if _, failure, _ := n.resolveClaim(ctx, claim); failure == nil || failure.Code != result.InProgress && failure.RetryAfter == 0 {
			return
		}
	}
}

// agentIsSuspect reports whether the claim's agent is suspect or unknown. Waiting for it
// until the deadline would then only delay the response.
func (n *nonRepeatableCall) agentIsSuspect(claim *attempt.Claim) bool {
	m := n.entry.loop.View().Members[claim.Endpoint]
	return m == nil || m.Suspect
}

// handleEnd records the end of a run in the claim and returns the response of the service
// or the error.
func (n *nonRepeatableCall) handleEnd(ctx context.Context, claim *attempt.Claim, end *wire.End) (serviceResponse, *result.Error) {
	failure := n.entry.endError(end)
	if failure != nil && failure.Ran == result.RanNo {
		return serviceResponse{}, n.markNotRun(ctx, failure)
	}
	if failure != nil && failure.Ran == result.RanUnknown {
		unknown := *claim
		unknown.State = attempt.ClaimUnknown
		_ = n.replaceClaim(context.WithoutCancel(ctx), claim, &unknown, false)
		return serviceResponse{}, failure
	}
	done := *claim
	done.State = attempt.ClaimDone
	done.Outcome = &attempt.ClaimOutcome{Code: int(end.Code), ServiceStatus: int(end.ServiceStatus), Body: end.ServiceBody}
	n.recordOutcome(ctx, claim, &done)
	return serviceResponse{status: int(end.ServiceStatus), body: end.ServiceBody}, failure
}

// recordOutcome writes the outcome into the claim. The response to the caller does not
// depend on it: while the store is unavailable, the agent remembers the outcome, and the
// entry keeps writing in the background for backgroundRecordTime.
func (n *nonRepeatableCall) recordOutcome(ctx context.Context, claim, done *attempt.Claim) {
	ctx = context.WithoutCancel(ctx)
	err := n.replaceClaim(ctx, claim, done, false)
	if err == nil || errors.Is(err, infra.ErrConflict) {
		return
	}
	n.entry.log.Warn("outcome could not be recorded; retrying in the background", zap.String("request", n.call.id), zap.Error(err))
	go func() {
		for until := time.Now().Add(backgroundRecordTime); time.Now().Before(until); time.Sleep(storeRetryAfter) {
			if err := n.replaceClaim(ctx, claim, done, false); err == nil || errors.Is(err, infra.ErrConflict) {
				return
			}
		}
		n.entry.log.Error("outcome never recorded", zap.String("request", n.call.id))
	}()
}

// markNotRun marks this call's claim as not run and returns failure unchanged. The key
// can then be claimed again even after the agent that confirmed it is gone. A failed
// write is safe, because whoever finds the claim queries the agent.
func (n *nonRepeatableCall) markNotRun(ctx context.Context, failure *result.Error) *result.Error {
	if n.ownClaim != nil && n.ownClaim.State == attempt.ClaimClaimed {
		notRun := *n.ownClaim
		notRun.State = attempt.ClaimNotRun
		if n.replaceClaim(context.WithoutCancel(ctx), n.ownClaim, &notRun, true) == nil {
			n.ownClaim = &notRun
		}
	}
	return failure
}
