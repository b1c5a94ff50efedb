package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func incarnation(id string, startUnixMilli int64, revision uint64, leaving bool) *Endpoint {
	return &Endpoint{Incarnation: Incarnation{id, startUnixMilli}, Service: "s", Addr: "127.0.0.1:1", At: At(0, revision), Leaving: leaving}
}

// newReplicaWith returns a replica that has applied the state of a store with one endpoint.
func newReplicaWith(e *Endpoint) *Replica {
	r := NewReplica()
	r.ApplyState(time.Now(), &StoreState{At: e.At, Config: config(1), Endpoints: []Endpoint{*e}})
	return r
}

// apply applies changes in order and advances to the revision of the last one.
func (r *Replica) apply(changes ...Change) {
	r.ApplyChanges(time.Now(), &Changes{At: changes[len(changes)-1].At, Changes: changes})
}

// A restarted endpoint must get requests although its previous incarnation was leaving. It
// would get none under its ID if "leaving" were stored by ID rather than by incarnation.
func TestNewIncarnationIsNotLeaving(t *testing.T) {
	is := is.New(t)
	r := newReplicaWith(incarnation("a", 100, 1, true))
	is.True(r.Snapshot().EndpointByID("a") == nil)
	r.apply(Change{At: At(0, 2), Endpoint: incarnation("a", 200, 2, false)})
	is.Equal(r.Snapshot().EndpointByID("a").Incarnation, Incarnation{"a", 200})
	is.True(r.Snapshot().Endpoint(Incarnation{"a", 100}) == nil)
}

// A registration of an earlier incarnation may be written late, after that of the new one.
// Requests would be sent to the endpoint as it was before its restart if the last
// registration written were applied regardless of its incarnation.
func TestRegistrationOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newReplicaWith(incarnation("a", 200, 2, false))
	r.apply(Change{At: At(0, 3), Endpoint: incarnation("a", 100, 3, true)})
	is.Equal(r.Snapshot().EndpointByID("a").Incarnation, Incarnation{"a", 200})
	r.apply(Change{At: At(0, 4), EndpointGone: "a"})
	r.apply(Change{At: At(0, 5), Endpoint: incarnation("a", 100, 5, false)})
	is.True(r.Snapshot().EndpointByID("a") == nil) // also while no registration exists
	r.apply(Change{At: At(0, 6), Endpoint: incarnation("a", 200, 6, false)})
	is.Equal(r.Snapshot().EndpointByID("a").Incarnation, Incarnation{"a", 200}) // its registration had only expired
}

// Requests must not reach an endpoint that is about to stop: after an endpoint was leaving
// and its registration ended, a delayed write may say once more that it is ready.
func TestIncarnationThatLeftDoesNotReturn(t *testing.T) {
	is := is.New(t)
	r := newReplicaWith(incarnation("a", 100, 1, false))
	r.apply(Change{At: At(0, 2), Endpoint: incarnation("a", 100, 2, true)}, Change{At: At(0, 3), EndpointGone: "a"}, Change{At: At(0, 4), Endpoint: incarnation("a", 100, 4, false)})
	is.True(r.Snapshot().EndpointByID("a") == nil)
}

// Requests must not be sent to an address that no endpoint registered, after something else
// has overwritten an endpoint's registration. The endpoint's own next registration brings
// it back, as leaving if it was leaving.
func TestEndpointWithForeignRegistrationIsNotUsed(t *testing.T) {
	is := is.New(t)
	for _, startUnixMilli := range []int64{0, 100} {
		r := newReplicaWith(incarnation("a", startUnixMilli, 1, false))
		r.apply(Change{At: At(0, 2), InvalidEndpoint: "a"})
		is.True(r.Snapshot().EndpointByID("a") == nil)
		r.apply(Change{At: At(0, 3), Endpoint: incarnation("a", startUnixMilli, 3, true)}, Change{At: At(0, 4), InvalidEndpoint: "a"}, Change{At: At(0, 5), Endpoint: incarnation("a", startUnixMilli, 5, false)})
		is.True(r.Snapshot().EndpointByID("a") == nil) // it is still leaving
	}
	r := newReplicaWith(incarnation("a", 100, 1, false))
	r.apply(Change{At: At(0, 2), Endpoint: incarnation("a", 0, 2, false)}) // without a start time
	is.True(r.Snapshot().EndpointByID("a") == nil)
	r.ApplyState(time.Now(), &StoreState{At: At(0, 4), Endpoints: []Endpoint{*incarnation("a", 100, 3, false)}})
	is.True(r.Snapshot().EndpointByID("a") != nil)
	r.ApplyState(time.Now(), &StoreState{At: At(0, 5), InvalidEndpoints: []string{"a"}})
	is.True(r.Snapshot().EndpointByID("a") == nil)
}

