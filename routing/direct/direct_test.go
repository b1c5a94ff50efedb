package direct

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"aspenyard.example/directory"
)

var testNow = time.Now()

// siteEngine describes the engines of the users' sites.
func siteEngine() *directory.Engine {
	return &directory.Engine{Slots: 16, KVCacheTokens: 405_000, Stride: 34, ChunkTokens: 2048, StepTime: 1310 * time.Microsecond, PrefillTokensPerSecond: 154_000, AttentionTimePerMillionPairs: 162 * time.Microsecond}
}

func endpoints(n int) []*directory.EndpointState {
	list := make([]*directory.EndpointState, n)
	for i := range list {
		list[i] = &directory.EndpointState{Endpoint: directory.Endpoint{Incarnation: directory.Incarnation{ID: fmt.Sprintf("e-%02d", i)}, Service: "m", Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Slots: 16}, Position: i}
	}
	return list
}

func service() *directory.Service { return &directory.Service{Name: "m", Engine: siteEngine()} }

func newPolicy(seed uint64) *Policy {
	return NewPolicy(NewLoadTracker(), rand.New(rand.NewPCG(seed, 1)))
}

func prompt(tokens int) *Request {
	return &Request{Service: service(), PromptTokens: tokens, OutputTokens: 1000, Tried: map[directory.Incarnation]bool{}}
}

// Compares the prefill model with measured times: a pause between events is the 45 ms of a
// pass and the prefill in it (parts of 571, 789 and 820 ms gave pauses of 617, 834 and 866
// ms).
func TestPrefillTimeMatchesMeasurements(t *testing.T) {
	is := is.New(t)
	near := func(got time.Duration, want float64) bool {
		return got.Seconds() > want*0.99 && got.Seconds() < want*1.01
	}
	is.True(near(PrefillTime(siteEngine(), 4960), 0.0342))
	is.True(near(PrefillTime(siteEngine(), 182_000), 3.865))
	is.True(near(PrefillTime(siteEngine(), 276_614)/14, 0.571))
	is.True(near(PrefillTime(siteEngine(), 376_818)/17, 0.820))
	is.Equal(PrefillTime(nil, 1000), time.Duration(0))
}

// Guards against pauses that delay short streams when long prompts arrive beside many short
// ones: the parts of long prompts were prefilled on engines where short ones decode.
func TestShortAndLongPromptsUseDifferentEngines(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(20)
	for range 40 {
		p.tracker.Begin(testNow, p.Place(testNow, prompt(3000), list))
	}
	together := 0
	for i := range 6 {
		p.AddLongPrompt(testNow, service(), len(list), 150_000)
		long := p.Place(testNow.Add(time.Duration(i)*time.Millisecond), prompt(150_000), list)
		is.True(long.Long)
		for _, e := range append(long.Helpers, long.Endpoint) {
			if short := p.tracker.endpoints[e.Incarnation]; short != nil && short.inFlight > 0 {
				together++
			}
		}
		p.tracker.Begin(testNow, long).FinishPrefill()
	}
	before := map[directory.Incarnation]int{}
	for id, l := range p.tracker.endpoints {
		before[id] = l.inFlight
	}
	for range 20 {
		p.tracker.Begin(testNow, p.Place(testNow, prompt(3000), list))
	}
	onLong := 0
	for _, e := range list[10:] {
		onLong += p.tracker.endpoints[e.Incarnation].inFlight - before[e.Incarnation]
	}
	is.True(onLong <= 4) // of 20 that arrived after the long ones
}

// The boundary follows the mix: with long prompts only, short ones keep a tenth of the
// engines; with short ones only, long ones keep a third.
func TestTheBoundaryFollowsTheDemand(t *testing.T) {
	is := is.New(t)
	e := siteEngine()
	is.Equal(shortShare(Demand{}, e), 1-minLongShare)
	is.Equal(shortShare(Demand{LongPrefill: time.Minute}, e), minShortShare)
	is.Equal(shortShare(Demand{ShortInFlight: 100}, e), 1-minLongShare)
	half := shortShare(Demand{ShortInFlight: 80, LongPrefill: time.Duration(10 * 3 * maxLongUtilization * float64(time.Second))}, e)
	is.True(half > 0.45 && half < 0.55)
}

