package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

// takeRest counts a request to an endpoint that had a rest; false if it must not be sent there now.
func (f *forwarding) takeRest(e *directory.EndpointState) bool {
	allowed, counted := f.gateway.loadTracker.Rests().Take(time.Now(), e.Incarnation)
	f.countedAfterRest = counted
	return allowed
}

// endRestCount ends the count of takeRest. served is set if the endpoint responds with a result.
func (f *forwarding) endRestCount(e *directory.EndpointState, served bool) {
	if !f.countedAfterRest {
		return
	}
	f.countedAfterRest = false
	if served {
		f.gateway.loadTracker.Rests().Answered(time.Now(), e.Incarnation)
		return
	}
	f.gateway.loadTracker.Rests().Unanswered(e.Incarnation)
}

// refuseResting ends a request that must not be sent because all endpoints rest.
func (f *forwarding) refuseResting(plan *direct.Plan) *result.Error {
	f.log.Add("rest_refused", zap.String("service", f.service.Name), zap.Int("endpoints", plan.Candidates), zap.Int("priority", f.placementRequest.Priority), zap.Duration("retry_after_ms", plan.RetryAfter))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_rest_refused_total{service=%q}`, f.service.Name)).Inc()
	if f.failedResponse != nil {
		return f.failedResponse.writeTo(f.call)
	}
	if f.retrier.MayHaveRun() {
		return result.Fail(result.EndpointFailed, result.RanUnknown, "endpoint failed and the others want no requests")
	}
	return result.Refuse(result.EndpointsResting, plan.RetryAfter, "%d endpoints want no requests", plan.Candidates)
}

// refuseIfAllRest returns the error for a request that has certainly not run if all endpoints of its
// service rest; nil otherwise.
func (f *forwarding) refuseIfAllRest() *result.Error {
	endpoints := f.gateway.snapshot.Load().Endpoints(f.service.Name)
	if plan := f.gateway.policy.RefuseIfAllRest(time.Now(), &f.placementRequest, endpoints); plan != nil {
		return f.refuseResting(plan)
	}
	return nil
}

// registerRestMetrics registers the gauges of endpoints that rest.
func (g *Gateway) registerRestMetrics() {
	g.metrics.NewGauge("aspenyard_gateway_resting_endpoints", func() float64 {
		count, _ := g.loadTracker.Rests().Totals(time.Now())
		return float64(count)
	})
	g.metrics.NewGauge("aspenyard_gateway_rest_left_seconds", func() float64 {
		_, longest := g.loadTracker.Rests().Totals(time.Now())
		return longest.Seconds()
	})
}
