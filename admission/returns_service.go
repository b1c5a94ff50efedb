package admission

import (
	"cmp"
	"math"
	"time"
)

const (
	// returnUtilization is the fraction of a service's capacity that is scheduled: cost estimates
	// are inexact, and returns have to arrive at entries that have room.
	returnUtilization = 0.8
	// minReturnRoom is the fraction of what more urgent tiers leave that is scheduled for returns,
	// however many newcomers of their tier there are: returns go before them. minTierRoom is the
	// fraction of the capacity that is scheduled in any case, as less urgent tiers are not starved.
	minReturnRoom = 0.25
	minTierRoom   = 0.05
	// The capacity for returns is divided into lanes. All returns may use the first one. The second is
	// kept from a tier while callers of a more urgent one are refused, the third is for callers that
	// returned on time and are refused again.
	laneCount    = 3
	firstLanes   = 2
	generalLanes = 1
	// urgentRefusalTime is how long after a refusal its tier counts as being refused.
	urgentRefusalTime = time.Second
	// capacityMemory is the time constant with which the capacity before an outage is forgotten.
	capacityMemory = 30 * time.Second
	// arrivalWindow is the time constant of the averaged rates of new arrivals: long enough for a
	// few long prompts, short enough to follow a burst.
	arrivalWindow = time.Second
	// maxTiers bounds the tiers of a service that are distinguished; there are 256.
	maxTiers = 256
	// responseWeight is the weight of the latest response in the averages of their times and lengths,
	// initialResponseTime the average time before the first one.
	responseWeight      = 0.05
	initialResponseTime = 100 * time.Millisecond
)

// laneShares are the lanes' fractions of the capacity for returns.
var laneShares = [laneCount]float64{0.6, 0.2, 0.2}

// serviceReturns is what is known of one service.
type serviceReturns struct {
	lanes  [laneCount]returnSlotList
	outage outage
	// capacity is the service's present capacity over all entries, in seconds per second; full is
	// the largest of late. Both are 0 while unknown.
	capacity, full float64
	setAt          time.Time
	// arrivals are the rates at which this entry gets new requests, in seconds of capacity per
	// second, and refusedAt when callers were last refused, both by tier.
	arrivals  map[int]float64
	arrivedAt time.Time
	refusedAt map[int]time.Time
	// responseTime is the moving average of the time of responses; 0 before the first one.
	responseTime time.Duration
	// output is the moving average of the tokens of a stream; 0 before the first one.
	output float64
}

// service returns the state of a service, with its schedule advanced to now. The caller holds mu.
func (r *Returns) service(now time.Time, name string) *serviceReturns {
	s := r.services[name]
	if s == nil {
		s = &serviceReturns{arrivals: map[int]float64{}, refusedAt: map[int]time.Time{}}
		r.services[name] = s
	}
	for i := range s.lanes {
		s.lanes[i].advance(now.Sub(r.started) + r.phase)
	}
	return s
}

// SetCapacity sets the capacity of a service over all entries: how many seconds of cost its
// endpoints work off in a second. 0 means that no endpoint takes requests.
func (r *Returns) SetCapacity(now time.Time, name string, perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(now, name)
	s.full *= math.Exp(-max(now.Sub(s.setAt), 0).Seconds() / capacityMemory.Seconds())
	s.capacity, s.full, s.setAt = perSecond, max(s.full, perSecond), now
}