// Guards against long prompts finding short streams on half of the engines for seconds
// after the mix changes, because short requests were spread over all engines that they may
// take.
func TestShortPromptsFillFewEnginesWithinTheirShare(t *testing.T) {
	is := is.New(t)
	e := siteEngine()
	is.Equal(enginesForShort(Demand{}, e, 20, 1), 1)
	is.Equal(enginesForShort(Demand{ShortInFlight: 10}, e, 20, 1), 2)
	is.Equal(enginesForShort(Demand{ShortInFlight: 100}, e, 20, 1), 11)
	is.Equal(enginesForShort(Demand{ShortInFlight: 1000}, e, 20, 1), 13) // maxShortEngines
	is.Equal(enginesForShort(Demand{ShortInFlight: 100, LongPrefill: time.Minute}, e, 20, 1), 7)
	is.Equal(enginesForShort(Demand{ShortInFlight: 1000}, e, 1, 1), 1)
}

// Guards against short prompts missing their targets on a lightly loaded site with ten
// times as many engines as entries: short prompts kept to a few engines, where those of
// several entries shared passes.
func TestEachEntryHasAnEngineForShortPromptsWhereEnginesAbound(t *testing.T) {
	is := is.New(t)
	e := siteEngine()
	is.Equal(enginesForShort(Demand{ShortInFlight: 10}, e, 320, 33), 33)
	is.Equal(enginesForShort(Demand{ShortInFlight: 10}, e, 80, 22), 10) // engines do not abound
	is.Equal(enginesForShort(Demand{ShortInFlight: 1000}, e, 320, 33), 95)
}

// Guards against entries dividing the engines differently: each sees only a few long
// prompts of its own, so the demand of the other entries must count too.
func TestOtherEntriesDemandCounts(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker()
	l.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", LongPrefill: 9 * time.Second, ShortInFlight: 4, PendingPrefill: time.Second, QueuedPrefill: 2 * time.Second}}, nil)
	l.ReplacePeerLoad(testNow, "c", []Demand{{Service: "m", LongPrefill: time.Second}, {Service: "other", ShortInFlight: 50}}, nil)
	sum := l.totalDemand(testNow, "m")
	is.Equal(sum.LongPrefill, 10*time.Second)
	is.Equal(sum.ShortInFlight, 4)
	is.Equal(sum.PendingPrefill+sum.QueuedPrefill, 3*time.Second)
	is.Equal(l.totalDemand(testNow.Add(2*peerLoadTTL), "m").LongPrefill, time.Duration(0)) // entries without a report within peerLoadTTL are removed
	is.Equal(len(l.peerLoads), 0)
}

// Guards against other entries not learning of a long prompt's pending prefill when it is
// an entry's first request: an entry reported only services for which it had had a short
// request.
func TestFirstLongPromptOfAnEntryIsReported(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	p.tracker.Begin(testNow, p.Place(testNow, prompt(150_000), endpoints(20)))
	demands := p.tracker.Demands(testNow)
	is.Equal(len(demands), 1)
	is.True(demands[0].PendingPrefill > time.Second)
}

// Operators see how many of the other entries reported, and how old the reports are.
func TestPeerStatusReportsCoverageAndAge(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker()
	is.Equal(l.PeerStatus(testNow), PeerStatus{})
	l.SetEntryCount(5)
	l.ReplacePeerLoad(testNow.Add(-2*peerLoadTTL), "a", nil, nil)
	l.ReplacePeerLoad(testNow.Add(-300*time.Millisecond), "b", nil, nil)
	l.UpdatePeerLoad(testNow.Add(-100*time.Millisecond), "c", nil, nil)
	is.Equal(l.PeerStatus(testNow), PeerStatus{Peers: 4, Heard: 2, OldestAge: 300 * time.Millisecond, MeanAge: 200 * time.Millisecond})
}

func TestEndpointsUsedByOtherEntriesAreAvoided(t *testing.T) {
	is := is.New(t)
	p := newPolicy(3)
	list := endpoints(4)
	var loads []EndpointLoad
	for _, e := range list[:3] {
		loads = append(loads, EndpointLoad{Endpoint: HashEndpoint(e.Incarnation), InFlight: 8})
	}
	p.tracker.SetEntryCount(3)
	p.tracker.ReplacePeerLoad(testNow, "b", nil, loads) // only one of the two others has reported
	for range 20 {
		is.Equal(p.Place(testNow, prompt(1000), list).Endpoint.ID, list[3].ID)
	}
	inFlight := p.tracker.estimate(testNow, list[0].Incarnation).inFlight
	is.Equal(inFlight, 16)
}

