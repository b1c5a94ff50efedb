package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// send sends a request with a body of its own, so that copies of it differ in their IDs only.
func (s *fixture) send(id, body string) callerResponse {
	s.t.Helper()
	return s.do(s.request(http.MethodPost, "/again/a", id, body))
}

// retryAfter returns the time that a refused caller is told.
func retryAfter(t *testing.T, r callerResponse) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("status %d, Retry-After: %v", r.status, err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Guards against callers that are treated as newcomers because they return to another gateway, and
// against earlier times for callers that ask again at once.
func TestARefusedCallerIsRecognisedAtAnotherGateway(t *testing.T) {
	is := is.New(t)
	first, second := twoGateways(t)
	worker := plainWorker()
	worker.ID, worker.Service = "i-9", "app"
	is.NoErr(worker.Start())
	t.Cleanup(worker.Stop)
	onTime := func() float64 { return second.sumMetric(`aspenyard_gateway_returns_total{state="on_time"}`) }
	// On a machine that stalls, a return may come after its time has lapsed; another caller is tried.
	for caller := 0; onTime() == 0; caller++ {
		is.True(caller < 5)
		body := fmt.Sprint("caller ", caller)
		refused := first.send(body+" first", body)
		is.Equal(refused.status, http.StatusServiceUnavailable)
		told, toldAt := retryAfter(t, refused), time.Now()
		second.waitFor("the promise is known at the other gateway", func() bool { return second.sumMetric(`aspenyard_gateway_return_promises{from="peers"}`) >= 1 })
		early := second.send(body+" early", body)
		is.Equal(early.status, http.StatusServiceUnavailable)
		is.True(time.Now().Add(retryAfter(t, early)).After(toldAt.Add(told - time.Second))) // it is not told to come earlier
		second.waitFor("it is logged", func() bool { return strings.Contains(second.log.String(), `"event":"return_recognised"`) })
		second.store.Put("servers/"+worker.ID, worker.Registration("ready"))
		second.waitFor("the worker is known", func() bool { return second.sumMetric("aspenyard_gateway_endpoints ") == 1 })
		time.Sleep(time.Until(toldAt.Add(told)))
		is.Equal(second.send(body+" return", body).status, http.StatusOK)
		second.store.Delete("servers/" + worker.ID)
		second.waitFor("the worker is gone", func() bool { return second.sumMetric("aspenyard_gateway_endpoints ") == 0 })
		first.waitFor("the worker is gone", func() bool { return first.sumMetric("aspenyard_gateway_endpoints ") == 0 })
	}
	is.True(second.sumMetric(`aspenyard_gateway_returns_total{state="early"}`) >= 1)
	first.waitFor("the other gateway reports that the promise was kept", func() bool { return first.sumMetric(`aspenyard_gateway_return_promises{from="own"}`) == 0 })
}

// Guards against a herd: callers of a service whose endpoints are gone must not all return at one
// moment. Their requests take half a second each, and 40 of them more than two at 16 slots.
func TestCallersOfAServiceWithoutEndpointsReturnSpread(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{WorkTime: 500 * time.Millisecond}
	s := newFixture(t, worker).start()
	is.Equal(s.send("served", "x").status, http.StatusOK)
	s.store.Delete("servers/" + worker.ID)
	s.waitFor("the worker is gone", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 0 })
	first, last := time.Duration(0), time.Duration(0)
	for i := range 40 {
		refused := s.send(fmt.Sprint("id ", i), fmt.Sprint("caller ", i))
		is.Equal(refused.status, http.StatusServiceUnavailable)
		last = retryAfter(t, refused)
		if i == 0 {
			first = last
		}
	}
	is.True(last > first+time.Second)
	is.Equal(s.sumMetric(`aspenyard_gateway_return_promises_total{cause="outage"}`), 40.0)
	s.waitFor("it is logged", func() bool { return strings.Contains(s.log.String(), `"event":"return_promised"`) })
}
