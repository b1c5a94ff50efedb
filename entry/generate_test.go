package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/catalogue"
	"aspenyard.example/result"
	"aspenyard.example/routing"
)

var testTime = time.Unix(1_780_000_000, 0)

// newTestGeneration makes a generation for a prompt of 1,000 tokens and an entry that
// knows endpoints of these names.
func newTestGeneration(t *testing.T, names ...string) *generation {
	t.Helper()
	policy, err := routing.New(routing.PolicyAspenyard, rand.New(rand.NewPCG(1, 1)), nil)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := make([]routing.Endpoint, 0, len(names))
	for _, name := range names {
		endpoints = append(endpoints, routing.Endpoint{Name: name, Models: []string{"m"}, MemoryTokens: 400_000, PrefillRate: 20_000})
	}
	e := &Entry{policy: policy, control: &controlState{}}
	e.control.endpoints.Store(&endpoints)
	return &generation{
		entry: e, call: &call{account: &catalogue.Record{ID: "crew"}, kind: &catalogue.Record{ID: "line-plan"}}, prompt: "text",
		routing: routing.Request{Model: "m", PromptTokens: 1000, Tried: map[string]bool{}},
	}
}

// nextEndpoint picks the endpoint for the next attempt.
func (g *generation) nextEndpoint() *routing.Endpoint {
	return g.retryState.Pick(testTime, g.entry.policy, &g.routing, g.deferralKey, *g.entry.control.endpoints.Load())
}

// refuseNext picks the next endpoint and has it refuse the request. It returns the
// endpoint's name and the final error, nil if another endpoint is to be tried.
func (g *generation) refuseNext(wait time.Duration) (string, *result.Error) {
	endpoint := g.nextEndpoint()
	g.routing.Tried[endpoint.Name] = true
	refusal := result.Refuse(result.Overloaded, wait, "full")
	refusal.Deferral = g.routing.Key != 0
	return endpoint.Name, g.handleRefusal(refusal)
}

// The home endpoint must be the same whatever order an entry holds its endpoints in, and
// its Retry-After must reach the caller although earlier refusals had a shorter one.
func TestHomeEndpointIsTriedLastAndItsRetryAfterIsReturned(t *testing.T) {
	is := is.New(t)
	g := newTestGeneration(t, "a", "b", "c", "d")
	for range routing.MaxAttempts - 1 {
		_, final := g.refuseNext(time.Second)
		is.True(final == nil)
	}
	home, final := g.refuseNext(time.Minute)
	is.Equal(final.RetryAfter, time.Minute)
	other := newTestGeneration(t, "d", "c", "b", "a")
	for range routing.MaxAttempts - 1 {
		other.refuseNext(time.Second)
	}
	again, _ := other.refuseNext(time.Second)
	is.Equal(again, home)
}

// Guards against sending a request again and again to an engine that has just failed it,
// until the retry budget is spent. This happened when all endpoints refused, the home
// endpoint then accepted and failed, and was picked again although it had been tried.
func TestHomeEndpointIsTriedOnce(t *testing.T) {
	is := is.New(t)
	g := newTestGeneration(t, "a", "b")
	g.refuseNext(time.Second)
	g.refuseNext(time.Second)
	home := g.nextEndpoint()
	is.True(home != nil)
	is.True(g.nextEndpoint() == nil) // both were tried
	is.Equal(g.routing.Key, uint64(0))
}
