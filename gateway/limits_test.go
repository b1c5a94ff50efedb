package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

const (
	// limitWindow and limitAllowed are the users' rule for an endpoint that states a limit: in any
	// window it gets at most limitFactor times what the limit allows, and limitExtra more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

func allowedByLimit(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitExtra)
}

// startGateways starts n gateways of one deployment that exchange heartbeats.
func startGateways(t *testing.T, n int, workers ...*standin.Worker) []*fixture {
	t.Helper()
	return startGatewaysOn(t, n, func(*standin.Store) {}, workers...)
}

// startGatewaysOn is startGateways with a store that prepare has changed.
func startGatewaysOn(t *testing.T, n int, prepare func(*standin.Store), workers ...*standin.Worker) []*fixture {
	t.Helper()
	var all []*fixture
	for i := range n {
		s := newFixture(t)
		if i == 0 {
			s = newFixture(t, workers...)
			prepare(s.store)
		} else {
			s.store, s.version = all[0].store, all[0].version
			s.extraSettings = fmt.Sprintf(`,"name":"g%d"`, i+1)
		}
		s.enablePeers()
		all = append(all, s.start())
	}
	for _, s := range all {
		s.waitFor("the other gateways' heartbeats arrive", func() bool { return s.sumMetric("aspenyard_gateway_peers_heard ") == float64(n-1) })
	}
	return all
}

// sendConstantly sends requests through all gateways, at an interval for each, for a time, and
// returns the number of responses by status.
func sendConstantly(gateways []*fixture, path string, interval, total time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var callers sync.WaitGroup
	until := time.Now().Add(total)
	for g, s := range gateways {
		for i := range int(total / interval) {
			callers.Go(func() {
				time.Sleep(time.Until(until.Add(time.Duration(i+1)*interval - total)))
				got := s.post(path, fmt.Sprintf("g%d-%d-%d", g, until.UnixNano(), i))
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			})
		}
	}
	callers.Wait()
	return statuses
}

// senderOf returns the gateway of a request that sendConstantly sent.
func senderOf(r *standin.Run) string { return strings.SplitN(r.ID, "-", 2)[0] }

// Guards against an endpoint that gets more requests, from all entries together, than the limit that
// it states.
func TestAllEntriesTogetherKeepAnEndpointsLimit(t *testing.T) {
	is := is.New(t)
	limited := plainWorker()
	gateways := startGateways(t, 4, limited, plainWorker(), plainWorker())
	sendConstantly(gateways, "/again/a", 100*time.Millisecond, time.Second)
	limited.SetLimit(1)
	named := time.Now()
	sendConstantly(gateways, "/again/a", 100*time.Millisecond, time.Second)
	for _, s := range gateways {
		s.waitFor("the limit is known", func() bool { return s.sumMetric("aspenyard_gateway_limited_endpoints ") == 1 })
	}
	known := time.Now()
	sendConstantly(gateways, "/again/a", 100*time.Millisecond, 6*time.Second)
	t.Logf("arrivals a second by gateway: %v", limited.ArrivalsPerSecond(named, senderOf))
	got := limited.MaxArrivals(known, limitWindow)
	t.Logf("%d requests in 4 s, allowed %d", got, allowedByLimit(1))
	is.True(got <= allowedByLimit(1))
}

// Guards against endpoints that get more requests than their limits where no other endpoint is left.
func TestAllEntriesTogetherKeepTheLimitsOfAllEndpoints(t *testing.T) {
	is := is.New(t)
	workers := []*standin.Worker{plainWorker(), plainWorker()}
	gateways := startGateways(t, 4, workers...)
	for _, w := range workers {
		w.SetLimit(2)
	}
	for _, s := range gateways {
		s.waitFor("the limits are known", func() bool {
			s.post("/again/a", "r")
			return s.sumMetric(limitedEndpoints) == 2
		})
	}
	known := time.Now()
	statuses := sendConstantly(gateways, "/again/a", 50*time.Millisecond, 6*time.Second)
	t.Logf("statuses %v", statuses)
	is.Equal(len(statuses), 2) // served or refused, nothing else
	is.True(statuses[200] > 0)
	is.True(statuses[503] > 0)
	for _, w := range workers {
		is.True(w.MaxArrivals(known, limitWindow) <= allowedByLimit(2))
	}
}

// Guards against limits that operators cannot see in logs and metrics.
func TestStatedLimitsAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	s := newFixture(t, w).start()
	w.SetLimit(1e6) // enough for the requests of this test
	s.post("/again/a", "r1")
	is.Equal(s.sumMetric("aspenyard_gateway_limited_endpoints "), 1.0)
	is.True(strings.Contains(s.log.String(), `"event":"endpoint_limit","node":"g1","role":"gateway","endpoint":"i-1","limit":1000000,"header":"Server-Limit"`))
	w.SetLimitText("ten")
	s.post("/again/a", "r2")
	is.Equal(s.sumMetric("aspenyard_gateway_limited_endpoints "), 1.0) // the earlier limit stands
	is.Equal(s.sumMetric("aspenyard_gateway_invalid_limits_total "), 1.0)
	is.True(strings.Contains(s.log.String(), `"event":"endpoint_limit_refused"`))
	is.Equal(s.sumMetric(`aspenyard_gateway_limited_requests_total{service="app"}`), 1.0)
	w.SetLimitText("")
	s.post("/again/a", "r3")
	is.Equal(s.sumMetric("aspenyard_gateway_limited_endpoints "), 0.0)
	is.True(strings.Contains(s.log.String(), `"event":"endpoint_limit_ended"`))
}

