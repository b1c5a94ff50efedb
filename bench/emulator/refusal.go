package emulator

import (
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
)

// Refusal makes some engines refuse all requests for a time. Each refusal states a backoff.
type Refusal struct {
	From, To time.Duration
	// Engines is the number of engines, spread over the list.
	Engines int
	Backoff time.Duration
	// Unread makes the entries avoid an engine for a moment only, as if they did not read the backoff.
	Unread bool
	// Shared makes an entry that was refused report the backoff to the others, which then put the
	// engine behind others. Avoided makes them use it only where no other engine is left.
	Shared, Avoided bool
	// NoRamp makes entries resume after a backoff without limits.
	NoRamp bool
}

const (
	// maxReportedBackoffs is the number of backoffs that a heartbeat carries.
	maxReportedBackoffs = 64
	// busyAvoidance is how long an engine is avoided that refused a request without a backoff.
	busyAvoidance = 400 * time.Millisecond
	// maxArrivals is the number of engines that a request may reach.
	maxArrivals = 2
	// A backoff is broken by more than backoffAllowed requests from the entry that was told, between
	// backoffMargin after it and its end.
	backoffMargin  = 500 * time.Millisecond
	backoffAllowed = 2
)

// RefusalResult is what the engines got that refused requests.
type RefusalResult struct {
	// Refused is the number of requests that they refused, Repeats the number of requests sent
	// again for it, Broken the number of backoffs that entries broke.
	Refused, Repeats, Broken int
	// MostInASecond is the most that one of them got within any second after it had stopped
	// refusing, from all entries together.
	MostInASecond int
}

// refusalState is what an engine records of the requests that it refuses.
type refusalState struct {
	refusal *Refusal
	// toldAt is when each entry was last told of a backoff, during counts what it sent in it.
	toldAt map[*entry]time.Duration
	during map[*entry]int
	// served are the arrivals after the refusals have ended.
	served []time.Duration
}

// scheduleRefusal makes engines refuse requests for a time.
func (sim *simulation) scheduleRefusal(refusal *Refusal) {
	for i := range refusal.Engines {
		e := sim.engines[sim.endpoints[i*len(sim.endpoints)/refusal.Engines].Incarnation]
		e.refusals = &refusalState{refusal: refusal, toldAt: map[*entry]time.Duration{}, during: map[*entry]int{}}
	}
	for _, e := range sim.entries {
		e.tracker.Backoffs().SetRamp(!refusal.NoRamp)
	}
}

// refuses records a request that arrives and reports whether the engine refuses it.
func (e *engine) refuses(j *job) bool {
	s := e.refusals
	if s == nil {
		return false
	}
	now, sender := e.sim.Now(), j.request.entry
	if told, found := s.toldAt[sender]; found && now > told+backoffMargin && now < told+s.refusal.Backoff {
		s.during[sender]++
		if s.during[sender] == backoffAllowed+1 {
			e.sim.refusalResult.Broken++
		}
	}
	if now < s.refusal.From {
		return false
	}
	if now >= s.refusal.To {
		s.served = append(s.served, now)
		return false
	}
	if told, found := s.toldAt[sender]; !found || now >= told+s.refusal.Backoff {
		s.toldAt[sender], s.during[sender] = now, 0
	}
	e.sim.refusalResult.Refused++
	return true
}

// handleRefusal tells the entry of an engine's refusal and sends the request again.
func (r *request) handleRefusal(refusal *Refusal, plan *direct.Plan) {
	sim := r.sim
	sim.AfterFunc(sim.messageDelay(), func() {
		r.load.End()
		if refusal.Unread {
			r.entry.tracker.Avoid(plan.Endpoint.Incarnation, sim.wallTime().Add(busyAvoidance))
		} else {
			r.entry.tracker.Backoffs().Observe(sim.wallTime(), plan.Endpoint, refusal.Backoff)
		}
		if refusal.Avoided {
			sim.avoidEverywhere(r.entry, plan.Endpoint, refusal.Backoff)
		}
		r.arrivals++
		if r.arrivals >= maxArrivals {
			r.result.Refused++
			return
		}
		sim.refusalResult.Repeats++
		r.tried = append(r.tried, plan.Endpoint.Incarnation)
		r.place()
	})
}

// avoidEverywhere makes the other entries avoid an engine until the end of a backoff.
func (sim *simulation) avoidEverywhere(from *entry, e *directory.EndpointState, backoff time.Duration) {
	until := sim.wallTime().Add(backoff)
	for _, other := range sim.entries {
		if other != from {
			sim.AfterFunc(sim.messageDelay(), func() { other.tracker.Avoid(e.Incarnation, until) })
		}
	}
}

// completeRefusals returns what the engines that refused requests got.
func (sim *simulation) completeRefusals() RefusalResult {
	result := sim.refusalResult
	for _, e := range sim.engines {
		if e.refusals != nil {
			result.MostInASecond = max(result.MostInASecond, mostWithin(e.refusals.served, time.Second))
		}
	}
	return result
}
