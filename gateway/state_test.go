package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

func TestNothingIsServedWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.launch()
	s.waitFor("the readiness check answers", func() bool { return s.readyStatus() == http.StatusServiceUnavailable })
	got := s.post("/once/a", "q1")
	is.Equal(got.status, http.StatusServiceUnavailable) // not 404, as the routes are not known yet
	is.True(got.header.Get("Retry-After") != "")
	s.configure()
	s.waitFor("ready", func() bool { return s.readyStatus() == http.StatusOK })
	is.Equal(s.post("/once/a", "q2").status, http.StatusOK)
}

// Guards against refusing requests because the first configuration is still being read. When all
// nodes were started again, a fifth of the requests was refused and was late when it was retried: a
// process listens before its first read of the store, which is answered tens of milliseconds later,
// and in between it counted as a process without a configuration.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.firstConfigWait = waitTimeout
	s.launch()
	answers := make(chan callerResponse, 1)
	go func() { answers <- s.post("/once/a", "q1") }()
	s.waitFor("the request has arrived", func() bool { return s.sumMetric("aspenyard_gateway_active_requests") == 1 || len(answers) == 1 })
	s.configure()
	is.Equal((<-answers).status, http.StatusOK)
	is.Equal(s.runCount("q1"), 1)
}

func TestRoutesAndKeysAreChecked(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	open := route("open", "/open/", "idempotent")
	open["public"] = true
	s.routes = append(s.routes, open)
	s.start()
	is.Equal(s.post("/nowhere/a", "q1").status, http.StatusNotFound)
	r := s.request(http.MethodPost, "/once/a", "q2", "")
	r.Header.Set("Authorization", "Bearer wrong")
	is.Equal(s.do(r).status, http.StatusUnauthorized)
	r = s.request(http.MethodPost, "/once/a", "q3", "")
	r.Header.Del("Authorization")
	is.Equal(s.do(r).status, http.StatusUnauthorized)
	r = s.request(http.MethodPost, "/open/a", "q4", "")
	r.Header.Del("Authorization")
	is.Equal(s.do(r).status, http.StatusOK)
	r = s.request(http.MethodPost, "/once/a", "q5", "")
	r.Host = "other.example"
	is.Equal(s.do(r).status, http.StatusNotFound)
	is.Equal(s.runCount("q1")+s.runCount("q2")+s.runCount("q3")+s.runCount("q5"), 0)
	is.Equal(s.workers[0].Runs()[0].Account, "") // the request has no client account
}

func TestTheLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker(), &standin.Worker{ID: "i-x", Service: "other"})
	deep := route("deep", "/once/deep/", "idempotent")
	deep["service"] = "other"
	s.routes = append(s.routes, deep)
	s.start()
	is.Equal(s.post("/once/deep/a", "q1").status, http.StatusOK)
	is.Equal(len(s.workers[1].Runs()), 1)
	is.Equal(s.post("/once/a", "q2").status, http.StatusOK)
	is.Equal(len(s.workers[0].Runs()), 1)
}

func TestARevokedKeyIsRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	is.Equal(s.post("/once/a", "q1").status, http.StatusOK)
	s.keys = []string{"key-2"}
	s.configure()
	n := 1
	s.waitFor("the key is refused", func() bool { n++; return s.post("/once/a", fmt.Sprint("q", n)).status == http.StatusUnauthorized })
}

// Guards against a node that uses an old configuration for seconds after an outage of the store,
// during which the configuration changed. The loss of a waiting call was noticed only after its wait.
func TestAChangeDuringAnOutageIsInForceAfterIt(t *testing.T) {
	for name, faults := range map[string]standin.StoreFaults{
		"silent": {NoResponse: true}, "busy": {RefuseStatus: http.StatusServiceUnavailable}, "many": {RefuseStatus: http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t, plainWorker()).start()
			s.store.SetFaults(faults)
			s.waitFor("the outage is noticed", func() bool { return strings.Contains(s.log.String(), "store_lost") })
			is.Equal(s.post("/once/a", "q1").status, http.StatusOK) // the known configuration stays in force
			s.routes = append(s.routes, route("new", "/new/", "idempotent"))
			s.configure()
			s.store.SetFaults(standin.StoreFaults{})
			s.waitFor("the new route is in force", func() bool { return s.post("/new/a", "q2").status == http.StatusOK })
			s.waitFor("the store's return is logged", func() bool { return strings.Contains(s.log.String(), "store_regained") })
		})
	}
}

