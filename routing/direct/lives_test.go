package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// Symptom: an endpoint that was restarted gets no requests, or too few. Sequence: it is
// busy, refuses work and accepts no connections, and starts again under its ID; another
// entry, which has not heard of that, still tells what it had given it. Cause: what is
// remembered of an endpoint was kept by its ID.
func TestANewLifeHasNoneOfTheLoadBefore(t *testing.T) {
	is := is.New(t)
	before := endpoints(1)[0]
	before.StartUnixMilli = 100
	after := *before
	after.StartUnixMilli = 200
	p := policy(1)
	p.ledger.Begin(testNow, p.Place(testNow, prompt(3000), []*directory.EndpointState{before}))
	p.ledger.Avoid(before.Incarnation, testNow.Add(time.Minute))
	p.ledger.SetUnreachable(before.Incarnation, true)
	p.ledger.RecordLoadReport(testNow, before.Incarnation, 16, 30)
	p.ledger.SetEntryCount(2)
	p.ledger.ReplacePeerLoad(testNow, "b", nil, []EndpointLoad{{Endpoint: HashEndpoint(before.Incarnation), InFlight: 9, PendingPrefill: time.Second}})
	there := p.ledger.estimate(testNow, before.Incarnation)
	is.True(there.open > 9 && there.reading > time.Second)
	there = p.ledger.estimate(testNow, after.Incarnation)
	is.Equal(there.open, 0)
	is.Equal(there.reading, time.Duration(0))
	r := prompt(3000)
	r.Tried[before.Incarnation] = true
	plan := p.Place(testNow, r, []*directory.EndpointState{&after})
	is.Equal(plan.Endpoint.Incarnation, after.Incarnation)
	is.True(plan.Cost < openCost)
	p.ledger.Prune(func(life directory.Incarnation) bool { return life == after.Incarnation })
	is.True(p.ledger.loads[before.Incarnation] == nil)
}

// Where registrations do not say when a life began, entries of both kinds name endpoints
// alike.
func TestALifeWithoutBirthIsNamedByItsID(t *testing.T) {
	is := is.New(t)
	is.Equal(directory.Incarnation{ID: "a"}.String(), "a")
	is.True(HashEndpoint(directory.Incarnation{ID: "a", StartUnixMilli: 1}) != HashEndpoint(directory.Incarnation{ID: "a", StartUnixMilli: 2}))
}