// limitedEndpoints is the metric of the endpoints that a gateway knows to state a limit.
const limitedEndpoints = "aspenyard_gateway_limited_endpoints "

// Guards against an entry that starts and sends to an endpoint without knowing the limit that the
// others know, also after the entry that heard it has ended.
func TestAStartingEntryLearnsOfLimitsFromItsPeers(t *testing.T) {
	is := is.New(t)
	limited := plainWorker()
	gateways := startGateways(t, 2, limited, plainWorker())
	limited.SetLimit(0)
	first, second := gateways[0], gateways[1]
	first.waitFor("the first gateway hears the limit", func() bool {
		first.post("/again/a", "r")
		return first.sumMetric(limitedEndpoints) == 1
	})
	second.waitFor("the second gateway learns of it", func() bool { return second.sumMetric(limitedEndpoints) == 1 })
	is.True(strings.Contains(second.log.String(), `"limit":0,"header":"","heard_from":"g1"`))
	first.sendSIGTERM()
	<-first.serveErr
	third := newFixture(t)
	third.store, third.version = first.store, first.version
	third.extraSettings = `,"name":"g3"`
	third.enablePeers()
	third.start()
	third.waitFor("the third gateway learns of it", func() bool { return third.sumMetric(limitedEndpoints) == 1 })
	before := len(limited.Runs())
	for i := range 20 {
		is.Equal(third.post("/again/a", fmt.Sprint("s", i)).status, 200)
	}
	is.True(len(limited.Runs()) <= before+1)
}

// Guards against requests that wait, or are sent, when all endpoints' limits are used up, and against
// a refusal that does not say when to come back.
func TestARequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	limited := plainWorker()
	s := newFixture(t, limited).start()
	limited.SetLimit(0)
	is.Equal(s.post("/once/a", "r1").status, 200) // states the limit
	for i := range 3 {
		got := s.post("/once/a", fmt.Sprint("q", i))
		is.Equal(got.status, 503)
		is.True(strings.Contains(got.body, "3016"))
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(s.runCount(fmt.Sprint("q", i)), 0)
	}
	is.True(strings.Contains(s.log.String(), `"event":"limit_refused"`))
	is.Equal(s.sumMetric(`aspenyard_gateway_limit_refused_total{service="app"}`), 3.0)
}

// Guards against entries that go on limiting an endpoint that no longer states a limit.
func TestAllEntriesLearnThatALimitHasEnded(t *testing.T) {
	limited := plainWorker()
	gateways := startGateways(t, 3, limited)
	limited.SetLimit(5)
	known := func(want float64) func() bool {
		return func() bool {
			all := true
			for i, s := range gateways {
				s.post("/again/a", fmt.Sprint("r", i))
				all = all && s.sumMetric(limitedEndpoints) == want
			}
			return all
		}
	}
	gateways[0].waitFor("all gateways know the limit", known(1))
	limited.SetLimitText("")
	gateways[0].waitFor("no gateway knows a limit", known(0))
}

// Guards against a new incarnation of an endpoint that inherits the limit of the one before.
func TestANewIncarnationHasNoLimit(t *testing.T) {
	is := is.New(t)
	old := plainWorker()
	old.StartUnixMilli = 1000
	s := newFixture(t, old).start()
	old.SetLimit(0)
	is.Equal(s.post("/again/a", "r1").status, 200)
	is.Equal(s.post("/again/a", "r2").status, 503)
	addr := old.Addr()
	old.Stop()
	next := &standin.Worker{ID: old.ID, Service: old.Service, StartUnixMilli: 2000}
	is.NoErr(next.StartAt(addr))
	t.Cleanup(next.Stop)
	s.store.Put("servers/"+next.ID, next.Registration("ready"))
	s.waitFor("the new incarnation serves", func() bool { return s.post("/again/a", "r3").status == 200 })
	for i := range 10 {
		is.Equal(s.post("/again/a", fmt.Sprint("n", i)).status, 200)
	}
}

// Guards against an entry's own retries that are not counted as requests to a limited endpoint.
func TestRetriesCountForALimit(t *testing.T) {
	is := is.New(t)
	failing, limited := plainWorker(), plainWorker()
	s := newFixture(t, failing, limited).start()
	limited.SetLimit(0)
	s.waitFor("the limit is known", func() bool {
		s.post("/again/a", "r")
		return s.sumMetric(limitedEndpoints) == 1
	})
	before := len(limited.Runs())
	failing.SetDefaultFault(standin.FaultShed)
	for i := range 10 {
		s.post("/again/a", fmt.Sprint("q", i))
	}
	is.True(len(limited.Runs()) <= before+1)
}
