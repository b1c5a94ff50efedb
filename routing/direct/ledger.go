package direct

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/directory"
)

// LoadTracker holds what this entry has given each endpoint to do. Safe for concurrent use.
type LoadTracker struct {
	mu        sync.Mutex
	endpoints map[directory.Incarnation]*trackedEndpoint
	// demands and shorts are by service: what its long prompts ask for, and how many
	// requests with short ones are open.
	demands       map[string]*demand
	shortInFlight map[string]int
	// pendingPrefill is the prefill of long prompts under way, queuedPrefill that of those that are
	// held back, by service.
	pendingPrefill, queuedPrefill map[string]time.Duration
	// entryCount is how many entryCount there are, peerLoads the sum of what peers tell of each
	// endpoint.
	entryCount int
	rank       rank
	peerLoads  map[EndpointHash]EndpointLoad
	// peerSlowdowns holds which endpoints other entries know to be slow.
	peerSlowdowns map[EndpointHash]peerSlowdown
	// peers holds what other entries last told, by their names.
	peers map[string]*peer
	// prefilling holds the charges of this entry's long prompts whose first token has not come.
	prefilling map[*RequestLoad]struct{}
}

// EndpointLoad is what an entry has given an endpoint to do: how many requests are open there, by
// the pause that they allow too, the prefill that is not done, and the KV cache that they
// need, in tokens.
type EndpointLoad struct {
	Endpoint       EndpointHash
	InFlight       int
	PendingPrefill time.Duration
	MemoryTokens   int
	Streams        StreamCounts
}

// EndpointHash names a life of an endpoint in messages between entries: what an entry
// that has not heard of a restart tells of the life before is not taken for load on the
// new one. Two endpoints with one hash would each seem to have the other's load, which
// costs a little time.
type EndpointHash uint32

// HashEndpoint gives the hash of an endpoint's life.
func HashEndpoint(incarnation directory.Incarnation) EndpointHash {
	return EndpointHash(xxhash.Sum64String(incarnation.String()))
}

// Loads gives what this entry has given each endpoint to do.
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

// Demands gives what this entry's own requests ask of engines, by service.
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
	d := l.demand(service)
	d.expire(now)
	return Demand{Service: service, LongPrefill: d.total, ShortInFlight: l.shortInFlight[service], PendingPrefill: l.pendingPrefill[service], QueuedPrefill: l.queuedPrefill[service]}
}

// totalDemand sums a service's demand over this entry and those heard of lately.
func (l *LoadTracker) totalDemand(now time.Time, service string) Demand {
	sum := l.ownDemand(now, service)
	for name, peer := range l.peers {
		if now.Sub(peer.receivedAt) > peerLoadTTL {
			l.removePeer(name)
			continue
		}
		for _, d := range peer.demands {
			if d.Service == service {
				sum.LongPrefill += d.LongPrefill
				sum.ShortInFlight += d.ShortInFlight
				sum.PendingPrefill += d.PendingPrefill
				sum.QueuedPrefill += d.QueuedPrefill
			}
		}
	}
	return sum
}

type trackedEndpoint struct {
	inFlight       int
	streams        StreamCounts
	pendingPrefill time.Duration
	// memoryTokens is the KV cache that one's own requests need, in tokens.
	memoryTokens int
	// reportedInFlight is the endpoint's own word of all callers' requests, told when ownAtReport of
	// them were this entry's.
	reportedInFlight, ownAtReport int
	reportedAt                    time.Time
	// slowdown is how many times as long as described its work takes, as told at paceAt.
	slowdown   float64
	slowdownAt time.Time
	// unreachable is set while the endpoint accepts no connections.
	unreachable bool
	// avoidUntil is until when the endpoint is passed over because it refused work.
	avoidUntil time.Time
}

// avoided tells whether other endpoints are to be preferred.
func (t *trackedEndpoint) avoided(now time.Time) bool {
	return t.unreachable || now.Before(t.avoidUntil)
}

// NewLoadTracker makes an empty ledger.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{endpoints: map[directory.Incarnation]*trackedEndpoint{}, demands: map[string]*demand{}, shortInFlight: map[string]int{}, peers: map[string]*peer{}, pendingPrefill: map[string]time.Duration{}, queuedPrefill: map[string]time.Duration{}, peerLoads: map[EndpointHash]EndpointLoad{}, peerSlowdowns: map[EndpointHash]peerSlowdown{}, prefilling: map[*RequestLoad]struct{}{}}
}

// RequestLoad is what one request weighs on its endpoints, until it ends. Safe for use by
// one goroutine.
type RequestLoad struct {
	tracker  *LoadTracker
	parts    []part
	endpoint directory.Incarnation
	memory   []memoryPart
	// service is what the request is for, and long tells whether its prompt is.
	service string
	long    bool
	// pauseClass is that of the pause which its route allows.
	pauseClass int
	progress   progress
}

// part is what is left to prefill of a prompt at one endpoint.
type part struct {
	endpoint directory.Incarnation
	prefill  time.Duration
}

// memoryPart is the KV cache that a request needs at one endpoint, until it ends.
type memoryPart struct {
	endpoint directory.Incarnation
	tokens   int
}

