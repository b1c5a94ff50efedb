package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// regionSettings puts dc1 in eu and dc2 in us; dc3 is in no region.
const regionSettings = `,"regions":{"dc1":"eu","dc2":"us"}`

// register registers a worker in a data centre.
func (s *fixture) register(w *standin.Worker, dataCentre string) {
	text := strings.Replace(string(w.Registration("ready")), `"zone":"dc1"`, fmt.Sprintf(`"zone":%q`, dataCentre), 1)
	s.store.Put("servers/"+w.ID, []byte(text))
}

// configureRegions writes a configuration whose routes and account have lists of regions, in JSON; "" leaves
// a list out.
func (s *fixture) configureRegions(route, account string) {
	for _, r := range s.routes {
		delete(r, "allowed_regions")
		if route != "" {
			r["allowed_regions"] = json.RawMessage(route)
		}
	}
	s.version += 3
	config := string(s.config())
	if account != "" {
		config = strings.Replace(config, `"name":"acme"`, `"name":"acme","allowed_regions":`+account, 1)
	}
	s.store.Put("op/config", []byte(config))
}

// applyRegions is configureRegions, and waits until the configuration is in force.
func (s *fixture) applyRegions(route, account string) {
	s.t.Helper()
	s.configureRegions(route, account)
	s.waitFor("the configuration is in force", func() bool { return s.sumMetric("aspenyard_gateway_config_version ") == float64(s.version) })
}

// newRegionFixture prepares a gateway with one worker in each of dc1, dc2 and dc3.
func newRegionFixture(t *testing.T) *fixture {
	s := newFixture(t, plainWorker(), plainWorker(), plainWorker())
	for i, w := range s.workers {
		s.register(w, fmt.Sprintf("dc%d", i+1))
	}
	s.extraSettings = regionSettings
	return s
}

// Guards against requests that reach an endpoint in a region that the route or the account does not allow:
// either list alone, both together, an empty intersection, and a data centre without a region.
func TestRequestsStayInTheAllowedRegions(t *testing.T) {
	s := newRegionFixture(t).start()
	for i, c := range []struct {
		route, account string
		// allowed are the indexes of the workers that may be sent requests.
		allowed []int
	}{
		{"", "", []int{0, 1, 2}}, {"[]", "[]", []int{0, 1, 2}}, {`["eu"]`, "", []int{0}}, {"", `["us"]`, []int{1}}, {`["eu","us"]`, "", []int{0, 1}},
		{`["eu","us"]`, `["us","mars"]`, []int{1}}, {`["eu"]`, `["us"]`, nil}, {`["mars"]`, "", nil}, {"", `["eu"]`, []int{0}},
	} {
		t.Run(c.route+" "+c.account, func(t *testing.T) {
			is := is.New(t)
			s.applyRegions(c.route, c.account)
			before := make([]int, len(s.workers))
			for j, w := range s.workers {
				before[j] = len(w.Runs())
			}
			for j := range 30 {
				got := s.post([]string{"/again/a", "/once/a"}[j%2], fmt.Sprintf("q-%d-%d", i, j))
				if len(c.allowed) > 0 {
					is.Equal(got.status, http.StatusOK)
					continue
				}
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(strings.Contains(got.body, "outside_regions (3021)"))
				is.True(got.header.Get("Retry-After") != "")
			}
			allowed := map[int]bool{}
			for _, j := range c.allowed {
				allowed[j] = true
			}
			for j, w := range s.workers {
				is.True(allowed[j] || len(w.Runs()) == before[j])
			}
		})
	}
	is := is.New(t)
	is.Equal(s.sumMetric("aspenyard_gateway_regions_refused_total"), 60.0)
	s.waitFor("the refusals are logged", func() bool { return strings.Contains(s.log.String(), `"event":"regions_refused"`) })
	is.True(strings.Contains(s.log.String(), `"allowed":["mars"],"endpoints":3`))
}

// Guards against a retry or a resumed stream that leaves the region of the first attempt.
func TestRetriesStayInTheAllowedRegions(t *testing.T) {
	is := is.New(t)
	fails, takesOver, outside := streamingWorker(5), streamingWorker(5), streamingWorker(5)
	s := newFixture(t, fails, takesOver, outside)
	s.register(outside, "dc2")
	s.extraSettings = regionSettings
	s.start()
	s.applyRegions(`["eu"]`, "")
	for i, fault := range []standin.Fault{standin.FaultShed, standin.FaultReset, standin.FaultTruncated} {
		fails.SetDefaultFault(fault)
		for j := range 10 {
			id := fmt.Sprintf("r-%d-%d", i, j)
			is.Equal(s.post("/stream/a", id).body, standin.StreamText(id, 5))
		}
	}
	takesOver.SetDefaultFault(standin.FaultShed)
	fails.SetDefaultFault(standin.FaultShed)
	for i := range 10 {
		is.Equal(s.post("/stream/a", fmt.Sprint("refused", i)).status, http.StatusServiceUnavailable)
	}
	is.True(len(fails.Runs()) > 0)
	is.Equal(len(outside.Runs()), 0)
}

