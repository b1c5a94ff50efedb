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
	// storeRetryAfter is when to come back after the store could not be used.
	storeRetryAfter = 5 * time.Second
	// inProgressRetryAfter is when to come back for a request that still runs.
	inProgressRetryAfter = time.Second
	// resolveInterval is the time between questions to an agent whose stream broke.
	resolveInterval = 200 * time.Millisecond
	// recordTries bounds the tries to record an outcome before answering.
	recordTries          = 3 // lateRecordTime is how long an entry goes on trying after it has answered.
	backgroundRecordTime = 10 * time.Minute
)

// nonRepeatableCall is one request that may run at most nonRepeatableCall.
//
// The order of steps is what makes it so. A reservation at an agent comes first,
// because its number is what the claim names. The claim in the store comes
// second: only one entry can create it. The order comes last, and starts only if
// it names that reservation. Whoever finds the claim later asks that one agent.
type nonRepeatableCall struct {
	entry    *Entry
	call     *call
	body     []byte
	digest   string
	claimKey string
	routing  routing.Request
	// storedValue is what the store last gave for the key; mine is this entry's claim,
	// once written.
	storedValue infra.Value
	ownClaim    *attempt.Claim
}

// serviceResponse is what a plain service answered.
type serviceResponse struct {
	status   int
	body     []byte
	replayed bool
}

func (e *Entry) newNonRepeatableCall(c *call, body []byte) *nonRepeatableCall {
	return &nonRepeatableCall{
		entry: e, call: c, body: body, digest: attempt.Digest(c.kind.ID, body), claimKey: attempt.ClaimKey(c.account.ID, c.idempotencyKey),
		routing: routing.Request{
			Service: c.kind.Work.Service, Class: c.class(), DataCentre: e.settings.DataCentre, Tried: map[string]bool{},
		},
	}
}

// run carries the request out, or gives the outcome that its key already has. It
// goes on when the caller hangs up: the call may have been sent, and its outcome
// must be on record for the caller who asks again.
func (n *nonRepeatableCall) run(ctx context.Context) (serviceResponse, *result.Error) {
	ctx, cancel := n.call.withDeadline(context.WithoutCancel(ctx))
	defer cancel()
	var last *result.Error
	for tries := 0; tries < routing.MaxAttempts; tries++ {
		claim, failure := n.readClaim(ctx)
		if failure != nil {
			return serviceResponse{}, failure
		}
		switch attempt.ActionFor(claim, n.digest) {
		case attempt.Mismatch:
			return serviceResponse{}, result.Refuse(result.KeyReused, 0, "the key was used for another request")
		case attempt.Replay:
			return replayOutcome(claim)
		case attempt.ReportUnknown:
			return serviceResponse{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "nobody can tell whether an earlier request with this key ran")
		case attempt.AskAgent:
			answer, failure, settled := n.resolveClaim(ctx, claim)
			if !settled {
				return answer, failure
			}
		}
		answer, failure := n.attempt(ctx, claim)
		if failure == nil || failure.Ran != result.RanNo || !n.mayRetry(failure) {
			return answer, failure
		}
		last = failure
	}
	return serviceResponse{}, last
}

func (n *nonRepeatableCall) mayRetry(failure *result.Error) bool {
	switch failure.Code {
	case result.Leaving, result.NoEndpoint, result.NoReservation, result.Withdrawn, result.Overloaded:
		return n.call.remaining() > 0
	}
	return false
}

// readClaim finds the key's claim. While the store is down, nobody can tell whether
// an earlier request with this key ran, so "no" may be said only if the caller
// vouches that there was none.
func (n *nonRepeatableCall) readClaim(ctx context.Context) (*attempt.Claim, *result.Error) {
	value, err := n.entry.store.Get(ctx, n.claimKey)
	if err != nil {
		return nil, n.storeUnavailable("the store cannot be read; this request was not sent to any endpoint")
	}
	claim, err := attempt.DecodeClaim(value.Data)
	if err != nil {
		return nil, result.Fail(result.Internal, result.RanUnknown, "the claim cannot be read")
	}
	n.storedValue = value
	return claim, nil
}

func (n *nonRepeatableCall) storeUnavailable(detail string) *result.Error {
	failure := result.Refuse(result.StoreUnavailable, storeRetryAfter, "%s", detail)
	if !n.call.firstAttempt {
		failure.Ran = result.RanUnknown
	}
	return failure
}