// KeepServices drops the state of all services but those that are known.
func (r *Returns) KeepServices(known func(name string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.services {
		if !known(name) {
			delete(r.services, name)
		}
	}
}

// cost returns a request's cost in seconds; requests whose cost is 0 have the average one.
func (s *serviceReturns) cost(cost time.Duration) float64 {
	if cost > 0 {
		return cost.Seconds()
	}
	return cmp.Or(s.responseTime, initialResponseTime).Seconds()
}

// RecordArrival counts a new request, which is no return, with its cost; see ReturnRequest.
func (r *Returns) RecordArrival(now time.Time, name string, tier int, cost time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(now, name)
	s.decay(now)
	if _, known := s.arrivals[tier]; known || len(s.arrivals) < maxTiers {
		s.arrivals[tier] += s.cost(cost) / arrivalWindow.Seconds()
	}
}

// RecordServed records that an endpoint of a service has responded with a result, which ends an
// outage, and the time that it took.
func (r *Returns) RecordServed(now time.Time, name string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(now, name)
	s.outage.end(now)
	s.responseTime += time.Duration(responseWeight * float64(took-cmp.Or(s.responseTime, took)))
	if s.responseTime == 0 {
		s.responseTime = took
	}
}

// ResponseTime returns the time that endpoints of a service usually take to respond; 0 if that is not known.
func (r *Returns) ResponseTime(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil {
		return s.responseTime
	}
	return 0
}

// RecordOutput records how many tokens a stream had.
func (r *Returns) RecordOutput(name string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil {
		s.output += responseWeight * (float64(tokens) - cmp.Or(s.output, float64(tokens)))
		s.output = cmp.Or(s.output, float64(tokens))
	}
}

// ExpectedOutput returns the expected tokens of a stream that has no more than bound, 0 if it states
// no bound. Bounds are well above what streams have on average.
func (r *Returns) ExpectedOutput(name string, bound int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	switch {
	case s == nil || s.output == 0:
		return bound
	case bound == 0:
		return int(s.output)
	}
	return min(int(s.output), bound)
}

func (s *serviceReturns) decay(now time.Time) {
	passed := now.Sub(s.arrivedAt)
	if passed <= 0 {
		return
	}
	factor := math.Exp(-passed.Seconds() / arrivalWindow.Seconds())
	for tier := range s.arrivals {
		s.arrivals[tier] *= factor
	}
	s.arrivedAt = now
}

// earliest returns the time until the cause of a refusal ends.
func (s *serviceReturns) earliest(now time.Time, q *ReturnRequest) time.Duration {
	switch q.Cause {
	case CauseOutage:
		return s.outage.refuse(now, q.Earliest, true)
	case CauseBusy:
		return s.outage.refuse(now, q.Earliest, false)
	}
	return q.Earliest
}

// limit returns how much returns of a tier may book in each slot, in seconds of capacity: this
// entry's share of the capacity less its own new arrivals of the tier and of more urgent ones. It is
// 0 if the capacity is not known.
func (s *serviceReturns) limit(now time.Time, q *ReturnRequest, share float64) float64 {
	capacity := s.capacity
	if q.Cause != CauseCapacity && q.Cause != CauseBusy || capacity <= 0 {
		capacity = s.full
	}
	capacity *= share * returnUtilization
	s.decay(now)
	left := capacity // by more urgent tiers
	for tier, rate := range s.arrivals {
		if tier < q.Tier {
			left -= rate
		}
	}
	return max(left-s.arrivals[q.Tier], left*minReturnRoom, capacity*minTierRoom) * returnSlot.Seconds()
}

// refused records a refusal of a tier.
func (s *serviceReturns) refused(now time.Time, tier int) {
	if _, known := s.refusedAt[tier]; known || len(s.refusedAt) < maxTiers {
		s.refusedAt[tier] = now
	}
}

// openLanes returns the number of lanes that a return may use.
func (s *serviceReturns) openLanes(now time.Time, tier int, repeated bool) int {
	if repeated {
		return laneCount
	}
	for other, at := range s.refusedAt {
		if other < tier && now.Sub(at) < urgentRefusalTime {
			return generalLanes
		}
	}
	return firstLanes
}

// findBooking returns the earliest booking for a return in the first lanes. limit is what all lanes
// together may hold in a slot.
func (s *serviceReturns) findBooking(earliest time.Duration, q *ReturnRequest, limit float64, lanes int) booking {
	var best booking
	for i := range s.lanes[:lanes] {
		found := s.lanes[i].find(earliest, s.cost(q.Cost), limit*laneShares[i])
		if i == 0 || found.start < best.start {
			best = found
		}
	}
	return best
}