// Begin charges a plan that is carried out from now on.
func (l *LoadTracker) Begin(now time.Time, p *Plan) *RequestLoad {
	c := &RequestLoad{tracker: l, endpoint: p.Endpoint.Incarnation, service: p.Endpoint.Service, long: p.Long, pauseClass: p.pauseClass}
	c.progress = progress{startedAt: now, expected: p.ExpectedFirstToken, partPrefill: p.PartPrefill}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoint(c.endpoint).inFlight++
	l.endpoint(c.endpoint).streams[c.pauseClass]++
	if c.long {
		l.prefilling[c] = struct{}{}
	} else {
		l.shortInFlight[c.service]++
	}
	c.parts = append(c.parts, part{c.endpoint, p.PartPrefill})
	c.memory = append(c.memory, memoryPart{c.endpoint, p.EndpointMemoryTokens})
	for i, h := range p.Helpers {
		c.parts = append(c.parts, part{h.Incarnation, p.PartPrefill})
		if i < p.ReservingHelpers {
			c.memory = append(c.memory, memoryPart{h.Incarnation, p.HelperMemoryTokens})
		}
	}
	for _, m := range c.memory {
		l.endpoint(m.endpoint).memoryTokens += m.tokens
	}
	for _, p := range c.parts {
		l.endpoint(p.endpoint).pendingPrefill += p.prefill
		if c.long {
			l.pendingPrefill[c.service] += p.prefill
		}
	}
	return c
}

// FinishPrefill ends the charge for the prompt: its first token has come.
func (c *RequestLoad) FinishPrefill() {
	if c.parts == nil {
		return
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	delete(c.tracker.prefilling, c)
	for _, p := range c.parts {
		if tracked := c.tracker.endpoints[p.endpoint]; tracked != nil {
			tracked.pendingPrefill = max(tracked.pendingPrefill-p.prefill, 0)
		}
		if c.long {
			c.tracker.pendingPrefill[c.service] -= p.prefill
		}
	}
	c.parts = nil
}

// End ends the charge.
func (c *RequestLoad) End() {
	c.FinishPrefill()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if !c.long {
		c.tracker.shortInFlight[c.service]--
	}
	if tracked := c.tracker.endpoints[c.endpoint]; tracked != nil && tracked.inFlight > 0 {
		tracked.inFlight--
		tracked.streams[c.pauseClass]--
	}
	for _, m := range c.memory {
		if tracked := c.tracker.endpoints[m.endpoint]; tracked != nil {
			tracked.memoryTokens = max(tracked.memoryTokens-m.tokens, 0)
		}
	}
	c.memory = nil
}

// RecordLoadReport notes an endpoint's own word of its load.
func (l *LoadTracker) RecordLoadReport(now time.Time, endpoint directory.Incarnation, running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.endpoint(endpoint)
	tracked.reportedInFlight, tracked.ownAtReport, tracked.reportedAt = running+waiting, tracked.inFlight, now
}

// loadReportTTL is how long an endpoint's word of its load is used; requests last for
// seconds.
const loadReportTTL = 3 * time.Second

// loadEstimate is what is thought of an endpoint's life.
type loadEstimate struct {
	// inFlight is how many requests it has, reading what it has to prefill, and memory the KV
	// cache that they need, in tokens: those of all entries.
	inFlight       int
	pendingPrefill time.Duration
	memoryTokens   int
	// slowdown is how many times as long as described its work takes.
	slowdown float64
}

// estimate gives what is thought of an endpoint's life. How many requests are open is the
// endpoint's last word, corrected by what this entry has begun and ended since, or what the
// other entries tell, for as many as there are, whichever is more.
func (l *LoadTracker) estimate(now time.Time, incarnation directory.Incarnation) loadEstimate {
	hash := HashEndpoint(incarnation)
	peerLoad, scale := l.peerLoads[hash], l.peerScale()
	tracked := l.endpoints[incarnation]
	if tracked == nil {
		tracked = &trackedEndpoint{}
	}
	e := loadEstimate{
		inFlight:       tracked.inFlight + int(float64(peerLoad.InFlight)*scale+0.5),
		pendingPrefill: tracked.pendingPrefill + time.Duration(float64(peerLoad.PendingPrefill)*scale),
		memoryTokens:   tracked.memoryTokens + int(float64(peerLoad.MemoryTokens)*scale),
		slowdown:       l.slowdown(now, tracked, hash),
	}
	if !tracked.reportedAt.IsZero() && now.Sub(tracked.reportedAt) <= loadReportTTL {
		e.inFlight = max(e.inFlight, tracked.reportedInFlight+tracked.inFlight-tracked.ownAtReport)
	}
	return e
}

// streamCounts gives what is thought of the requests that are open at an endpoint's life, by the
// pause that they allow: those of all entries.
func (l *LoadTracker) streamCounts(incarnation directory.Incarnation) StreamCounts {
	others := l.peerLoads[HashEndpoint(incarnation)].Streams.times(l.peerScale())
	if tracked := l.endpoints[incarnation]; tracked != nil {
		return tracked.streams.plus(others)
	}
	return others
}

// SetUnreachable notes whether an endpoint accepts connections; it tells whether that is new.
func (l *LoadTracker) SetUnreachable(endpoint directory.Incarnation, unreachable bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.endpoint(endpoint)
	changed := tracked.unreachable != unreachable
	tracked.unreachable = unreachable
	return changed
}

// Avoid passes an endpoint over until a time, as long as there are others.
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

// Prune forgets endpoints that are not known any more, ended lives among them.
func (l *LoadTracker) Prune(known func(incarnation directory.Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.endpoints, func(incarnation directory.Incarnation, _ *trackedEndpoint) bool { return !known(incarnation) })
}
