package admission

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// earlyTolerance is how long before its time a return still counts as on time. It covers the
	// delay of the heartbeat that carried the promise and the rounding of Retry-After.
	earlyTolerance = 50 * time.Millisecond
	// returnGrace is how long after its time a return counts as on time. It covers a new
	// connection, which retransmits its first packet after a second.
	returnGrace = 2 * time.Second
	// waitShare is the fraction of their remaining time that callers wait at most.
	waitShare = 1.0 / 3
	// maxConfirmations is how many early returns with one key are told the time that was promised.
	// Different callers may send identical requests, and all of them must not return at one moment.
	maxConfirmations = 3
	// returnResolution is the resolution of Retry-After. Times are rounded up to it, as a return
	// must not be early by rounding.
	returnResolution = time.Millisecond
)

// ReturnCause says why a request is refused.
type ReturnCause int

// The causes. The end of an outage is not known: it is estimated from earlier outages and from how
// long this one lasts.
const (
	// CauseOutage: no endpoint takes requests.
	CauseOutage ReturnCause = iota
	// CauseBusy: the endpoints that were tried did not take the request. It becomes an outage when
	// none has responded for a while.
	CauseBusy
	// CauseCapacity: endpoints have too little capacity for the request, or it is not admitted.
	CauseCapacity
	// CauseStated: endpoints state when they take requests again (limits, backoffs, warm-up).
	CauseStated
	// CauseEntry: this entry is full. The endpoints' capacity does not matter.
	CauseEntry
)

// String returns the cause's name in logs and metrics.
func (c ReturnCause) String() string {
	switch c {
	case CauseOutage:
		return "outage"
	case CauseBusy:
		return "busy"
	case CauseCapacity:
		return "capacity"
	case CauseStated:
		return "stated"
	case CauseEntry:
		return "entry"
	}
	return "unknown"
}

// ReturnRequest describes a refused request whose caller is told when to return.
type ReturnRequest struct {
	// Key identifies the request, whichever entry it returns to; 0 if it cannot be recognised.
	Key     uint64
	Service string
	// Tier is the urgency of the request; 0 goes first.
	Tier  int
	Cause ReturnCause
	// Earliest is the time from now until the cause of the refusal ends, as far as it is known.
	Earliest time.Duration
	// Cost is the time that the request takes of the service's capacity, see SetCapacity; 0: the
	// average time of the service's responses.
	Cost time.Duration
	// Remaining is the time that the caller has left; 0 if it is not known.
	Remaining time.Duration
}

// ReturnState says how a request relates to what was promised to its caller.
type ReturnState int

// The states. Only ReturnOnTime gives precedence.
const (
	ReturnUnknown ReturnState = iota
	ReturnEarly
	ReturnOnTime
	ReturnExpired
)

// String returns the state's name in logs and metrics.
func (s ReturnState) String() string {
	switch s {
	case ReturnEarly:
		return "early"
	case ReturnOnTime:
		return "on_time"
	case ReturnExpired:
		return "expired"
	}
	return "unknown"
}

// ReturnStatus is the result of Returns.Check.
type ReturnStatus struct {
	State ReturnState
	// Remaining is the time until the return is due; it is set for ReturnEarly only.
	Remaining time.Duration
}

// Returns decides when refused callers return, and recognises their requests then. Return times are
// spread over the capacity that is left beside new arrivals, so that a herd of refused callers does
// not return at one moment and is refused again. It is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	started  time.Time
	phase    time.Duration
	services map[string]*serviceReturns
	promises promiseTable
	share    returnShare
}

// NewReturns returns the state of the entry with a name. The name shifts the bounds of its slots, so
// that callers of different entries do not return at the same moments.
func NewReturns(now time.Time, entry string) *Returns {
	return &Returns{
		started: now, phase: time.Duration(xxhash.Sum64String(entry) % uint64(returnSlot)),
		services: map[string]*serviceReturns{}, promises: newPromiseTable(), share: returnShare{entries: 1},
	}
}

