package gateway

import (
	"maps"
	"time"

	"aspenyard.example/graceful"
	"aspenyard.example/routing/direct"
)

// stalledAfter is the silence within a stream that is not a pause for other requests' prefill.
const stalledAfter = 2 * time.Second

// handOver says when, while this process stops, a silent attempt is given up for one at another endpoint: at the last
// moment at which that one can still end before the stop. Until then the silent endpoint may respond.
type handOver struct {
	// need is the estimated duration of another attempt, eventTime the part of it for each event that the caller has
	// already. patience is the silence at the beginning of an attempt that is not unusual.
	need, eventTime, patience time.Duration
	// permit reports whether another endpoint can take the request, and takes a retry from the budget.
	permit func() bool
}

// isDue reports whether the attempt has to be given up now. It is asked each interval while the endpoint is silent;
// received is how many heads and events it has sent.
func (h *handOver) isDue(shutdown *graceful.Shutdown, silent, interval time.Duration, received int64) bool {
	remaining, draining := shutdown.Remaining()
	if !draining {
		return false
	}
	patience := h.patience
	if received > 0 {
		patience = stalledAfter
	}
	need := max(h.need-time.Duration(received)*h.eventTime, h.patience)
	return silent >= patience && remaining >= need && remaining < need+interval+probeTimeout && h.permit()
}

// handOver returns when the attempt that the plan is for is given up for another one.
func (f *forwarding) handOver(plan *direct.Plan) *handOver {
	if !f.retrier.CanRetryAfterNext() {
		return nil // it is not monitored
	}
	request := f.placementRequest
	request.Tried = maps.Clone(request.Tried)
	h := &handOver{need: f.stopLead(plan.ExpectedFirstToken), patience: f.stopLead(0), permit: func() bool {
		other := f.gateway.policy.Place(time.Now(), &request, f.allowedEndpoints(f.gateway.snapshot.Load()))
		if other == nil || other.Refused() || request.Tried[other.Endpoint.Incarnation] || !f.gateway.retries.Take(time.Now(), f.service.Name) {
			return false
		}
		f.handedOver.Store(true)
		return true
	}}
	if f.service.Engine != nil {
		h.eventTime, h.patience = eventEstimate, firstEventEstimate+2*plan.ExpectedFirstToken
	}
	return h
}

// stopLead returns how long before responses are due an attempt must begin, given the expected time to its first event.
func (c *call) stopLead(firstEvent time.Duration) time.Duration {
	engine := c.service.Engine
	if engine == nil || engine.Stride <= 0 {
		return min(c.route.Timeout, plainServiceEstimate)
	}
	events := c.OutputTokens/engine.Stride + 1
	return min(c.route.Timeout, firstEventEstimate+2*firstEvent+time.Duration(events)*eventEstimate)
}
