package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// Guards against a caller that sends its next request on a connection which a stop closes, since the request before it was read
// before the SIGTERM and its response does not say so.
func TestResponsesThatBeginInADrainCloseTheirConnections(t *testing.T) {
	cases := map[string]struct {
		target string
		worker *standin.Worker
	}{"response": {"/once/a", &standin.Worker{WorkTime: time.Second}}, "failure": {"/once/a", silentWorker(false)}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newFixture(t, c.worker).start()
			caller := s.dialSlow(head("GET", c.target, "q1") + "\r\n")
			s.waitFor("the request runs", func() bool { return c.worker.InFlight() == 1 })
			s.sendSIGTERM()
			is.True(caller.response().Close)
		})
	}
}
