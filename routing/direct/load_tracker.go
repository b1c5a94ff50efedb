package direct

import (
	"maps"
	"sync"
	"time"

	"aspenyard.example/directory"
)

// LoadTracker tracks what this entry has sent to each endpoint, and what it knows of the
// load from other entries and from load reports. It is safe for concurrent use.
type LoadTracker struct {
	mu        sync.Mutex
	endpoints map[directory.Incarnation]*trackedEndpoint
	// demands holds the arrivals of prompts, and shortInFlight the number of requests
	// with short prompts in flight, by service.
	demands       map[string]*demand
	shortInFlight map[string]int
	// pendingPrefill is the prefill time of this entry's long prompts that engines have not
	// done yet, and queuedPrefill that of its queued ones, by service.
	pendingPrefill, queuedPrefill map[string]time.Duration
	// entryCount is the number of entries including this one, rank this entry's place among
	// them, and peerLoads the sum of the loads that other entries report for each endpoint.
	entryCount int
	rank       rank
	peerLoads  map[EndpointHash]EndpointLoad
	// peerSlowdowns holds the slow endpoints that other entries reported.
	peerSlowdowns map[EndpointHash]peerSlowdown
	// peers holds the last state of the other entries, by name.
	peers map[string]*peer
	// fullPeers is the number of peers that have reported all of their load, view what stands in
	// for those that have not; nil if there is none.
	fullPeers int
	view      *startingView
	// prefilling holds the loads of this entry's long prompts whose first token has not
	// arrived.
	prefilling map[*RequestLoad]struct{}
	// outcomes holds the outcomes of all entries' long prompts by route, unreportedOutcomes those
	// of this entry that the others do not know yet.
	outcomes           map[RouteHash]*routeOutcomes
	unreportedOutcomes []LengthOutcome
	// scarce holds the services whose requests are refused by priority.
	scarce   map[string]*scarcity
	limits   *EndpointLimits
	backoffs *EndpointBackoffs
	cold     *ColdEndpoints
}

// Cold returns what is known of endpoints that warm up. It has a lock of its own.
func (l *LoadTracker) Cold() *ColdEndpoints { return l.cold }

// Limits returns the limits that endpoints state. They have a lock of their own.
func (l *LoadTracker) Limits() *EndpointLimits { return l.limits }

// Backoffs returns the backoffs that endpoints state. They have a lock of their own.
func (l *LoadTracker) Backoffs() *EndpointBackoffs { return l.backoffs }

// EndpointLoad is the load that an entry's requests put on an endpoint: the number in
// flight, in total and by the pause that their routes allow (Streams), the pending prefill
// time, and the KV cache that they need, in tokens.
type EndpointLoad struct {
	Endpoint       EndpointHash
	InFlight       int
	PendingPrefill time.Duration
	MemoryTokens   int
	Streams        StreamCounts
}

// EndpointHash identifies an incarnation of an endpoint in messages between entries. The
// load that an entry reports before it has learned of a restart thus does not count for the
// new incarnation. Two endpoints with the same hash would each seem to have the other's
// load too, which only costs a little time.
type EndpointHash uint32

// HashEndpoint returns the hash of an endpoint's incarnation.
func HashEndpoint(incarnation directory.Incarnation) EndpointHash {
	return EndpointHash(incarnation.Hash())
}

// Loads returns the load that this entry's requests put on each endpoint, without endpoints
// that have none.
func (l *LoadTracker) Loads(now time.Time) []EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updatePendingPrefill(now)
	list := make([]EndpointLoad, 0, len(l.endpoints))
	for incarnation, tracked := range l.endpoints {
		if tracked.inFlight > 0 || tracked.pendingPrefill > 0 || tracked.memoryTokens > 0 {
			list = append(list, EndpointLoad{HashEndpoint(incarnation), tracked.inFlight, tracked.pendingPrefill, tracked.memoryTokens, tracked.streams})
		}
	}
	return list
}

