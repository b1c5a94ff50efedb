package emulator

import (
	"time"

	"aspenyard.example/directory"
)

// Departure makes engines leave one after the other. Each states it in its responses; the store
// lists it as leaving only later, and it ends after a while.
type Departure struct {
	// From is when the first engine leaves, Interval the time between two of them.
	From, Interval time.Duration
	// Engines is the number of engines, spread over the list.
	Engines int
	// StoreDelay is the time after which the store says so, EndsAfter that after which the engine
	// ends with all that it has.
	StoreDelay, EndsAfter time.Duration
	// Unread makes entries learn of it from the store only, Shared makes an entry that reads it
	// in a response tell the others.
	Unread, Shared bool
}

// DepartureResult is what the engines got that left.
type DepartureResult struct {
	// Sent is the number of requests that arrived at engines that had said that they leave, Cut the
	// number of requests that ended with their engine, or arrived after its end.
	Sent, Cut int
}

// departureState is an engine's departure.
type departureState struct {
	departure *Departure
	leaving   bool
	ended     bool
}

// scheduleDeparture schedules the engines' departures.
func (sim *simulation) scheduleDeparture(d *Departure) {
	for i := range d.Engines {
		endpoint := sim.endpoints[i*len(sim.endpoints)/d.Engines]
		e := sim.engines[endpoint.Incarnation]
		e.departure = &departureState{departure: d}
		at := d.From + time.Duration(i)*d.Interval
		sim.AfterFunc(at, func() { e.departure.leaving = true })
		sim.AfterFunc(at+d.StoreDelay, func() {
			for _, entry := range sim.entries {
				entry.leave(endpoint.Incarnation)
			}
		})
		sim.AfterFunc(at+d.EndsAfter, func() { e.end() })
	}
}

// leave leaves an engine out of an entry's list.
func (e *entry) leave(incarnation directory.Incarnation) {
	kept := make([]*directory.EndpointState, 0, len(e.endpoints))
	for _, endpoint := range e.endpoints {
		if endpoint.Incarnation != incarnation {
			kept = append(kept, endpoint)
		}
	}
	e.endpoints = kept
}

// end ends an engine and counts the requests that end with it.
func (e *engine) end() {
	e.departure.ended = true
	e.sim.departureResult.Cut += e.usedSlots + len(e.waiting)
}

// observeDeparture tells the entry, with the response's head, that the engine leaves.
func (r *request) observeDeparture() {
	state := r.engine.departure
	if state == nil || !state.leaving || state.departure.Unread {
		return
	}
	sim, incarnation := r.sim, r.engine.incarnation
	sim.AfterFunc(sim.messageDelay(), func() {
		r.entry.leave(incarnation)
		if !state.departure.Shared {
			return
		}
		for _, other := range sim.entries {
			sim.AfterFunc(sim.messageDelay(), func() { other.leave(incarnation) })
		}
	})
}

// recordDeparture counts a request that arrives at an engine that leaves.
func (e *engine) recordDeparture() {
	if e.departure == nil || !e.departure.leaving {
		return
	}
	e.sim.departureResult.Sent++
	if e.departure.ended {
		e.sim.departureResult.Cut++
	}
}
