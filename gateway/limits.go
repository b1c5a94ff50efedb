package gateway

import (
	"fmt"
	"iter"
	"math"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

// maxHeartbeatLimits is how many limits a heartbeat carries at most, of about 17 bytes each.
const maxHeartbeatLimits = 64

// observeLimit records the limit that an endpoint's response states or does not state. sentAt is
// when the request was sent. Entries that hear of a change pass it on at once.
func (g *Gateway) observeLimit(e *directory.EndpointState, sentAt time.Time, limit Stated[float64]) {
	if limit.Kind == InvalidStatement {
		g.metrics.GetOrCreateCounter("aspenyard_gateway_invalid_limits_total").Inc()
		g.log.Error("endpoint_limit_refused", zap.String("endpoint", e.ID), zap.String("header", limit.Header), zap.String("value", limit.Text))
		return
	}
	change, changed := g.loadTracker.Limits().Observe(time.Now(), direct.HashEndpoint(e.Incarnation), sentAt, limit.Kind == ValidStatement, limit.Value)
	if changed {
		g.logLimitChange(e.ID, change, limit.Header, "")
		g.peers.sendHeartbeat()
	}
}

// logLimitChange logs a change of an endpoint's limit. from names the entry that reported it; it
// is empty for the endpoint's own response.
func (g *Gateway) logLimitChange(endpoint string, change direct.LimitChange, header, from string) {
	if change.Limited {
		g.log.Warn("endpoint_limit", zap.String("endpoint", endpoint), zap.Float64("limit", change.PerSecond), zap.String("header", header), zap.String("heard_from", from))
		return
	}
	g.log.Info("endpoint_limit_ended", zap.String("endpoint", endpoint), zap.Float64("limit", change.PerSecond), zap.String("heard_from", from))
}

// mergeLimits applies the limits that another entry's heartbeat reports. delay is how late the
// heartbeat is.
func (g *Gateway) mergeLimits(now time.Time, h *wire.Heartbeat, delay time.Duration) {
	for _, change := range g.loadTracker.Limits().Merge(now, delay, decodeLimits(h)) {
		g.logLimitChange(g.endpointName(change.Endpoint), change, "", h.Node)
	}
}

// endpointName returns the ID of a listed endpoint, or the hash of one that is not listed here.
func (g *Gateway) endpointName(hash direct.EndpointHash) string {
	for e := range g.snapshot.Load().All() {
		if direct.HashEndpoint(e.Incarnation) == hash {
			return e.ID
		}
	}
	return fmt.Sprintf("%08x", uint32(hash))
}

// endedLimit is the value that reports the end of a limit in heartbeats.
const endedLimit = -1

// appendLimits adds reports of endpoints' limits to a heartbeat. The age of the request is rounded
// up, so that the receiver does not take the request for later than it was.
func appendLimits(h *wire.Heartbeat, reports []direct.LimitReport) {
	for _, r := range reports {
		value := r.PerSecond
		if !r.Limited {
			value = endedLimit
		}
		h.LimitEndpoints = append(h.LimitEndpoints, uint32(r.Endpoint))
		h.LimitsPerSecond = append(h.LimitsPerSecond, value)
		h.LimitSentAgesMs = append(h.LimitSentAgesMs, ageMillis(r.SentAge+time.Millisecond))
		h.LimitHeardAgesMs = append(h.LimitHeardAgesMs, ageMillis(r.HeardAge))
	}
}

// ageMillis rounds an age down to milliseconds.
func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

// decodeLimits returns a heartbeat's reports of endpoints' limits, without those that are no valid
// number.
func decodeLimits(h *wire.Heartbeat) []direct.LimitReport {
	n := min(len(h.LimitEndpoints), len(h.LimitsPerSecond), len(h.LimitSentAgesMs), len(h.LimitHeardAgesMs))
	reports := make([]direct.LimitReport, 0, n)
	for i := range n {
		value := h.LimitsPerSecond[i]
		if math.IsNaN(value) || math.IsInf(value, 0) {
			continue
		}
		reports = append(reports, direct.LimitReport{
			Endpoint: direct.EndpointHash(h.LimitEndpoints[i]), Limited: value >= 0, PerSecond: max(value, 0),
			SentAge: milliseconds(h.LimitSentAgesMs[i]), HeardAge: milliseconds(h.LimitHeardAgesMs[i]),
		})
	}
	return reports
}

// shareLimits tells the limits' tracker which entries are registered, and drops endpoints that are
// no longer known.
func (g *Gateway) shareLimits(snapshot *directory.Snapshot) {
	names := make([]string, 0, len(snapshot.Nodes))
	for _, n := range snapshot.Nodes {
		names = append(names, n.Name)
	}
	limits := g.loadTracker.Limits()
	limits.SetEntries(time.Now(), g.settings.Name, names)
	if limits.Empty() {
		return
	}
	known := make(map[direct.EndpointHash]bool, snapshot.Len())
	for _, endpoints := range []iter.Seq[*directory.EndpointState]{snapshot.All(), snapshot.Evacuated()} {
		for e := range endpoints {
			known[direct.HashEndpoint(e.Incarnation)] = true
		}
	}
	limits.Prune(time.Now(), func(hash direct.EndpointHash) bool { return known[hash] })
}

// takeAllowance uses the allowance of one request to an endpoint; false if what the endpoint states
// allows none now.
func (f *forwarding) takeAllowance(e *directory.EndpointState) bool {
	if !f.takeLimit(e) {
		return false
	}
	if !f.takeAfterBackoff(e) {
		f.giveBackLimit(e)
		return false
	}
	return true
}

// takeLimit uses the allowance of an endpoint's limit; false if it allows no request now.
func (f *forwarding) takeLimit(e *directory.EndpointState) bool {
	limits, hash, now := f.gateway.loadTracker.Limits(), direct.HashEndpoint(e.Incarnation), time.Now()
	if f.allowanceTaken = !limits.Empty() && limits.Limited(now, hash); !f.allowanceTaken {
		return true
	}
	if !limits.Take(now, hash) {
		return false
	}
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_limited_requests_total{service=%q}`, f.service.Name)).Inc()
	f.log.Add("sent_to_limited", zap.String("endpoint", e.ID))
	return true
}

// giveBackLimit returns the allowance of a request that has certainly not reached the endpoint.
func (f *forwarding) giveBackLimit(e *directory.EndpointState) {
	if f.allowanceTaken {
		f.gateway.loadTracker.Limits().GiveBack(time.Now(), direct.HashEndpoint(e.Incarnation))
	}
}

// refuseLimited ends a request that no endpoint may be sent because of the limits that the
// endpoints state.
func (f *forwarding) refuseLimited(plan *direct.Plan) *result.Error {
	f.log.Add("limit_refused", zap.String("service", f.service.Name), zap.Int("endpoints", plan.Candidates), zap.Int("priority", f.placementRequest.Priority))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_limit_refused_total{service=%q}`, f.service.Name)).Inc()
	if failure, ended := f.endAttempted("endpoint failed and the others' request limits are used up"); ended {
		return failure
	}
	return result.Refuse(result.EndpointsLimited, plan.RetryAfter, "the request limits of %d endpoints are used up", plan.Candidates)
}

// registerLimitMetrics registers the gauges of endpoints' limits.
func (g *Gateway) registerLimitMetrics() {
	totals := func() direct.LimitTotals { return g.loadTracker.Limits().Totals(time.Now()) }
	g.metrics.NewGauge("aspenyard_gateway_limited_endpoints", func() float64 { return float64(totals().Endpoints) })
	g.metrics.NewGauge("aspenyard_gateway_limits_per_second", func() float64 { return totals().PerSecond })
	g.metrics.NewGauge("aspenyard_gateway_limit_share_per_second", func() float64 { return totals().SharePerSecond })
	g.metrics.NewGauge("aspenyard_gateway_limit_age_seconds", func() float64 { return totals().OldestAge.Seconds() })
}