// Partial updates from another entry add up to the same as one full update, and nothing
// remains when the entry stops reporting.
func TestPartialUpdatesAddUpToAFullUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, full := NewLoadTracker(), NewLoadTracker()
		state := map[EndpointHash]EndpointLoad{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			load := EndpointLoad{EndpointHash(rapid.IntRange(0, 5).Draw(t, "endpoint")), rapid.IntRange(0, 3).Draw(t, "in flight"), time.Duration(rapid.IntRange(0, 2).Draw(t, "pending prefill")), rapid.IntRange(0, 2).Draw(t, "memory"), StreamCounts{3: int16(rapid.IntRange(0, 2).Draw(t, "streams"))}}
			state[load.Endpoint] = load
			l.UpdatePeerLoad(testNow, "b", nil, []EndpointLoad{load})
		}
		var all []EndpointLoad
		for _, load := range state {
			all = append(all, load)
		}
		full.ReplacePeerLoad(testNow, "b", nil, all)
		if fmt.Sprint(l.peerLoads) != fmt.Sprint(full.peerLoads) {
			t.Fatalf("partial updates %v, full update %v", l.peerLoads, full.peerLoads)
		}
		l.totalDemand(testNow.Add(2*peerLoadTTL), "m")
		if len(l.peerLoads) != 0 {
			t.Fatalf("%v remain after the last report expired", l.peerLoads)
		}
	})
}

// Guards against short prompts of many entries sharing a few engines and missing their
// targets. Before entries learn of each other's requests, all place prompts by the same
// view and would all pick the engine with the least to do.
func TestManyEntriesDoNotPickTheSameEngine(t *testing.T) {
	is := is.New(t)
	list := endpoints(78)
	busiest := func(entries int) int {
		placed := map[string]int{}
		for entry := range entries {
			p := newPolicy(uint64(entry))
			p.tracker.SetEntryCount(entries)
			var loads []EndpointLoad
			for n, e := range list {
				loads = append(loads, EndpointLoad{Endpoint: HashEndpoint(e.Incarnation), InFlight: 1, PendingPrefill: time.Duration(n) * time.Millisecond})
			}
			p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 400}}, loads)
			placed[p.Place(testNow, prompt(3000), list).Endpoint.ID]++
		}
		most := 0
		for _, n := range placed {
			most = max(most, n)
		}
		return most
	}
	is.True(busiest(27) <= 4)
}

// The parts of a long prompt go to engines where nothing decodes, even if these have a
// little more pending prefill.
func TestPartsOfLongPromptsAvoidEnginesInUse(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(40)
	p.tracker.SetEntryCount(2)
	var loads []EndpointLoad
	for i, e := range list {
		load := EndpointLoad{Endpoint: HashEndpoint(e.Incarnation), PendingPrefill: 40 * time.Millisecond}
		if i%2 == 0 {
			load.InFlight, load.PendingPrefill = 1, 0
		}
		loads = append(loads, load)
	}
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", LongPrefill: 100 * time.Second}}, loads)
	plan := p.Place(testNow, prompt(250_000), list)
	used := 0
	for _, e := range append(plan.Helpers, plan.Endpoint) {
		inFlight := p.tracker.estimate(testNow, e.Incarnation).inFlight
		used += inFlight
	}
	is.Equal(used, 0)
}

func TestPlaceSkipsEndpointsThatCannotServe(t *testing.T) {
	is := is.New(t)
	list := endpoints(5)
	list[0].MissingSince = testNow
	p := newPolicy(4)
	p.tracker.SetUnreachable(list[1].Incarnation, true)
	p.tracker.Avoid(list[2].Incarnation, testNow.Add(time.Second))
	r := prompt(1000)
	r.Tried[list[3].Incarnation] = true
	for range 20 {
		is.Equal(p.Place(testNow, r, list).Endpoint.ID, list[4].ID)
	}
	r.Tried[list[4].Incarnation] = true
	is.True(p.Place(testNow, r, list) != nil) // an avoided endpoint is better than none
	for _, e := range list {
		r.Tried[e.Incarnation] = true
	}
	is.True(p.Place(testNow, r, list) == nil)
	is.True(p.Place(testNow.Add(2*time.Second), prompt(1000), nil) == nil)
}