// Guards against a node that rejects keys which were added while it is cut off from the store, to
// which the load balancer still sends callers. The node used to answer from a configuration that it
// knew might be out of date, and callers do not try another node after 401 or 404.
func TestANodeWithAStaleConfigurationDoesNotDenyRequests(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.extraSettings = `,"store_timeout":"50ms","config_within":"200ms","leaving_within":"200ms"`
	s.start()
	unknown := func(path string) callerResponse {
		r := s.request(http.MethodPost, path, "q1", "")
		r.Header.Set("Authorization", "Bearer added-later")
		return s.do(r)
	}
	is.Equal(unknown("/once/a").status, http.StatusUnauthorized)
	is.Equal(unknown("/later/a").status, http.StatusNotFound)
	s.store.SetFaults(standin.StoreFaults{NoResponse: true})
	s.waitFor("an unknown key is refused for now", func() bool { return unknown("/once/a").status == http.StatusServiceUnavailable })
	got := unknown("/later/a")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(s.post("/once/a", "q2").status, http.StatusOK) // the known routes stay in force
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("an unknown key is denied again", func() bool { return unknown("/once/a").status == http.StatusUnauthorized })
	is.Equal(s.runCount("q1"), 0)
}

// Guards against a node that misses a change for good, or for as long as a watch may wait: watches
// get no changes while the configuration changes, and then the store drops its history. Watches used
// to wait for ten seconds, and end without an answer in that case.
func TestTheStateIsReadInFullWhenTheHistoryIsGone(t *testing.T) {
	s := newFixture(t, plainWorker(), plainWorker()).start()
	s.store.SetFaults(standin.StoreFaults{MuteWatches: true})
	calls := s.store.CallCount("/-/kv-watch")
	s.waitFor("a watch that gets no changes", func() bool { return s.store.CallCount("/-/kv-watch") > calls })
	s.routes = append(s.routes, route("new", "/new/", "idempotent"))
	s.configure()
	s.store.Delete("servers/" + s.workers[0].ID)
	s.store.Compact()
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("the new route is in force", func() bool { return s.post("/new/a", "q2").status == http.StatusOK })
	before := len(s.workers[0].Runs())
	for i := range 10 {
		s.post("/once/a", fmt.Sprint("r", i))
	}
	if len(s.workers[0].Runs()) != before {
		t.Fatal("an endpoint that deregistered in the missing history was sent requests")
	}
}

// Guards against requests to an endpoint that is about to stop, whether it registers as draining or
// its registration just ends.
func TestALeavingEndpointGetsNoNewRequests(t *testing.T) {
	for _, how := range []string{"draining", "gone"} {
		t.Run(how, func(t *testing.T) {
			s := newFixture(t, plainWorker(), plainWorker()).start()
			leaving := s.workers[0]
			event := "endpoint_leaving"
			if how == "draining" {
				s.store.Put("servers/"+leaving.ID, leaving.Registration("draining"))
			} else {
				s.store.Delete("servers/" + leaving.ID)
				event = "endpoint_gone"
			}
			s.waitFor("the gateway knows that the endpoint leaves", func() bool { return strings.Contains(s.log.String(), event) })
			before := len(leaving.Runs())
			for i := range 20 {
				s.post("/once/a", fmt.Sprint("q", i))
			}
			if n := len(leaving.Runs()) - before; n > 0 {
				t.Fatalf("%d requests reached the leaving endpoint", n)
			}
		})
	}
}

// Guards against a node that stops serving because the store holds a configuration that cannot be
// decoded.
func TestAnUndecodableConfigurationIsLoggedAndIgnored(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	s.store.Put("op/config", []byte(`{"version":99,"routes":[{"name":"r","prefix":"/x/","route_kind":"sideways"}]}`))
	s.store.Put("servers/i-bad", []byte(`{"service":"app","address":"nowhere"}`))
	s.waitFor("the undecodable items are logged", func() bool { return strings.Contains(s.log.String(), "i-bad") })
	log := s.log.String()
	is.True(strings.Contains(log, "store_item_refused"))
	is.True(strings.Contains(log, "version 99"))
	is.True(strings.Contains(log, "sideways"))
	is.Equal(s.post("/once/a", "q1").status, http.StatusOK)
	s.version = 100
	s.configure()
	s.waitFor("the next configuration is in force", func() bool { return strings.Contains(s.log.String(), `"version":103`) })
}

// startDraining starts a fixture and a stream of 30 events, pace apart, and then a drain.
func startDraining(t *testing.T, pace time.Duration) (*fixture, <-chan callerResponse) {
	worker := streamingWorker(30)
	worker.EventInterval = pace
	s := newFixture(t, worker).start()
	results := make(chan callerResponse, 1)
	go func() { results <- s.post("/stream/a", "q1") }()
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	s.sendSIGTERM()
	s.waitFor("the readiness check fails", func() bool { return s.readyStatus() == http.StatusServiceUnavailable })
	return s, results
}