// Guards against parts and reservations at engines in other regions.
func TestHelpersAreInTheAllowedRegions(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 40)
	outside := map[string]bool{}
	for i, w := range s.workers {
		if i%2 == 1 {
			s.register(w, "dc2")
			outside[w.Addr()] = true
		}
	}
	s.extraSettings = regionSettings
	s.start()
	s.applyRegions("", `["eu"]`)
	for id, tokens := range map[string]int{"parts": 150_000, "reservations": 500_000} {
		is.Equal(s.sendPrompt(id, tokens).status, http.StatusOK)
		run := s.findRun(id)
		is.True(run.Helpers != "")
		for _, helper := range strings.Split(run.Helpers, ",") {
			addr, _, _ := strings.Cut(helper, "/")
			is.True(!outside[addr])
		}
	}
	for i, w := range s.workers {
		is.True(i%2 == 0 || len(w.Runs()) == 0 && w.FreedCount() == 0)
	}
}

// Guards against a long prompt that waits in the queue although no engine may ever take it.
func TestALongPromptOutsideTheRegionsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 12)
	s.extraSettings = regionSettings
	s.start()
	s.applyRegions(`["us"]`, "")
	got := s.sendPrompt("long", 150_000)
	is.True(strings.Contains(got.body, "outside_regions (3021)"))
	s.waitFor("the refusal is logged", func() bool { return strings.Contains(s.log.String(), `"event":"regions_refused"`) })
	is.True(!strings.Contains(s.log.String(), `"event":"queue_left"`))
}

// Guards against a malformed list that is taken for no restriction, or that replaces a valid configuration.
func TestAMalformedListOfRegionsIsRefused(t *testing.T) {
	is := is.New(t)
	s := newRegionFixture(t)
	s.configureRegions(`["eu"]`, "")
	s.start()
	for i, list := range []string{`"eu"`, `[1]`, `null`, `{}`, `[null]`, `[""]`} {
		s.configureRegions(list, "")
		s.waitFor("the error is logged", func() bool { return strings.Count(s.log.String(), `"event":"store_item_refused"`) == 2*i+1 })
		s.configureRegions("", list)
		s.waitFor("the error is logged", func() bool { return strings.Count(s.log.String(), `"event":"store_item_refused"`) == 2*i+2 })
	}
	is.True(strings.Contains(s.log.String(), `route \"once\": allowed_regions is [1], allowed: a list of names`))
	is.True(strings.Contains(s.log.String(), `account \"acme\": allowed_regions is \"eu\", allowed: a list of names`))
	for i := range 20 {
		is.Equal(s.post("/again/a", fmt.Sprint("q", i)).status, http.StatusOK)
	}
	is.Equal(len(s.workers[0].Runs()), 20) // the last valid configuration restricts them to eu
}

// Guards against an unknown region that fills the log, or that lifts the restriction.
func TestAnUnknownRegionIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	s := newRegionFixture(t).start()
	for range 3 {
		s.applyRegions(`["mars","eu"]`, `["mars"]`)
		is.True(strings.Contains(s.post("/again/a", "q").body, "outside_regions (3021)"))
	}
	const line = `"event":"unknown_region","node":"g1","role":"gateway","region":"mars","allowed_by":"account acme"`
	is.Equal(strings.Count(s.log.String(), line), 1)
	s.applyRegions(`["eu"]`, "")
	s.applyRegions(`["mars"]`, `["mars"]`)
	is.Equal(strings.Count(s.log.String(), line), 2)
}

// Guards against a gateway without the regions setting that ignores restrictions.
func TestWithoutTheSettingNoEndpointIsInARegion(t *testing.T) {
	is := is.New(t)
	s := newRegionFixture(t)
	s.extraSettings = ""
	s.start()
	is.Equal(s.post("/again/a", "free").status, http.StatusOK)
	s.applyRegions(`["eu"]`, "")
	is.True(strings.Contains(s.post("/again/a", "q").body, "outside_regions (3021)"))
}

// Guards against naming the regions as the cause where the endpoints in them leave, or where there is none.
func TestOtherCausesAreNotTakenForRegions(t *testing.T) {
	is := is.New(t)
	s := newRegionFixture(t).start()
	s.applyRegions(`["eu"]`, "")
	s.store.Put("servers/"+s.workers[0].ID, s.workers[0].Registration("draining"))
	s.waitFor("the endpoint leaves", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 2 })
	is.True(strings.Contains(s.post("/again/a", "leaving").body, "no_endpoint (3006)"))
	for _, w := range s.workers {
		s.store.Delete("servers/" + w.ID)
	}
	s.waitFor("no endpoint is listed", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 0 })
	is.True(strings.Contains(s.post("/again/a", "none").body, "no_endpoint (3006)"))
}
