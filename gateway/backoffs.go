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

// takeAfterBackoff counts a request to an endpoint that had a backoff; false if it must not be sent
// there now.
func (f *forwarding) takeAfterBackoff(e *directory.EndpointState) bool {
	allowed, counted := f.gateway.loadTracker.Backoffs().Take(time.Now(), e.Incarnation)
	f.countedAfterBackoff = counted
	return allowed
}

// endBackoffCount ends the count of takeAfterBackoff. served is set if the endpoint responds with a
// result.
func (f *forwarding) endBackoffCount(e *directory.EndpointState, served bool) {
	if !f.countedAfterBackoff {
		return
	}
	f.countedAfterBackoff = false
	if served {
		f.gateway.loadTracker.Backoffs().Answered(time.Now(), e.Incarnation)
		return
	}
	f.gateway.loadTracker.Backoffs().Unanswered(e.Incarnation)
}

// refuseInBackoff ends a request that must not be sent because all endpoints are in backoff.
func (f *forwarding) refuseInBackoff(plan *direct.Plan) *result.Error {
	f.log.Add("backoff_refused", zap.String("service", f.service.Name), zap.Int("endpoints", plan.Candidates), zap.Int("priority", f.placementRequest.Priority), zap.Duration("retry_after_ms", plan.RetryAfter))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_backoff_refused_total{service=%q}`, f.service.Name)).Inc()
	if failure, ended := f.endAttempted("endpoint failed and the others want no requests"); ended {
		return failure
	}
	return result.Refuse(result.EndpointsInBackoff, plan.RetryAfter, "%d endpoints want no requests", plan.Candidates)
}

// refuseIfAllInBackoff returns the error for a request that has certainly not run if all endpoints
// of its service are in backoff; nil otherwise.
func (f *forwarding) refuseIfAllInBackoff() *result.Error {
	endpoints := f.allowedEndpoints(f.gateway.snapshot.Load())
	if plan := f.gateway.policy.RefuseIfAllInBackoff(time.Now(), &f.placementRequest, endpoints); plan != nil {
		return f.refuseInBackoff(plan)
	}
	return nil
}

// maxHeartbeatBackoffs is how many backoffs a heartbeat carries at most, of about 7 bytes each.
const maxHeartbeatBackoffs = 64

// appendBackoffs adds reports of endpoints' backoffs to a heartbeat.
func appendBackoffs(h *wire.Heartbeat, reports []direct.BackoffReport) {
	for _, r := range reports {
		h.BackoffEndpoints = append(h.BackoffEndpoints, uint32(r.Endpoint))
		h.BackoffLeftMs = append(h.BackoffLeftMs, ageMillis(r.Left))
	}
}

// decodeBackoffs returns a heartbeat's reports of endpoints' backoffs.
func decodeBackoffs(h *wire.Heartbeat) []direct.BackoffReport {
	n := min(len(h.BackoffEndpoints), len(h.BackoffLeftMs))
	reports := make([]direct.BackoffReport, 0, n)
	for i := range n {
		reports = append(reports, direct.BackoffReport{Endpoint: direct.EndpointHash(h.BackoffEndpoints[i]), Left: milliseconds(h.BackoffLeftMs[i])})
	}
	return reports
}

// registerBackoffMetrics registers the gauges of endpoints in backoff.
func (g *Gateway) registerBackoffMetrics() {
	g.metrics.NewGauge("aspenyard_gateway_backoff_endpoints", func() float64 {
		count, _ := g.loadTracker.Backoffs().Totals(time.Now())
		return float64(count)
	})
	g.metrics.NewGauge("aspenyard_gateway_backoff_left_seconds", func() float64 {
		_, longest := g.loadTracker.Backoffs().Totals(time.Now())
		return longest.Seconds()
	})
}
