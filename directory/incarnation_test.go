package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func incarnation(id string, born int64, revision uint64, leaving bool) *Endpoint {
	return &Endpoint{Incarnation: Incarnation{id, born}, Service: "s", Addr: "127.0.0.1:1", Revision: revision, Leaving: leaving}
}

// newReplicaWith makes a replica that has read a store with one endpoint.
func newReplicaWith(first *Endpoint) *Replica {
	r := NewReplica()
	r.ApplyState(time.Now(), &StoreState{Revision: first.Revision, Config: config(1), ConfigRevision: 1, Endpoints: []Endpoint{*first}})
	return r
}

func (r *Replica) apply(changes ...Change) {
	r.ApplyChanges(time.Now(), &Changes{Revision: changes[len(changes)-1].Revision, Changes: changes})
}

// Symptom: an endpoint that was restarted gets no requests until its entry has a new ID,
// which never comes. Sequence: it says that it leaves, ends, and starts again under its
// ID. Cause: "leaving" was kept for the ID and not for the life.
func TestNewIncarnationIsNotLeaving(t *testing.T) {
	is := is.New(t)
	r := newReplicaWith(incarnation("a", 100, 1, true))
	is.True(r.Snapshot().EndpointByID("a") == nil)
	r.apply(Change{Revision: 2, Endpoint: incarnation("a", 200, 2, false)})
	is.Equal(r.Snapshot().EndpointByID("a").Incarnation, Incarnation{"a", 200})
	is.True(r.Snapshot().Endpoint(Incarnation{"a", 100}) == nil)
}

// Symptom: requests go to an endpoint as it was before a restart. Sequence: an entry of
// the life before is written late, after the new one's. Cause: the last entry written was
// believed, whatever life it speaks of.
func TestRegistrationOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newReplicaWith(incarnation("a", 200, 2, false))
	r.apply(Change{Revision: 3, Endpoint: incarnation("a", 100, 3, true)})
	is.Equal(r.Snapshot().EndpointByID("a").Incarnation, Incarnation{"a", 200})
	r.apply(Change{Revision: 4, EndpointGone: "a"})
	r.apply(Change{Revision: 5, Endpoint: incarnation("a", 100, 5, false)})
	is.True(r.Snapshot().EndpointByID("a") == nil) // also when nothing is listed
	r.apply(Change{Revision: 6, Endpoint: incarnation("a", 200, 6, false)})
	is.Equal(r.Snapshot().EndpointByID("a").Incarnation, Incarnation{"a", 200}) // it had lapsed
}

// Symptom: requests reach an endpoint that is about to stop. Sequence: it says that it
// leaves, its registration ends, and a delayed write says once more that it is ready.
func TestIncarnationThatLeftDoesNotReturn(t *testing.T) {
	is := is.New(t)
	r := newReplicaWith(incarnation("a", 100, 1, false))
	r.apply(Change{Revision: 2, Endpoint: incarnation("a", 100, 2, true)}, Change{Revision: 3, EndpointGone: "a"}, Change{Revision: 4, Endpoint: incarnation("a", 100, 4, false)})
	is.True(r.Snapshot().EndpointByID("a") == nil)
}

// Symptom: requests are sent to an address that no endpoint told of. Sequence: something
// else writes over an endpoint's entry. The endpoint's own next entry brings it back, as
// leaving if it was.
func TestEndpointWithForeignRegistrationIsNotUsed(t *testing.T) {
	is := is.New(t)
	for _, born := range []int64{0, 100} {
		r := newReplicaWith(incarnation("a", born, 1, false))
		r.apply(Change{Revision: 2, InvalidEndpoint: "a"})
		is.True(r.Snapshot().EndpointByID("a") == nil)
		r.apply(Change{Revision: 3, Endpoint: incarnation("a", born, 3, true)}, Change{Revision: 4, InvalidEndpoint: "a"}, Change{Revision: 5, Endpoint: incarnation("a", born, 5, false)})
		is.True(r.Snapshot().EndpointByID("a") == nil) // it is leaving
	}
	r := newReplicaWith(incarnation("a", 100, 1, false))
	r.apply(Change{Revision: 2, Endpoint: incarnation("a", 0, 2, false)}) // does not say when it was born
	is.True(r.Snapshot().EndpointByID("a") == nil)
	r.ApplyState(time.Now(), &StoreState{Revision: 4, Endpoints: []Endpoint{*incarnation("a", 100, 3, false)}})
	is.True(r.Snapshot().EndpointByID("a") != nil)
	r.ApplyState(time.Now(), &StoreState{Revision: 5, InvalidEndpoints: []string{"a"}})
	is.True(r.Snapshot().EndpointByID("a") == nil)
}

// storeModel is the plain reference of what the store holds and what was ever seen of
// each ID, by which the replica is judged.
type storeModel struct {
	revision      uint64
	registrations map[string]*Endpoint // nil: an entry that names no endpoint
	newestStart   map[string]int64     // the latest birth seen
	left          map[Incarnation]bool // said that they leave
}

// write is the next change of the store.
func (m *storeModel) write(t *rapid.T) Change {
	m.revision++
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	change := Change{Revision: m.revision}
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

// see notes what a replica was told.
func (m *storeModel) see(e *Endpoint) {
	m.newestStart[e.ID] = max(m.newestStart[e.ID], e.StartUnixMilli)
	if e.Leaving {
		m.left[e.Incarnation] = true
	}
}

// check compares a replica that knows all of the store with the model.
func (m *storeModel) check(t *rapid.T, r *Replica) {
	s := r.Snapshot()
	for _, id := range []string{"a", "b"} {
		present, entry := s.EndpointByID(id), m.registrations[id]
		if present != nil && present.StartUnixMilli != m.newestStart[id] {
			t.Fatalf("%s is used as born %d, and %d is known", id, present.StartUnixMilli, m.newestStart[id])
		}
		if present != nil && m.left[present.Incarnation] {
			t.Fatalf("%v has left and is used", present.Incarnation)
		}
		usable := entry != nil && entry.StartUnixMilli == m.newestStart[id] && !m.left[entry.Incarnation]
		if usable && present == nil {
			t.Fatalf("%v is not used", entry.Incarnation)
		}
		if _, there := m.registrations[id]; present != nil && (!there || entry == nil) {
			t.Fatalf("%v is used, and its entry names no endpoint", present.Incarnation)
		}
	}
}

// Whatever is written in whatever order, told as changes or as a whole reading, once or
// twice: only the newest life of an ID is used, never after it said that it leaves, and
// always while its own entry stands.
func TestReplicaUsesNewestIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{registrations: map[string]*Endpoint{}, newestStart: map[string]int64{}, left: map[Incarnation]bool{}}
		r := NewReplica()
		r.ApplyState(time.Now(), &StoreState{Config: config(1), ConfigRevision: 1})
		var last Change
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "how") {
			case 0:
				reading := &StoreState{Revision: m.revision}
				for id, e := range m.registrations {
					if e == nil {
						reading.InvalidEndpoints = append(reading.InvalidEndpoints, id)
						continue
					}
					reading.Endpoints = append(reading.Endpoints, *e)
					m.see(e)
				}
				r.ApplyState(time.Now(), reading)
			case 1:
				if last.Revision > 0 {
					r.apply(last) // told twice
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
