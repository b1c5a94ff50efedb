package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/admission"
)

// Guards against engines that are kept for long prompts which are not admitted, and against engines
// that change to long prompts while short streams still decode there.
func TestTheDivisionFollowsWhatIsAdmittedWhileCapacityIsScarce(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	p.tracker.SetRank(0, 1)
	s := service()
	p.AddLongPrompt(testNow, s, 20, 600_000) // before capacity was scarce
	p.tracker.shortInFlight["m"] = 1000
	before := p.boundary(testNow, s, 20)
	is.True(before < 14) // a third of the engines is kept for long prompts
	p.tracker.SetScarce("m", true)
	is.Equal(p.boundary(testNow, s, 20), 20)
	p.AddLongPrompt(testNow, s, 20, 150_000)
	kept := 20 - p.boundary(testNow, s, 20)
	is.True(kept >= 1 && kept <= 4)
	p.tracker.shortInFlight["m"] = 10
	is.Equal(20-p.boundary(testNow.Add(shortHold/2), s, 20), kept)
	is.True(p.boundary(testNow.Add(2*shortHold), s, 20) < 5)
	p.tracker.SetScarce("m", false)
	p.tracker.shortInFlight["m"] = 1000
	is.True(p.boundary(testNow.Add(2*shortHold), s, 20) < 14)
}

// Guards against one long prompt that makes a hundred more urgent streams late, because it needs the
// memory of a few engines and was prefilled on seventeen.
func TestALongPromptDelaysFewStreamsWhileCapacityIsScarce(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(20)
	p.tracker.ReplacePeerLoad(testNow, "other", nil, loadsOf(list, 10))
	r := prompt(siteEngine().KVCacheTokens)
	plan := p.Place(testNow, r, list)
	is.True(len(plan.Helpers) > 10)
	p.tracker.SetScarce("m", true)
	p.tracker.shortInFlight["m"] = 1000
	plan = p.Place(testNow, r, list)
	is.True(plan.Overloaded)
	is.True(len(plan.Helpers) < 5)
	p.tracker.shortInFlight["m"] = 0
	later := testNow.Add(2 * shortHold)
	p.tracker.ReplacePeerLoad(later, "other", nil, loadsOf(list, 10))
	is.True(p.Place(later, prompt(200_000), list).Overloaded) // its parts fit into the longest pauses
	p.tracker.SetScarce("m", false)
	is.True(!p.Place(later, prompt(200_000), list).Overloaded)
}

// Guards against parts of less urgent prompts that move to the engines for short prompts as soon as the
// others have something to prefill.
func TestPartsStayOffEnginesForShortPromptsWhileCapacityIsScarce(t *testing.T) {
	is := is.New(t)
	is.Equal(newPolicy(1).shortPoolCost("m"), otherPoolCost)
	p := newPolicy(1)
	p.tracker.SetScarce("m", true)
	is.Equal(p.shortPoolCost("m"), scarceShortPoolCost)
}

// Guards against entries that all send prompts to the engine which is the cheapest in reports of 100 ms ago,
// where they wait for memory while other engines have it; and against any change while memory is ample
// or the routes do not differ in priority.
func TestPromptsAreSpreadWhileMemoryIsShort(t *testing.T) {
	is := is.New(t)
	memory := siteEngine().KVCacheTokens
	endpointsOf := func(spread bool, tokens, used int) map[string]int {
		p, list, picked := newPolicy(1), endpoints(60), map[string]int{}
		loads := sameLoad(list, EndpointLoad{InFlight: 6, MemoryTokens: used})
		loads[0].MemoryTokens -= memory / 50 // the cheapest for short prompts
		loads[58].MemoryTokens -= memory / 50
		loads[59].MemoryTokens = memory - tokens
		p.tracker.ReplacePeerLoad(testNow, "other", []Demand{{Service: "m", ShortInFlight: 60, LongPrefill: 30 * time.Second}}, loads)
		for range 200 {
			r := prompt(tokens)
			r.SpreadMemory = spread
			picked[p.Place(testNow, r, list).Endpoint.ID]++
		}
		return picked
	}
	picked := endpointsOf(true, memory/8, memory*2/3) // split on a few engines
	is.True(len(picked) > 10)
	is.Equal(picked["e-59"], 0) // it has room for none
	is.Equal(len(endpointsOf(true, memory/8, memory/20)), 1)
	is.Equal(len(endpointsOf(false, memory/8, memory*2/3)), 1) // a service whose routes have one priority
}

