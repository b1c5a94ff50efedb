package gateway

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

const (
	// maxHeartbeatReturns is how many promised returns a heartbeat carries at most, of about 11
	// bytes each.
	maxHeartbeatReturns = 64
	// keptReturn reports in heartbeats that a promise was kept.
	keptReturn = math.MaxUint32
	// capacityRefreshInterval is the least time between two updates of the services' capacity because
	// of refusals: a herd of refused callers must not make the entry count its endpoints each time.
	capacityRefreshInterval = 100 * time.Millisecond
)

// returnKey returns the hash by which the call's request is recognised when it returns, whichever
// entry receives it; 0 before the body is read. The request ID is not part of it: a returning request
// has a new one.
func (c *call) returnKey() uint64 {
	if c.cachedReturnKey != 0 || c.service == nil {
		return c.cachedReturnKey
	}
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	digest := xxhash.New()
	for _, part := range []string{account, c.httpRequest.Method, c.httpRequest.Host, c.httpRequest.RequestURI} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.body)
	c.cachedReturnKey = cmp.Or(digest.Sum64(), 1)
	return c.cachedReturnKey
}

// returnCost returns the time that the call takes of its service's capacity; 0 if that is not known.
func (c *call) returnCost() time.Duration {
	output := cmp.Or(c.ExpectedOutput, c.gateway.returns.ExpectedOutput(c.service.Name, c.OutputTokens))
	return direct.RequestCost(c.service, c.PromptTokens, output)
}

// recogniseReturn determines whether the call's caller was refused before and was told to return.
func (c *call) recogniseReturn() {
	g := c.gateway
	if !g.returns.Empty() {
		c.returnStatus = g.returns.Check(c.started, c.returnKey())
	}
	if c.returnStatus.State == admission.ReturnUnknown {
		g.returns.RecordArrival(c.started, c.service.Name, int(c.tier()), c.returnCost())
		return
	}
	c.log.Add("return_recognised", zap.Stringer("state", c.returnStatus.State), zap.Duration("left_ms", c.returnStatus.Remaining))
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_returns_total{state=%q}`, c.returnStatus.State)).Inc()
}

// returning reports whether the call has precedence over newcomers of its tier: its caller was
// refused before and returns when it was told to.
func (c *call) returning() bool { return c.returnStatus.State == admission.ReturnOnTime }

// returnCause returns why a request was refused; false if its caller is not told when to return, or
// may return to another entry at once.
func (c *call) returnCause(failure *result.Error) (admission.ReturnCause, bool) {
	if failure == nil || failure.Ran != result.RanNo || failure.RetryAfter <= 0 {
		return 0, false
	}
	switch failure.Code {
	case result.NoEndpoint, result.Evacuated:
		if c.lastEndpoint != "" { // some were tried
			return admission.CauseBusy, true
		}
		return admission.CauseOutage, true
	case result.Overloaded:
		if c.attemptsRefused {
			return admission.CauseBusy, true
		}
		return admission.CauseCapacity, true
	case result.NotAdmitted:
		return admission.CauseCapacity, true
	case result.EndpointsLimited, result.EndpointsInBackoff, result.EndpointsCold:
		return admission.CauseStated, true
	case result.EntryFull:
		return admission.CauseEntry, true
	}
	return 0, false
}

// endReturn sets the time after which the caller of a refused request should return, and ends the
// promise of a returned request that is not refused again. Every call ends here once. The
// Retry-After of a refusal is until then the earliest time at which its cause may end.
func (c *call) endReturn(failure *result.Error) {
	g := c.gateway
	if c.eventsSent > 0 && c.service.Engine != nil {
		g.returns.RecordOutput(c.service.Name, c.eventsSent*c.service.Engine.Stride)
	}
	cause, refused := c.returnCause(failure)
	if !refused {
		if state := c.returnStatus.State; state == admission.ReturnEarly || state == admission.ReturnOnTime {
			g.returns.Complete(c.returnKey())
		}
		return
	}
	now := time.Now()
	q := admission.ReturnRequest{Key: c.returnKey(), Cause: cause, Earliest: failure.RetryAfter, Remaining: max(c.deadline.Sub(now), 0)}
	if c.route != nil {
		q.Tier = int(c.tier())
	}
	if c.service != nil {
		g.refreshCapacity(now)
		q.Service, q.Cost = c.service.Name, c.returnCost()
	}
	failure.RetryAfter = g.returns.Promise(now, q)
	c.log.Add("return_promised", zap.Stringer("cause", cause), zap.Int("tier", q.Tier), zap.Duration("earliest_ms", q.Earliest), zap.Duration("retry_after_ms", failure.RetryAfter))
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_return_promises_total{cause=%q}`, cause)).Inc()
}

