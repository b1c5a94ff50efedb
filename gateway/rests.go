package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
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

// maxHeartbeatRests is how many rests a heartbeat carries at most, of about 7 bytes each.
const maxHeartbeatRests = 64

// appendRests adds reports of endpoints' rests to a heartbeat.
func appendRests(h *wire.Heartbeat, reports []direct.RestReport) {
	for _, r := range reports {
		h.RestingEndpoints = append(h.RestingEndpoints, uint32(r.Endpoint))
		h.RestLeftMs = append(h.RestLeftMs, ageMillis(r.Left))
	}
}

// decodeRests returns a heartbeat's reports of endpoints' rests.
func decodeRests(h *wire.Heartbeat) []direct.RestReport {
	n := min(len(h.RestingEndpoints), len(h.RestLeftMs))
	reports := make([]direct.RestReport, 0, n)
	for i := range n {
		reports = append(reports, direct.RestReport{Endpoint: direct.EndpointHash(h.RestingEndpoints[i]), Left: milliseconds(h.RestLeftMs[i])})
	}
	return reports
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
