package direct

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// warmingService is a service of engines that bear perSecond requests a second while they are cold.
func warmingService(perSecond float64) *directory.Service {
	s := service()
	s.ColdTime, s.ColdPerSecond = 20*time.Second, perSecond
	return s
}

// coldList returns n engines of which the first few are cold for a minute from now on.
func coldList(now time.Time, n, cold int) []*directory.EndpointState {
	list := endpoints(n)
	for _, e := range list[:cold] {
		e.ColdSeenAt, e.ColdUntil = now, now.Add(time.Minute)
	}
	return list
}

// members returns the trackers of entries that have all been registered for long.
func members(now time.Time, n int) []*ColdEndpoints {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("n", i))
	}
	var list []*ColdEndpoints
	for _, name := range names {
		c := NewColdEndpoints()
		c.SetBound(1.5, 5)
		c.SetStarted(now.Add(-time.Hour))
		c.SetEntries(now, name, names)
		c.SetCurrent(now.Add(time.Hour))
		c.SetRegistered(now.Add(-time.Hour), now.Add(time.Hour))
		list = append(list, c)
	}
	return list
}

// Guards against shares that leave a cold endpoint without the requests that it tolerates while there is
// demand, and against a burst beyond the bound.
func TestEntriesTogetherUseWhatAColdEndpointBears(t *testing.T) {
	for _, entries := range []int{1, 4, 25, 68, 300, 3800} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			is := is.New(t)
			s, e := warmingService(32), coldList(at(0), 1, 1)[0]
			list := members(at(0), entries)
			var sent []time.Time
			for ms := 0; ms < 5000; ms += 25 {
				now := at(float64(ms) / 1000)
				for _, c := range list {
					for {
						ticket, ok := c.Take(now, s, e)
						if !ok {
							break
						}
						ticket.Sent(now)
						sent = append(sent, now)
					}
				}
			}
			is.True(maxWithin(sent, time.Second) <= 53)
			is.True(float64(len(sent)) >= 0.88*32*5)
		})
	}
}

// Guards against refusing nearly all requests by priority after an outage, while idle engines warm up.
func TestColdEnginesCountAsCapacity(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	p.tracker.cold = members(testNow, 1)[0]
	is.Equal(len(p.EngineStates(testNow, warmingService(32), coldList(testNow, 8, 6))), 8)
	is.Equal(len(p.EngineStates(testNow, warmingService(32), coldList(testNow, 8, 8))), 8)
}

// Guards against cold engines that delay urgent prompts, or take parts of others' prompts, while warm
// engines have free slots, and against cold engines that stay idle while warm ones have none.
func TestWarmEnginesArePreferred(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	p.tracker.cold = members(testNow, 1)[0]
	list := coldList(testNow, 8, 4)
	place := func(tokens, priority int) *Plan {
		r := prompt(tokens)
		r.Service, r.Priority = warmingService(32), priority
		return p.Place(testNow, r, list)
	}
	for _, tokens := range []int{2000, 30_000, 200_000} {
		for priority := range 2 {
			plan := place(tokens, priority)
			for _, e := range append([]*directory.EndpointState{plan.Endpoint}, plan.Helpers...) {
				is.True(!e.ColdUntil.After(testNow))
			}
		}
	}
	firstCold := 0
	for n := 1; firstCold == 0 && n < 200; n++ {
		plan := place(2000, 1)
		p.tracker.Begin(testNow, plan)
		if plan.Endpoint.ColdUntil.After(testNow) {
			firstCold = n
		}
	}
	is.True(firstCold > 3*4) // several prompts wait at each warm engine that takes short ones
}

// Guards against refusals that name a time at which there is still no share, that take less urgent
// requests first, or that are made while an engine may be used.
func TestRequestsBeyondWhatColdEnginesBearAreRefused(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	p.tracker.cold = members(testNow, 1)[0]
	list := coldList(testNow, 2, 2)
	s := warmingService(4)
	place := func(now time.Time, priority int) *Plan {
		r := prompt(2000)
		r.Service, r.Priority = s, priority
		return p.Place(now, r, list)
	}
	sent := 0
	for plan := place(testNow, 1); !plan.Refused(); plan = place(testNow, 1) {
		ticket, ok := p.tracker.cold.Take(testNow, s, plan.Endpoint)
		is.True(ok)
		ticket.Sent(testNow)
		sent++
	}
	is.Equal(sent, 2*6) // of 11 that each bears
	refused := place(testNow, 1)
	is.True(refused.WarmingUp)
	is.True(refused.RetryAfter > 900*time.Millisecond && refused.RetryAfter < 1100*time.Millisecond)
	is.True(place(testNow, 2).RetryAfter > refused.RetryAfter)
	free := testNow.Add(refused.RetryAfter)
	is.True(place(free, 2).Refused()) // kept for the more urgent request
	is.True(!place(free, 1).Refused())
}

// Guards against a service that is placed in another way although no warm-up is configured for it.
func TestPlacingWithoutAWarmUpIgnoresColdEndpoints(t *testing.T) {
	is := is.New(t)
	plans := func(list []*directory.EndpointState) []string {
		p, r := newPolicy(3), rand.New(rand.NewPCG(7, 7))
		p.tracker.cold.Merge(testNow, 0, []ColdReport{{HashEndpoint(list[2].Incarnation), time.Minute}})
		var got []string
		for range 300 {
			plan := p.Place(testNow, prompt(r.IntN(200_000)+1), list)
			if !plan.Refused() {
				p.tracker.Begin(testNow, plan)
				got = append(got, plan.Endpoint.ID+fmt.Sprint(plan.HelperIDs(), plan.Cost))
			}
		}
		return got
	}
	is.Equal(plans(coldList(testNow, 20, 20)), plans(endpoints(20)))
}

