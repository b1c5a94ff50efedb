package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// Guards against a restarted endpoint getting no requests, or too few. The endpoint refuses
// work and accepts no connections, then starts again under its ID, while another entry that
// has not learned of the restart still reports the old load. This happened when the state
// of an endpoint was kept by its ID.
func TestNewIncarnationHasNoLoad(t *testing.T) {
	is := is.New(t)
	before := endpoints(1)[0]
	before.StartUnixMilli = 100
	after := *before
	after.StartUnixMilli = 200
	p := newPolicy(1)
	p.tracker.Begin(testNow, p.Place(testNow, prompt(3000), []*directory.EndpointState{before}))
	p.tracker.Avoid(before.Incarnation, testNow.Add(time.Minute))
	p.tracker.SetUnreachable(before.Incarnation, true)
	p.tracker.RecordLoadReport(testNow, before.Incarnation, 16, 30)
	p.tracker.SetEntryCount(2)
	p.tracker.ReplacePeerLoad(testNow, "b", nil, []EndpointLoad{{Endpoint: HashEndpoint(before.Incarnation), InFlight: 9, PendingPrefill: time.Second}})
	load := p.tracker.estimate(testNow, before.Incarnation)
	is.True(load.inFlight > 9 && load.pendingPrefill > time.Second)
	load = p.tracker.estimate(testNow, after.Incarnation)
	is.Equal(load.inFlight, 0)
	is.Equal(load.pendingPrefill, time.Duration(0))
	r := prompt(3000)
	r.Tried[before.Incarnation] = true
	plan := p.Place(testNow, r, []*directory.EndpointState{&after})
	is.Equal(plan.Endpoint.Incarnation, after.Incarnation)
	is.True(plan.Cost < inFlightCost)
	p.tracker.Prune(func(incarnation directory.Incarnation) bool { return incarnation == after.Incarnation })
	is.True(p.tracker.endpoints[before.Incarnation] == nil)
}

// An endpoint whose registration does not say when its incarnation began is identified by
// its ID alone, so that all entries identify it alike.
func TestIncarnationWithoutStartTimeIsIdentifiedByID(t *testing.T) {
	is := is.New(t)
	is.Equal(directory.Incarnation{ID: "a"}.String(), "a")
	is.True(HashEndpoint(directory.Incarnation{ID: "a", StartUnixMilli: 1}) != HashEndpoint(directory.Incarnation{ID: "a", StartUnixMilli: 2}))
}
