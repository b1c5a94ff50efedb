package direct

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// limitEndpoints makes endpoints state a limit, a second before testNow.
func limitEndpoints(p *Policy, perSecond float64, list []*directory.EndpointState) {
	p.tracker.limits.SetEntries(testNow, "a", []string{"a"})
	for _, e := range list {
		p.tracker.limits.Observe(testNow.Add(-time.Second), HashEndpoint(e.Incarnation), testNow.Add(-2*time.Second), true, perSecond)
	}
}

// usesAny reports whether a plan's endpoint or helpers are among the given ones.
func usesAny(plan *Plan, list []*directory.EndpointState) bool {
	return slices.ContainsFunc(append(plan.Helpers, plan.Endpoint), func(e *directory.EndpointState) bool { return slices.Contains(list, e) })
}

// Guards against spending a limited endpoint's allowance while others are free, and against leaving
// it unused when they are not.
func TestLimitedEndpointsServeWhatOthersCannotTakeSoon(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(3)
	limited := list[:1]
	limitEndpoints(p, 1, limited)
	request := &Request{Service: &directory.Service{Name: "plain"}, Tried: map[directory.Incarnation]bool{}}
	for range 20 {
		plan := p.Place(testNow, request, list)
		is.True(!usesAny(plan, limited))
	}
	for range 60 { // 30 requests in flight at each of the others
		for _, e := range list[1:] {
			p.tracker.Begin(testNow, &Plan{Endpoint: e})
		}
	}
	plan := p.Place(testNow, request, list)
	is.True(usesAny(plan, limited))
	is.True(p.tracker.limits.Take(testNow, HashEndpoint(limited[0].Incarnation)))
	plan = p.Place(testNow, request, list)
	is.True(!usesAny(plan, limited)) // its allowance is used up
}

// Guards against a limited engine that prefills parts of long prompts, each of which others can take.
func TestLimitedEnginesTakeNoLongPromptsBesideOthers(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(20)
	limited := list[14:]
	limitEndpoints(p, 5, limited)
	is.Equal(len(p.Usable(testNow, testNow, list)), 14)
	for _, tokens := range []int{20_000, 60_000, 150_000, 400_000} {
		p.AddLongPrompt(testNow, service(), 14, tokens)
		plan := p.Place(testNow, prompt(tokens), list)
		is.True(!usesAny(plan, limited))
	}
}

// Guards against requests that are sent beyond the limits, or wait, where all endpoints state one.
func TestRequestsBeyondAllLimitsAreRefused(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(2)
	limitEndpoints(p, 2, list)
	for range 2 {
		plan := p.Place(testNow, prompt(3000), list)
		is.True(!plan.RateLimited)
		is.Equal(len(plan.Helpers), 0)
		is.True(p.tracker.limits.Take(testNow, HashEndpoint(plan.Endpoint.Incarnation)))
	}
	p.tracker.limits.Take(testNow, HashEndpoint(list[0].Incarnation))
	p.tracker.limits.Take(testNow, HashEndpoint(list[1].Incarnation))
	plan := p.Place(testNow, prompt(3000), list)
	is.True(plan.RateLimited)
	is.True(plan.RetryAfter >= minLimitRetryAfter && plan.RetryAfter <= time.Second)
	is.True(!p.Place(testNow.Add(2*time.Second), prompt(3000), list).RateLimited)
	is.True(p.Place(testNow.Add(2*time.Second), prompt(500_000), list).RateLimited) // needs several engines
}

// Guards against less urgent requests that use up the allowance for which more urgent ones come back.
func TestAllowanceIsKeptForMoreUrgentRequests(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(1)
	limitEndpoints(p, 1, list)
	hash := HashEndpoint(list[0].Incarnation)
	for p.tracker.limits.Take(testNow, hash) {
	}
	urgent, bulk := prompt(3000), prompt(3000)
	urgent.Priority, bulk.Priority = 0, 2
	refused := p.Place(testNow, urgent, list)
	is.True(refused.RateLimited)
	later := testNow.Add(1500 * time.Millisecond)
	refusedBulk := p.Place(later, bulk, list)
	is.True(refusedBulk.RateLimited) // although there is allowance again
	is.True(refusedBulk.RetryAfter >= 2*minLimitRetryAfter)
	is.True(!p.Place(later, urgent, list).RateLimited)
	is.True(!p.Place(testNow.Add(urgentReserveTime+time.Second), bulk, list).RateLimited)
}

// Guards against leaving out engines for long prompts whose limit they never reach.
func TestAnEngineWithAHighLimitIsUsedLikeOthers(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(20)
	limitEndpoints(p, 1000, list)
	is.Equal(len(p.Usable(testNow, testNow, list)), 20)
	p.AddLongPrompt(testNow, service(), 20, 150_000)
	plan := p.Place(testNow, prompt(150_000), list)
	is.True(!plan.RateLimited)
	is.True(len(plan.Helpers) > 0)
}

// Guards against an endpoint that keeps its limit for ever because nobody asks whether it has ended.
func TestAnUnconfirmedLimitIsAskedAbout(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	list := endpoints(4)
	limitEndpoints(p, 1, list[:1])
	request := &Request{Service: &directory.Service{Name: "plain"}, Tried: map[directory.Incarnation]bool{}}
	asked := false
	for range 50 {
		asked = asked || usesAny(p.Place(testNow.Add(10*time.Second), request, list), list[:1])
	}
	is.True(asked)
}

// BenchmarkPlace places short prompts on 950 engines of which none, a tenth or all state a limit.
func BenchmarkPlace(b *testing.B) {
	for _, limited := range []int{0, 95, 950} {
		b.Run(strconv.Itoa(limited), func(b *testing.B) {
			p := newPolicy(1)
			list := endpoints(950)
			limitEndpoints(p, 1e9, list[:limited])
			for b.Loop() {
				p.Place(testNow, prompt(3000), list)
			}
		})
	}
}
