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
	// storeRetry is when to come back after the store could not be used.
	storeRetry = 5 * time.Second
	// progressRetry is when to come back for a request that still runs.
	progressRetry = time.Second
	// settleInterval is the time between questions to an agent whose stream broke.
	settleInterval = 200 * time.Millisecond
	// recordTries bounds the tries to record an outcome before answering.
	recordTries    = 3 // lateRecordTime is how long an entry goes on trying after it has answered.
	lateRecordTime = 10 * time.Minute
)

// once is one request that may run at most once.
//
// The order of steps is what makes it so. A reservation at an agent comes first,
// because its number is what the claim names. The claim in the store comes
// second: only one entry can create it. The order comes last, and starts only if
// it names that reservation. Whoever finds the claim later asks that one agent.
type once struct {
	entry   *Entry
	call    *call
	body    []byte
	digest  string
	key     string
	routing routing.Request
	// value is what the store last gave for the key; mine is this entry's claim,
	// once written.
	value infra.Value
	mine  *attempt.Claim
}

// reply is what a plain service answered.
type reply struct {
	status   int
	body     []byte
	replayed bool
}

func (e *Entry) newOnce(c *call, body []byte) *once {
	return &once{
		entry: e, call: c, body: body, digest: attempt.Digest(c.kind.ID, body), key: attempt.ClaimKey(c.account.ID, c.key),
		routing: routing.Request{
			Service: c.kind.Work.Service, Class: c.class(), DataCentre: e.settings.DataCentre, Tried: map[string]bool{},
		},
	}
}

// do carries the request out, or gives the outcome that its key already has. It
// goes on when the caller hangs up: the call may have been sent, and its outcome
// must be on record for the caller who asks again.
func (o *once) do(ctx context.Context) (reply, *result.Error) {
	ctx, cancel := o.call.timeout(context.WithoutCancel(ctx))
	defer cancel()
	var last *result.Error
	for tries := 0; tries < routing.MaxAttempts; tries++ {
		claim, failure := o.read(ctx)
		if failure != nil {
			return reply{}, failure
		}
		switch attempt.ActionFor(claim, o.digest) {
		case attempt.Mismatch:
			return reply{}, result.Refuse(result.KeyReused, 0, "the key was used for another request")
		case attempt.Replay:
			return replay(claim)
		case attempt.ReportUnknown:
			return reply{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "nobody can tell whether an earlier request with this key ran")
		case attempt.AskAgent:
			answer, failure, settled := o.settle(ctx, claim)
			if !settled {
				return answer, failure
			}
		}
		answer, failure := o.attempt(ctx, claim)
		if failure == nil || failure.Ran != result.RanNo || !o.worthAnother(failure) {
			return answer, failure
		}
		last = failure
	}
	return reply{}, last
}

func (o *once) worthAnother(failure *result.Error) bool {
	switch failure.Code {
	case result.Leaving, result.NoEndpoint, result.NoReservation, result.Withdrawn, result.Overloaded:
		return o.call.remaining() > 0
	}
	return false
}

// read finds the key's claim. While the store is down, nobody can tell whether
// an earlier request with this key ran, so "no" may be said only if the caller
// vouches that there was none.
func (o *once) read(ctx context.Context) (*attempt.Claim, *result.Error) {
	value, err := o.entry.store.Get(ctx, o.key)
	if err != nil {
		return nil, o.storeDown("the store cannot be read; this request was not sent to any endpoint")
	}
	claim, err := attempt.DecodeClaim(value.Data)
	if err != nil {
		return nil, result.Fail(result.Internal, result.RanUnknown, "the claim cannot be read")
	}
	o.value = value
	return claim, nil
}

func (o *once) storeDown(detail string) *result.Error {
	failure := result.Refuse(result.StoreUnavailable, storeRetry, "%s", detail)
	if !o.call.first {
		failure.Ran = result.RanUnknown
	}
	return failure
}

func replay(claim *attempt.Claim) (reply, *result.Error) {
	outcome := claim.Outcome
	answer := reply{status: outcome.ServiceStatus, body: outcome.Body, replayed: true}
	if outcome.Code != int(result.OK) {
		return answer, result.Fail(result.Code(outcome.Code), result.RanYes, "the recorded outcome of the earlier request")
	}
	return answer, nil
}

