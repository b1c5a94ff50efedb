package directory

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// evacuationModel is a store, entries that follow it and the reports that are on their way between
// them. It keeps the store's history, from which an entry's state at each revision follows.
type evacuationModel struct {
	now      time.Time
	revision uint64
	history  []Evacuation
	entries  []*modelledEntry
	sent     [][]Evacuation
}

// modelledEntry is an entry with what it was told: for each data centre the highest revision of a
// report, and the revision up to which it has followed the store.
type modelledEntry struct {
	replica  *Replica
	followed uint64
	told     map[string]uint64
}

var modelledDataCentres = []string{"dc1", "dc2"}

// evacuatedAt says whether a data centre was evacuated at a revision of the store.
func (m *evacuationModel) evacuatedAt(dataCentre string, revision uint64) bool {
	evacuated := false
	for _, e := range m.history {
		if e.DataCentre == dataCentre && e.At.Revision() <= revision {
			evacuated = e.Evacuated
		}
	}
	return evacuated
}

// listAt returns the evacuations that the store lists at a revision.
func (m *evacuationModel) listAt(revision uint64) []Evacuation {
	var list []Evacuation
	for _, dataCentre := range modelledDataCentres {
		for _, e := range slices.Backward(m.history) {
			if e.DataCentre == dataCentre && e.At.Revision() <= revision {
				if e.Evacuated {
					list = append(list, e)
				}
				break
			}
		}
	}
	return list
}

func (m *evacuationModel) newEntry() *modelledEntry {
	e := &modelledEntry{replica: NewReplica(), told: map[string]uint64{}}
	for _, dataCentre := range modelledDataCentres {
		endpoint := Endpoint{Incarnation: Incarnation{ID: "at " + dataCentre}, Service: "s", DataCentre: dataCentre}
		e.replica.ApplyChanges(m.now, &Changes{Changes: []Change{{Endpoint: &endpoint}}})
	}
	return e
}

// follow makes an entry apply the changes up to a revision.
func (m *evacuationModel) follow(e *modelledEntry, to uint64) {
	changes := &Changes{At: At(0, to)}
	for i := range m.history {
		if change := m.history[i]; change.At.Revision() > e.followed && change.At.Revision() <= to {
			changes.Changes = append(changes.Changes, Change{At: change.At, Evacuation: &change})
		}
	}
	e.replica.ApplyChanges(m.now, changes)
	e.followed = max(e.followed, to)
}

func (m *evacuationModel) deliver(e *modelledEntry, reports []Evacuation) {
	e.replica.Evacuations().Merge(m.now, reports)
	for _, r := range reports {
		e.told[r.DataCentre] = max(e.told[r.DataCentre], r.At.Revision())
	}
}

// check compares what an entry uses with the store's state at the highest revision that it was told of.
func (m *evacuationModel) check(t *rapid.T, e *modelledEntry) {
	snapshot, evacuated := e.replica.Snapshot(), 0
	for _, dataCentre := range modelledDataCentres {
		incarnation, told := Incarnation{ID: "at " + dataCentre}, max(e.followed, e.told[dataCentre])
		want := m.evacuatedAt(dataCentre, told)
		if got := snapshot.Endpoint(incarnation) == nil; got != want || e.replica.Evacuations().Contains(dataCentre) != want {
			t.Fatalf("%s is left out: %v, want %v as of revision %d", dataCentre, got, want, told)
		}
		if !snapshot.Known(incarnation) || !snapshot.Registered(incarnation.ID) {
			t.Fatalf("the endpoint in %s is forgotten", dataCentre)
		}
		if want {
			evacuated++
		}
	}
	if snapshot.EvacuatedCount("s") != evacuated || len(snapshot.Endpoints("s")) != len(modelledDataCentres)-evacuated || e.replica.Evacuations().Count() != evacuated {
		t.Fatalf("%d endpoints are left out, want %d", snapshot.EvacuatedCount("s"), evacuated)
	}
}

// settle lets the entries exchange full reports without losses.
func (m *evacuationModel) settle() {
	for range 3 {
		m.now = m.now.Add(time.Second)
		for _, from := range m.entries {
			for _, to := range m.entries {
				m.deliver(to, from.replica.Evacuations().Reports(m.now, true, 100, 100))
			}
		}
	}
}

