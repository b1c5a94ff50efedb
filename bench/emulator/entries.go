package emulator

import (
	"math/rand/v2"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/bench/virtual"
)

// EntryRefusal decides at one entry which new requests are refused for lack of processor time.
type EntryRefusal interface {
	Observe(use admission.EntryUse) []admission.PressureChange
	Admit(rank float64) bool
}

// EntriesConfig describes entries whose processors bound what is served; endpoints are never short of capacity.
type EntriesConfig struct {
	Seed    uint64
	Entries int
	// Cores is the processor of an entry.
	Cores float64
	// RequestsPerSecond is the arrival rate at one entry. From Start on, the first Affected entries get RateFactor
	// times as many requests, and their work takes WorkFactor times as much processor time.
	RequestsPerSecond      float64
	Start, Duration        time.Duration
	Affected               int
	RateFactor, WorkFactor float64
	// Refusal creates the refusal of an entry; nil: entries refuse nothing.
	Refusal func(cores float64) EntryRefusal
}

// EntriesResult counts the requests of one rank that arrived after Start.
type EntriesResult struct {
	Requests, OnTime, Unserved, Refusals int
}

// OnTimeShare returns the share of requests that were on time.
func (r EntriesResult) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(r.Requests, 1)) }

// The load of EntriesConfig: the processor time of a request's parts, its stream, and what its caller expects.
const (
	entryHeadCost  = 300 * time.Microsecond
	entryBodyCost  = 700 * time.Microsecond
	entryEventCost = 100 * time.Microsecond
	entryEvents    = 10
	entryEventGap  = 100 * time.Millisecond
	entryTarget    = time.Second
	entryMaxPause  = 300 * time.Millisecond
	// entryTries is how many entries a caller asks, entryReturn apart.
	entryTries  = 3
	entryReturn = 300 * time.Millisecond
)

// EntryRanks are the ranks of the requests, which are equally frequent.
var EntryRanks = [3]float64{0, 0.5, 1}

// workItem is work that waits for a processor.
type workItem struct {
	cost time.Duration
	done func()
}

// emulatedEntry is an entry whose processor does work in the order of its arrival.
type emulatedEntry struct {
	sim     *entriesSimulation
	refusal EntryRefusal
	factor  float64
	queue   []workItem
	busy    bool
	used    time.Duration
}

type entriesSimulation struct {
	virtual.Clock
	config  *EntriesConfig
	rand    *rand.Rand
	entries []*emulatedEntry
	results [len(EntryRanks)]EntriesResult
}

// SimulateEntries runs a load and returns the results by rank, in the order of EntryRanks.
func SimulateEntries(c *EntriesConfig) [len(EntryRanks)]EntriesResult {
	sim := &entriesSimulation{config: c, rand: rand.New(rand.NewPCG(c.Seed, 1))}
	for i := range c.Entries {
		e := &emulatedEntry{sim: sim, factor: 1}
		if c.Refusal != nil {
			e.refusal = c.Refusal(c.Cores)
			e.measureAt(0)
		}
		sim.entries = append(sim.entries, e)
		sim.scheduleArrival(e, i < c.Affected)
	}
	sim.AfterFunc(c.Start, func() {
		for _, e := range sim.entries[:c.Affected] {
			e.factor = c.WorkFactor
		}
	})
	sim.RunUntil(c.Duration + time.Minute)
	return sim.results
}

// do queues work.
func (e *emulatedEntry) do(cost time.Duration, done func()) {
	e.queue = append(e.queue, workItem{cost, done})
	if !e.busy {
		e.next()
	}
}

func (e *emulatedEntry) next() {
	e.busy = len(e.queue) > 0
	if !e.busy {
		return
	}
	item := e.queue[0]
	e.queue = e.queue[1:]
	cost := time.Duration(float64(item.cost) * e.factor)
	e.used += cost
	e.sim.AfterFunc(time.Duration(float64(cost)/e.sim.config.Cores), func() {
		item.done()
		e.next()
	})
}

