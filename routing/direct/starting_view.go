package direct

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"aspenyard.example/directory"
)

// View is what one entry knows of the load from all entries except the one that it is for. An entry
// that has just started uses it until it has heard from the others itself.
type View struct {
	// Engines are the loads of engines as sums over the entries. Engines without load may be missing.
	Engines []ViewEngine
	// Demands are the sums of the entries' demands.
	Demands []Demand
	// Entries is the number of entries whose reports are in the sums. Where that is not all of them,
	// the sums are scaled up to all.
	Entries int
	// Age is the age of the oldest report in the sums.
	Age time.Duration
}

// ViewEngine is the load of one engine in a view. Slowdown is 0 for an engine that is not slow.
type ViewEngine struct {
	Endpoint       EndpointHash
	InFlight       int
	PendingPrefill time.Duration
	MemoryTokens   int
	Slowdown       float64
}

const (
	// viewTTL is the age up to which a view is used: two intervals of full heartbeats, one of which
	// may be lost.
	viewTTL = 2 * time.Second
	// viewReadyAfter is how long after its start an entry answers with a view: by then each of the
	// others has sent a full heartbeat.
	viewReadyAfter = time.Second
	// maxViewInFlight, maxViewPrefill, maxViewMemory and maxViewSlowdown bound the values of one
	// engine in a view. They are far above what engines can hold, so that only damaged views exceed
	// them, and low enough for sums over them.
	maxViewInFlight = 1 << 16
	maxViewPrefill  = time.Hour
	maxViewMemory   = 1 << 30
	maxViewSlowdown = 1000
	// maxViewDemand and maxViewShort bound the demand of one service in a view, several times what
	// 3,800 entries receive.
	maxViewDemand = 24 * time.Hour
	maxViewShort  = 1 << 20
	// maxViewEntries bounds the number of entries that a view stands for.
	maxViewEntries = 1 << 16
)

// Valid reports whether a view has only possible values.
func (v *View) Valid() bool {
	if v.Entries <= 0 || v.Entries > maxViewEntries || v.Age < 0 {
		return false
	}
	for i := range v.Demands {
		d := &v.Demands[i]
		if longest := max(d.LongPrefill, d.PendingPrefill, d.QueuedPrefill); longest > maxViewDemand || d.ShortInFlight > maxViewShort {
			return false
		}
	}
	seen := make(map[EndpointHash]bool, len(v.Engines))
	for i := range v.Engines {
		e := &v.Engines[i]
		if seen[e.Endpoint] || e.InFlight < 0 || e.InFlight > maxViewInFlight || e.PendingPrefill < 0 || e.PendingPrefill > maxViewPrefill ||
			e.MemoryTokens < 0 || e.MemoryTokens > maxViewMemory || !(e.Slowdown == 0 || e.Slowdown >= 1 && e.Slowdown <= maxViewSlowdown) {
			return false
		}
		seen[e.Endpoint] = true
	}
	return true
}

// startingView is the view that an entry uses until the others have reported their loads.
type startingView struct {
	takenAt time.Time
	entries int
	engines map[EndpointHash]ViewEngine
	demands []Demand
}

// UseView makes a view stand in for the entries that have not sent full reports. It returns false if
// the view is outdated or all of them have.
func (l *LoadTracker) UseView(now time.Time, v *View) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := &startingView{takenAt: now.Add(-v.Age), entries: v.Entries, engines: make(map[EndpointHash]ViewEngine, len(v.Engines)), demands: v.Demands}
	for _, e := range v.Engines {
		used.engines[e.Endpoint] = e
	}
	l.view = used
	return l.viewShare(now) > 0
}

// viewShare returns the share of the entries in the view that have not sent full reports. It drops a
// view that is outdated or no longer needed.
func (l *LoadTracker) viewShare(now time.Time) float64 {
	if l.view == nil {
		return 0
	}
	missing := l.view.entries - l.fullPeers
	if missing <= 0 || now.Sub(l.view.takenAt) > viewTTL {
		l.view = nil
		return 0
	}
	return float64(missing) / float64(l.view.entries)
}

// raiseToView raises the load of the other entries at an engine to that in the view, reduced to the
// entries that have not sent full reports. The two are not added, as both may contain the same requests.
func (l *LoadTracker) raiseToView(now time.Time, hash EndpointHash, e *loadEstimate) {
	share := l.viewShare(now)
	if share == 0 {
		return
	}
	seen, found := l.view.engines[hash]
	if !found {
		return
	}
	e.inFlight = max(e.inFlight, int(float64(seen.InFlight)*share+0.5))
	e.pendingPrefill = max(e.pendingPrefill, time.Duration(float64(seen.PendingPrefill)*share))
	e.memoryTokens = max(e.memoryTokens, int(float64(seen.MemoryTokens)*share))
	e.slowdown = max(e.slowdown, seen.Slowdown)
}

// raiseDemandToView raises the other entries' demand to that in the view. It is not reduced: the
// demand of those that have reported is a part of the same sum, and the engines for short prompts
// would become too few while about half of the entries have reported.
func (l *LoadTracker) raiseDemandToView(now time.Time, others *Demand) {
	if l.viewShare(now) == 0 {
		return
	}
	for i := range l.view.demands {
		if d := &l.view.demands[i]; d.Service == others.Service {
			others.LongPrefill = max(others.LongPrefill, d.LongPrefill)
			others.ShortInFlight = max(others.ShortInFlight, d.ShortInFlight)
			others.PendingPrefill = max(others.PendingPrefill, d.PendingPrefill)
			others.QueuedPrefill = max(others.QueuedPrefill, d.QueuedPrefill)
			others.Long = others.Long.larger(d.Long)
			others.Short = others.Short.larger(d.Short)
		}
	}
}