// Demands returns what this entry's own requests ask of engines, by service.
func (l *LoadTracker) Demands(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updatePendingPrefill(now)
	list := make([]Demand, 0, len(l.demands))
	for service := range l.demands {
		list = append(list, l.ownDemand(now, service))
	}
	return list
}

func (l *LoadTracker) ownDemand(now time.Time, service string) Demand {
	long, short := l.demand(service).sums(now)
	return Demand{Service: service, LongPrefill: long.EngineTime, Long: long, Short: short, ShortInFlight: l.shortInFlight[service], PendingPrefill: l.pendingPrefill[service], QueuedPrefill: l.queuedPrefill[service]}
}

// totalDemand sums a service's demand over this entry and the peers that reported within
// peerLoadTTL. It removes the state of peers that did not.
func (l *LoadTracker) totalDemand(now time.Time, service string) Demand {
	sum := Demand{Service: service}
	for name, peer := range l.peers {
		if now.Sub(peer.receivedAt) > peerLoadTTL {
			l.removePeer(name)
			continue
		}
		for _, d := range peer.demands {
			if d.Service == service {
				sum.LongPrefill += d.LongPrefill
				sum.ShortInFlight += d.ShortInFlight
				sum.Long.add(d.Long)
				sum.Short.add(d.Short)
				sum.PendingPrefill += d.PendingPrefill
				sum.QueuedPrefill += d.QueuedPrefill
			}
		}
	}
	l.raiseDemandToView(now, &sum)
	own := l.ownDemand(now, service)
	sum = sum.plus(&own)
	if l.scarce[service] == nil {
		sum.followChange()
	}
	sum.ShortInFlight = l.holdShort(now, service, sum.ShortInFlight)
	return sum
}

// trackedEndpoint is what the tracker knows of one incarnation of an endpoint, apart from
// what other entries report.
type trackedEndpoint struct {
	inFlight       int
	streams        StreamCounts
	pendingPrefill time.Duration
	// memoryTokens is the KV cache that this entry's requests need, in tokens.
	memoryTokens int
	// reportedInFlight is the number of requests, of all entries, in the endpoint's last
	// load report. The report was received at reportedAt, when ownAtReport of this entry's
	// requests were in flight there.
	reportedInFlight, ownAtReport int
	reportedAt                    time.Time
	// slowdown is the slowdown that the endpoint last reported, see slowThreshold, and
	// slowdownAt when it did.
	slowdown   float64
	slowdownAt time.Time
	// unreachable is set while the endpoint accepts no connections.
	unreachable bool
	// avoidUntil is the end of the time in which the endpoint is avoided because it refused
	// work.
	avoidUntil time.Time
}

// avoided reports whether other endpoints are preferred.
func (t *trackedEndpoint) avoided(now time.Time) bool {
	return t.unreachable || now.Before(t.avoidUntil)
}

// NewLoadTracker returns an empty tracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{endpoints: map[directory.Incarnation]*trackedEndpoint{}, demands: map[string]*demand{}, shortInFlight: map[string]int{}, peers: map[string]*peer{}, pendingPrefill: map[string]time.Duration{}, queuedPrefill: map[string]time.Duration{}, peerLoads: map[EndpointHash]EndpointLoad{}, peerSlowdowns: map[EndpointHash]peerSlowdown{}, prefilling: map[*RequestLoad]struct{}{}, scarce: map[string]*scarcity{}, limits: NewEndpointLimits(), backoffs: NewEndpointBackoffs(), cold: NewColdEndpoints(), outcomes: map[RouteHash]*routeOutcomes{}}
}

// RequestLoad is the load that one request puts on its endpoints until it ends. It must be
// used by one goroutine only.
type RequestLoad struct {
	tracker  *LoadTracker
	parts    []part
	endpoint directory.Incarnation
	memory   []memoryPart
	// service is the service that the request is for, and long reports whether its prompt
	// is long.
	service string
	long    bool
	// pauseClass is the class of the pause that its route allows, see PauseClass.
	pauseClass int
	progress   progress
}