// Guards against an evacuation that an old message, full read or entry brings back or ends, whatever
// is lost, late or out of order, and against entries without the store that never learn of it.
func TestEvacuationsFollowTheStoresNewestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &evacuationModel{now: time.Unix(0, 0)}
		for range 3 {
			m.entries = append(m.entries, m.newEntry())
		}
		entry := func(t *rapid.T) *modelledEntry { return rapid.SampledFrom(m.entries).Draw(t, "entry") }
		write := func(t *rapid.T, toggle bool) {
			dataCentre := rapid.SampledFrom(modelledDataCentres).Draw(t, "dc")
			e := Evacuation{DataCentre: dataCentre, At: At(0, m.revision+1), Evacuated: m.evacuatedAt(dataCentre, m.revision) != toggle}
			m.revision, m.history = m.revision+1, append(m.history, e)
		}
		report := func(e *modelledEntry, full bool) {
			m.sent = append(m.sent, e.replica.Evacuations().Reports(m.now, full, 100, 100))
		}
		t.Repeat(map[string]func(*rapid.T){
			"operator begins or ends an evacuation": func(t *rapid.T) { write(t, true) },
			"operator writes the same again":        func(t *rapid.T) { write(t, false) },
			"something else is written":             func(*rapid.T) { m.revision++ },
			"entry follows to the end and reports": func(t *rapid.T) {
				e := entry(t)
				m.follow(e, m.revision)
				report(e, true)
			},
			"entry follows a little":  func(t *rapid.T) { e := entry(t); m.follow(e, min(e.followed+1, m.revision)) },
			"entry gets old changes":  func(t *rapid.T) { e := entry(t); f := e.followed; e.followed = 0; m.follow(e, f) },
			"entry reads everything":  func(t *rapid.T) { m.read(entry(t), m.revision, true) },
			"entry reads evacuations": func(t *rapid.T) { m.read(entry(t), m.revision, false) },
			"entry gets an old list":  func(t *rapid.T) { m.read(entry(t), rapid.Uint64Range(0, m.revision).Draw(t, "old"), false) },
			"entry gets an old full read": func(t *rapid.T) {
				m.read(entry(t), rapid.Uint64Range(0, m.revision).Draw(t, "old"), true)
			},
			"entry reports": func(t *rapid.T) { report(entry(t), rapid.Bool().Draw(t, "full")) },
			"entry gets any report of the past": func(t *rapid.T) {
				if e := entry(t); len(m.sent) > 0 {
					m.deliver(e, rapid.SampledFrom(m.sent).Draw(t, "sent"))
				}
			},
			"entry gets the newest report and then an old one": func(t *rapid.T) {
				if e := entry(t); len(m.sent) > 0 {
					m.deliver(e, m.sent[len(m.sent)-1])
					m.deliver(e, rapid.SampledFrom(m.sent).Draw(t, "sent"))
				}
			},
			"entry gets an old report after a long time": func(t *rapid.T) {
				if e := entry(t); len(m.sent) > 0 {
					m.now = m.now.Add(endedEvacuationTTL + time.Second)
					e.replica.ExpireMissing(m.now)
					m.deliver(e, rapid.SampledFrom(m.sent).Draw(t, "sent"))
				}
			},
			"time passes": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, e := range m.entries {
					e.replica.ExpireMissing(m.now)
					m.check(t, e)
				}
			},
		})
		m.read(m.entries[0], m.revision, true) // the others may have lost the store for good
		m.settle()
		for _, e := range m.entries {
			for _, dataCentre := range modelledDataCentres {
				if want := m.evacuatedAt(dataCentre, m.revision); e.replica.Evacuations().Contains(dataCentre) != want {
					t.Fatalf("an entry without the store has %s evacuated: %v, want %v", dataCentre, !want, want)
				}
			}
		}
	})
}

// read makes an entry apply a full read, or one of the evacuations alone, at a revision.
func (m *evacuationModel) read(e *modelledEntry, revision uint64, full bool) {
	if !full {
		e.replica.Evacuations().ApplyList(m.now, At(0, revision), m.listAt(revision))
		for _, dataCentre := range modelledDataCentres {
			e.told[dataCentre] = max(e.told[dataCentre], revision)
		}
		return
	}
	state := &StoreState{At: At(0, revision), Evacuations: m.listAt(revision)}
	for _, dataCentre := range modelledDataCentres {
		state.Endpoints = append(state.Endpoints, Endpoint{Incarnation: Incarnation{ID: "at " + dataCentre}, Service: "s", DataCentre: dataCentre, At: At(0, revision)})
	}
	e.replica.ApplyState(m.now, state)
	e.followed = max(e.followed, revision)
}

