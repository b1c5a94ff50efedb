package gateway

import (
	"fmt"
	"iter"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

// maxHeartbeatCold is how many endpoints that warm up a heartbeat lists at most, of about 7 bytes each.
const maxHeartbeatCold = 64

// cold returns what is known of endpoints that warm up.
func (g *Gateway) cold() *direct.ColdEndpoints { return g.loadTracker.Cold() }

// configureCold sets up the tracker of endpoints that warm up.
func (g *Gateway) configureCold() {
	g.cold().SetBound(g.settings.ColdOvershoot, g.settings.ColdTolerance)
	g.cold().SetStarted(g.started)
	g.cold().SetTTLs(g.listTTL(), 2*g.maxChangeDelay()-g.settings.StoreTimeout.D())
	if g.settings.PeersListen == "" {
		g.cold().SetAlone()
	}
}

// minListTTL is the shortest time for which a list of entries is used.
const minListTTL = 6 * time.Second

// listTTL returns the age up to which the list of entries is used. While the store answers, the list
// was current when the last call but one began, or later.
func (g *Gateway) listTTL() time.Duration {
	return max(2*(g.maxChangeDelay()+g.settings.StoreTimeout.D()), minListTTL)
}

// warmingEndpoints returns the endpoints of services with a known warm-up.
func (g *Gateway) warmingEndpoints() iter.Seq[*directory.EndpointState] {
	snapshot := g.snapshot.Load()
	return func(yield func(*directory.EndpointState) bool) {
		if snapshot.Config == nil {
			return
		}
		for e := range snapshot.All() {
			if snapshot.Config.Service(e.Service).ColdPerSecond > 0 && !yield(e) {
				return
			}
		}
	}
}

// isCold reports whether an endpoint of a service with a known warm-up is cold.
func (g *Gateway) isCold(now time.Time, e *directory.EndpointState) bool {
	config := g.snapshot.Load().Config
	return config != nil && config.Service(e.Service).ColdPerSecond > 0 && g.cold().Cold(now, e) > 0
}

// observeCold applies what a response states about how long its endpoint still warms up. sentAt is
// when the request was sent, zero if that is not known. Entries that hear of a change pass it on at once.
func (g *Gateway) observeCold(e *directory.EndpointState, sentAt time.Time, cold Stated[time.Duration]) {
	if !acceptStatement(g, e, statementCold, cold) {
		return
	}
	g.logLongCold(e.ID, cold.Value)
	if g.cold().Observe(time.Now(), e, sentAt, cold.Value) {
		g.logColdTransitions("")
		g.peers.sendHeartbeat()
	}
}

// logLongCold logs a stated time that is longer than what counts.
func (g *Gateway) logLongCold(endpoint string, left time.Duration) {
	if left > directory.MaxColdTime {
		g.log.Warn("cold_time_bounded", zap.String("endpoint", endpoint), zap.Duration("left_ms", left), zap.Duration("used_ms", directory.MaxColdTime))
	}
}

// logColdTransitions logs the endpoints that have become cold or warm. from names the entry that said
// so; it is empty for the endpoint itself or its registration.
func (g *Gateway) logColdTransitions(from string) {
	for _, t := range g.cold().Transitions(time.Now(), g.warmingEndpoints()) {
		if t.Left > 0 {
			g.log.Info("endpoint_cold", zap.String("endpoint", t.Endpoint.ID), zap.Duration("left_ms", t.Left), zap.String("heard_from", from))
			continue
		}
		g.log.Info("endpoint_warm", zap.String("endpoint", t.Endpoint.ID))
	}
}

// shareCold tells the tracker which entries are registered, and drops what is kept of endpoints that
// are no longer known.
func (g *Gateway) shareCold(snapshot *directory.Snapshot, known func(directory.Incarnation) bool) {
	names := make([]string, 0, len(snapshot.Nodes))
	for _, n := range snapshot.Nodes {
		names = append(names, n.Name)
	}
	g.cold().SetEntries(time.Now(), g.settings.Name, names)
	g.cold().Prune(time.Now(), known)
	g.logColdTransitions("")
}

// appendCold adds reports of endpoints that warm up to a heartbeat.
func (g *Gateway) appendCold(now time.Time, h *wire.Heartbeat) {
	for _, r := range g.cold().Reports(now, !h.Partial, maxHeartbeatCold, g.warmingEndpoints()) {
		h.ColdEndpoints = append(h.ColdEndpoints, uint32(r.Endpoint))
		h.ColdLeftMs = append(h.ColdLeftMs, ageMillis(r.Left))
	}
}

// mergeCold applies the endpoints that another entry's heartbeat reports as warming up. delay is how
// late the heartbeat is.
func (g *Gateway) mergeCold(now time.Time, h *wire.Heartbeat, delay time.Duration) {
	reports := make([]direct.ColdReport, 0, len(h.ColdEndpoints))
	for i := range min(len(h.ColdEndpoints), len(h.ColdLeftMs)) {
		reports = append(reports, direct.ColdReport{Endpoint: direct.EndpointHash(h.ColdEndpoints[i]), Left: milliseconds(h.ColdLeftMs[i])})
	}
	if g.cold().Merge(now, delay, reports) {
		g.logColdTransitions(h.Node)
	}
}

// takeCold uses this entry's shares of what the plan's endpoint and helpers tolerate while they warm up. If
// one of them can take no request now, it returns false and the other allowances for the request.
func (f *forwarding) takeCold(plan *direct.Plan) bool {
	f.coldTickets = f.coldTickets[:0]
	now, cold := time.Now(), false
	for i := -1; i < len(plan.Helpers); i++ {
		e := plan.Endpoint
		if i >= 0 {
			e = plan.Helpers[i]
		}
		ticket, ok := f.gateway.cold().Take(now, f.service, e)
		if !ok {
			f.giveBackCold()
			f.giveBackLimit(plan.Endpoint)
			f.endBackoffCount(plan.Endpoint, false)
			return false
		}
		if ticket != nil {
			f.coldTickets = append(f.coldTickets, ticket)
		}
		cold = cold || ticket.Cold()
	}
	if cold {
		f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_cold_requests_total{service=%q}`, f.service.Name)).Inc()
		f.log.Add("sent_to_cold", zap.String("endpoint", plan.Endpoint.ID), zap.Int("helpers", len(plan.Helpers)))
	}
	return true
}

// recordColdSent counts the request from now on: there is a connection to the endpoint. It returns false
// if the request must not be sent, as that took too long.
func (f *forwarding) recordColdSent() bool {
	inTime, now := true, time.Now()
	for _, ticket := range f.coldTickets {
		inTime = ticket.Sent(now) && inTime
	}
	return inTime
}

// giveBackCold returns the shares of a request that has certainly not arrived, or does not count.
func (f *forwarding) giveBackCold() {
	for _, ticket := range f.coldTickets {
		ticket.GiveBack()
	}
	f.coldTickets = f.coldTickets[:0]
}

// endCold ends the use of shares by a failed attempt.
func (f *forwarding) endCold(outcome attempt.SendOutcome) {
	if outcome == attempt.NotSent {
		f.giveBackCold()
		return
	}
	_ = f.recordColdSent()
}

// refuseCold ends a request that no endpoint may be sent while it warms up.
func (f *forwarding) refuseCold(plan *direct.Plan) *result.Error {
	f.log.Add("cold_refused", zap.String("service", f.service.Name), zap.Int("endpoints", plan.Candidates), zap.Int("priority", f.placementRequest.Priority), zap.Duration("retry_after_ms", plan.RetryAfter))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_cold_refused_total{service=%q}`, f.service.Name)).Inc()
	if failure, ended := f.endAttempted("endpoint failed and the others warm up"); ended {
		return failure
	}
	return result.Refuse(result.EndpointsCold, plan.RetryAfter, "%d endpoints warm up and tolerate no more requests now", plan.Candidates)
}

// registerColdMetrics registers the gauges of endpoints that warm up.
func (g *Gateway) registerColdMetrics() {
	g.metrics.NewGauge("aspenyard_gateway_cold_endpoints", func() float64 {
		count, _ := g.cold().Totals(time.Now(), g.warmingEndpoints())
		return float64(count)
	})
	g.metrics.NewGauge("aspenyard_gateway_cold_left_seconds", func() float64 {
		_, longest := g.cold().Totals(time.Now(), g.warmingEndpoints())
		return longest.Seconds()
	})
}
