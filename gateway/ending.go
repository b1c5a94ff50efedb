package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/graceful"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

// refuse ends a request that must not be sent, for the reason in the plan; plan is nil if there is
// no endpoint for it.
func (f *forwarding) refuse(plan *direct.Plan) *result.Error {
	switch {
	case plan == nil:
		return f.noEndpointError()
	case plan.RateLimited:
		return f.refuseLimited(plan)
	case plan.InBackoff:
		return f.refuseInBackoff(plan)
	case plan.WarmingUp:
		return f.refuseCold(plan)
	}
	return f.refuseCapacity(plan)
}

// endedBy says who ended an attempt; it is written to logs.
func (f *forwarding) endedBy(ctx context.Context) string {
	switch {
	case f.handedOver.Load() || errors.Is(context.Cause(ctx), graceful.ErrShutdown):
		return "stop"
	case ctx.Err() == nil:
		return "endpoint"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "deadline"
	}
	return "caller"
}

// contextError returns the error of a request whose context has ended.
func (f *forwarding) contextError(ctx context.Context) *result.Error {
	ran := result.RanNo
	if f.retrier.MayHaveRun() {
		ran = result.RanUnknown
	}
	switch {
	case errors.Is(context.Cause(ctx), graceful.ErrShutdown):
		return f.shutdownError()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Fail(result.DeadlineExceeded, ran, "%s of %v passed before the request ended", f.limitedBy, f.deadline.Sub(f.started))
	}
	return result.Fail(result.Cancelled, ran, "caller disconnected")
}

// shutdownError ends a request that this process cannot serve before it stops. Callers that may send it again should do
// so at once, through another entry.
func (f *forwarding) shutdownError() *result.Error {
	failure, ended := f.endAttempted("process is shutting down")
	switch {
	case !ended:
		return f.refuseLeaving()
	case failure != nil:
		failure.Code = result.Interrupted
		if f.route.Repeatable() {
			failure.RetryAfter = drainingRetryAfter
		}
	}
	return failure
}

// refuseLeaving refuses a request that has not run and that this process cannot serve before it stops.
func (c *call) refuseLeaving() *result.Error {
	return result.Refuse(result.Leaving, drainingRetryAfter, "process is shutting down")
}

// endAttempted ends a request that may have run, or whose response has begun, and that is not sent again. A complete
// response in which an endpoint reported a failure is relayed, unless events of another endpoint's stream precede it:
// the response is then broken off. ended is false for a request that has certainly not run.
func (f *forwarding) endAttempted(detail string) (failure *result.Error, ended bool) {
	switch {
	case f.streamStarted():
	case f.failedResponse != nil:
		return f.failedResponse.writeTo(f.call), true
	case !f.retrier.MayHaveRun():
		return nil, false
	}
	return result.Fail(result.EndpointFailed, result.RanUnknown, "%s", detail), true
}

// noEndpointError ends a request for which no eligible endpoint is left.
func (f *forwarding) noEndpointError() *result.Error {
	if failure, ended := f.endAttempted("endpoint failed and no other is available"); ended {
		return failure
	}
	if failure := f.refuseIfAllEvacuated(); failure != nil {
		return failure
	}
	if failure := f.refuseOutsideRegions(); failure != nil {
		return failure
	}
	if failure := f.refuseIfAllInBackoff(); failure != nil {
		return failure
	}
	leaving := f.gateway.snapshot.Load().LeavingCount(f.service.Name)
	f.log.Add("no_endpoint", zap.String("service", f.service.Name), zap.Int("leaving", leaving))
	return result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "no endpoint available for service %q; %d are leaving", f.service.Name, leaving)
}

// refuseCapacity ends a request whose prefill would delay too many other requests.
func (f *forwarding) refuseCapacity(plan *direct.Plan) *result.Error {
	f.log.Add("capacity_refused", zap.Duration("prefill_ms", plan.PartPrefill), zap.Int("engines", 1+len(plan.Helpers)), zap.Int("open", plan.InFlight), zap.Int("harmed", plan.Delayed))
	if failure, ended := f.endAttempted("endpoint failed and no other has capacity"); ended {
		return failure
	}
	return result.Refuse(result.Overloaded, capacityRetryAfter, "engines have no capacity for a prompt of %d tokens", f.PromptTokens)
}

// finalError ends a request that is not retried.
func (f *forwarding) finalError(next attempt.RetryAction, err error) *result.Error {
	switch next {
	case attempt.PassOn:
		return f.failedResponse.writeTo(f.call)
	case attempt.Fail:
		return result.Fail(result.EndpointFailed, result.RanUnknown, "%v", err)
	}
	if failure := f.refuseIfAllInBackoff(); failure != nil {
		return failure
	}
	if failure := f.refuseIfAllEvacuated(); failure != nil {
		return failure
	}
	f.attemptsRefused = true
	return result.Refuse(result.Overloaded, overloadedRetryAfter, "%v", err)
}

// capacityRetryAfter is the Retry-After value for prompts that the engines in use have no
// capacity for: the mix of requests changes within seconds.
const capacityRetryAfter = 3 * time.Second

// overloadedRetryAfter is the Retry-After value when endpoints were too busy: by then a batch of
// short requests has ended.
const overloadedRetryAfter = 300 * time.Millisecond