func replayOutcome(claim *attempt.Claim) (serviceResponse, *result.Error) {
	outcome := claim.Outcome
	answer := serviceResponse{status: outcome.ServiceStatus, body: outcome.Body, replayed: true}
	if outcome.Code != int(result.OK) {
		return answer, result.Fail(result.Code(outcome.Code), result.RanYes, "the recorded outcome of the earlier request")
	}
	return answer, nil
}

// resolveClaim asks the agent that a claim names. settled is true when the claimed
// order did not and will not run, so that the key may be claimed again.
func (n *nonRepeatableCall) resolveClaim(ctx context.Context, claim *attempt.Claim) (answer serviceResponse, failure *result.Error, settled bool) {
	reservation := &wire.Reservation{Incarnation: claim.Reservation.Incarnation, Number: claim.Reservation.Number}
	response, err := n.entry.withdraw(ctx, claim.Addr, reservation, true)
	if err != nil {
		return serviceResponse{}, &result.Error{
			Code: result.OutcomeUnknown, Ran: result.RanUnknown, RetryAfter: inProgressRetryAfter,
			Detail: "the endpoint that may have run the earlier request does not answer",
		}, false
	}
	switch response.State {
	case wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN:
		return serviceResponse{}, nil, true
	case wire.AttemptState_ATTEMPT_STATE_FINISHED:
		answer, failure = n.handleEnd(ctx, claim, response.End)
		return answer, failure, false
	case wire.AttemptState_ATTEMPT_STATE_FORGOTTEN:
		unknown := *claim
		unknown.State = attempt.ClaimUnknown
		_ = n.replaceClaim(ctx, claim, &unknown, false)
		return serviceResponse{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "the agent that had the order is gone"), false
	}
	return serviceResponse{}, &result.Error{
		Code: result.InProgress, Ran: result.RanUnknown, RetryAfter: inProgressRetryAfter,
		Detail: "an earlier request with this key is still running",
	}, false
}

// attempt reserves, claims and orders, in that order. old is the claim to replace.
func (n *nonRepeatableCall) attempt(ctx context.Context, old *attempt.Claim) (serviceResponse, *result.Error) {
	n.call.attempts++
	endpoint := n.entry.policy.Route(time.Now(), &n.routing, *n.entry.control.endpoints.Load())
	if endpoint == nil {
		return serviceResponse{}, n.markNotRun(ctx, result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "no live endpoint serves %q", n.routing.Service))
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
		return serviceResponse{}, result.Refuse(result.DeadlineExceeded, 0, "the deadline passed before the order was sent")
	}
	if failure := n.writeClaim(ctx, old, claim); failure != nil {
		// The reservation is not needed; left alone, it would lapse by itself.
		_, _ = n.entry.withdraw(context.WithoutCancel(ctx), endpoint.Addr, reservation, false)
		return serviceResponse{}, failure
	}
	n.ownClaim = claim
	answer, failure := n.sendRun(ctx, claim, reservation)
	if failure != nil && failure.Ran == result.RanNo {
		n.routing.Tried[endpoint.Name] = true
		return serviceResponse{}, n.markNotRun(ctx, failure)
	}
	return answer, failure
}

// writeClaim writes this entry's writeClaim. Only nil allows the order to be sent.
func (n *nonRepeatableCall) writeClaim(ctx context.Context, old, claim *attempt.Claim) *result.Error {
	err := n.replaceClaimFrom(ctx, &n.storedValue, old, claim, true)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, infra.ErrConflict):
		return &result.Error{
			Code: result.InProgress, Ran: result.RanUnknown, RetryAfter: inProgressRetryAfter,
			Detail: "another request with this key has just been taken",
		}
	}
	return n.storeUnavailable("the claim could not be written; this request was not sent to any endpoint")
}

// replaceClaim replaces a claim by compare-and-swap; an unclear answer is settled by
// reading back. Errors: infra.ErrConflict when another claim stands there,
// infra.ErrUnavailable when the store cannot tell.
func (n *nonRepeatableCall) replaceClaim(ctx context.Context, old, next *attempt.Claim, confirmed bool) error {
	return n.replaceClaimFrom(ctx, nil, old, next, confirmed)
}