// settle asks the agent that a claim names. settled is true when the claimed
// order did not and will not run, so that the key may be claimed again.
func (o *once) settle(ctx context.Context, claim *attempt.Claim) (answer reply, failure *result.Error, settled bool) {
	reservation := &wire.Reservation{Incarnation: claim.Reservation.Incarnation, Number: claim.Reservation.Number}
	response, err := o.entry.withdraw(ctx, claim.Addr, reservation, true)
	if err != nil {
		return reply{}, &result.Error{
			Code: result.OutcomeUnknown, Ran: result.RanUnknown, RetryAfter: progressRetry,
			Detail: "the endpoint that may have run the earlier request does not answer",
		}, false
	}
	switch response.State {
	case wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN:
		return reply{}, nil, true
	case wire.AttemptState_ATTEMPT_STATE_FINISHED:
		answer, failure = o.finished(ctx, claim, response.End)
		return answer, failure, false
	case wire.AttemptState_ATTEMPT_STATE_FORGOTTEN:
		unknown := *claim
		unknown.State = attempt.ClaimUnknown
		_ = o.write(ctx, claim, &unknown, false)
		return reply{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "the agent that had the order is gone"), false
	}
	return reply{}, &result.Error{
		Code: result.InProgress, Ran: result.RanUnknown, RetryAfter: progressRetry,
		Detail: "an earlier request with this key is still running",
	}, false
}

// attempt reserves, claims and orders, in that order. old is the claim to replace.
func (o *once) attempt(ctx context.Context, old *attempt.Claim) (reply, *result.Error) {
	o.call.attempts++
	endpoint := o.entry.policy.Route(time.Now(), &o.routing, *o.entry.control.endpoints.Load())
	if endpoint == nil {
		return reply{}, o.notSent(ctx, result.Refuse(result.NoEndpoint, noEndpointRetry, "no live endpoint serves %q", o.routing.Service))
	}
	reservation, refusal := o.entry.reserve(ctx, o.call, endpoint, &o.routing)
	if refusal != nil {
		o.routing.Tried[endpoint.Name] = true
		return reply{}, refusal
	}
	claim := &attempt.Claim{
		Digest: o.digest, Attempt: newID(), RequestID: o.call.id, State: attempt.ClaimClaimed, Endpoint: endpoint.Name, Addr: endpoint.Addr,
		Reservation: attempt.Reservation{Incarnation: reservation.Incarnation, Number: reservation.Number},
	}
	if ctx.Err() != nil {
		return reply{}, result.Refuse(result.DeadlineExceeded, 0, "the deadline passed before the order was sent")
	}
	if failure := o.claim(ctx, old, claim); failure != nil {
		// The reservation is not needed; left alone, it would lapse by itself.
		_, _ = o.entry.withdraw(context.WithoutCancel(ctx), endpoint.Addr, reservation, false)
		return reply{}, failure
	}
	o.mine = claim
	answer, failure := o.order(ctx, claim, reservation)
	if failure != nil && failure.Ran == result.RanNo {
		o.routing.Tried[endpoint.Name] = true
		return reply{}, o.notSent(ctx, failure)
	}
	return answer, failure
}

// claim writes this entry's claim. Only nil allows the order to be sent.
func (o *once) claim(ctx context.Context, old, claim *attempt.Claim) *result.Error {
	err := o.writeFrom(ctx, &o.value, old, claim, true)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, infra.ErrConflict):
		return &result.Error{
			Code: result.InProgress, Ran: result.RanUnknown, RetryAfter: progressRetry,
			Detail: "another request with this key has just been taken",
		}
	}
	return o.storeDown("the claim could not be written; this request was not sent to any endpoint")
}

// write replaces a claim by compare-and-swap; an unclear answer is settled by
// reading back. Errors: infra.ErrConflict when another claim stands there,
// infra.ErrUnavailable when the store cannot tell.
func (o *once) write(ctx context.Context, old, next *attempt.Claim, confirmed bool) error {
	return o.writeFrom(ctx, nil, old, next, confirmed)
}

// writeFrom is write for a value that has just been read.
func (o *once) writeFrom(ctx context.Context, known *infra.Value, old, next *attempt.Claim, confirmed bool) error {
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
	mine := func(data []byte) bool {
		current, err := attempt.DecodeClaim(data)
		return err == nil && current != nil && current.Attempt == next.Attempt && current.State == next.State
	}
	return infra.Swap(ctx, o.entry.store, o.key, known, change, mine)
}

func sameClaim(a, b *attempt.Claim) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Attempt == b.Attempt && a.State == b.State
}

// order sends the order and waits for its outcome.
func (o *once) order(ctx context.Context, claim *attempt.Claim, reservation *wire.Reservation) (reply, *result.Error) {
	run, err := o.entry.order(ctx, claim.Addr, &wire.RunRequest{
		Reservation: reservation, RequestId: o.call.account.ID + "/" + o.call.key, Attempt: o.call.attempts,
		RemainingMs: o.call.remaining().Milliseconds(), ServiceKind: o.call.kind.ID, ServiceBody: o.body,
	})
	if err == nil {
		defer run.close()
		var event *wire.RunEvent
		event, err = run.next()
		if err == nil && event.GetEnd() != nil {
			return o.finished(ctx, claim, event.GetEnd())
		}
	}
	return o.lost(ctx, claim, reservation)
}