func TestAPromptOverOneEnginesMemoryIsSpread(t *testing.T) {
	is := is.New(t)
	p := newPolicy(5)
	plan := p.Place(testNow, prompt(500_000), endpoints(23))
	is.Equal(len(plan.Helpers), 16)
	is.True(plan.EndpointMemoryTokens+plan.ReservingHelpers*plan.HelperMemoryTokens >= plan.MemoryTokens)
	is.True(plan.EndpointMemoryTokens+(plan.ReservingHelpers-1)*plan.HelperMemoryTokens >= plan.MemoryTokens) // also enough if one helper refuses
	is.True(plan.EndpointMemoryTokens <= maxSingleEngineMemory(siteEngine()))
	p.tracker.ReplacePeerLoad(testNow, "b", nil, loadsOf(endpoints(23), 2))
	is.True(p.Place(testNow, prompt(500_000), endpoints(23)).Overloaded) // all engines are in use
}

// streamsAllowing returns the counts of the given number of requests that allow the pause.
func streamsAllowing(pause time.Duration, count int) StreamCounts {
	var s StreamCounts
	s[PauseClass(pause)] = int16(count)
	return s
}

// loadsOf returns a load of the given number of requests for each endpoint.
func loadsOf(list []*directory.EndpointState, count int) []EndpointLoad {
	return sameLoad(list, EndpointLoad{InFlight: count, Streams: streamsAllowing(250*time.Millisecond, count)})
}

// Guards against a quarter of the long prompts being refused while engines have capacity.
// The mix leaves long prompts a third of the engines, on which the longest of them would
// have parts of over 0.7 s, and they got no engine beyond the boundary.
func TestALongPromptTakesMoreEnginesUnderLowLoad(t *testing.T) {
	is := is.New(t)
	p := newPolicy(6)
	list := endpoints(23)
	for range 3 {
		p.tracker.Begin(testNow, p.Place(testNow, prompt(3000), list))
	}
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 160, LongPrefill: 17 * time.Second}}, loadsOf(list[:4], 9))
	plan := p.Place(testNow, prompt(250_000), list)
	is.True(!plan.Overloaded)
	is.True(plan.PartPrefill <= longestPart(service()))
	is.True(len(plan.Helpers) >= 8)
	for _, e := range append(plan.Helpers, plan.Endpoint) {
		is.True(p.tracker.peerLoads[HashEndpoint(e.Incarnation)].InFlight == 0) // those with the fewest requests in flight
	}
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 160, LongPrefill: 17 * time.Second}}, loadsOf(list, 9))
	is.True(p.Place(testNow, prompt(250_000), list).Overloaded)
}

// Whatever requests start and end in whatever order, the tracker ends with no load.
func TestTrackerEndsWithoutLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPolicy(rapid.Uint64().Draw(t, "seed"))
		list := endpoints(rapid.IntRange(1, 25).Draw(t, "engines"))
		var requests []*RequestLoad
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(requests) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(requests)-1).Draw(t, "which")
				if rapid.Bool().Draw(t, "prefilled") {
					requests[i].FinishPrefill()
				}
				requests[i].End()
				requests = append(requests[:i], requests[i+1:]...)
				continue
			}
			plan := p.Place(testNow, prompt(rapid.IntRange(1, 900_000).Draw(t, "tokens")), list)
			if plan.Overloaded {
				continue
			}
			seen := map[string]bool{plan.Endpoint.ID: true}
			for _, h := range plan.Helpers {
				if seen[h.ID] {
					t.Fatal("a plan uses an engine twice")
				}
				seen[h.ID] = true
			}
			requests = append(requests, p.tracker.Begin(testNow, plan))
		}
		for _, r := range requests {
			r.End()
		}
		for id, l := range p.tracker.endpoints {
			if l.inFlight != 0 || l.pendingPrefill != 0 || l.memoryTokens != 0 || l.streams != (StreamCounts{}) {
				t.Fatalf("%s: %+v", id, *l)
			}
		}
		if p.tracker.shortInFlight["m"] != 0 || p.tracker.pendingPrefill["m"] != 0 {
			t.Fatal("short requests in flight or pending prefill of long prompts remain")
		}
	})
}

