package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"aspenyard.example/routing/direct"
)

// Restarts makes some entries end and start again.
type Restarts struct {
	// From is when they end, To when they serve again. Requests in flight are served to their end.
	From, To time.Duration
	// Entries is the number of entries that restart.
	Entries int
	// View makes starting entries ask for another entry's view.
	View bool
	// Full is when other entries send a full heartbeat to an entry that has started.
	Full FullHeartbeats
	// RankHeard makes a starting entry take its rank among the entries that it has heard instead of
	// among all that are registered.
	RankHeard bool
}

// FullHeartbeats says when entries send full heartbeats to one that has started.
type FullHeartbeats int

// The times of full heartbeats.
const (
	// FullAfterStart: an entry's second heartbeat after it has heard of the start.
	FullAfterStart FullHeartbeats = iota
	// FullEachSecond: as if the ones after the start were lost.
	FullEachSecond
)

// heartbeatsPerFull is the number of heartbeats of which one is a full one.
const heartbeatsPerFull = 10

// startWindow is the time after the start in which late requests are counted.
const startWindow = 2 * time.Second

// RestartResult counts the requests of the first kind that arrived at restarted entries within
// startWindow after the start.
type RestartResult struct {
	Requests, LateFirst, LatePause int
	// LateAtStart is the number of late requests that arrived in the first 200 ms.
	LateAtStart int
	// Views is the number of views that were used.
	Views int
	// Fill is the share of all slots that was in use before the restarts.
	Fill float64
}

// Late is the number of late requests.
func (r RestartResult) Late() int { return r.LateFirst + r.LatePause }

// Add adds the counts of another run.
func (r *RestartResult) Add(other RestartResult) {
	r.Requests += other.Requests
	r.LateFirst += other.LateFirst
	r.LatePause += other.LatePause
	r.LateAtStart += other.LateAtStart
	r.Views += other.Views
	r.Fill += other.Fill
}

// atStart is the time after the start in which an entry hears full heartbeats of the others for the
// first time.
const atStart = 200 * time.Millisecond

// startingEntry is the state of an entry that has restarted.
type startingEntry struct {
	startedAt time.Duration
	// ticks counts its heartbeats. heard holds the entries whose full heartbeats have come, sent the
	// number of heartbeats that each of the others has sent since it heard of the start.
	ticks    int
	heard    map[*entry]bool
	sent     map[*entry]int
	requests direct.ViewRequests
}

// hear records a full heartbeat.
func (s *startingEntry) hear(from *entry) {
	if s != nil {
		s.heard[from] = true
	}
}

// SimulateRestarts is Simulate; it also returns what the callers of restarted entries got.
func SimulateRestarts(c *Config) ([]Result, RestartResult) {
	sim := newSimulation(c)
	sim.run()
	return sim.results, sim.restartResult
}

// scheduleRestarts schedules the end and the start of entries.
func (sim *simulation) scheduleRestarts(r *Restarts) {
	sim.AfterFunc(r.From, func() {
		used := 0
		for _, e := range sim.engines {
			used += e.usedSlots + len(e.waiting)
		}
		sim.restartResult.Fill = float64(used) / float64(len(sim.engines)*sim.config.Engine.Slots)
	})
	for _, e := range sim.entries[:r.Entries] {
		sim.AfterFunc(r.From, func() { e.state.dead = true })
		sim.AfterFunc(r.To, func() {
			e.state.dead = false
			e.starting = &startingEntry{startedAt: sim.Now(), heard: map[*entry]bool{}, sent: map[*entry]int{}}
			e.tracker = direct.NewLoadTracker()
			e.tracker.SetEntryCount(sim.config.Entries)
			e.tracker.Limits().SetEntries(sim.wallTime(), e.name, sim.entryNames())
			e.policy = direct.NewPolicy(e.tracker, rand.New(rand.NewPCG(sim.config.Seed, uint64(sim.Now()))))
		})
	}
}

// reports reports whether a heartbeat tells an entry its sender's load: one that has started ignores
// partial heartbeats of entries that have not sent it a full one.
func (sim *simulation) reports(from, to *entry) bool {
	s := to.starting
	if s == nil || s.heard[from] {
		return true
	}
	if s.ticks == 0 {
		return false // from has not heard of the start
	}
	s.sent[from]++
	if sim.config.Restarts.Full == FullEachSecond {
		return (sim.heartbeats/len(sim.entries))%heartbeatsPerFull == slices.Index(sim.entries, from)%heartbeatsPerFull
	}
	return s.sent[from] >= 2
}

// tickStarting updates a restarted entry's rank and lets it ask for a view.
func (sim *simulation) tickStarting(e *entry) {
	s := e.starting
	if s == nil || e.state.dead {
		return
	}
	s.ticks++
	if !sim.config.Restarts.RankHeard {
		e.tracker.SetRank(slices.Index(sim.entries, e), len(sim.entries))
	} else {
		index := 0
		for _, other := range sim.entries[:slices.Index(sim.entries, e)] {
			if s.heard[other] {
				index++
			}
		}
		e.tracker.SetRank(index, len(s.heard)+1)
	}
	if sim.config.Restarts.View {
		sim.requestView(e)
	}
}

// requestView asks another entry for its view if one is needed now.
func (sim *simulation) requestView(e *entry) {
	s := e.starting
	var names []string
	for _, other := range sim.entries {
		if other != e {
			names = append(names, other.name)
		}
	}
	name, ask := s.requests.Next(sim.wallTime(), names, len(s.heard), sim.rand)
	if !ask {
		return
	}
	sim.AfterFunc(direct.ViewResponseWait, func() { sim.requestView(e) })
	other := sim.entries[slices.IndexFunc(sim.entries, func(e *entry) bool { return e.name == name })]
	sim.AfterFunc(sim.messageDelay(), func() {
		startedAt := sim.epoch.Add(-time.Hour)
		if other.starting != nil {
			startedAt = sim.epoch.Add(other.starting.startedAt)
		}
		view := other.tracker.ViewFor(sim.wallTime(), startedAt, e.name, "", slices.Values(sim.endpoints), len(sim.endpoints))
		if view == nil {
			return
		}
		sim.AfterFunc(sim.messageDelay(), func() {
			if s.requests.Awaits(name) && view.Valid() {
				s.requests.Close()
				if e.tracker.UseView(sim.wallTime(), view) {
					sim.restartResult.Views++
				}
			}
		})
	})
}

// countAfterRestart counts a request that was served if it arrived soon after its entry's restart.
func (r *request) countAfterRestart(j *job) {
	s := r.entry.starting
	if s == nil || r.kindIndex != 0 || r.arrivedAt < s.startedAt || r.arrivedAt >= s.startedAt+startWindow {
		return
	}
	result := &r.sim.restartResult
	result.Requests++
	switch {
	case j.firstEventAt-r.arrivedAt > r.kind.Target:
		result.LateFirst++
	case r.longestPause > r.kind.MaxPause:
		result.LatePause++
	default:
		return
	}
	if r.arrivedAt < s.startedAt+atStart {
		result.LateAtStart++
	}
}
