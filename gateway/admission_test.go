package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// newPriorityFixture prepares a gateway with one engine whose streams take seconds, and two routes
// to it of the given priorities.
func newPriorityFixture(t *testing.T, urgent, bulk int) *fixture {
	t.Helper()
	worker := &standin.Worker{ID: "e-1", Service: "model", EventCount: 40, EventInterval: 50 * time.Millisecond}
	s := newFixture(t, worker)
	s.routes = append(s.routes, priorityRoute("urgent", urgent), priorityRoute("bulk", bulk))
	return s
}

func priorityRoute(name string, priority int) map[string]any {
	r := route(name, "/"+name+"/", "streaming")
	r["service"], r["priority"], r["target_latency_ms"] = "model", priority, 4000
	return r
}

// prompt sends a prompt of 8,000 tokens, which takes a tenth of a second of an engine's time.
func (s *fixture) prompt(path, id string) callerResponse {
	r := s.request(http.MethodPost, path, id, "body of "+id)
	r.Header.Set("X-Aspenyard-Model", "m")
	r.Header.Set("X-Aspenyard-Token-Usage", "8000,400")
	return s.do(r)
}

// overload sends prompts to the engine until one is refused by priority, or limit prompts were sent.
// It returns the number of refusals.
func (s *fixture) overload(path, name string, limit int) int {
	var mu sync.Mutex
	var callers sync.WaitGroup
	refused, refusals := make(chan struct{}, limit), 0
	for i := range limit {
		callers.Go(func() {
			got := s.prompt(path, fmt.Sprintf("%s-%d", name, i))
			if got.status == http.StatusServiceUnavailable {
				mu.Lock()
				refusals++
				mu.Unlock()
				refused <- struct{}{}
			}
		})
		select {
		case <-refused:
			callers.Wait()
			return refusals
		case <-time.After(20 * time.Millisecond):
		}
	}
	callers.Wait()
	return refusals
}

// notAdmitted is the metric of requests refused by priority.
const notAdmitted = `aspenyard_gateway_not_admitted_total{service="model"`

// Guards against serving requests of all priorities late while capacity is scarce: less urgent ones are
// refused, with a time to return, and urgent ones are served.
func TestLessUrgentRequestsAreRefusedWhileCapacityIsScarce(t *testing.T) {
	is := is.New(t)
	s := newPriorityFixture(t, 0, 3).start()
	is.True(s.overload("/bulk/a", "bulk", 60) > 0)
	is.True(s.sumMetric(notAdmitted+`,tier="19"`) > 0)
	is.Equal(s.prompt("/urgent/a", "urgent").body, standin.StreamText("urgent", 40))
	is.True(strings.Contains(s.log.String(), `"event":"capacity_scarce"`))
	s.waitFor("a refusal is logged", func() bool { return strings.Contains(s.log.String(), `"event":"not_admitted"`) })
	s.waitFor("its code is logged", func() bool { return strings.Contains(s.log.String(), `"code":3020`) })
	is.True(s.sumMetric(`aspenyard_gateway_offered_load{service="model",tier="19"}`) > 0)
	is.True(s.sumMetric(`aspenyard_gateway_given_capacity{service="model"}`) > 0)
	is.Equal(s.sumMetric(notAdmitted+`,tier="16"`), 0.0)
	s.waitFor("scarcity ends without further requests", func() bool { return strings.Contains(s.log.String(), `"event":"capacity_sufficient"`) })
}

// Guards against a refusal without a time to return, which callers would repeat at once.
func TestARefusalByPriorityStatesWhenToReturn(t *testing.T) {
	is := is.New(t)
	s := newPriorityFixture(t, 0, 3).start()
	n := 0
	var refused callerResponse
	s.waitFor("a request is refused by priority", func() bool {
		n++
		got := make(chan callerResponse, 1)
		id := fmt.Sprint("bulk-", n)
		go func() { got <- s.prompt("/bulk/a", id) }()
		select {
		case refused = <-got:
			return refused.status == http.StatusServiceUnavailable
		case <-time.After(20 * time.Millisecond):
			return false
		}
	})
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= 1 && after <= 3)
	is.True(strings.Contains(refused.body, "tier 19"))
}

// Guards against admission by priority where routes do not differ in it, or where it is switched off.
func TestRequestsAreAdmittedWithoutDifferentPriorities(t *testing.T) {
	for name, c := range map[string]struct {
		bulk     int
		settings string
		refuses  bool
	}{"same priority": {0, "", false}, "off": {3, `,"admission":"off"`, false}, "on, same priority": {0, `,"admission":"on"`, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newPriorityFixture(t, 0, c.bulk)
			s.extraSettings = c.settings
			s.start()
			s.overload("/bulk/a", "bulk", 100) // 30 lasted for less than the target, before which scarcity does not begin
			is.Equal(s.sumMetric(notAdmitted) > 0, c.refuses)
		})
	}
}

// Guards against entries that decide by their own callers' load alone: all load is offered to one entry,
// and another one refuses a less urgent request by its reports.
func TestEntriesReportTheirOfferedLoad(t *testing.T) {
	is := is.New(t)
	first := newPriorityFixture(t, 0, 3)
	first.enablePeers()
	first.start()
	second := newFixture(t)
	second.store, second.version, second.extraSettings = first.store, first.version, `,"name":"g2"`
	second.enablePeers()
	second.start()
	for _, s := range []*fixture{first, second} {
		s.waitFor("the other entry's heartbeats arrive", func() bool { return s.sumMetric("aspenyard_gateway_peers_heard ") == 1 })
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	n := 0
	second.waitFor("the second entry refuses a request", func() bool {
		n++
		number := strconv.Itoa(n)
		callers.Go(func() { first.prompt("/bulk/a", "first-"+number) })
		if n%10 == 0 {
			callers.Go(func() { second.prompt("/bulk/a", "second-"+number) })
		}
		time.Sleep(20 * time.Millisecond)
		return second.sumMetric(notAdmitted) > 0
	})
	is.True(second.sumMetric(`aspenyard_gateway_offered_load{service="model",tier="19"}`) > 700) // it was itself offered at most 5 prompts a second of 92 ms
}
