package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// enginesOf names the engines of a plan.
func enginesOf(plan *Plan) map[directory.Incarnation]bool {
	list := map[directory.Incarnation]bool{plan.Endpoint.Incarnation: true}
	for _, h := range plan.Helpers {
		list[h.Incarnation] = true
	}
	return list
}

// Symptom: every long prompt is late for as long as one engine of twenty is slow. Sequence:
// an engine turns slow, prompts are prefilled in parts on it and on others. Cause: the
// first token waits for the slowest part, and nobody knew which engine that was.
func TestPartsAvoidSlowEngines(t *testing.T) {
	is := is.New(t)
	list := endpoints(20)
	p := newPolicy(1)
	p.tracker.SetSlowdown(testNow, list[19].Incarnation, 3)
	p.tracker.RecordPeerSlowEndpoints(testNow, []SlowEndpoint{{HashEndpoint(list[18].Incarnation), 2}}) // another entry's word
	for _, tokens := range []int{60_000, 150_000, 300_000} {
		parts := enginesOf(p.Place(testNow, prompt(tokens), list))
		is.True(!parts[list[19].Incarnation] && !parts[list[18].Incarnation])
	}
	later := testNow.Add(slowdownTTL + time.Second)
	is.True(enginesOf(p.Place(later, prompt(300_000), list))[list[19].Incarnation]) // nobody told of it again
	for _, e := range list {
		p.tracker.SetSlowdown(testNow, e.Incarnation, 2)
	}
	is.True(p.Place(testNow, prompt(150_000), list) != nil) // slow ones are better than none
}

// Symptom: long prompts are prefilled on a slow engine, though they would be read as soon
// without it. Sequence: the only engine for short prompts is slow; a long one takes it to have
// shorter parts. Cause: of engines that are all slow none was dropped.
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

// A slow engine still serves short prompts, when the others have much more to do.
func TestAShortPromptGoesToASlowEngineOnlyWhenOthersAreBusy(t *testing.T) {
	is := is.New(t)
	list := endpoints(3) // two of them for short prompts
	p := newPolicy(2)
	p.tracker.SetSlowdown(testNow, list[0].Incarnation, 3)
	is.Equal(p.Place(testNow, prompt(1000), list).Endpoint.Incarnation, list[1].Incarnation)
	p.tracker.ReplacePeerLoad(testNow, "b", []Demand{{Service: "m", ShortInFlight: 200}}, []EndpointLoad{{Endpoint: HashEndpoint(list[1].Incarnation), InFlight: 16, PendingPrefill: time.Second}, {Endpoint: HashEndpoint(list[2].Incarnation), InFlight: 16, PendingPrefill: time.Second}})
	is.Equal(p.Place(testNow, prompt(1000), list).Endpoint.Incarnation, list[0].Incarnation)
}

// What an endpoint said before it was restarted is not believed of its next life.
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
