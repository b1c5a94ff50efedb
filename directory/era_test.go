package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	era1 = StatedEra(1)
	era2 = StatedEra(2)
)

// Guards against an order between positions of different eras.
func TestPositionsOfDifferentErasHaveNoOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := At(StatedEra(rapid.Uint64Range(0, 3).Draw(t, "era")), rapid.Uint64Range(0, 5).Draw(t, "revision"))
		q := At(StatedEra(rapid.Uint64Range(0, 3).Draw(t, "other era")), rapid.Uint64Range(0, 5).Draw(t, "other revision"))
		if p.Era() == q.Era() {
			return
		}
		if p.After(q) || p.AtLeast(q) || p.Compare(q) != 0 || p.Later(q) != p {
			t.Fatalf("%v and %v are ordered", p, q)
		}
		if (p.IncarnationNumber() < q.IncarnationNumber()) != (p.Era() < q.Era()) {
			t.Fatalf("incarnations at %v and %v are not in the order of their eras", p, q)
		}
	})
}

func TestErasAreNamedAsTheStoreStatesThem(t *testing.T) {
	is := is.New(t)
	is.Equal(StatedEra(3).String(), "3")
	is.Equal(Era(0).Next().String(), "0.1")
	is.Equal(StatedEra(3).Stated(), uint64(3))
	is.True(Era(0).Next() < StatedEra(1))
	last := StatedEra(1) - 1
	is.Equal(last.Next(), last) // and not an era that the store has stated
}

// registered returns the registration of an endpoint without a start time.
func registered(id string, at Position, leaving bool) Endpoint {
	return Endpoint{Incarnation: Incarnation{ID: id}, Service: "s", Addr: "127.0.0.1:1", DataCentre: "dc1", At: at, Leaving: leaving}
}

// eraFixture is a replica that knew a later state than the copy from which the store is restored.
type eraFixture struct {
	*Replica
	now time.Time
}

func newEraFixture(endpoints ...Endpoint) *eraFixture {
	f := &eraFixture{NewReplica(), time.Unix(1000, 0)}
	f.ApplyState(f.now, &StoreState{At: At(era1, 20), Config: config(5), Endpoints: endpoints})
	return f
}

// usable reports whether requests may be sent to an endpoint.
func (f *eraFixture) usable(id string) bool { return f.Snapshot().EndpointByID(id) != nil }

// Guards against a copy that brings back a configuration, and with it revoked keys.
func TestACopyDoesNotBringBackAConfiguration(t *testing.T) {
	is := is.New(t)
	f := newEraFixture()
	f.ApplyState(f.now, &StoreState{At: At(era2, 9), Config: config(4)})
	is.Equal(f.Snapshot().Config.Version, uint64(5))
	f.ApplyChanges(f.now, &Changes{At: At(era2, 10), Changes: []Change{{At: At(era2, 10), Config: config(6)}}})
	is.Equal(f.Snapshot().Config.Version, uint64(6))
}

// Guards against a copy that makes an endpoint that leaves, or has ended, take requests again.
func TestACopyDoesNotBringBackEndpoints(t *testing.T) {
	is := is.New(t)
	f := newEraFixture(registered("leaving", At(era1, 3), false), registered("ended", At(era1, 4), false), registered("stays", At(era1, 5), false))
	f.ApplyChanges(f.now, &Changes{At: At(era1, 22), Changes: []Change{
		{At: At(era1, 21), Endpoint: new(registered("leaving", At(era1, 21), true))}, {At: At(era1, 22), EndpointGone: "ended"},
	}})
	f.ApplyState(f.now, &StoreState{At: At(era2, 9), Endpoints: []Endpoint{registered("leaving", At(era2, 3), false), registered("ended", At(era2, 4), false), registered("stays", At(era2, 5), false)}})
	is.True(!f.usable("leaving"))
	is.True(!f.usable("ended"))
	is.True(f.usable("stays"))
	is.Equal(f.Withheld(), 1)
	f.ApplyChanges(f.now, &Changes{At: At(era2, 11), Changes: []Change{
		{At: At(era2, 10), Endpoint: new(registered("leaving", At(era2, 10), false))}, {At: At(era2, 11), Endpoint: new(registered("ended", At(era2, 11), false))},
	}})
	is.True(!f.usable("leaving"))
	is.True(f.usable("ended")) // it has registered after the loss, and so runs
}

