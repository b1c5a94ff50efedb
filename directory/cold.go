package directory

import "time"

// MaxColdTime is the longest warm-up that counts. Endpoints warm up within seconds or minutes; a
// longer time is an error of the endpoint, which would otherwise get few requests for as long.
const MaxColdTime = time.Hour

// newEndpointState returns the state of an endpoint whose registration is first seen at now.
func newEndpointState(now time.Time, e *Endpoint) *EndpointState {
	state := &EndpointState{Endpoint: *e}
	state.setCold(now, e.ColdLeft)
	return state
}

// setCold applies the time that a registration states. It counts from when the registration was
// first seen, because the endpoint's clock may differ: the endpoint may be warm earlier, not later.
func (e *EndpointState) setCold(now time.Time, left time.Duration) {
	e.ColdSeenAt, e.ColdUntil = now, now.Add(min(left, MaxColdTime))
}