// part is the pending prefill time of a prompt at one endpoint.
type part struct {
	endpoint directory.Incarnation
	prefill  time.Duration
}

// memoryPart is the KV cache, in tokens, that a request needs at one endpoint until it
// ends.
type memoryPart struct {
	endpoint directory.Incarnation
	tokens   int
}

// Begin adds the load of a plan that is carried out from now on.
func (l *LoadTracker) Begin(now time.Time, p *Plan) *RequestLoad {
	r := &RequestLoad{tracker: l, endpoint: p.Endpoint.Incarnation, service: p.Endpoint.Service, long: p.Long, pauseClass: p.pauseClass}
	r.progress = progress{startedAt: now, expected: p.ExpectedFirstToken, partPrefill: p.PartPrefill}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoint(r.endpoint).inFlight++
	l.endpoint(r.endpoint).streams[r.pauseClass]++
	if r.long {
		l.prefilling[r] = struct{}{}
	} else {
		l.shortInFlight[r.service]++
		if p.arrivalTime > 0 {
			l.demand(r.service).addShort(now, p.arrivalTime)
		}
	}
	r.parts = append(r.parts, part{r.endpoint, p.PartPrefill})
	r.memory = append(r.memory, memoryPart{r.endpoint, p.EndpointMemoryTokens})
	for i, h := range p.Helpers {
		r.parts = append(r.parts, part{h.Incarnation, p.PartPrefill})
		if i < p.ReservingHelpers {
			r.memory = append(r.memory, memoryPart{h.Incarnation, p.HelperMemoryTokens})
		}
	}
	for _, m := range r.memory {
		l.endpoint(m.endpoint).memoryTokens += m.tokens
	}
	for _, p := range r.parts {
		l.endpoint(p.endpoint).pendingPrefill += p.prefill
		if r.long {
			l.pendingPrefill[r.service] += p.prefill
		}
	}
	return r
}

// FinishPrefill removes the pending prefill when the first token has arrived. Further calls
// do nothing.
func (r *RequestLoad) FinishPrefill() {
	if r.parts == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	delete(r.tracker.prefilling, r)
	for _, p := range r.parts {
		if tracked := r.tracker.endpoints[p.endpoint]; tracked != nil {
			tracked.pendingPrefill = max(tracked.pendingPrefill-p.prefill, 0)
		}
		if r.long {
			r.tracker.pendingPrefill[r.service] -= p.prefill
		}
	}
	r.parts = nil
}

// End removes the load of the request. It must be called once.
func (r *RequestLoad) End() {
	r.FinishPrefill()
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if !r.long {
		r.tracker.shortInFlight[r.service]--
	}
	if tracked := r.tracker.endpoints[r.endpoint]; tracked != nil && tracked.inFlight > 0 {
		tracked.inFlight--
		tracked.streams[r.pauseClass]--
	}
	for _, m := range r.memory {
		if tracked := r.tracker.endpoints[m.endpoint]; tracked != nil {
			tracked.memoryTokens = max(tracked.memoryTokens-m.tokens, 0)
		}
	}
	r.memory = nil
}

// MoveHelperMemory replaces the helpers at which the request needs memory by those that hold it, and
// the tokens at each.
func (r *RequestLoad) MoveHelperMemory(holders []directory.Incarnation, tokens int) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	for _, m := range r.memory[1:] { // the first is the request's endpoint
		if tracked := r.tracker.endpoints[m.endpoint]; tracked != nil {
			tracked.memoryTokens = max(tracked.memoryTokens-m.tokens, 0)
		}
	}
	r.memory = r.memory[:1]
	for _, holder := range holders {
		r.memory = append(r.memory, memoryPart{holder, tokens})
		r.tracker.endpoint(holder).memoryTokens += tokens
	}
}

// RecordLoadReport records an endpoint's report of its running and waiting requests.
func (l *LoadTracker) RecordLoadReport(now time.Time, endpoint directory.Incarnation, running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.endpoint(endpoint)
	tracked.reportedInFlight, tracked.ownAtReport, tracked.reportedAt = running+waiting, tracked.inFlight, now
}

