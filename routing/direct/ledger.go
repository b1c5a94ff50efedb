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
	mu    sync.Mutex
	loads map[directory.Incarnation]*load
	// demands and shorts are by service: what its long prompts ask for, and how many
	// requests with short ones are open.
	demands map[string]*demand
	shorts  map[string]int
	// reading is the prefill of long prompts under way, waiting that of those that are
	// held back, by service.
	reading, waiting map[string]time.Duration
	// entries is how many entries there are, peerLoads the sum of what peers tell of each
	// endpoint.
	entries   int
	rank      rank
	peerLoads map[EndpointHash]EndpointLoad
	// peerPaces holds which endpoints other entries know to be slow.
	peerPaces map[EndpointHash]peerPace
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
func HashEndpoint(life directory.Incarnation) EndpointHash {
	return EndpointHash(xxhash.Sum64String(life.String()))
}

// Loads gives what this entry has given each endpoint to do.
func (l *LoadTracker) Loads(now time.Time) []EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	list := make([]EndpointLoad, 0, len(l.loads))
	for life, known := range l.loads {
		if known.open > 0 || known.prefill > 0 || known.memory > 0 {
			list = append(list, EndpointLoad{HashEndpoint(life), known.open, known.prefill, known.memory, known.streams})
		}
	}
	return list
}

// Demands gives what this entry's own requests ask of engines, by service.
func (l *LoadTracker) Demands(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	list := make([]Demand, 0, len(l.demands))
	for service := range l.demands {
		list = append(list, l.own(now, service))
	}
	return list
}

func (l *LoadTracker) own(now time.Time, service string) Demand {
	d := l.demand(service)
	d.expire(now)
	return Demand{Service: service, LongPrefill: d.sum, ShortInFlight: l.shorts[service], PendingPrefill: l.reading[service], QueuedPrefill: l.waiting[service]}
}