// Guards against estimates of what requests need that are far from what engines do: an engine with
// all slots taken serves as many requests a second as fit into a second of its time.
func TestEngineTimeCountsPrefillDecodingAndMemory(t *testing.T) {
	is := is.New(t)
	e := siteEngine()
	short := EngineTime(e, 5000, 30)
	passes := 30 * DecodeTime(e, e.Slots, 5000)
	is.Equal(short, PrefillTime(e, 5000)+passes/time.Duration(e.Slots))
	is.True(EngineTime(e, 5000, 60) > short)
	is.True(EngineTime(e, 100_000, 30) > 5*short)
	memory := EngineMemory(e, e.KVCacheTokens/4, e.KVCacheTokens/3, 1000) // a third of it, for 1000 passes
	is.True(memory > 1000*PassTime(e)/4 && memory < 1000*PassTime(e)/2)
	is.True(EngineMemory(e, e.KVCacheTokens, e.KVCacheTokens, 1000) > 1000*PassTime(e)) // helpers reserve more
	is.True(EngineMemory(e, 5000, 6300, 30) < short/2)                                  // a short prompt takes slots, and little memory
	is.Equal(EngineMemory(nil, 5000, 6300, 30), time.Duration(0))
	is.Equal(EngineTime(nil, 5000, 30), time.Duration(0))
}

// Guards against capacity that counts engines which cannot be sent requests, or counts slow ones in full.
func TestEngineStatesLeaveOutUnusableEngines(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(4)
	p.tracker.SetUnreachable(list[0].Incarnation, true)
	p.tracker.SetSlowdown(testNow, list[1].Incarnation, 4)
	p.tracker.Begin(testNow, &Plan{Endpoint: list[2], PartPrefill: time.Second, EndpointMemoryTokens: 1000})
	states := p.EngineStates(testNow, service(), list)
	is.Equal(len(states), 3)
	is.Equal(states[0].Slowdown, 4.0)
	is.Equal(states[1].InFlight, 1)
	is.Equal(states[1].PendingPrefill, time.Second)
	is.Equal(states[1].MemoryTokens, 1000)
	is.Equal(states[2].Slowdown, 1.0)
}

// BenchmarkAdmission measures a decision with the shares at hand, and computing these for a number of
// engines. A hundred entries report five tiers with eight client accounts each, half of which are not
// granted all.
func BenchmarkAdmission(b *testing.B) {
	for _, engines := range []int{60, 1000, 10_000} {
		p, list, now := newPolicy(1), endpoints(engines), testNow
		c := admission.NewController(admission.DefaultControllerConfig(), "e")
		c.SetEntries(3800)
		for i := range 100 {
			c.Merge(now, fmt.Sprint(i), benchmarkReports(i, float64(engines)/3800), true)
		}
		a := &admission.Arrival{Service: "m", Tier: 16, Account: "a", Kind: "short"}
		SetPromptCost(a, siteEngine(), 5000, 1300, 30, 250*time.Millisecond)
		states := func() []admission.EngineState { return p.EngineStates(now, service(), list) }
		b.Run(fmt.Sprintf("%d engines, refresh", engines), func(b *testing.B) {
			for b.Loop() {
				c.Refresh(now, "m", states())
			}
		})
		b.Run(fmt.Sprintf("%d engines, decision", engines), func(b *testing.B) {
			for b.Loop() {
				c.Admit(now, a, states)
			}
		})
	}
}

// benchmarkReports is what one entry reports of five tiers, where it has the given number of engines
// to itself.
func benchmarkReports(entry int, engines float64) []admission.TierLoad {
	var loads []admission.TierLoad
	for tier := range 5 {
		load := admission.TierLoad{Service: "m", Tier: admission.Tier(16 + tier), Offered: 400 * engines, Admitted: 400 * engines, Started: 10}
		for account := range 8 {
			load.Accounts = append(load.Accounts, admission.AccountLoad{Account: uint32(entry*3 + account), Offered: 40 * engines})
		}
		loads = append(loads, load)
	}
	return loads
}