// refreshCapacity updates the services' capacity unless that was done just before.
func (g *Gateway) refreshCapacity(now time.Time) {
	last, present := g.capacityAt.Load(), int64(now.Sub(g.started))
	if present-last >= int64(capacityRefreshInterval) && g.capacityAt.CompareAndSwap(last, present) {
		g.updateReturnCapacity(now, g.snapshot.Load())
	}
}

// updateReturnCapacity tells the schedule of returns what the services' endpoints can serve.
func (g *Gateway) updateReturnCapacity(now time.Time, snapshot *directory.Snapshot) {
	if snapshot.Config == nil {
		return
	}
	for _, service := range snapshot.Config.Services() {
		endpoints := g.policy.Usable(now, now, snapshot.Endpoints(service.Name))
		g.returns.SetCapacity(now, service.Name, direct.ServiceCapacity(service, endpoints))
	}
	g.returns.KeepServices(func(name string) bool { return snapshot.Config.Service(name) != nil })
}

// appendReturns adds promised returns to a heartbeat. The time that is left is rounded down; the
// receiver's tolerance covers the difference.
func appendReturns(h *wire.Heartbeat, reports []admission.ReturnReport) {
	for _, r := range reports {
		left := ageMillis(r.Left)
		if r.Kept {
			left = keptReturn
		}
		h.ReturnKeys = append(h.ReturnKeys, r.Key)
		h.ReturnInMs = append(h.ReturnInMs, left)
	}
}

// decodeReturns returns the promised returns in a heartbeat, at most as many as an entry sends.
func decodeReturns(h *wire.Heartbeat) []admission.ReturnReport {
	n := min(len(h.ReturnKeys), len(h.ReturnInMs), maxHeartbeatReturns)
	reports := make([]admission.ReturnReport, 0, n)
	for i := range n {
		reports = append(reports, admission.ReturnReport{Key: h.ReturnKeys[i], Left: milliseconds(h.ReturnInMs[i]), Kept: h.ReturnInMs[i] == keptReturn})
	}
	return reports
}

// registerReturnMetrics registers the gauges of promised returns.
func (g *Gateway) registerReturnMetrics() {
	totals := func() admission.ReturnTotals { return g.returns.Totals(time.Now()) }
	g.metrics.NewGauge(`aspenyard_gateway_return_promises{from="own"}`, func() float64 { return float64(totals().Own) })
	g.metrics.NewGauge(`aspenyard_gateway_return_promises{from="peers"}`, func() float64 { t := totals(); return float64(t.Promises - t.Own) })
	g.metrics.NewGauge("aspenyard_gateway_return_latest_seconds", func() float64 { return totals().Latest.Seconds() })
}

// observeServed records the head of an endpoint's response that is no refusal and no failure.
func (f *forwarding) observeServed(r *endpointResponse, sentAt time.Time) {
	if r.status < http.StatusInternalServerError && r.status != http.StatusTooManyRequests && r.status != http.StatusMisdirectedRequest {
		now := time.Now()
		f.gateway.returns.RecordServed(now, f.service.Name, now.Sub(sentAt))
	}
}