func TestShorterPromptsHaveAHigherPriority(t *testing.T) {
	is := is.New(t)
	is.True(EnginePriority(1000, 1) < EnginePriority(20_000, 1))
	is.True(EnginePriority(20_000, 1) < EnginePriority(80_000, 1))
	is.True(EnginePriority(80_000, 1) < EnginePriority(200_000, 1))
	is.True(EnginePriority(1000, 1) < EnginePriority(1000, 2))
	is.True(EnginePriority(900_000, 9) <= lowestPriority)
}

// Guards against a prompt with 0.4 s of prefill starting only after 3 to 5 s. An engine's
// memory holds one long prompt, and two entries each send it one; an entry knew only
// the memory that its own requests need, and the engine made the second wait until the
// first had ended.
func TestALongPromptGoesWhereMemoryIsFree(t *testing.T) {
	is := is.New(t)
	list := endpoints(12)
	p := newPolicy(1)
	p.tracker.SetEntryCount(2)
	var loads []EndpointLoad
	for i, e := range list {
		load := EndpointLoad{Endpoint: HashEndpoint(e.Incarnation), InFlight: 1, MemoryTokens: 210_000}
		if i == 11 {
			load.PendingPrefill, load.MemoryTokens = 200*time.Millisecond, 20_000 // free memory, and the most to prefill
		}
		loads = append(loads, load)
	}
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", LongPrefill: 9 * time.Second}}, loads)
	plan := p.Place(testNow, prompt(200_000), list)
	is.Equal(plan.Endpoint.Incarnation, list[11].Incarnation)
	p.tracker.Begin(testNow, plan)
	is.True(p.Place(testNow, prompt(190_000), list).Endpoint.Incarnation != list[11].Incarnation) // the entry's own requests count too
}

// Guards against pauses of short streams caused by prompts that need more memory than one
// engine has: most delayed short streams paused for a part of 150 ms or more of such a
// prompt. Those prompts were prefilled on any 17 engines, including those for short
// prompts. Keeping them off raised what short streams score with 21 engines from 0.72 of
// the possible value to 0.85.
func TestAPromptOverOneEnginesMemoryUsesEnginesForLongPrompts(t *testing.T) {
	is := is.New(t)
	p := newPolicy(2)
	list := endpoints(21)
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 60, LongPrefill: 15 * time.Second}}, loadsOf(list[:9], 7))
	boundary := p.boundary(testNow, service(), len(list))
	own := map[directory.Incarnation]bool{}
	for _, e := range list[:boundary] {
		own[e.Incarnation] = true
	}
	plan := p.Place(testNow, prompt(380_000), list)
	is.True(plan.HelperMemoryTokens > 0)
	for _, e := range append(plan.Helpers, plan.Endpoint) {
		is.True(!own[e.Incarnation])
	}
	is.True(plan.EndpointMemoryTokens+plan.ReservingHelpers*plan.HelperMemoryTokens >= plan.MemoryTokens)
}

// Memory needs determine the least number of engines that a prompt is spread over.
func TestAPromptHasAsManyEnginesAsItsMemoryNeeds(t *testing.T) {
	is := is.New(t)
	e := siteEngine()
	is.Equal(enginesForMemory(e, 200_000), 1)
	is.Equal(enginesForMemory(e, 300_000), 2)
	is.Equal(enginesForMemory(e, 400_000), 3)
	is.Equal(enginesForMemory(e, 900_000), 5)
	p := newPolicy(2)
	list := endpoints(6) // two of them for long prompts
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 400}}, nil)
	plan := p.Place(testNow, prompt(500_000), list)
	is.Equal(len(plan.Helpers), 5)
}