// Guards against nodes that start after a loss and take an endpoint that leaves for one that takes requests.
func TestOtherNodesLearnWhoLeavesAfterALoss(t *testing.T) {
	is := is.New(t)
	f := newEraFixture(registered("a", At(era1, 3), true))
	is.Equal(len(f.StatedLeaving().Reports(f.now, true, 10)), 0)
	f.ApplyState(f.now, &StoreState{At: At(era2, 9), Endpoints: []Endpoint{registered("a", At(era2, 2), false)}})
	f.ExpireMissing(f.now)
	is.Equal(f.StatedLeaving().Reports(f.now, true, 10), []IncarnationHash{Incarnation{ID: "a"}.Hash()})
}

// Guards against an endpoint that is never used again because the copy's registration was withheld.
func TestAWithheldRegistrationIsUsedLater(t *testing.T) {
	is := is.New(t)
	f := newEraFixture(registered("a", At(era1, 3), false))
	f.ApplyChanges(f.now, &Changes{At: At(era1, 21), Changes: []Change{{At: At(era1, 21), EndpointGone: "a"}}})
	f.ApplyState(f.now, &StoreState{At: At(era2, 9), Endpoints: []Endpoint{registered("a", At(era2, 3), false)}})
	f.ExpireMissing(f.now.Add(withholdTime - 1))
	is.True(!f.usable("a"))
	is.True(f.ExpireMissing(f.now.Add(withholdTime)))
	is.True(f.usable("a"))
}

// Guards against endpoints and nodes that are lost while what the copy lacks is written again, and against
// keeping those that are not.
func TestWhatACopyLacksStaysForAWhile(t *testing.T) {
	is := is.New(t)
	f := newEraFixture(registered("back", At(era1, 18), false), registered("gone", At(era1, 19), false))
	f.ApplyChanges(f.now, &Changes{At: At(era1, 21), Changes: []Change{{At: At(era1, 21), Node: &Node{Name: "g1"}}}})
	f.ApplyState(f.now, &StoreState{At: At(era2, 9)})
	is.True(f.usable("back"))
	is.True(f.usable("gone"))
	is.Equal(f.Missing(), 2)
	is.Equal(len(f.Snapshot().Nodes), 1)
	f.ApplyChanges(f.now, &Changes{At: At(era2, 10), Changes: []Change{{At: At(era2, 10), Endpoint: new(registered("back", At(era2, 10), false))}}})
	is.True(f.ExpireMissing(f.now.Add(missingGrace + 1)))
	is.True(f.usable("back"))
	is.True(!f.usable("gone"))
	is.Equal(len(f.Snapshot().Nodes), 0)
}

// Guards against changes and states of an earlier era that arrive late.
func TestAnEarlierEraChangesNothing(t *testing.T) {
	is := is.New(t)
	f := newEraFixture(registered("a", At(era1, 3), false))
	f.ApplyState(f.now, &StoreState{At: At(era2, 9), Endpoints: []Endpoint{registered("a", At(era2, 3), false)}})
	f.ApplyChanges(f.now, &Changes{At: At(era1, 30), Changes: []Change{{At: At(era1, 30), EndpointGone: "a"}}})
	f.ApplyState(f.now, &StoreState{At: At(era1, 31)})
	is.True(f.usable("a"))
	is.Equal(f.Replica.At(), At(era2, 9))
}

// Guards against a warm endpoint that counts as cold again because the copy has its first registration.
func TestACopyDoesNotCoolEndpoints(t *testing.T) {
	is := is.New(t)
	cold := registered("a", At(era1, 3), false)
	cold.ColdLeft = 10 * time.Second
	f := newEraFixture(cold)
	later := f.now.Add(8 * time.Second)
	cold.At = At(era2, 3)
	f.ApplyState(later, &StoreState{At: At(era2, 9), Endpoints: []Endpoint{cold}})
	is.Equal(f.Snapshot().EndpointByID("a").ColdUntil, f.now.Add(10*time.Second))
}

