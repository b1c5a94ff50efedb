package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// Guards against giving up work that ends before the stop for work at another endpoint, as slow, that does not.
func TestAStopLetsAnEndpointFinishThatIsAsFastAsTheOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const work = 2700 * time.Millisecond // responses are due 4.4 s after SIGTERM
	first, other := &standin.Worker{WorkTime: work}, &standin.Worker{ID: "other", Service: "app", WorkTime: work}
	s := newFixture(t, first)
	s.routes[1]["target_latency_ms"] = 200
	s.start()
	is.NoErr(other.Start())
	t.Cleanup(other.Stop)
	got := make(chan callerResponse, 1)
	go func() { got <- s.post("/again/a", "q1") }()
	s.waitFor("it runs", func() bool { return first.InFlight() == 1 })
	s.list(other, 2)
	s.sendSIGTERM()
	response := <-got
	is.NoErr(response.err)
	is.Equal(response.status, http.StatusOK)
}
