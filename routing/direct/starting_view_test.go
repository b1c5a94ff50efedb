package direct

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Compares the use of a view with a plain reference: for each engine the larger of what the entries that
// have sent full reports make up, scaled to all, and of the view, reduced to the others. Guards against
// loads that count twice, a view that outlives its need or its age, and reports of changes that count as
// full ones.
func TestAViewStandsInForEntriesThatAreNotHeard(t *testing.T) {
	list := endpoints(3)
	rapid.Check(t, func(t *rapid.T) {
		const others = 5
		l := NewLoadTracker()
		l.SetEntryCount(others + 1)
		view := &View{Entries: others, Age: time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")) * time.Millisecond}
		inView := make([]int, len(list))
		for i, e := range list {
			inView[i] = rapid.IntRange(0, 40).Draw(t, "in view")
			view.Engines = append(view.Engines, ViewEngine{Endpoint: HashEndpoint(e.Incarnation), InFlight: inView[i]})
		}
		view.Demands = []Demand{{Service: "m", ShortInFlight: 50}}
		if !view.Valid() || !l.UseView(testNow, view) {
			t.Fatal("a valid view is not used")
		}
		full, partial := map[string][]int{}, map[string]bool{}
		for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
			now := testNow.Add(time.Duration(step) * 50 * time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(1, others).Draw(t, "entry"))
			if rapid.Bool().Draw(t, "full") {
				var loads []EndpointLoad
				full[name] = make([]int, len(list))
				for i, e := range list {
					full[name][i] = rapid.IntRange(0, 10).Draw(t, "load")
					loads = append(loads, EndpointLoad{Endpoint: HashEndpoint(e.Incarnation), InFlight: full[name][i]})
				}
				l.ReplacePeerLoad(now, name, nil, loads)
			} else {
				l.UpdatePeerLoad(now, name, nil, nil)
				partial[name] = true
			}
			heard := len(full)
			for name := range partial {
				if full[name] == nil {
					heard++ // counts for the scale as before
				}
			}
			for i, e := range list {
				sum := 0
				for _, loads := range full {
					sum += loads[i]
				}
				want := int(float64(sum)*float64(others)/float64(heard) + 0.5)
				if missing := others - len(full); missing > 0 {
					want = max(want, int(float64(inView[i])*float64(missing)/others+0.5))
				}
				if got := l.estimate(now, e.Incarnation).inFlight; got != want {
					t.Fatalf("engine %d: %d in flight instead of %d with %d of %d heard", i, got, want, len(full), others)
				}
			}
			if got := l.totalDemand(now, "m").ShortInFlight == 50; got != (len(full) < others) {
				t.Fatal("the demand of the view is not used while entries are missing, or is used later")
			}
		}
		outdated := testNow.Add(viewTTL - view.Age + time.Millisecond)
		if l.viewShare(outdated) != 0 {
			t.Fatal("an outdated view is used")
		}
	})
}

// Guards against a view that lacks an entry, contains the requester's own requests of before its restart,
// or leaves out the engines that the requester needs first.
func TestAViewSumsAllEntriesButTheRequester(t *testing.T) {
	is := is.New(t)
	list := endpoints(4)
	list[3].DataCentre = "near"
	l := NewLoadTracker()
	l.SetEntryCount(6) // this one, the requester, two that are heard and two that are not
	load := func(i, inFlight int) EndpointLoad {
		return EndpointLoad{Endpoint: HashEndpoint(list[i].Incarnation), InFlight: inFlight, PendingPrefill: time.Duration(inFlight) * time.Millisecond, MemoryTokens: 1000 * inFlight}
	}
	started := testNow.Add(-viewReadyAfter)
	viewFor := func(most int) *View {
		return l.ViewFor(testNow, started, "asks", "near", slices.Values(list), most)
	}
	is.True(viewFor(10) == nil) // it has heard none
	l.ReplacePeerLoad(testNow.Add(-300*time.Millisecond), "a", []Demand{{Service: "m", ShortInFlight: 3}}, []EndpointLoad{load(0, 4), load(3, 1)})
	l.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 2}}, []EndpointLoad{load(1, 5)})
	l.ReplacePeerLoad(testNow, "asks", []Demand{{Service: "m", ShortInFlight: 100}}, []EndpointLoad{load(0, 50), load(2, 50)})
	l.Begin(testNow, &Plan{Endpoint: list[1]})
	l.SetSlowdown(testNow, list[2].Incarnation, 2)
	view := viewFor(10)
	is.True(view.Valid())
	is.Equal(view.Entries, 3)
	is.Equal(view.Age, 300*time.Millisecond)
	is.Equal(view.Demands, []Demand{{Service: "m", ShortInFlight: 2*(3+2) + 1}})
	ms := time.Millisecond
	is.Equal(view.Engines, []ViewEngine{
		{HashEndpoint(list[3].Incarnation), 2, 2 * ms, 2000, 0}, {HashEndpoint(list[1].Incarnation), 11, 10 * ms, 10_000, 0},
		{HashEndpoint(list[0].Incarnation), 8, 8 * ms, 8000, 0}, {HashEndpoint(list[2].Incarnation), 0, 0, 0, 2},
	})
	is.Equal(viewFor(2).Engines, view.Engines[:2])
	is.True(l.ViewFor(testNow, started.Add(time.Millisecond), "asks", "near", slices.Values(list), 10) == nil) // it is starting itself
	is.True(l.UseView(testNow, &View{Entries: 4}))
	is.True(viewFor(10) == nil) // it uses a view itself
}

