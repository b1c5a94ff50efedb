package entry

import (
	"context"
	"time"

	"aspenyard.example/result"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// callRepeatable carries out a plain service's call that may be repeated. It
// never touches the store.
func (e *Entry) callRepeatable(ctx context.Context, c *call, body []byte) (reply, *result.Error) {
	ctx, cancel := c.timeout(ctx)
	defer cancel()
	request := routing.Request{Service: c.kind.Work.Service, Class: c.class(), DataCentre: e.settings.DataCentre, Tried: map[string]bool{}}
	ran, refusals := result.RanNo, 0
	for {
		c.attempts++
		answer, failure := e.callOnce(ctx, c, &request, body)
		if failure == nil {
			e.budgets[c.class()].RecordSuccess()
			return answer, nil
		}
		ran = worse(ran, failure.Ran)
		failure.Ran = ran
		refusals++
		switch {
		case ctx.Err() != nil:
			return reply{}, result.Fail(result.DeadlineExceeded, ran, "the deadline passed")
		case failure.Code == result.ServiceFailed, refusals >= routing.MaxAttempts, len(request.Tried) == 0:
			if ran != result.RanNo && failure.Code.Refusal() {
				failure.Code = result.EndpointFailed
			}
			return answer, failure
		case ran != result.RanNo && !e.budgets[c.class()].Take():
			failure.Code, failure.RetryAfter = result.RetryBudget, noEndpointRetry
			return reply{}, failure
		}
	}
}

// callOnce makes one attempt on one endpoint.
func (e *Entry) callOnce(ctx context.Context, c *call, request *routing.Request, body []byte) (reply, *result.Error) {
	endpoint := e.policy.Route(time.Now(), request, *e.control.endpoints.Load())
	if endpoint == nil {
		request.Tried = map[string]bool{}
		return reply{}, result.Refuse(result.NoEndpoint, noEndpointRetry, "no live endpoint serves %q", request.Service)
	}
	request.Tried[endpoint.Name] = true
	reservation, refusal := e.reserve(ctx, c, endpoint, request)
	if refusal != nil {
		return reply{}, refusal
	}
	run, err := e.order(ctx, endpoint.Addr, &wire.RunRequest{
		Reservation: reservation, RequestId: c.id, Attempt: c.attempts, RemainingMs: c.remaining().Milliseconds(),
		ServiceKind: c.kind.ID, ServiceBody: body,
	})
	if err != nil {
		return reply{}, result.Fail(result.EndpointFailed, result.RanUnknown, "%s: %v", endpoint.Name, err)
	}
	defer run.close()
	event, err := run.next()
	if err != nil {
		return reply{}, result.FromError(err)
	}
	end := event.GetEnd()
	if end == nil {
		return reply{}, result.Fail(result.EndpointFailed, result.RanUnknown, "%s sent no end", endpoint.Name)
	}
	return reply{status: int(end.ServiceStatus), body: end.ServiceBody}, endError(end)
}
