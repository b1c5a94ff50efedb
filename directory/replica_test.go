package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func config(version uint64) *Config { return NewConfig(version, Limits{}, nil, nil, nil) }

// endpoint returns a registration without a start time.
func endpoint(id string, revision uint64, leaving bool) Endpoint {
	return Endpoint{Incarnation: Incarnation{ID: id}, Service: "s", Addr: "127.0.0.1:1", At: At(0, revision), Leaving: leaving}
}

// A revoked key must not work again, and an endpoint that is stopping must not get requests
// again. Both would happen if the last response replaced the newest one: stale reads, late
// responses and repeated changes may arrive in any order.
func TestReplicaOnlyMovesForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica()
		now := time.Now()
		version, left := uint64(0), map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			revision := rapid.Uint64Range(1, 40).Draw(t, "revision")
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
			leaving := rapid.Bool().Draw(t, "leaving")
			edited := rapid.Uint64Range(1, 10).Draw(t, "version")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				r.ApplyState(now, &StoreState{At: At(0, revision), Config: config(edited), Endpoints: []Endpoint{endpoint(id, revision, leaving)}})
			case 1:
				e := endpoint(id, revision, leaving)
				r.ApplyChanges(now, &Changes{At: At(0, revision), Changes: []Change{{At: At(0, revision), Endpoint: &e}}})
			case 2:
				r.ApplyChanges(now, &Changes{At: At(0, revision), Changes: []Change{{At: At(0, revision), Config: config(edited)}}})
			case 3:
				r.ApplyChanges(now, &Changes{At: At(0, revision), Changes: []Change{{At: At(0, revision), EndpointGone: id}}})
			}
			s := r.Snapshot()
			if s.Config != nil {
				if s.Config.Version < version {
					t.Fatalf("configuration version went from %d back to %d", version, s.Config.Version)
				}
				version = s.Config.Version
			}
			for id := range left {
				if known := r.endpoints[id]; known != nil && s.EndpointByID(id) != nil {
					t.Fatalf("%s takes requests again after it was leaving", id)
				}
			}
			for id, e := range r.endpoints {
				if e.Leaving {
					left[id] = true
				}
			}
			for id := range left {
				if r.endpoints[id] == nil {
					delete(left, id) // removed; later registrations under this ID are not checked
				}
			}
		}
	})
}

// After an outage of the store, in which endpoints cannot renew their registrations, all of
// them expire and are back within two seconds. Nothing would be served in between if the
// endpoints were dropped at once.
func TestExpiredEndpointsAreKeptAfterStoreOutage(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	now := time.Now()
	e := endpoint("a", 1, false)
	r.ApplyState(now, &StoreState{At: At(0, 1), Config: config(1), Endpoints: []Endpoint{e}})
	r.SetOutageEnd(now)
	r.ApplyChanges(now, &Changes{At: At(0, 2), Changes: []Change{{At: At(0, 2), EndpointGone: "a"}}})
	is.True(!r.Snapshot().EndpointByID("a").MissingSince.IsZero()) // kept as a last resort
	is.True(!r.ExpireMissing(now.Add(time.Second)))
	is.True(r.ExpireMissing(now.Add(2 * time.Second)))
	is.True(r.Snapshot().EndpointByID("a") == nil)
	back := endpoint("a", 5, false)
	r.ApplyChanges(now, &Changes{At: At(0, 5), Changes: []Change{{At: At(0, 5), Endpoint: &back}}})
	is.True(r.Snapshot().EndpointByID("a").MissingSince.IsZero())
}

func TestRemovedEndpointIsDroppedAtOnceWithoutOutage(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	now := time.Now()
	r.ApplyState(now, &StoreState{At: At(0, 1), Config: config(1), Endpoints: []Endpoint{endpoint("a", 1, false), endpoint("b", 1, false)}})
	r.ApplyState(now, &StoreState{At: At(0, 3), Config: config(1), Endpoints: []Endpoint{endpoint("b", 1, false)}})
	is.True(r.Snapshot().EndpointByID("a") == nil)
	is.Equal(r.Snapshot().Len(), 1)
	is.Equal(len(r.Snapshot().Endpoints("s")), 1)
}

func TestReplicaIsNotReadyBeforeFullState(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	r.ApplyChanges(time.Now(), &Changes{At: At(0, 2), Changes: []Change{{At: At(0, 2), Config: config(2)}}})
	is.True(r.Snapshot().Config == nil)
	is.True(!r.Ready())
}

func TestRoutesAreSplitByWeight(t *testing.T) {
	is := is.New(t)
	route := Route{Services: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	is.Equal(route.PickService(0), "a")
	is.Equal(route.PickService(0.899), "a")
	is.Equal(route.PickService(0.901), "b")
	is.Equal(route.PickService(0.9999), "b")
	is.Equal((&Route{}).PickService(0.5), "")
	is.Equal((&Route{Services: []WeightedService{{"a", 0}}}).PickService(0.5), "")
}

func TestServiceHasRangeOfTargetPauses(t *testing.T) {
	is := is.New(t)
	routes := []*Route{
		{Name: "a", TargetPause: 600 * time.Millisecond, Services: []WeightedService{{"m", 1}}},
		{Name: "b", TargetPause: 250 * time.Millisecond, Services: []WeightedService{{"m", 1}, {"n", 1}}},
		{Name: "c", Services: []WeightedService{{"m", 1}, {"unlisted", 1}}},
	}
	c := NewConfig(1, Limits{}, []*Service{{Name: "m"}, {Name: "n"}}, routes, nil)
	is.Equal(c.Service("m").MinTargetPause, 250*time.Millisecond)
	is.Equal(c.Service("m").MaxTargetPause, 600*time.Millisecond)
	is.Equal(c.Service("n").MaxTargetPause, 250*time.Millisecond)
	is.Equal(c.Service("unlisted").MinTargetPause, time.Duration(0))
}
