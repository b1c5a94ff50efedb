package gateway

import (
	"maps"
	"time"

	"aspenyard.example/graceful"
	"aspenyard.example/routing/direct"
)

const (
	// stalledAfter is the silence within a stream that is not a pause for other requests' prefill.
	stalledAfter = 2 * time.Second
	// unusualFactor times a plain service's usual response time is how long a silence must be to count as unusual, and how
	// long another attempt may take.
	unusualFactor = 4
)

// handOver says when, while this process stops, a silent attempt is given up for one at another endpoint: at the last
// moment at which that one can still end before the stop. Until then the silent endpoint may respond.
type handOver struct {
	// estimate returns how long another attempt may take, given how many heads and events of this one have arrived, and
	// how long a silence at the beginning of an attempt is not unusual; 0 if neither is known.
	estimate func(received int64) (need, patience time.Duration)
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
	need, patience := h.estimate(received)
	if received > 0 {
		patience = stalledAfter
	}
	return need > 0 && silent >= patience && remaining >= need && remaining < need+interval+probeTimeout && h.permit()
}

// handOver returns when the attempt that the plan is for is given up for another one.
func (f *forwarding) handOver(plan *direct.Plan) *handOver {
	if !f.retrier.CanRetryAfterNext() {
		return nil // it is not monitored
	}
	request := f.placementRequest
	request.Tried = maps.Clone(request.Tried)
	return &handOver{
		estimate: func(received int64) (need, patience time.Duration) {
			if f.service.Engine == nil {
				return f.plainEstimate()
			}
			patience = firstEventEstimate + 2*plan.ExpectedFirstToken
			return max(f.stopLead(plan.ExpectedFirstToken)-time.Duration(received)*eventEstimate, patience), patience
		},
		permit: func() bool {
			other := f.gateway.policy.Place(time.Now(), &request, f.allowedEndpoints(f.gateway.snapshot.Load()))
			if other == nil || other.Refused() || request.Tried[other.Endpoint.Incarnation] || !f.gateway.retries.Take(time.Now(), f.service.Name) {
				return false
			}
			f.handedOver.Store(true)
			return true
		},
	}
}

// plainEstimate returns the figures of handOver for a plain service. Silence is usual there until the response, whose time
// only earlier responses tell.
func (c *call) plainEstimate() (need, patience time.Duration) {
	usual := c.gateway.returns.ResponseTime(c.service.Name)
	if usual == 0 {
		return 0, 0
	}
	need = max(plainServiceEstimate, unusualFactor*usual)
	return need, need
}

// stopLead returns how long before responses are due an attempt at an engine must begin, given the expected time to its
// first event.
func (c *call) stopLead(firstEvent time.Duration) time.Duration {
	events := c.OutputTokens/max(c.service.Engine.Stride, 1) + 1
	return min(c.route.Timeout, firstEventEstimate+2*firstEvent+time.Duration(events)*eventEstimate)
}