// measureAt schedules a measurement whose timer waits for the processor like other work. last is the time of
// the measurement before.
func (e *emulatedEntry) measureAt(last time.Duration) {
	if last > e.sim.config.Duration {
		return
	}
	e.sim.AfterFunc(admission.MeasureInterval, func() {
		due := e.sim.Now()
		e.do(0, func() {
			now := e.sim.Now()
			e.refusal.Observe(admission.EntryUse{Elapsed: now - last, Processor: e.used, TimerLate: now - due})
			e.used = 0
			e.measureAt(now)
		})
	})
}

// scheduleArrival schedules the next request of an entry's callers.
func (sim *entriesSimulation) scheduleArrival(e *emulatedEntry, affected bool) {
	rate := sim.config.RequestsPerSecond
	if affected && sim.Now() >= sim.config.Start {
		rate *= sim.config.RateFactor
	}
	sim.AfterFunc(time.Duration(sim.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.Now() > sim.config.Duration {
			return
		}
		r := &entryRequest{sim: sim, rank: sim.rand.IntN(len(EntryRanks)), arrivedAt: sim.Now()}
		r.ask(e, 1)
		sim.scheduleArrival(e, affected)
	})
}

// entryRequest is a request with its caller.
type entryRequest struct {
	sim         *entriesSimulation
	rank        int
	arrivedAt   time.Duration
	lastEventAt time.Duration
	events      int
	late        bool
}

// result returns the result that the request counts towards; a discarded one before the load changes.
func (r *entryRequest) result() *EntriesResult {
	if r.arrivedAt < r.sim.config.Start {
		return &EntriesResult{}
	}
	return &r.sim.results[r.rank]
}

// ask sends the request to an entry. A refused caller returns to one that the balancer draws.
func (r *entryRequest) ask(e *emulatedEntry, try int) {
	if try == 1 {
		r.result().Requests++
	}
	e.do(entryHeadCost, func() {
		if e.refusal == nil || e.refusal.Admit(EntryRanks[r.rank]) {
			e.do(entryBodyCost, func() { r.sim.AfterFunc(entryEventGap, func() { r.event(e) }) })
			return
		}
		r.result().Refusals++
		if try == entryTries {
			r.result().Unserved++
			return
		}
		next := r.sim.entries[r.sim.rand.IntN(len(r.sim.entries))]
		r.sim.AfterFunc(entryReturn, func() { r.ask(next, try+1) })
	})
}

// event relays the next event of the stream; the endpoint sends them at fixed intervals.
func (r *entryRequest) event(e *emulatedEntry) {
	r.events++
	if r.events < entryEvents {
		r.sim.AfterFunc(entryEventGap, func() { r.event(e) })
	}
	last := r.events == entryEvents
	e.do(entryEventCost, func() {
		now := r.sim.Now()
		if r.lastEventAt == 0 {
			r.late = now-r.arrivedAt > entryTarget
		} else if now-r.lastEventAt > entryMaxPause {
			r.late = true
		}
		r.lastEventAt = now
		if last && !r.late {
			r.result().OnTime++
		}
	})
}

// NewPressureRefusal returns the product's refusal.
func NewPressureRefusal(cores float64) EntryRefusal {
	return admission.NewEntryPressure(admission.EntryLimits{Cores: cores})
}

// stepRefusal is the alternative that the product's refusal is compared with: the refused share rises by a fixed
// step while the processor is saturated and falls by a smaller one otherwise. It does not distinguish ranks.
type stepRefusal struct {
	cores, share, error float64
}

// NewStepRefusal returns the alternative.
func NewStepRefusal(cores float64) EntryRefusal { return &stepRefusal{cores: cores} }

// Observe implements EntryRefusal.
func (s *stepRefusal) Observe(use admission.EntryUse) []admission.PressureChange {
	const up, down, saturated = 0.05, 0.01, 0.95
	if use.Processor.Seconds() >= saturated*s.cores*use.Elapsed.Seconds() {
		s.share = min(s.share+up, 0.97)
	} else {
		s.share = max(s.share-down, 0)
	}
	return nil
}

// Admit implements EntryRefusal.
func (s *stepRefusal) Admit(float64) bool {
	if s.error += s.share; s.error >= 1 {
		s.error--
		return false
	}
	return true
}