// total sums a service's demand over this entry and those heard of lately.
func (l *LoadTracker) total(now time.Time, service string) Demand {
	sum := l.own(now, service)
	for name, peer := range l.peers {
		if now.Sub(peer.at) > peerValid {
			l.forget(name)
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

type load struct {
	open    int
	streams StreamCounts
	prefill time.Duration
	// memory is the KV cache that one's own requests need, in tokens.
	memory int
	// toldOpen is the endpoint's own word of all callers' requests, told when ownOpen of
	// them were this entry's.
	toldOpen, ownOpen int
	told              time.Time
	// pace is how many times as long as described its work takes, as told at paceAt.
	pace   float64
	paceAt time.Time
	// unreachable is set while the endpoint accepts no connections.
	unreachable bool
	// avoidUntil is until when the endpoint is passed over because it refused work.
	avoidUntil time.Time
}

// doubtful tells whether other endpoints are to be preferred.
func (l *load) doubtful(now time.Time) bool { return l.unreachable || now.Before(l.avoidUntil) }

// NewLoadTracker makes an empty ledger.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{loads: map[directory.Incarnation]*load{}, demands: map[string]*demand{}, shorts: map[string]int{}, peers: map[string]*peer{}, reading: map[string]time.Duration{}, waiting: map[string]time.Duration{}, peerLoads: map[EndpointHash]EndpointLoad{}, peerPaces: map[EndpointHash]peerPace{}, prefilling: map[*RequestLoad]struct{}{}}
}

// RequestLoad is what one request weighs on its endpoints, until it ends. Safe for use by
// one goroutine.
type RequestLoad struct {
	ledger *LoadTracker
	parts  []part
	open   directory.Incarnation
	memory []memoryPart
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
	c := &RequestLoad{ledger: l, open: p.Endpoint.Incarnation, service: p.Endpoint.Service, long: p.Long, pauseClass: p.pauseClass}
	c.progress = progress{began: now, expected: p.ExpectedFirstToken, part: p.PartPrefill}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load(c.open).open++
	l.load(c.open).streams[c.pauseClass]++
	if c.long {
		l.prefilling[c] = struct{}{}
	} else {
		l.shorts[c.service]++
	}
	c.parts = append(c.parts, part{c.open, p.PartPrefill})
	c.memory = append(c.memory, memoryPart{c.open, p.EndpointMemoryTokens})
	for i, h := range p.Helpers {
		c.parts = append(c.parts, part{h.Incarnation, p.PartPrefill})
		if i < p.ReservingHelpers {
			c.memory = append(c.memory, memoryPart{h.Incarnation, p.HelperMemoryTokens})
		}
	}
	for _, m := range c.memory {
		l.load(m.endpoint).memory += m.tokens
	}
	for _, p := range c.parts {
		l.load(p.endpoint).prefill += p.prefill
		if c.long {
			l.reading[c.service] += p.prefill
		}
	}
	return c
}

// FinishPrefill ends the charge for the prompt: its first token has come.
func (c *RequestLoad) FinishPrefill() {
	if c.parts == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	delete(c.ledger.prefilling, c)
	for _, p := range c.parts {
		if known := c.ledger.loads[p.endpoint]; known != nil {
			known.prefill = max(known.prefill-p.prefill, 0)
		}
		if c.long {
			c.ledger.reading[c.service] -= p.prefill
		}
	}
	c.parts = nil
}

// End ends the charge.
func (c *RequestLoad) End() {
	c.FinishPrefill()
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if !c.long {
		c.ledger.shorts[c.service]--
	}
	if known := c.ledger.loads[c.open]; known != nil && known.open > 0 {
		known.open--
		known.streams[c.pauseClass]--
	}
	for _, m := range c.memory {
		if known := c.ledger.loads[m.endpoint]; known != nil {
			known.memory = max(known.memory-m.tokens, 0)
		}
	}
	c.memory = nil
}

// RecordLoadReport notes an endpoint's own word of its load.
func (l *LoadTracker) RecordLoadReport(now time.Time, endpoint directory.Incarnation, running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.load(endpoint)
	known.toldOpen, known.ownOpen, known.told = running+waiting, known.open, now
}

// toldValid is how long an endpoint's word of its load is used; requests last for
// seconds.
const toldValid = 3 * time.Second

// estimate is what is thought of an endpoint's life.
type estimate struct {
	// open is how many requests it has, reading what it has to prefill, and memory the KV
	// cache that they need, in tokens: those of all entries.
	open    int
	reading time.Duration
	memory  int
	// pace is how many times as long as described its work takes.
	pace float64
}

// estimate gives what is thought of an endpoint's life. How many requests are open is the
// endpoint's last word, corrected by what this entry has begun and ended since, or what the
// other entries tell, for as many as there are, whichever is more.
func (l *LoadTracker) estimate(now time.Time, life directory.Incarnation) estimate {
	hash := HashEndpoint(life)
	peers, scale := l.peerLoads[hash], l.peerScale()
	known := l.loads[life]
	if known == nil {
		known = &load{}
	}
	e := estimate{
		open:    known.open + int(float64(peers.InFlight)*scale+0.5),
		reading: known.prefill + time.Duration(float64(peers.PendingPrefill)*scale),
		memory:  known.memory + int(float64(peers.MemoryTokens)*scale),
		pace:    l.pace(now, known, hash),
	}
	if !known.told.IsZero() && now.Sub(known.told) <= toldValid {
		e.open = max(e.open, known.toldOpen+known.open-known.ownOpen)
	}
	return e
}

// streams gives what is thought of the requests that are open at an endpoint's life, by the
// pause that they allow: those of all entries.
func (l *LoadTracker) streams(life directory.Incarnation) StreamCounts {
	others := l.peerLoads[HashEndpoint(life)].Streams.times(l.peerScale())
	if known := l.loads[life]; known != nil {
		return known.streams.plus(others)
	}
	return others
}

// SetUnreachable notes whether an endpoint accepts connections; it tells whether that is new.
func (l *LoadTracker) SetUnreachable(endpoint directory.Incarnation, unreachable bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.load(endpoint)
	changed := known.unreachable != unreachable
	known.unreachable = unreachable
	return changed
}

// Avoid passes an endpoint over until a time, as long as there are others.
func (l *LoadTracker) Avoid(endpoint directory.Incarnation, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load(endpoint).avoidUntil = until
}

func (l *LoadTracker) load(endpoint directory.Incarnation) *load {
	known := l.loads[endpoint]
	if known == nil {
		known = &load{}
		l.loads[endpoint] = known
	}
	return known
}

func (l *LoadTracker) hold(service string, prefill time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[service] += prefill
}

func (l *LoadTracker) demand(service string) *demand {
	known := l.demands[service]
	if known == nil {
		known = &demand{}
		l.demands[service] = known
	}
	return known
}

// Prune forgets endpoints that are not known any more, ended lives among them.
func (l *LoadTracker) Prune(known func(life directory.Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.loads, func(life directory.Incarnation, _ *load) bool { return !known(life) })
}
