package directory

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against requests to an incarnation that has stated that it leaves, whatever the store says
// before and after, and against leaving out an incarnation that has not.
func TestStatedLeavingIsFinalForAnIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewReplica(), time.Unix(0, 0)
		revision, unlistedSince := uint64(0), map[Incarnation]time.Time{}
		stated := map[Incarnation]bool{}
		incarnation := func() Incarnation {
			return Incarnation{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), StartUnixMilli: rapid.Int64Range(1, 3).Draw(t, "start")}
		}
		endpoint := func() Endpoint {
			return Endpoint{Incarnation: incarnation(), Service: "s", Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, At: At(0, revision)}
		}
		t.Repeat(map[string]func(*rapid.T){
			"store registers": func(*rapid.T) {
				revision++
				e := endpoint()
				r.ApplyChanges(now, &Changes{At: At(0, revision), Changes: []Change{{At: At(0, revision), Endpoint: &e}}})
			},
			"store registers again what it had": func(t *rapid.T) {
				revision++
				if known := r.endpoints[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")]; known != nil {
					e := known.Endpoint
					e.Leaving, e.At = false, At(0, revision)
					r.ApplyChanges(now, &Changes{At: At(0, revision), Changes: []Change{{At: At(0, revision), Endpoint: &e}}})
				}
			},
			"store reports an old change": func(t *rapid.T) {
				e := endpoint()
				e.At = At(0, rapid.Uint64Range(0, revision).Draw(t, "revision"))
				r.ApplyChanges(now, &Changes{Changes: []Change{{At: e.At, Endpoint: &e}}})
			},
			"registration ends": func(t *rapid.T) {
				revision++
				r.ApplyChanges(now, &Changes{At: At(0, revision), Changes: []Change{{At: At(0, revision), EndpointGone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")}}})
			},
			"store returns after an outage": func(*rapid.T) { r.SetOutageEnd(now) },
			"full read": func(t *rapid.T) {
				revision++
				state := &StoreState{At: At(0, revision)}
				for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
					if rapid.Bool().Draw(t, "kept") {
						state.Endpoints = append(state.Endpoints, r.endpoints[id].Endpoint)
					}
				}
				r.ApplyState(now, state)
			},
			"endpoint or another entry states it": func(*rapid.T) {
				i := incarnation()
				r.StatedLeaving().Add(now, i.Hash())
				stated[i], unlistedSince[i] = true, now
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				r.ExpireMissing(now)
				snapshot := r.Snapshot()
				for i := range stated {
					if known := r.endpoints[i.ID]; known != nil && known.Incarnation == i {
						unlistedSince[i] = now
					} else if now.Sub(unlistedSince[i]) > unlistedStatementTTL {
						delete(stated, i)
						continue
					}
					if snapshot.Endpoint(i) != nil {
						t.Fatalf("%v has stated that it leaves and is listed", i)
					}
					if known := r.endpoints[i.ID]; known != nil && !snapshot.Registered(i.ID) {
						t.Fatalf("%v is registered", i)
					}
				}
				for _, known := range r.endpoints {
					if !known.Leaving && !stated[known.Incarnation] && snapshot.Endpoint(known.Incarnation) == nil {
						t.Fatalf("%v has not stated that it leaves and is left out", known.Incarnation)
					}
				}
			},
		})
	})
}

// Guards against statements that entries pass on to each other for ever, and against reports that
// are left out where there are many.
func TestStatedLeavingIsReportedWhileListed(t *testing.T) {
	is := is.New(t)
	r, now := NewReplica(), time.Unix(0, 0)
	for i := range 100 {
		e := Endpoint{Incarnation: Incarnation{ID: fmt.Sprint(i)}, Service: "s", At: At(0, uint64(i+1))}
		r.ApplyChanges(now, &Changes{At: e.At, Changes: []Change{{Endpoint: &e}}})
		is.True(r.StatedLeaving().Add(now, e.Hash()))
		is.True(!r.StatedLeaving().Add(now, e.Hash()))
	}
	is.Equal(len(r.StatedLeaving().Reports(now, false, 1000)), 100)
	now = now.Add(time.Second)
	r.ExpireMissing(now)
	is.Equal(len(r.StatedLeaving().Reports(now, false, 1000)), 0)
	is.Equal(len(r.StatedLeaving().Reports(now, true, 1000)), 100)
	is.Equal(len(r.StatedLeaving().Reports(now, true, 64)), 64)
	count, oldest := r.StatedLeaving().StillListed(now)
	is.Equal(count, 100)
	is.Equal(oldest, time.Second)
	r.ApplyState(now, &StoreState{At: At(0, 1000)})
	r.ExpireMissing(now)
	is.Equal(len(r.StatedLeaving().Reports(now, true, 1000)), 0)
	is.True(!r.StatedLeaving().Add(now, Incarnation{ID: "7"}.Hash()))
	now = now.Add(unlistedStatementTTL + time.Second)
	r.ExpireMissing(now)
	is.True(r.StatedLeaving().Add(now, Incarnation{ID: "7"}.Hash()))
}

// Guards against endpoints that leave in large numbers while the store is away: those that became known first were
// never reported again, so that entries that had missed the report sent them requests.
func TestManyStatementsOfLeavingAreReportedInTurns(t *testing.T) {
	is := is.New(t)
	const count, most = 300, 64
	r, now := NewReplica(), time.Unix(1000, 0)
	for i := range count {
		e := Endpoint{Incarnation: Incarnation{ID: fmt.Sprint("i-", i), StartUnixMilli: 1}, Service: "s", At: At(0, uint64(i+1))}
		r.ApplyChanges(now, &Changes{At: e.At, Changes: []Change{{At: e.At, Endpoint: &e}}})
		r.StatedLeaving().Add(now, e.Hash())
	}
	r.ExpireMissing(now)
	reported := map[IncarnationHash]bool{}
	for range count/most + 1 {
		now = now.Add(time.Second)
		reports := r.StatedLeaving().Reports(now, true, most)
		is.Equal(len(reports), most)
		for _, incarnation := range reports {
			reported[incarnation] = true
		}
	}
	is.Equal(len(reported), count)
}
