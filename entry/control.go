package entry

import (
	"maps"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/admission"
	"aspenyard.example/membership"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// controlState is the entry's delegate in the membership loop. Its plain fields are used
// only by the loop's goroutine; the atomic ones are snapshots that request handlers read.
type controlState struct {
	entry            *Entry
	loads            map[string]loadReport
	view             *membership.View
	endpointsChanged bool
	// avoidUntil holds the endpoints that failed a request of this entry, and until
	// when they are avoided.
	avoidUntil map[string]time.Time
	// answeredAt is when each agent last answered a request of this entry.
	answeredAt map[string]time.Time

	endpoints     atomic.Pointer[[]routing.Endpoint]
	isStoreReader atomic.Bool
	entryCount    atomic.Int64 // live entries, this one included
}

// loadReport is the newest load report of an endpoint, from a heartbeat or from the
// response to a reservation request.
type loadReport struct {
	incarnation uint64
	takenMs     int64 // time of the report by the agent's clock, in milliseconds
	load        *wire.Load
	receivedAt  time.Time
}

func newControlState(e *Entry) *controlState {
	c := &controlState{entry: e, loads: map[string]loadReport{}, avoidUntil: map[string]time.Time{}, answeredAt: map[string]time.Time{}}
	c.endpoints.Store(&[]routing.Endpoint{})
	c.entryCount.Store(1)
	return c
}

// FillHeartbeat implements membership.Delegate.
func (c *controlState) FillHeartbeat(_ time.Time, h *wire.Heartbeat) {
	h.OperatorsAddr = c.entry.settings.OperatorsListen
	c.entry.catalogue.FillHeartbeat(h)
}

// HandleHeartbeat implements membership.Delegate.
func (c *controlState) HandleHeartbeat(now time.Time, h *wire.Heartbeat) {
	c.entry.catalogue.HandleHeartbeat(h)
	if h.Role == membership.RoleAgent {
		delete(c.avoidUntil, h.Node)
		c.recordLoad(now, h.Node, h.Incarnation, h.Load)
	}
}

// recordLoad stores a load report unless a newer one is known. Call it on the loop's
// goroutine.
func (c *controlState) recordLoad(now time.Time, endpoint string, incarnation uint64, load *wire.Load) {
	if load == nil {
		return
	}
	known := c.loads[endpoint]
	if incarnation < known.incarnation || (incarnation == known.incarnation && load.TakenMs < known.takenMs) {
		return
	}
	c.loads[endpoint] = loadReport{incarnation: incarnation, takenMs: load.TakenMs, load: load, receivedAt: now}
	c.endpointsChanged = true
}

// recordAgentLoad stores the load report that came with an agent's response. It may be
// called from any goroutine.
func (c *controlState) recordAgentLoad(endpoint string, incarnation uint64, load *wire.Load) {
	c.entry.loop.Post(func() { c.recordAnswer(time.Now(), endpoint, incarnation, load) })
}

// avoidFailedFor is how long an endpoint that failed a request is avoided, unless its
// agent's heartbeat arrives before. In a large fleet heartbeats are seconds apart, so that
// requests detect a dead endpoint sooner.
const avoidFailedFor = 2 * time.Second

// avoidEndpoint makes routing avoid an endpoint for avoidFailedFor, after an attempt that began
// at attemptStart has failed. It may be called from any goroutine.
func (c *controlState) avoidEndpoint(endpoint string, attemptStart time.Time) {
	c.entry.loop.Post(func() { c.recordFailure(time.Now(), endpoint, attemptStart) })
}

// recordFailure records a failed attempt, unless the endpoint's agent has answered another one
// since it began. Call it on the loop's goroutine.
func (c *controlState) recordFailure(now time.Time, endpoint string, attemptStart time.Time) {
	if c.answeredAt[endpoint].After(attemptStart) {
		return
	}
	c.avoidUntil[endpoint] = now.Add(avoidFailedFor)
	c.endpointsChanged = true
}

// recordAnswer records an agent's response, which shows that the endpoint is alive. Call it on the
// loop's goroutine.
func (c *controlState) recordAnswer(now time.Time, endpoint string, incarnation uint64, load *wire.Load) {
	c.answeredAt[endpoint] = now
	avoided := !c.avoidUntil[endpoint].IsZero()
	delete(c.avoidUntil, endpoint)
	c.recordLoad(now, endpoint, incarnation, load)
	if avoided && c.view != nil { // the caller's next request may come before the next tick
		c.publishEndpoints(c.view)
	}
}

// Tick implements membership.Delegate.
func (c *controlState) Tick(now time.Time, members *membership.View) {
	for name, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, name)
			c.endpointsChanged = true
		}
	}
	if members != c.view {
		c.view = members
		c.endpointsChanged = true
		c.updateStoreReader(members)
		c.entryCount.Store(int64(members.EntryCount() + 1))
	}
	if c.endpointsChanged {
		c.endpointsChanged = false
		c.publishEndpoints(members)
	}
}

