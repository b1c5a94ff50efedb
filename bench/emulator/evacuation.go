package emulator

import (
	"slices"
	"time"

	"aspenyard.example/directory"
)

// Evacuation takes engines of a data centre out for a time, as the operator requests.
type Evacuation struct {
	From, To time.Duration
	// Engines is the number of engines, spread over the list.
	Engines int
	// KnownWithin is the longest time until an entry knows of the start or the end; each entry draws its
	// own.
	KnownWithin time.Duration
	// NoRamp makes entries return with all that they have.
	NoRamp bool
}

// EvacuationResult is what the evacuated engines got.
type EvacuationResult struct {
	// Sent is the number of requests and parts that arrived during an evacuation when all entries knew of
	// it.
	Sent int
	// MostAtTheEnd is the most requests that one engine got within a second from the end of its evacuation
	// on.
	MostAtTheEnd int
}

// evacuationState is what an engine records of its evacuation.
type evacuationState struct {
	evacuation *Evacuation
	atTheEnd   int
}

// scheduleEvacuation schedules an evacuation.
func (sim *simulation) scheduleEvacuation(v *Evacuation) {
	var endpoints []*directory.EndpointState
	for i := range v.Engines {
		endpoint := sim.endpoints[i*len(sim.endpoints)/v.Engines]
		endpoints = append(endpoints, endpoint)
		sim.engines[endpoint.Incarnation].evacuation = &evacuationState{evacuation: v}
	}
	for _, e := range sim.entries {
		e.tracker.Backoffs().SetRamp(!v.NoRamp)
		delay := func() time.Duration { return time.Duration(sim.rand.Int64N(int64(v.KnownWithin))) }
		sim.AfterFunc(v.From+delay(), func() {
			for _, endpoint := range endpoints {
				e.leave(endpoint.Incarnation)
			}
		})
		sim.AfterFunc(v.To+delay(), func() { e.returnTo(sim.wallTime(), endpoints) })
	}
}

// returnTo makes an entry use engines again whose evacuation has ended.
func (e *entry) returnTo(now time.Time, endpoints []*directory.EndpointState) {
	e.endpoints = append(slices.Clone(e.endpoints), endpoints...)
	slices.SortFunc(e.endpoints, func(a, b *directory.EndpointState) int { return a.Position - b.Position })
	for _, endpoint := range endpoints {
		e.tracker.Backoffs().Resume(now, endpoint)
	}
}

// recordEvacuation counts a request, or with part set a part of one, that arrives at an evacuated engine.
func (e *engine) recordEvacuation(part bool) {
	if e.evacuation == nil {
		return
	}
	now, v := e.sim.Now(), e.evacuation.evacuation
	switch {
	case now > v.From+v.KnownWithin+maxMessageDelay && now < v.To:
		e.sim.evacuationResult.Sent++
	case !part && now >= v.To && now < v.To+time.Second:
		e.evacuation.atTheEnd++
		e.sim.evacuationResult.MostAtTheEnd = max(e.sim.evacuationResult.MostAtTheEnd, e.evacuation.atTheEnd)
	}
}
