package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// leavingBound is the users' rule for an endpoint that states that it leaves: from then on it gets
// no request from an entry that passed on such a response.
const leavingBound = 2 * time.Second

// Guards against entries that send requests to an endpoint which has stated that it leaves, while the
// store has not heard of it.
func TestAnEndpointThatStatesThatItLeavesGetsNoRequests(t *testing.T) {
	is := is.New(t)
	leaving := plainWorker()
	gateways := startGateways(t, 4, leaving, plainWorker(), plainWorker())
	leaving.SetLeaving(true)
	sendConstantly(gateways, "/again/a", 100*time.Millisecond, time.Second)
	heard := time.Now()
	sendConstantly(gateways, "/again/a", 100*time.Millisecond, 4*time.Second)
	counts := leaving.ArrivalsPerSecond(heard.Add(leavingBound), senderOf)
	t.Logf("arrivals a second by gateway, from %v after all heard it: %v", leavingBound, counts)
	is.Equal(len(counts), 0)
}