// loadReportTTL is how long a load report is used. Requests last for seconds.
const loadReportTTL = 3 * time.Second

// loadEstimate is the estimated load of an endpoint's incarnation.
type loadEstimate struct {
	// inFlight is the number of requests in flight, pendingPrefill the pending prefill
	// time, and memoryTokens the KV cache that the requests need. They count the requests
	// of all entries.
	inFlight       int
	pendingPrefill time.Duration
	memoryTokens   int
	// slowdown is the endpoint's slowdown, see slowThreshold; 1 unless it is slow.
	slowdown float64
}

// estimate returns the estimated load of an endpoint's incarnation. The number of requests
// in flight is the higher of two: the last load report, corrected by what this entry has
// begun and ended since, and the sum of this entry's requests and those that other entries
// report, scaled up to all entries. While this entry starts, a view stands in for entries that have
// not reported, see startingView.
func (l *LoadTracker) estimate(now time.Time, incarnation directory.Incarnation) loadEstimate {
	hash := HashEndpoint(incarnation)
	peerLoad, scale := l.peerLoads[hash], l.peerScale()
	tracked := l.endpoints[incarnation]
	if tracked == nil {
		tracked = &trackedEndpoint{}
	}
	e := loadEstimate{
		inFlight:       int(float64(peerLoad.InFlight)*scale + 0.5),
		pendingPrefill: time.Duration(float64(peerLoad.PendingPrefill) * scale),
		memoryTokens:   int(float64(peerLoad.MemoryTokens) * scale),
		slowdown:       l.slowdown(now, tracked, hash),
	}
	l.raiseToView(now, hash, &e)
	e.inFlight += tracked.inFlight
	e.pendingPrefill += tracked.pendingPrefill
	e.memoryTokens += tracked.memoryTokens
	if !tracked.reportedAt.IsZero() && now.Sub(tracked.reportedAt) <= loadReportTTL {
		e.inFlight = max(e.inFlight, tracked.reportedInFlight+tracked.inFlight-tracked.ownAtReport)
	}
	return e
}

// streamCounts estimates the number of all entries' requests in flight at an endpoint's
// incarnation, by the pause that they allow.
func (l *LoadTracker) streamCounts(incarnation directory.Incarnation) StreamCounts {
	others := l.peerLoads[HashEndpoint(incarnation)].Streams.times(l.peerScale())
	if tracked := l.endpoints[incarnation]; tracked != nil {
		return tracked.streams.plus(others)
	}
	return others
}

// SetUnreachable records whether an endpoint accepts connections, and returns whether that
// has changed.
func (l *LoadTracker) SetUnreachable(endpoint directory.Incarnation, unreachable bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.endpoint(endpoint)
	changed := tracked.unreachable != unreachable
	tracked.unreachable = unreachable
	return changed
}

// Avoid keeps requests off an endpoint until the given time, unless there are no others.
func (l *LoadTracker) Avoid(endpoint directory.Incarnation, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoint(endpoint).avoidUntil = until
}

func (l *LoadTracker) endpoint(endpoint directory.Incarnation) *trackedEndpoint {
	tracked := l.endpoints[endpoint]
	if tracked == nil {
		tracked = &trackedEndpoint{}
		l.endpoints[endpoint] = tracked
	}
	return tracked
}

func (l *LoadTracker) addQueuedPrefill(service string, prefill time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedPrefill[service] += prefill
}

func (l *LoadTracker) demand(service string) *demand {
	d := l.demands[service]
	if d == nil {
		d = &demand{}
		l.demands[service] = d
	}
	return d
}

// Prune removes endpoints that are not known any more, including ended incarnations.
func (l *LoadTracker) Prune(known func(incarnation directory.Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.endpoints, func(incarnation directory.Incarnation, _ *trackedEndpoint) bool { return !known(incarnation) })
}