// Guards against evacuations that heartbeats carry for ever, not long enough, or without bound.
func TestEvacuationsAreReportedInForceAndForAWhileAfterTheEnd(t *testing.T) {
	is := is.New(t)
	s, now := NewEvacuations(), time.Unix(0, 0)
	for i := range 40 {
		is.True(s.ApplyChange(now, Evacuation{fmt.Sprint("dc", i), At(0, uint64(i+1)), true}))
	}
	is.Equal(len(s.Reports(now, false, 100, 64)), 40)
	is.Equal(s.Reports(now, false, 32, 64)[0], Evacuation{"dc39", At(0, 40), true}) // the newest first
	is.Equal(len(s.Reports(now, false, 32, 64)), 32)
	now = now.Add(time.Hour)
	is.Equal(len(s.Reports(now, false, 100, 64)), 0)
	is.Equal(len(s.Reports(now, true, 100, 64)), 40)
	is.Equal(len(s.Reports(now, true, 100, 3)), 10)
	is.Equal(len(s.ApplyList(now, At(0, 50), nil)), 40)
	s.expire(now.Add(endedEvacuationTTL - 1))
	is.Equal(len(s.Reports(now.Add(endedEvacuationTTL-1), true, 100, 64)), 40)
	is.Equal(len(s.Reports(now.Add(endedEvacuationTTL), true, 100, 64)), 0)
	s.expire(now.Add(endedEvacuationTTL))
	is.Equal(len(s.known), 0)
}

// Guards against snapshots in which leaving endpoints count as evacuated, so that a request is refused
// with the wrong cause.
func TestLeavingEndpointsDoNotCountAsEvacuated(t *testing.T) {
	is := is.New(t)
	r, now := NewReplica(), time.Unix(0, 0)
	endpoint := func(id string, leaving bool) Endpoint {
		return Endpoint{Incarnation: Incarnation{ID: id}, Service: strings.ToUpper(id[:1]), DataCentre: "dc1", Leaving: leaving, At: At(0, 1)}
	}
	r.ApplyState(now, &StoreState{At: At(0, 3), Endpoints: []Endpoint{endpoint("a1", true), endpoint("a2", false), endpoint("b1", true)}, Evacuations: []Evacuation{{"dc1", At(0, 2), true}}})
	s := r.Snapshot()
	is.Equal(s.EvacuatedCount("A"), 1)
	is.Equal(s.EvacuatedCount("B"), 0)
	is.Equal(s.EvacuatedTotal(), 1)
	is.Equal(s.CountIn("dc1"), 1)
	is.True(s.Present("a2") != nil && s.EndpointByID("a2") == nil)
	is.True(s.Present("a1") == nil && s.Registered("a1"))
}

// BenchmarkEvacuations measures what the checks before sending and a snapshot of 10,000 endpoints take,
// while one of nine data centres is evacuated and while none is.
func BenchmarkEvacuations(b *testing.B) {
	for _, evacuated := range []int{0, 1} {
		r, now := NewReplica(), time.Unix(0, 0)
		state := &StoreState{At: At(0, 1)}
		for i := range 10_000 {
			e := Endpoint{Incarnation: Incarnation{ID: fmt.Sprint("e", i)}, Service: fmt.Sprint("s", i%4), DataCentre: fmt.Sprint("dc", i%9), At: At(0, 1)}
			state.Endpoints = append(state.Endpoints, e)
		}
		r.ApplyState(now, state)
		for i := range evacuated {
			r.Evacuations().ApplyChange(now, Evacuation{fmt.Sprint("dc", i), At(0, 2), true})
		}
		b.Run(fmt.Sprint("check/", evacuated), func(b *testing.B) {
			for b.Loop() {
				r.Evacuations().Contains("dc5")
			}
		})
		b.Run(fmt.Sprint("snapshot/", evacuated), func(b *testing.B) {
			for b.Loop() {
				r.Snapshot()
			}
		})
	}
}