// Guards against pauses of over 600 ms for prompts of 45,000 tokens. Their parts are spread
// over engines for short and for long prompts, and they decoded where most memory was free:
// on an engine for long prompts, which soon gets the next part of one.
func TestAShortPromptInPartsDecodesOnAnEngineForShortPrompts(t *testing.T) {
	is := is.New(t)
	p := newPolicy(3)
	list := endpoints(21)
	loads := loadsOf(list[:4], 6)
	for i := range loads {
		loads[i].MemoryTokens = 40_000
	}
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 20, LongPrefill: 40 * time.Second}}, loads)
	boundary := p.boundary(testNow, service(), len(list))
	plan := p.Place(testNow, prompt(60_000), list)
	is.True(!plan.Long && len(plan.Helpers) > boundary)
	is.True(slices.Contains(list[:boundary], plan.Endpoint))
}

// Guards against pauses of over 250 ms for short streams with no part of a long prompt
// near. Prompts of 30,000 to 90,000 tokens arrive eight times a second, and three or four
// of their 55 ms parts share a pass. All their parts went to engines for short prompts,
// though the streams on those for long prompts allow pauses of a second.
func TestPartsOfShortPromptsAvoidEnginesForShortPrompts(t *testing.T) {
	is := is.New(t)
	p := newPolicy(3)
	list := endpoints(21)
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 60, LongPrefill: 20 * time.Second}}, loadsOf(list[:8], 6))
	boundary := p.boundary(testNow, service(), len(list))
	plan := p.Place(testNow, prompt(60_000), list)
	is.True(!plan.Long && len(plan.Helpers) > 0 && len(plan.Helpers) <= len(list)-boundary)
	is.True(slices.Contains(list[:boundary], plan.Endpoint))
	for _, h := range plan.Helpers {
		is.True(!slices.Contains(list[:boundary], h))
	}
}

// Guards against delayed short streams whenever the mix turns to long prompts: some short
// prompts were sent to engines for long prompts, where they still decoded when long prompts
// arrived, while engines for short ones had free slots.
func TestShortPromptsFillTheirOwnEnginesFirst(t *testing.T) {
	is := is.New(t)
	p := newPolicy(4)
	list := endpoints(21)
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 200, LongPrefill: 4 * time.Second}}, loadsOf(list[:14], 14))
	for range 14 {
		plan := p.Place(testNow, prompt(3000), list)
		is.True(slices.Contains(list[:14], plan.Endpoint))
		p.tracker.Begin(testNow, plan)
	}
}

// A short prompt avoids an engine whose memory is full, however little it has to do,
// whether the prompt is prefilled on one engine or in parts on all of them.
func TestAShortPromptAvoidsFullMemory(t *testing.T) {
	is := is.New(t)
	p := newPolicy(5)
	list := endpoints(4)
	loads := loadsOf(list, 9)
	for i := range loads {
		loads[i].PendingPrefill = 400 * time.Millisecond
	}
	loads[0] = EndpointLoad{Endpoint: loads[0].Endpoint, InFlight: 1, MemoryTokens: 404_000}
	p.tracker.ReplacePeerLoad(testNow, "b", nil, loads)
	for range 10 {
		is.True(p.Place(testNow, prompt(3000), list).Endpoint.Incarnation != list[0].Incarnation)
		parts := p.Place(testNow, prompt(60_000), list)
		is.True(len(parts.Helpers) == 3 && parts.Endpoint.Incarnation != list[0].Incarnation)
	}
}

// Guards against parts that are too long or too short at a site whose routes allow other
// pauses: the limits were constants in milliseconds that suited a single site.
func TestPartsFollowThePausesThatRoutesAllow(t *testing.T) {
	is := is.New(t)
	s := service()
	is.Equal(partTarget(s), 60*time.Millisecond)
	is.Equal(longestPart(s), 700*time.Millisecond)
	s.MinTargetPause, s.MaxTargetPause = 500*time.Millisecond, 2*time.Second
	is.Equal(partTarget(s), 120*time.Millisecond)
	is.Equal(longestPart(s), 1400*time.Millisecond)
	r := prompt(60_000)
	narrow := placeIdle(r)
	r.Service = s
	is.True(len(placeIdle(r).Helpers) < len(narrow.Helpers))
	is.True(IsLongPrompt(service(), 100_000) && !IsLongPrompt(s, 100_000))
}

// placeIdle places a request while no engine has any load.
func placeIdle(r *Request) *Plan { return newPolicy(1).Place(testNow, r, endpoints(20)) }
