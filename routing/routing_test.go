package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testNow = time.Unix(1_780_000_000, 0)

func endpoint(name string) Endpoint {
	return Endpoint{
		Name: name, DataCentre: "dc1", Models: []string{"m"}, Services: []string{"s"}, MemoryTokens: 400_000,
		FreeMemory: 400_000, PrefillRate: 20_000, MaxRunning: 32, Reported: testNow,
	}
}

func request(tokens int) *Request {
	return &Request{Model: "m", PromptTokens: tokens, DataCentre: "dc1", Tried: map[string]bool{}}
}

func newPolicy(t *testing.T) *Policy {
	t.Helper()
	policy, err := New(PolicyAspenyard, rand.New(rand.NewPCG(1, 1)), nil)
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

func TestUnknownPolicyIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := New("best", nil, nil)
	is.True(err != nil)
}

func TestRouteWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	is.True(newPolicy(t).Route(testNow, request(1000), nil) == nil)
}

// Guards against all entries sending to the endpoint that was idle in the last load report:
// many requests arrive between two reports, so a report must be corrected by the entry's
// own dispatches since.
func TestOwnDispatchesCorrectAnOldReport(t *testing.T) {
	is := is.New(t)
	policy := newPolicy(t)
	endpoints := []Endpoint{endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d")}
	endpoints[1].Backlog[0] = 2000
	counts := map[string]int{}
	for i := range 100 {
		at := testNow.Add(time.Duration(i+1) * time.Millisecond)
		counts[policy.Route(at, request(3000), endpoints).Name]++
	}
	for _, e := range endpoints {
		is.True(counts[e.Name] >= 15) // an even share is 25
	}
}

func TestPoliciesPickOnlyServingEndpoints(t *testing.T) {
	for _, name := range PolicyNames() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			policy, err := New(name, rand.New(rand.NewPCG(1, 1)), noneInFlight{})
			is.NoErr(err)
			endpoints := []Endpoint{endpoint("a"), endpoint("b"), endpoint("c")}
			endpoints[0].Leaving = true
			endpoints[1].Suspect = true
			for range 20 {
				is.Equal(policy.Route(testNow, request(1000), endpoints).Name, "c")
			}
		})
	}
}

type noneInFlight struct{}

func (noneInFlight) Count(string) int { return 0 }
