package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

const (
	// Users' rule for an endpoint that refuses with Retry-After: from restMargin after the refusal to
	// the end of the time it gets at most restAllowed requests from the entry that it refused.
	restMargin  = 500 * time.Millisecond
	restAllowed = 2
)

// Guards against entries that send requests to endpoints which have refused one and stated for how
// long they want no others, whether or not other endpoints are left.
func TestEndpointsThatWantRestGetNoRequests(t *testing.T) {
	for name, resting := range map[string]int{"one of three": 1, "all three": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := []*standin.Worker{plainWorker(), plainWorker(), plainWorker()}
			gateways := startGateways(t, 4, workers...)
			for _, w := range workers[:resting] {
				w.SetRest("3")
				w.SetDefaultFault(standin.FaultShed)
			}
			sendConstantly(gateways, "/again/a", 100*time.Millisecond, 3500*time.Millisecond)
			for _, w := range workers[:resting] {
				counts := arrivalsDuringRest(w, 3*time.Second)
				t.Logf("%s: requests during its rest, by gateway: %v", w.ID, counts)
				for _, n := range counts {
					is.True(n <= restAllowed)
				}
				is.True(len(w.Runs()) > 0)
			}
		})
	}
}

// arrivalsDuringRest returns, by gateway, how many requests a worker got during the rest that it
// stated in its first refusal to that gateway.
func arrivalsDuringRest(w *standin.Worker, rest time.Duration) map[string]int {
	refusedAt, counts := map[string]time.Time{}, map[string]int{}
	for _, run := range w.Runs() {
		sender := senderOf(&run)
		first, found := refusedAt[sender]
		switch {
		case !found && !run.Ran:
			refusedAt[sender] = run.ArrivedAt
		case found && run.ArrivedAt.After(first.Add(restMargin)) && run.ArrivedAt.Before(first.Add(rest)):
			counts[sender]++
		}
	}
	return counts
}