// replaceClaimFrom is write for a value that has just been read.
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

func sameClaim(a, b *attempt.Claim) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Attempt == b.Attempt && a.State == b.State
}

// sendRun sends the sendRun and waits for its outcome.
func (n *nonRepeatableCall) sendRun(ctx context.Context, claim *attempt.Claim, reservation *wire.Reservation) (serviceResponse, *result.Error) {
	run, err := n.entry.startRun(ctx, claim.Addr, &wire.RunRequest{
		Reservation: reservation, RequestId: n.call.account.ID + "/" + n.call.idempotencyKey, Attempt: n.call.attempts,
		RemainingMs: n.call.remaining().Milliseconds(), ServiceKind: n.call.kind.ID, ServiceBody: n.body,
	})
	if err == nil {
		defer run.close()
		var event *wire.RunEvent
		event, err = run.receive()
		if err == nil && event.GetEnd() != nil {
			return n.handleEnd(ctx, claim, event.GetEnd())
		}
	}
	return n.resolveLostRun(ctx, claim, reservation)
}

// resolveLostRun finds out what became of an order whose stream broke. It ends with the
// deadline at the latest; a silent agent leaves it unknown.
func (n *nonRepeatableCall) resolveLostRun(ctx context.Context, claim *attempt.Claim, reservation *wire.Reservation) (serviceResponse, *result.Error) {
	for ctx.Err() == nil {
		response, err := n.entry.withdraw(ctx, claim.Addr, reservation, false)
		if err != nil {
			if n.agentIsSuspect(claim) {
				break
			}
			membership.Sleep(ctx, resolveInterval)
			continue
		}
		switch response.State {
		case wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN:
			return serviceResponse{}, result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "%s lost the order before it started", claim.Endpoint)
		case wire.AttemptState_ATTEMPT_STATE_FINISHED:
			return n.handleEnd(ctx, claim, response.End)
		case wire.AttemptState_ATTEMPT_STATE_FORGOTTEN:
			unknown := *claim
			unknown.State = attempt.ClaimUnknown
			_ = n.replaceClaim(ctx, claim, &unknown, false)
			return serviceResponse{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "the agent that had the order was replaced")
		}
		membership.Sleep(ctx, resolveInterval)
	}
	go n.resolveInBackground(claim)
	return serviceResponse{}, &result.Error{
		Code: result.OutcomeUnknown, Ran: result.RanUnknown, RetryAfter: inProgressRetryAfter,
		Detail: "the order was sent and its outcome did not come in time; ask again with the same key",
	}
}

// resolveInBackground goes on asking after the caller was answered, so that an outcome that
// the agent alone knows is on record before the agent is replaced.
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

// agentIsSuspect tells whether the claim's agent is suspect: then waiting until the
// deadline would only hold the answer back.
func (n *nonRepeatableCall) agentIsSuspect(claim *attempt.Claim) bool {
	m := n.entry.loop.View().Members[claim.Endpoint]
	return m == nil || m.Suspect
}

// handleEnd turns an agent's end into the answer and records it.
func (n *nonRepeatableCall) handleEnd(ctx context.Context, claim *attempt.Claim, end *wire.End) (serviceResponse, *result.Error) {
	failure := endError(end)
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

// recordOutcome writes an outcome. The caller's answer does not depend on it: while the
// store is down, the agent remembers the outcome, and the entry goes on trying.
func (n *nonRepeatableCall) recordOutcome(ctx context.Context, claim, done *attempt.Claim) {
	ctx = context.WithoutCancel(ctx)
	err := n.replaceClaim(ctx, claim, done, false)
	if err == nil || errors.Is(err, infra.ErrConflict) {
		return
	}
	n.entry.log.Warn("outcome not recorded yet", zap.String("request", n.call.id), zap.Error(err))
	go func() {
		for until := time.Now().Add(backgroundRecordTime); time.Now().Before(until); time.Sleep(storeRetryAfter) {
			if err := n.replaceClaim(ctx, claim, done, false); err == nil || errors.Is(err, infra.ErrConflict) {
				return
			}
		}
		n.entry.log.Error("outcome never recorded", zap.String("request", n.call.id))
	}()
}

// markNotRun marks this entry's claim as not run, so that the key stays usable
// after the agent that confirmed it is gone. Failing to do so is safe: the agent
// is asked again.
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