// plus returns the sum of two demands.
func (d *Demand) plus(other *Demand) Demand {
	sum := Demand{
		Service: d.Service, LongPrefill: d.LongPrefill + other.LongPrefill, ShortInFlight: d.ShortInFlight + other.ShortInFlight,
		Long: d.Long, Short: d.Short,
		PendingPrefill: d.PendingPrefill + other.PendingPrefill, QueuedPrefill: d.QueuedPrefill + other.QueuedPrefill,
	}
	sum.Long.add(other.Long)
	sum.Short.add(other.Short)
	return sum
}

// ViewFor returns this entry's view for a requesting entry, without the load that the requester itself
// has reported. most bounds the number of engines: those in the requester's data centre come first, then
// the most loaded. It returns nil while this entry is starting itself: for viewReadyAfter, while it uses
// a view, or as long as it has other entries and heard none of them.
func (l *LoadTracker) ViewFor(now time.Time, startedAt time.Time, requester, dataCentre string, engines iter.Seq[*directory.EndpointState], most int) *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(startedAt) < viewReadyAfter || l.viewShare(now) > 0 {
		return nil
	}
	l.updatePendingPrefill(now)
	view, scale := l.sumDemands(now, requester)
	if view == nil {
		return nil
	}
	previous := l.peers[requester]
	for _, local := range []bool{true, false} {
		if len(view.Engines) == most {
			break // the other data centres need not be summed
		}
		list := make(topEngines, 0, 2*most)
		for e := range engines {
			if (e.DataCentre == dataCentre) != local {
				continue
			}
			if engine := l.viewEngine(now, e.Incarnation, previous, scale); engine != (ViewEngine{Endpoint: engine.Endpoint}) {
				list.add(engine, most)
			}
		}
		slices.SortFunc(list, byLoad)
		view.Engines = append(view.Engines, list[:min(most-len(view.Engines), len(list))]...)
	}
	return view
}

// topEngines collects the engines with the highest loads. It is reduced to those whenever it has become
// twice as long, because sorting all engines takes longer.
type topEngines []ViewEngine

func (list *topEngines) add(e ViewEngine, most int) {
	if len(*list) >= 2*most {
		slices.SortFunc(*list, byLoad)
		*list = (*list)[:most]
	}
	*list = append(*list, e)
}

// byLoad orders engines by load, highest first.
func byLoad(a, b ViewEngine) int {
	return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(b.PendingPrefill, a.PendingPrefill), cmp.Compare(a.Endpoint, b.Endpoint))
}

// viewEngine returns the load that all entries but the requester put on an engine. previous is the
// requester's own report and may be nil; scale is the number of entries for each one that has reported.
func (l *LoadTracker) viewEngine(now time.Time, incarnation directory.Incarnation, previous *peer, scale float64) ViewEngine {
	hash := HashEndpoint(incarnation)
	others := l.peerLoads[hash]
	if previous != nil {
		load := previous.loads[hash]
		others.InFlight, others.PendingPrefill, others.MemoryTokens = others.InFlight-load.InFlight, others.PendingPrefill-load.PendingPrefill, others.MemoryTokens-load.MemoryTokens
	}
	tracked := l.endpoints[incarnation]
	if tracked == nil {
		tracked = &trackedEndpoint{}
	}
	engine := ViewEngine{
		Endpoint: hash, InFlight: tracked.inFlight + int(float64(others.InFlight)*scale+0.5),
		PendingPrefill: tracked.pendingPrefill + time.Duration(float64(others.PendingPrefill)*scale),
		MemoryTokens:   tracked.memoryTokens + int(float64(others.MemoryTokens)*scale),
	}
	if slowdown := l.slowdown(now, tracked, hash); slowdown > 1 {
		engine.Slowdown = slowdown
	}
	return engine
}

// sumDemands returns a view without engines, and the number of entries for each one that has reported;
// nil if there are other entries of which none has. The requester's own reports do not count.
func (l *LoadTracker) sumDemands(now time.Time, requester string) (*View, float64) {
	heard, age := 0, time.Duration(0)
	sums := map[string]Demand{}
	for name, p := range l.peers {
		if now.Sub(p.receivedAt) > peerLoadTTL {
			l.removePeer(name)
			continue
		}
		if name == requester {
			continue
		}
		heard++
		age = max(age, now.Sub(p.receivedAt))
		for i := range p.demands {
			d := &p.demands[i]
			sum := sums[d.Service]
			sum.Service = d.Service
			sums[d.Service] = sum.plus(d)
		}
	}
	others := max(l.entryCount-2, heard) // without this entry and the requester
	if heard == 0 && others > 0 {
		return nil, 0
	}
	view := &View{Entries: heard + 1, Age: age}
	scale := float64(others) / float64(max(heard, 1))
	for service := range l.demands {
		if _, found := sums[service]; !found {
			sums[service] = Demand{Service: service}
		}
	}
	for service, sum := range sums {
		sum.scale(scale)
		own := l.ownDemand(now, service)
		view.Demands = append(view.Demands, own.plus(&sum))
	}
	slices.SortFunc(view.Demands, func(a, b Demand) int { return cmp.Compare(a.Service, b.Service) })
	return view, scale
}