// storeModel is a reference model of the store's registrations and of everything that the
// replica has received about each ID.
type storeModel struct {
	revision      uint64
	registrations map[string]*Endpoint // nil for a registration that cannot be used
	newestStart   map[string]int64     // the latest start time seen of each ID
	left          map[Incarnation]bool // seen as leaving
}

// write makes the next change of the store.
func (m *storeModel) write(t *rapid.T) Change {
	m.revision++
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	change := Change{At: At(0, m.revision)}
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		delete(m.registrations, id)
		change.EndpointGone = id
	case 1:
		m.registrations[id] = nil
		change.InvalidEndpoint = id
	default:
		e := incarnation(id, rapid.Int64Range(1, 5).Draw(t, "born"), m.revision, rapid.IntRange(0, 3).Draw(t, "leaving") == 0)
		m.registrations[id] = e
		change.Endpoint = e
	}
	return change
}

// see records a registration that the replica has received.
func (m *storeModel) see(e *Endpoint) {
	m.newestStart[e.ID] = max(m.newestStart[e.ID], e.StartUnixMilli)
	if e.Leaving {
		m.left[e.Incarnation] = true
	}
}

// check compares a replica that is up to date with the model.
func (m *storeModel) check(t *rapid.T, r *Replica) {
	s := r.Snapshot()
	for _, id := range []string{"a", "b"} {
		used, registered := s.EndpointByID(id), m.registrations[id]
		if used != nil && used.StartUnixMilli != m.newestStart[id] {
			t.Fatalf("%s is used with start time %d, the newest known is %d", id, used.StartUnixMilli, m.newestStart[id])
		}
		if used != nil && m.left[used.Incarnation] {
			t.Fatalf("%v is used although it was leaving", used.Incarnation)
		}
		usable := registered != nil && registered.StartUnixMilli == m.newestStart[id] && !m.left[registered.Incarnation]
		if usable && used == nil {
			t.Fatalf("%v is not used", registered.Incarnation)
		}
		if _, exists := m.registrations[id]; used != nil && (!exists || registered == nil) {
			t.Fatalf("%v is used without a valid registration", used.Incarnation)
		}
	}
}

// Whatever is written in whatever order, and applied as changes or as a full state, once or
// twice: only the newest incarnation of an ID is used, never after it was leaving, and
// always while its own registration exists.
func TestReplicaUsesNewestIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{registrations: map[string]*Endpoint{}, newestStart: map[string]int64{}, left: map[Incarnation]bool{}}
		r := NewReplica()
		r.ApplyState(time.Now(), &StoreState{Config: config(1)})
		var last Change
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "how") {
			case 0:
				state := &StoreState{At: At(0, m.revision)}
				for id, e := range m.registrations {
					if e == nil {
						state.InvalidEndpoints = append(state.InvalidEndpoints, id)
						continue
					}
					state.Endpoints = append(state.Endpoints, *e)
					m.see(e)
				}
				r.ApplyState(time.Now(), state)
			case 1:
				if last.At.Revision() > 0 {
					r.apply(last) // a repeated change
				}
			default:
				last = m.write(t)
				if last.Endpoint != nil {
					m.see(last.Endpoint)
				}
				r.apply(last)
			}
			m.check(t, r)
		}
	})
}