// Promise returns the time after which the caller of a refused request should return, and records
// it. A caller that returns before its time is told the same time again. One that returned on time
// and is refused once more goes before callers that are refused for the first time.
func (r *Returns) Promise(now time.Time, q ReturnRequest) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.promises.find(q.Key)
	if p != nil && !p.claimed && !p.kept && now.Before(p.due) {
		return r.confirm(now, p, &q)
	}
	wait := r.plan(now, &q, p != nil && p.claimed)
	r.share.count(now, true)
	r.promises.put(now, q.Key, now.Add(wait), true)
	return wait
}

// confirm answers an early return. Of many copies of a request, the later ones are told later times,
// spaced as the capacity serves them; they book nothing, so that a caller that ignores its time
// delays no other.
func (r *Returns) confirm(now time.Time, p *promise, q *ReturnRequest) time.Duration {
	if p.confirmed < maxConfirmations {
		p.confirmed++
		return roundUp(p.due.Sub(now))
	}
	if p.last.Before(p.due) {
		p.last = p.due
	}
	s := r.service(now, q.Service)
	limit := s.limit(now, q, r.share.of(now))
	if limit > 0 && p.last.Sub(now) < returnHorizon {
		p.last = p.last.Add(min(time.Duration(s.cost(q.Cost)/limit*float64(returnSlot)), returnHorizon))
	}
	return roundUp(p.last.Sub(now))
}

// plan books the return of a request and returns the time until then.
func (r *Returns) plan(now time.Time, q *ReturnRequest, repeated bool) time.Duration {
	s := r.service(now, q.Service)
	earliest := s.earliest(now, q)
	limit := s.limit(now, q, r.share.of(now))
	s.refused(now, q.Tier)
	if limit <= 0 || q.Cause == CauseEntry || earliest >= returnHorizon {
		return roundUp(earliest)
	}
	from := now.Sub(r.started) + r.phase
	b := s.findBooking(from+earliest, q, limit, s.openLanes(now, q.Tier, repeated))
	useful := time.Duration(float64(q.Remaining) * waitShare)
	if q.Remaining > 0 && b.start > from+useful {
		// What is kept for others is used where the caller's time is short.
		if urgent := s.findBooking(from+earliest, q, limit, laneCount); urgent.start <= from+useful {
			b = urgent
		}
	}
	b.book()
	return roundUp(b.start - from)
}

// Check returns how a request that arrives relates to what was promised to its caller. The state
// ReturnOnTime is returned once for each promise: of several copies only the first has precedence.
func (r *Returns) Check(now time.Time, key uint64) ReturnStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.promises.find(key)
	switch {
	case p == nil || p.claimed || p.kept:
		return ReturnStatus{}
	case now.Before(p.due.Add(-earlyTolerance)):
		return ReturnStatus{State: ReturnEarly, Remaining: p.due.Sub(now)}
	case now.After(p.due.Add(returnGrace)):
		r.promises.remove(p)
		return ReturnStatus{State: ReturnExpired}
	}
	p.claimed = true
	return ReturnStatus{State: ReturnOnTime}
}

// Complete ends the promise of a request that was recognised and is not refused again. The other
// entries hear of it, so that the promise is not kept a second time there.
func (r *Returns) Complete(key uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.promises.find(key); p != nil && !p.kept {
		p.kept, p.claimed = true, false
		r.promises.reportKept(key)
	}
}

// Empty reports whether no promise is known, so that no request needs to be recognised.
func (r *Returns) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.promises.byKey) == 0
}

// ReturnTotals summarises the promises that are known.
type ReturnTotals struct {
	// Promises is the number of promises, Own those of this entry.
	Promises, Own int
	// Latest is the time until the last of them is due.
	Latest time.Duration
}

// Totals returns the promises that are known.
func (r *Returns) Totals(now time.Time) ReturnTotals {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := ReturnTotals{}
	for _, p := range r.promises.byKey {
		if p.kept {
			continue
		}
		totals.Promises++
		if p.own {
			totals.Own++
		}
		totals.Latest = max(totals.Latest, p.due.Sub(now))
	}
	return totals
}

func roundUp(d time.Duration) time.Duration {
	return (d + returnResolution - 1).Truncate(returnResolution)
}
