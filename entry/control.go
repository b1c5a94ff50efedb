package entry

import (
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

// control is the entry's state on the control thread, and the snapshots that it
// publishes for callers' threads.
type control struct {
	entry *Entry
	loads map[string]reported
	view  *membership.View
	dirty bool
	// failed holds endpoints that failed a request here, and until when they are
	// passed over.
	failed map[string]time.Time

	endpoints atomic.Pointer[[]routing.Endpoint]
	reader    atomic.Bool
	entries   atomic.Int64 // live entries, this one included
}

// reported is the newest load known of an endpoint: from a heartbeat or from an
// answer to a reservation.
type reported struct {
	incarnation uint64
	takenMs     int64
	load        *wire.Load
	at          time.Time
}

func newControl(e *Entry) *control {
	c := &control{entry: e, loads: map[string]reported{}, failed: map[string]time.Time{}}
	c.endpoints.Store(&[]routing.Endpoint{})
	c.entries.Store(1)
	return c
}

// FillHeartbeat implements membership.Delegate.
func (c *control) FillHeartbeat(_ time.Time, h *wire.Heartbeat) {
	h.OperatorsAddr = c.entry.settings.OperatorsListen
	c.entry.catalogue.Fill(h)
}

// HandleHeartbeat implements membership.Delegate.
func (c *control) HandleHeartbeat(now time.Time, h *wire.Heartbeat) {
	c.entry.catalogue.Heard(h)
	if h.Role == membership.RoleAgent {
		delete(c.failed, h.Node)
		c.noteLoad(now, h.Node, h.Incarnation, h.Load)
	}
}

func (c *control) noteLoad(now time.Time, endpoint string, incarnation uint64, load *wire.Load) {
	if load == nil {
		return
	}
	known := c.loads[endpoint]
	if incarnation < known.incarnation || (incarnation == known.incarnation && load.TakenMs < known.takenMs) {
		return
	}
	c.loads[endpoint] = reported{incarnation: incarnation, takenMs: load.TakenMs, load: load, at: now}
	c.dirty = true
}

// answered takes in the load that came with an answer of an agent; any thread.
func (c *control) answered(endpoint string, incarnation uint64, load *wire.Load) {
	c.entry.loop.Post(func() { c.noteLoad(time.Now(), endpoint, incarnation, load) })
}

// failedFor is how long an endpoint that failed a request is passed over unless
// it is heard of again. Heartbeats of a large fleet are seconds apart; requests
// show a dead endpoint sooner.
const failedFor = 2 * time.Second

// noteFailure passes an endpoint over for a while; any thread.
func (c *control) noteFailure(endpoint string) {
	c.entry.loop.Post(func() {
		c.failed[endpoint] = time.Now().Add(failedFor)
		c.dirty = true
	})
}

// Tick implements membership.Delegate.
func (c *control) Tick(now time.Time, members *membership.View) {
	for name, until := range c.failed {
		if now.After(until) {
			delete(c.failed, name)
			c.dirty = true
		}
	}
	if members != c.view {
		c.view = members
		c.dirty = true
		c.rankDuties(members)
		c.entries.Store(int64(members.EntryCount() + 1))
	}
	if c.dirty {
		c.dirty = false
		c.publish(members)
	}
}

func (c *control) publish(members *membership.View) {
	endpoints := make([]routing.Endpoint, 0, len(members.Members))
	for name, m := range members.Members {
		if m.Role() != membership.RoleAgent || m.LastHeartbeat == nil {
			continue
		}
		endpoints = append(endpoints, c.endpoint(name, m))
	}
	for name := range c.loads {
		if members.Members[name] == nil {
			delete(c.loads, name)
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].Name < endpoints[j].Name })
	c.endpoints.Store(&endpoints)
}

func (c *control) endpoint(name string, m *membership.Member) routing.Endpoint {
	h := m.LastHeartbeat
	endpoint := routing.Endpoint{
		Name: name, Addr: h.Addr, DataCentre: h.DataCentre, EngineAddr: h.EngineAddr, Incarnation: h.Incarnation,
		Models: h.Models, Services: h.Services, Suspect: m.Suspect || !c.failed[name].IsZero(), Leaving: m.Leaving,
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
	endpoint.Reported = known.at
	for level, tokens := range known.load.BacklogTokens {
		if level < admission.LevelCount {
			endpoint.Backlog[level] = int(tokens)
		}
	}
	return endpoint
}

// readersPerDataCentre is how many entries of a data centre watch the store: two,
// so that one may be frozen without delaying an edit.
const readersPerDataCentre = 2

// rankDuties decides which duties this entry has by its rank among the live
// entries. Two entries may both think so, or for a moment none; each duty is
// safe with any number of holders.
func (c *control) rankDuties(members *membership.View) {
	s := c.entry.settings
	c.reader.Store(rank("catalogue/"+s.DataCentre, s.Name, members.Entries(s.DataCentre)) < readersPerDataCentre)
}

// rank is this node's place, from 0, in the order that a rendezvous hash gives
// to a duty's candidates. When one dies, only its own duties move.
func rank(duty, self string, others []*membership.Member) int {
	own := weight(duty, self)
	place := 0
	for _, m := range others {
		if w := weight(duty, m.Name()); w > own || (w == own && m.Name() < self) {
			place++
		}
	}
	return place
}

func weight(duty, name string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + name)
}

// inFlight counts this entry's own requests by endpoint.
type inFlight struct {
	mu     sync.Mutex
	counts map[string]int
}

func newInFlight() *inFlight { return &inFlight{counts: map[string]int{}} }

// Count implements routing.Outstanding.
func (f *inFlight) Count(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[endpoint]
}

func (f *inFlight) add(endpoint string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[endpoint] += n
	if f.counts[endpoint] == 0 {
		delete(f.counts, endpoint)
	}
}