// Guards against a warm-up that ends by an older statement, lasts by a report that is repeated, or goes
// on to the next incarnation.
func TestWhoSaysThatAnEndpointIsCold(t *testing.T) {
	is := is.New(t)
	c, e := NewColdEndpoints(), endpoints(1)[0]
	cold := func(seconds float64) float64 { return c.Cold(at(seconds), e).Seconds() }
	is.True(c.Observe(at(1), e, at(0), 10*time.Second))
	is.Equal(cold(1), 10.0)
	is.True(!c.Observe(at(2), e, at(0.5), 0)) // sent before the statement was heard
	is.Equal(cold(2), 9.0)
	is.True(c.Observe(at(3), e, at(2), 3*time.Second))
	is.Equal(cold(3), 3.0)
	is.True(!c.Merge(at(3), 0, []ColdReport{{HashEndpoint(e.Incarnation), 2 * time.Second}}))
	is.True(!c.Merge(at(3), time.Second, []ColdReport{{HashEndpoint(e.Incarnation), 4 * time.Second}})) // late: the same end
	is.True(c.Merge(at(3), 0, []ColdReport{{HashEndpoint(e.Incarnation), 8 * time.Second}}))
	is.Equal(cold(3), 8.0)
	e.ColdSeenAt, e.ColdUntil = at(4), at(20)
	is.Equal(cold(4), 16.0)
	is.True(c.Observe(at(6), e, at(5), 0)) // newer than the registration
	is.Equal(cold(6), 0.0)
	is.Equal(c.Cold(at(6), &directory.EndpointState{Endpoint: directory.Endpoint{Incarnation: directory.Incarnation{ID: e.ID, StartUnixMilli: 5}}}), time.Duration(0))
	is.True(c.Observe(at(7), e, at(6.5), 3*time.Hour))
	is.Equal(cold(7), directory.MaxColdTime.Seconds())
}

// Guards against other entries that learn of a cold endpoint late, or never as there are too many.
func TestColdEndpointsAreReportedInTurns(t *testing.T) {
	is := is.New(t)
	c, list := NewColdEndpoints(), coldList(at(0), 30, 30)
	c.Observe(at(0), list[5], at(-1), 2*time.Minute)
	is.Equal(c.Reports(at(0.1), false, 10, slices.Values(list)), []ColdReport{{HashEndpoint(list[5].Incarnation), 119900 * time.Millisecond}})
	seen := map[EndpointHash]bool{}
	for i := range 4 {
		for _, r := range c.Reports(at(1+float64(i)), true, 10, slices.Values(list)) {
			seen[r.Endpoint] = true
		}
	}
	is.Equal(len(seen), 30)
}

// Guards against a tracker that takes an endpoint for warm because it hears nobody, and against one that
// keeps warm endpoints to their share while it would hear of a change.
func TestAnEntryThatHearsNobodyKeepsEveryEndpointToItsShare(t *testing.T) {
	is := is.New(t)
	c, s, e := members(at(0), 4)[0], warmingService(32), endpoints(1)[0]
	taken := func(now time.Time) int {
		n := 0
		for n < 1000 {
			ticket, ok := c.Take(now, s, e)
			if !ok {
				break
			}
			ticket.Sent(now)
			n++
		}
		return n
	}
	is.Equal(taken(at(0)), 1000) // it has just started and hears the store
	c.SetHeard(2)
	c.currentAt = at(0) // the store does not answer any more
	is.Equal(taken(at(20)), 1000)
	c.SetHeard(0)
	is.True(taken(at(40)) < 10)
	c.currentAt = at(40) // the others have ended, and the store says nothing else
	is.Equal(taken(at(42)), 1000)
	is.True(taken(at(44)) < 10)
	c = members(at(0), 1)[0]
	c.currentAt = at(0)
	is.Equal(taken(at(1)), 1000)
	is.True(taken(at(20)) < 10)
}

// BenchmarkColdDecision measures one decision among 10,000 endpoints, a tenth of them cold, at 3,800
// entries.
func BenchmarkColdDecision(b *testing.B) {
	p := newPolicy(1)
	p.tracker.cold = members(testNow, 3800)[0]
	list := coldList(testNow, 10_000, 1000)
	r := prompt(2000)
	r.Service = warmingService(32)
	p.Place(testNow, r, list)
	for b.Loop() {
		p.Place(testNow, r, list)
	}
}

// BenchmarkDecisionWithoutAWarmUp is the same decision for a service without a warm-up.
func BenchmarkDecisionWithoutAWarmUp(b *testing.B) {
	p, list, r := newPolicy(1), coldList(testNow, 10_000, 1000), prompt(2000)
	for b.Loop() {
		p.Place(testNow, r, list)
	}
}

// BenchmarkColdRank measures what a change of the list of 3,800 entries costs for one cold endpoint.
func BenchmarkColdRank(b *testing.B) {
	c, e := members(testNow, 3800)[0], coldList(testNow, 1, 1)[0]
	for b.Loop() {
		c.epoch++
		c.status(testNow, warmingService(32), e)
	}
}