// Guards against requests that are cut off by SIGTERM, while a stream runs and callers go on using
// open connections.
func TestAShutdownCutsNoRequest(t *testing.T) {
	is := is.New(t)
	s, results := startDraining(t, 40*time.Millisecond)
	late := s.post("/stream/b", "q2") // the load balancer has not noticed the drain yet
	is.Equal(late.status, http.StatusOK)
	is.Equal(late.body, standin.StreamText("q2", 30))
	first := <-results
	is.NoErr(first.err)
	is.Equal(first.body, standin.StreamText("q1", 30))
	select {
	case err := <-s.serveErr:
		is.NoErr(err)
	case <-time.After(waitTimeout):
		t.Fatal("Serve does not return")
	}
}

// Guards against a drain that cuts off a stream when requests are no longer accepted, long before the
// process is killed.
func TestADrainWaitsForALongStream(t *testing.T) {
	is := is.New(t)
	s, results := startDraining(t, 80*time.Millisecond) // 2.4 s; requests are accepted for 1.8 s of 5 s
	got := <-results
	is.NoErr(got.err)
	is.Equal(got.body, standin.StreamText("q1", 30))
	is.NoErr(<-s.serveErr)
}

// Guards against a drain that cuts off requests when a change of the settings file and a second
// SIGTERM arrive during it. Any signal in a drain used to stop the process at once.
func TestFurtherSignalsDuringADrainCutNoRequest(t *testing.T) {
	is := is.New(t)
	s, results := startDraining(t, 40*time.Millisecond)
	s.sendSIGHUP()
	s.sendSIGTERM()
	select {
	case got := <-results:
		is.NoErr(got.err)
		is.Equal(got.body, standin.StreamText("q1", 30))
	case <-s.serveErr: // the process would have ended, and its connections with it
		t.Fatal("Serve returned while a request was in flight")
	}
	is.NoErr(<-s.serveErr)
}

func TestRequestsThatCannotEndBeforeTheStopAreRefused(t *testing.T) {
	is := is.New(t)
	worker := plainWorker()
	s := newFixture(t, worker).start()
	worker.SetDefaultFault(standin.FaultHang)
	go s.post("/once/a", "q1") // keeps the drain from ending
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	s.sendSIGTERM()
	s.waitFor("a late request is refused", func() bool {
		r := s.request(http.MethodPost, "/stream/late", "q2", "")
		r.Header.Set("X-Aspenyard-Deadline-Ms", "20")
		got := s.do(r)
		return got.err != nil || got.status == http.StatusServiceUnavailable
	})
	is.Equal(s.runCount("q3"), 0)
}

// Guards against requests that are cut off by SIGHUP after a change of the settings file.
func TestAReloadCutsNoRequest(t *testing.T) {
	is := is.New(t)
	worker := streamingWorker(20)
	worker.EventInterval = 20 * time.Millisecond
	s := newFixture(t, worker).start()
	results := make(chan callerResponse, 1)
	go func() { results <- s.post("/stream/a", "q1") }()
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	s.sendSIGHUP()
	s.waitFor("the reload is logged", func() bool { return strings.Contains(s.log.String(), `"event":"reload"`) })
	got := <-results
	is.NoErr(got.err)
	is.Equal(got.body, standin.StreamText("q1", 20))
	is.Equal(s.readyStatus(), http.StatusOK)
}

func TestMetricsReportOutcomesAndAges(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	s.post("/once/a", "q1")
	s.post("/nowhere/a", "q2")
	s.waitFor("both requests are counted", func() bool {
		return s.sumMetric(`aspenyard_gateway_requests_total{class="non_idempotent",code="1000"`) == 1 && s.sumMetric(`aspenyard_gateway_requests_total{class="none",code="2002"`) == 1
	})
	is.Equal(s.sumMetric("aspenyard_gateway_config_version"), 3.0)
	is.Equal(s.sumMetric("aspenyard_gateway_endpoints "), 1.0)
	is.True(s.sumMetric(`aspenyard_gateway_store_seconds_count{call="read"`) >= 1)
	is.Equal(s.sumMetric(`aspenyard_gateway_objective_events{kind="non_idempotent",outcome="good",window="5m"}`), 1.0)
	is.True(s.sumMetric("aspenyard_gateway_config_age_seconds ") > 0)
	is.True(s.sumMetric("aspenyard_gateway_list_age_seconds ") > 0)
}
