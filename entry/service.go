package entry

import (
	"context"
	"time"

	"aspenyard.example/result"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// callRepeatable carries out an idempotent call to a plain service, with up to
// routing.MaxAttempts attempts. It needs no record in the store.
func (e *Entry) callRepeatable(ctx context.Context, c *call, body []byte) (serviceResponse, *result.Error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	request := routing.Request{Service: c.kind.Work.Service, Class: c.class(), DataCentre: e.settings.DataCentre, Tried: map[string]bool{}}
	ran, failures := result.RanNo, 0
	for {
		c.attempts++
		response, failure := e.attemptRepeatable(ctx, c, &request, body)
		if failure == nil {
			e.budgets[c.class()].RecordSuccess()
			return response, nil
		}
		ran = combineRan(ran, failure.Ran)
		failure.Ran = ran
		failures++
		switch {
		case ctx.Err() != nil:
			return serviceResponse{}, contextError(ctx, ran)
		case !e.canServe(0):
			return serviceResponse{}, stopError(ran)
		case failure.Code == result.ServiceFailed, failures >= routing.MaxAttempts, len(request.Tried) == 0:
			if ran != result.RanNo && failure.Code.Refusal() {
				failure.Code = result.EndpointFailed
			}
			return response, failure
		case ran != result.RanNo && !e.payRetry(c):
			failure.Code, failure.RetryAfter = result.RetryBudget, noEndpointRetryAfter
			return serviceResponse{}, failure
		}
	}
}

// attemptRepeatable makes one attempt at one endpoint. When no endpoint is left it
// clears request.Tried, which ends callRepeatable.
func (e *Entry) attemptRepeatable(ctx context.Context, c *call, request *routing.Request, body []byte) (serviceResponse, *result.Error) {
	endpoint := e.policy.Route(time.Now(), request, *e.control.endpoints.Load())
	if endpoint == nil {
		request.Tried = map[string]bool{}
		return serviceResponse{}, result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "no live endpoint serves the service %q", request.Service)
	}
	request.Tried[endpoint.Name] = true
	reservation, refusal := e.reserve(ctx, c, endpoint, request)
	if refusal != nil {
		return serviceResponse{}, refusal
	}
	ctx, watch := e.watchAttempt(ctx, c, request, endpoint, reservation)
	defer watch.end()
	run, err := e.startRun(ctx, endpoint.Addr, &wire.RunRequest{
		Reservation: reservation, RequestId: c.id, Attempt: c.attempts, RemainingMs: c.remaining().Milliseconds(),
		ServiceKind: c.kind.ID, ServiceBody: body,
	})
	if err != nil {
		return serviceResponse{}, e.resolveBrokenStream(c, endpoint, reservation, err)
	}
	run.watch = watch
	defer run.close()
	event, err := run.receive()
	if err != nil {
		return serviceResponse{}, e.resolveBrokenStream(c, endpoint, reservation, err)
	}
	end := event.GetEnd()
	if end == nil {
		return serviceResponse{}, result.Fail(result.EndpointFailed, result.RanUnknown, "the agent of %s sent no end event", endpoint.Name)
	}
	return serviceResponse{status: int(end.ServiceStatus), body: end.ServiceBody}, e.endError(end)
}