// Guards against a damaged view that distorts the placement.
func TestImpossibleViewsAreInvalid(t *testing.T) {
	is := is.New(t)
	valid := View{Entries: 3, Engines: []ViewEngine{{Endpoint: 1, InFlight: 2}}}
	is.True(valid.Valid())
	for _, v := range []View{
		{}, {Entries: maxViewEntries + 1}, {Entries: 3, Age: -1}, {Entries: 3, Engines: []ViewEngine{{Endpoint: 1}, {Endpoint: 1}}},
		{Entries: 3, Engines: []ViewEngine{{InFlight: maxViewInFlight + 1}}}, {Entries: 3, Engines: []ViewEngine{{PendingPrefill: maxViewPrefill + 1}}},
		{Entries: 3, Engines: []ViewEngine{{MemoryTokens: -1}}}, {Entries: 3, Engines: []ViewEngine{{Slowdown: 0.5}}},
		{Entries: 3, Demands: []Demand{{ShortInFlight: maxViewShort + 1}}}, {Entries: 3, Demands: []Demand{{QueuedPrefill: maxViewDemand + 1}}},
	} {
		is.True(!v.Valid())
	}
}

// Guards against a starting entry that asks one entry again, asks too many or too soon, or goes on after
// it has a view or has heard the others.
func TestViewRequestsAskOneEntryAfterTheOther(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	names := []string{"a", "b", "c", "d", "e", "f"}
	var r ViewRequests
	_, ask := r.Next(testNow, nil, 0, random)
	is.True(!ask) // the registrations are not known yet
	now, asked := testNow, map[string]bool{}
	for range maxViewRequests {
		name, ask := r.Next(now, names, 0, random)
		is.True(ask && !asked[name])
		asked[name] = true
		_, ask = r.Next(now.Add(ViewResponseWait-1), names, 0, random)
		is.True(!ask)
		is.True(!r.Unanswered(now, len(names)))
		now = now.Add(ViewResponseWait)
	}
	_, ask = r.Next(now, names, 0, random)
	is.True(!ask)
	is.True(r.Unanswered(now, len(names)))
	is.True(!r.Unanswered(now, len(names)))
	for _, name := range names {
		is.Equal(r.Awaits(name), asked[name])
	}
	var heard ViewRequests
	_, ask = heard.Next(now, names, 3, random)
	is.True(!ask)
	var closed ViewRequests
	closed.Close()
	_, ask = closed.Next(now, names, 0, random)
	is.True(!ask)
}

// Guards against entries that spend their time on views when many others start.
func TestViewsAreBounded(t *testing.T) {
	is := is.New(t)
	var b ViewBudget
	sent := 0
	for i := range 100 {
		if b.Take(testNow.Add(time.Duration(i) * 9 * time.Millisecond)) {
			sent++
		}
	}
	is.Equal(sent, maxViewsPerSecond)
	is.True(b.Take(testNow.Add(time.Second)))
}

// BenchmarkViewFor measures the view of 10,000 engines in nine data centres at an entry that hears 100 of
// 3,800.
func BenchmarkViewFor(b *testing.B) {
	list := endpoints(10_000)
	for i, e := range list {
		e.DataCentre = fmt.Sprint("dc", i%9)
	}
	l := NewLoadTracker()
	l.SetEntryCount(3800)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 100 {
		var loads []EndpointLoad
		for range 40 {
			loads = append(loads, EndpointLoad{Endpoint: HashEndpoint(list[random.IntN(len(list))].Incarnation), InFlight: 1 + random.IntN(3)})
		}
		l.ReplacePeerLoad(testNow, fmt.Sprint(i), []Demand{{Service: "m", ShortInFlight: 60}}, loads)
	}
	for b.Loop() {
		if l.ViewFor(testNow, testNow.Add(-time.Hour), "asks", "dc1", slices.Values(list), 175) == nil {
			b.Fatal("no view")
		}
	}
}

// BenchmarkUseView measures a view's use by a starting entry, and the estimate of a load with it.
func BenchmarkUseView(b *testing.B) {
	view := &View{Entries: 3799}
	list := endpoints(175)
	for _, e := range list {
		view.Engines = append(view.Engines, ViewEngine{Endpoint: HashEndpoint(e.Incarnation), InFlight: 10})
	}
	l := NewLoadTracker()
	b.Run("use", func(b *testing.B) {
		for b.Loop() {
			if !view.Valid() || !l.UseView(testNow, view) {
				b.Fatal("not used")
			}
		}
	})
	b.Run("estimate", func(b *testing.B) {
		for b.Loop() {
			l.estimate(testNow, list[0].Incarnation)
		}
	})
}
