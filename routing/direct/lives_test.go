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
	before.Born = 100
	after := *before
	after.Born = 200
	p := policy(1)
	p.ledger.Begin(testNow, p.Place(testNow, prompt(3000), []*directory.Listed{before}))
	p.ledger.Avoid(before.Life, testNow.Add(time.Minute))
	p.ledger.SetUnreachable(before.Life, true)
	p.ledger.RecordLoadReport(testNow, before.Life, 16, 30)
	p.ledger.SetEntryCount(2)
	p.ledger.ReplacePeerLoad(testNow, "b", nil, []EndpointLoad{{Endpoint: HashEndpoint(before.Life), InFlight: 9, PendingPrefill: time.Second}})
	there := p.ledger.estimate(testNow, before.Life)
	is.True(there.open > 9 && there.reading > time.Second)
	there = p.ledger.estimate(testNow, after.Life)
	is.Equal(there.open, 0)
	is.Equal(there.reading, time.Duration(0))
	r := prompt(3000)
	r.Tried[before.Life] = true
	plan := p.Place(testNow, r, []*directory.Listed{&after})
	is.Equal(plan.Endpoint.Life, after.Life)
	is.True(plan.Cost < openCost)
	p.ledger.Prune(func(life directory.Life) bool { return life == after.Life })
	is.True(p.ledger.loads[before.Life] == nil)
}

// Where registrations do not say when a life began, entries of both kinds name endpoints
// alike.
func TestALifeWithoutBirthIsNamedByItsID(t *testing.T) {
	is := is.New(t)
	is.Equal(directory.Life{ID: "a"}.String(), "a")
	is.True(HashEndpoint(directory.Life{ID: "a", Born: 1}) != HashEndpoint(directory.Life{ID: "a", Born: 2}))
}