// lost finds out what became of an order whose stream broke. It ends with the
// deadline at the latest; a silent agent leaves it unknown.
func (o *once) lost(ctx context.Context, claim *attempt.Claim, reservation *wire.Reservation) (reply, *result.Error) {
	for ctx.Err() == nil {
		response, err := o.entry.withdraw(ctx, claim.Addr, reservation, false)
		if err != nil {
			if o.unreachable(claim) {
				break
			}
			membership.Sleep(ctx, settleInterval)
			continue
		}
		switch response.State {
		case wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN:
			return reply{}, result.Refuse(result.NoEndpoint, noEndpointRetry, "%s lost the order before it started", claim.Endpoint)
		case wire.AttemptState_ATTEMPT_STATE_FINISHED:
			return o.finished(ctx, claim, response.End)
		case wire.AttemptState_ATTEMPT_STATE_FORGOTTEN:
			unknown := *claim
			unknown.State = attempt.ClaimUnknown
			_ = o.write(ctx, claim, &unknown, false)
			return reply{}, result.Fail(result.OutcomeUnknown, result.RanUnknown, "the agent that had the order was replaced")
		}
		membership.Sleep(ctx, settleInterval)
	}
	go o.settleLate(claim)
	return reply{}, &result.Error{
		Code: result.OutcomeUnknown, Ran: result.RanUnknown, RetryAfter: progressRetry,
		Detail: "the order was sent and its outcome did not come in time; ask again with the same key",
	}
}

// settleLate goes on asking after the caller was answered, so that an outcome that
// the agent alone knows is on record before the agent is replaced.
func (o *once) settleLate(claim *attempt.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), lateRecordTime)
	defer cancel()
	for ctx.Err() == nil {
		membership.Sleep(ctx, progressRetry)
		if _, failure, _ := o.settle(ctx, claim); failure == nil || failure.Code != result.InProgress && failure.RetryAfter == 0 {
			return
		}
	}
}

// unreachable tells whether the claim's agent is suspect: then waiting until the
// deadline would only hold the answer back.
func (o *once) unreachable(claim *attempt.Claim) bool {
	m := o.entry.loop.View().Members[claim.Endpoint]
	return m == nil || m.Suspect
}

// finished turns an agent's end into the answer and records it.
func (o *once) finished(ctx context.Context, claim *attempt.Claim, end *wire.End) (reply, *result.Error) {
	failure := endError(end)
	if failure != nil && failure.Ran == result.RanNo {
		return reply{}, o.notSent(ctx, failure)
	}
	if failure != nil && failure.Ran == result.RanUnknown {
		unknown := *claim
		unknown.State = attempt.ClaimUnknown
		_ = o.write(context.WithoutCancel(ctx), claim, &unknown, false)
		return reply{}, failure
	}
	done := *claim
	done.State = attempt.ClaimDone
	done.Outcome = &attempt.ClaimOutcome{Code: int(end.Code), ServiceStatus: int(end.ServiceStatus), Body: end.ServiceBody}
	o.record(ctx, claim, &done)
	return reply{status: int(end.ServiceStatus), body: end.ServiceBody}, failure
}

// record writes an outcome. The caller's answer does not depend on it: while the
// store is down, the agent remembers the outcome, and the entry goes on trying.
func (o *once) record(ctx context.Context, claim, done *attempt.Claim) {
	ctx = context.WithoutCancel(ctx)
	err := o.write(ctx, claim, done, false)
	if err == nil || errors.Is(err, infra.ErrConflict) {
		return
	}
	o.entry.log.Warn("outcome not recorded yet", zap.String("request", o.call.id), zap.Error(err))
	go func() {
		for until := time.Now().Add(lateRecordTime); time.Now().Before(until); time.Sleep(storeRetry) {
			if err := o.write(ctx, claim, done, false); err == nil || errors.Is(err, infra.ErrConflict) {
				return
			}
		}
		o.entry.log.Error("outcome never recorded", zap.String("request", o.call.id))
	}()
}

// notSent marks this entry's claim as not run, so that the key stays usable
// after the agent that confirmed it is gone. Failing to do so is safe: the agent
// is asked again.
func (o *once) notSent(ctx context.Context, failure *result.Error) *result.Error {
	if o.mine != nil && o.mine.State == attempt.ClaimClaimed {
		notRun := *o.mine
		notRun.State = attempt.ClaimNotRun
		if o.write(context.WithoutCancel(ctx), o.mine, &notRun, true) == nil {
			o.mine = &notRun
		}
	}
	return failure
}
