package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// enginesOf returns the engines of a plan.
func enginesOf(plan *Plan) map[directory.Incarnation]bool {
	list := map[directory.Incarnation]bool{plan.Endpoint.Incarnation: true}
	for _, h := range plan.Helpers {
		list[h.Incarnation] = true
	}
	return list
}

// Guards against one slow engine of twenty delaying every long prompt: prompts are
// prefilled in parts on it and on others, the first token waits for the slowest part, and
// no entry knew which engine was slow.
func TestPartsAvoidSlowEngines(t *testing.T) {
	is := is.New(t)
	list := endpoints(20)
	p := newPolicy(1)
	p.tracker.SetSlowdown(testNow, list[19].Incarnation, 3)
	p.tracker.RecordPeerSlowEndpoints(testNow, []SlowEndpoint{{HashEndpoint(list[18].Incarnation), 2}}) // reported by another entry
	for _, tokens := range []int{60_000, 150_000, 300_000} {
		parts := enginesOf(p.Place(testNow, prompt(tokens), list))
		is.True(!parts[list[19].Incarnation] && !parts[list[18].Incarnation])
	}
	later := testNow.Add(slowdownTTL + time.Second)
	is.True(enginesOf(p.Place(later, prompt(300_000), list))[list[19].Incarnation]) // the slowdown was not reported again
	for _, e := range list {
		p.tracker.SetSlowdown(testNow, e.Incarnation, 2)
	}
	is.True(p.Place(testNow, prompt(150_000), list) != nil) // slow engines are better than none
}

// Guards against long prompts being prefilled on a slow engine that does not make them
// faster. The only engine for short prompts is slow, and a long prompt was spread to it for
// shorter parts, because no engine was dropped where all additional ones were slow.
func TestALongPromptIsNotWidenedToSlowEngines(t *testing.T) {
	is := is.New(t)
	list := endpoints(4)
	p := policyWithRank(0, 1)
	p.tracker.SetSlowdown(testNow, list[0].Incarnation, 5)
	for range 3 {
		p.AddLongPrompt(testNow, service(), len(list), 150_000)
		plan := p.Place(testNow, prompt(150_000), list)
		is.True(plan.PartPrefill > longestPart(service()) || len(plan.Helpers) < 3)
		is.True(!enginesOf(plan)[list[0].Incarnation])
	}
}

// A slow engine still gets short prompts when the other engines have much more to do.
func TestAShortPromptGoesToASlowEngineOnlyWhenOthersAreBusy(t *testing.T) {
	is := is.New(t)
	list := endpoints(3) // two of them for short prompts
	p := newPolicy(2)
	p.tracker.SetSlowdown(testNow, list[0].Incarnation, 3)
	is.Equal(p.Place(testNow, prompt(1000), list).Endpoint.Incarnation, list[1].Incarnation)
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 200}}, []EndpointLoad{{Endpoint: HashEndpoint(list[1].Incarnation), InFlight: 16, PendingPrefill: time.Second}, {Endpoint: HashEndpoint(list[2].Incarnation), InFlight: 16, PendingPrefill: time.Second}})
	is.Equal(p.Place(testNow, prompt(1000), list).Endpoint.Incarnation, list[0].Incarnation)
}

// A slowdown reported before an endpoint's restart does not count for its next incarnation.
func TestNewIncarnationIsNotSlow(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker()
	before, after := directory.Incarnation{ID: "a", StartUnixMilli: 1}, directory.Incarnation{ID: "a", StartUnixMilli: 2}
	slow, changed := l.SetSlowdown(testNow, before, 4)
	is.True(slow && changed)
	l.RecordPeerSlowEndpoints(testNow, []SlowEndpoint{{HashEndpoint(before), 4}})
	is.Equal(l.estimate(testNow, before).slowdown, 4.0)
	is.Equal(l.estimate(testNow, after).slowdown, 1.0)
	is.Equal(len(l.SlowEndpoints(testNow)), 1)
	slow, changed = l.SetSlowdown(testNow, before, 1)
	is.True(!slow && changed)
	l.RecordPeerSlowEndpoints(testNow.Add(time.Minute), nil)
	is.Equal(len(l.peerSlowdowns), 0)
}