// publishEndpoints replaces the snapshot of endpoints, sorted by name, and drops the load
// reports of nodes that are no longer members.
func (c *controlState) publishEndpoints(members *membership.View) {
	endpoints := make([]routing.Endpoint, 0, len(members.Members))
	for name, m := range members.Members {
		if m.Role() != membership.RoleAgent || m.LastHeartbeat == nil {
			continue
		}
		endpoints = append(endpoints, c.buildEndpoint(name, m))
	}
	for name := range c.loads {
		if members.Members[name] == nil {
			delete(c.loads, name)
		}
	}
	maps.DeleteFunc(c.answeredAt, func(name string, _ time.Time) bool { return members.Members[name] == nil })
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].Name < endpoints[j].Name })
	c.endpoints.Store(&endpoints)
}

// buildEndpoint combines an agent's last heartbeat with its newest load report.
func (c *controlState) buildEndpoint(name string, m *membership.Member) routing.Endpoint {
	h := m.LastHeartbeat
	endpoint := routing.Endpoint{
		Name: name, Addr: h.Addr, DataCentre: h.DataCentre, EngineAddr: h.EngineAddr, Incarnation: h.Incarnation,
		Models: h.Models, Services: h.Services, Suspect: m.Suspect || !c.avoidUntil[name].IsZero(), Leaving: m.Leaving,
	}
	known := c.loads[name]
	if known.load == nil {
		return endpoint
	}
	endpoint.MemoryTokens = int(known.load.MemoryTokens)
	endpoint.PrefillRate = int(known.load.PrefillTokensPerSecond)
	endpoint.MaxRunning = int(known.load.MaxRunning)
	endpoint.Running, endpoint.Queued = int(known.load.Running), int(known.load.Queued)
	endpoint.FreeMemory = int(known.load.FreeMemoryTokens)
	endpoint.Reported = known.receivedAt
	for level, tokens := range known.load.BacklogTokens {
		if level < admission.LevelCount {
			endpoint.Backlog[level] = int(tokens)
		}
	}
	return endpoint
}

// storeReadersPerDataCentre is how many entries of a data centre watch the store. With
// two, a frozen entry does not delay the spread of an edit.
const storeReadersPerDataCentre = 2

// updateStoreReader decides by this entry's rank among the live entries of its data
// centre whether it watches the store. While the entries' views differ there may be too
// many readers or none; any number of them is safe.
func (c *controlState) updateStoreReader(members *membership.View) {
	s := c.entry.settings
	c.isStoreReader.Store(rendezvousRank("catalogue/"+s.DataCentre, s.Name, members.Entries(s.DataCentre)) < storeReadersPerDataCentre)
}

// rendezvousRank returns the rank of this node, from 0, among the candidates for a duty, by
// rendezvous hashing. When a candidate dies, only its own duties move.
func rendezvousRank(duty, self string, others []*membership.Member) int {
	own := rendezvousWeight(duty, self)
	rank := 0
	for _, m := range others {
		if w := rendezvousWeight(duty, m.Name()); w > own || (w == own && m.Name() < self) {
			rank++
		}
	}
	return rank
}

// rendezvousWeight returns a node's rendezvous hash for a duty; the highest ranks first.
func rendezvousWeight(duty, name string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + name)
}

// inFlightCounts counts the requests that this entry has in flight at each endpoint. It
// is safe for concurrent use.
type inFlightCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newInFlightCounts() *inFlightCounts { return &inFlightCounts{counts: map[string]int{}} }

// Count implements routing.Outstanding.
func (f *inFlightCounts) Count(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[endpoint]
}

func (f *inFlightCounts) add(endpoint string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[endpoint] += n
	if f.counts[endpoint] == 0 {
		delete(f.counts, endpoint)
	}
}