// Guards against an evacuation that ends because the copy lacks it, or by another node that started after the
// loss, and against one that never ends.
func TestEvacuationsOutlastALoss(t *testing.T) {
	is := is.New(t)
	f := newEraFixture()
	evacuations := f.Evacuations()
	is.True(evacuations.ApplyChange(f.now, Evacuation{"dc1", At(era1, 21), true}))
	is.True(evacuations.ApplyChange(f.now, Evacuation{"dc2", At(era1, 22), true}))
	is.Equal(len(evacuations.ApplyList(f.now, At(era2, 9), nil)), 0)
	is.Equal(len(evacuations.Merge(f.now, []Evacuation{{"dc1", At(era2, 10), false}})), 0)
	is.True(!evacuations.ApplyChange(f.now, Evacuation{"dc1", At(era2, 11), true})) // written again
	is.Equal(len(evacuations.EndUnconfirmed(f.now.Add(unconfirmedEvacuationTTL-1))), 0)
	is.Equal(evacuations.DataCentres(), []string{"dc1", "dc2"})
	ended := evacuations.EndUnconfirmed(f.now.Add(unconfirmedEvacuationTTL))
	is.Equal(ended, []Evacuation{{"dc2", At(era2, 9), false}})
	is.Equal(evacuations.DataCentres(), []string{"dc1"})
	is.Equal(evacuations.Count(), 1)
}

// Guards against reports of an era that this node has not read: they may begin evacuations, for a while,
// but not end them, and those of an earlier era do neither.
func TestReportsOfOtherEras(t *testing.T) {
	is := is.New(t)
	f := newEraFixture()
	evacuations := f.Evacuations()
	is.True(evacuations.ApplyChange(f.now, Evacuation{"dc1", At(era1, 21), true}))
	is.Equal(len(evacuations.Merge(f.now, []Evacuation{{"dc1", At(era2, 30), false}, {"dc2", At(era2, 30), true}})), 1)
	is.Equal(evacuations.DataCentres(), []string{"dc1", "dc2"})
	is.Equal(len(evacuations.EndUnconfirmed(f.now.Add(unconfirmedEvacuationTTL))), 1)
	is.Equal(evacuations.DataCentres(), []string{"dc1"})
	evacuations.ApplyList(f.now, At(era2, 40), nil)
	is.Equal(len(evacuations.Merge(f.now, []Evacuation{{"dc3", At(era1, 99), true}})), 0)
}

// Guards against an evacuation that ends while other nodes still report it, at a node that cannot read the new
// era, and against one that the store lists and a report makes depend on reports.
func TestAnEvacuationOfAnUnreadEraLastsAsLongAsItIsReported(t *testing.T) {
	is := is.New(t)
	f := newEraFixture()
	evacuations := f.Evacuations()
	is.True(evacuations.ApplyChange(f.now, Evacuation{"listed", At(era1, 21), true}))
	now := f.now
	for range 10 {
		evacuations.Merge(now, []Evacuation{{"listed", At(era2, 30), true}, {"reported", At(era2, 30), true}})
		now = now.Add(unconfirmedEvacuationTTL / 2)
		is.Equal(len(evacuations.EndUnconfirmed(now)), 0)
	}
	is.Equal(len(evacuations.EndUnconfirmed(now.Add(unconfirmedEvacuationTTL))), 1)
	is.Equal(evacuations.DataCentres(), []string{"listed"})
}

// Guards against a second loss that takes what the first one left missing for what has ended.
func TestWhatACopyLacksOutlastsTwoLosses(t *testing.T) {
	is := is.New(t)
	f := newEraFixture(registered("a", At(era1, 18), false))
	f.ApplyState(f.now, &StoreState{At: At(era2, 9)})
	f.ApplyState(f.now, &StoreState{At: At(StatedEra(3), 9)})
	is.True(f.usable("a"))
	f.ApplyState(f.now, &StoreState{At: At(StatedEra(4), 9), Endpoints: []Endpoint{registered("a", At(StatedEra(4), 3), false)}})
	is.True(f.usable("a"))
	is.Equal(f.Withheld(), 0)
}
