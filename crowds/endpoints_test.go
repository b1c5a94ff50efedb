//go:build crowds

package crowds

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"aspenyard.example/standin/platform"
)

// Guards against a gateway that runs out of memory, and ends the requests of other callers, while a third of its endpoints
// send bytes without end, in heads or in bodies, to many requests at once.
func TestAGatewayBearsEndpointsThatSendWithoutEnd(t *testing.T) {
	const workers, faulty, callers, stay = 6, 2, 100, 5 * time.Second
	for _, fault := range slices.Concat(platform.EndlessHeads, platform.EndlessBodies, []platform.Fault{platform.FaultEndlessRefusal}) {
		t.Run(string(fault), func(t *testing.T) {
			var all []*platform.Worker
			for n := range workers {
				all = append(all, &platform.Worker{ID: fmt.Sprint("i-app-", n), Service: serviceApp, StartUnixMilli: time.Now().UnixMilli()})
			}
			g := startGatewayWith(t, all...)
			await(t, "an ordinary request before the fault", g.ordinary)
			idle := g.usage()
			for _, w := range all[:faulty] {
				w.SetDefaultFault(fault)
			}
			var done sync.WaitGroup
			var answered, failed atomic.Int64
			var reasons sync.Map
			stop := make(chan struct{})
			for range callers {
				done.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						if err := g.post(ordinaryBody); err != nil {
							failed.Add(1)
							reasons.Store(fmt.Sprintf("%.70s", err), true)
							continue
						}
						answered.Add(1)
					}
				})
			}
			time.Sleep(stay)
			await(t, "an ordinary request beside the fault", g.ordinary)
			close(stop)
			done.Wait()
			t.Logf("%d requests were answered, %d were not", answered.Load(), failed.Load())
			for reason := range reasons.Range {
				t.Log(reason)
			}
			report(t, []*process{g.process}, idle, bounds{gatewayMemory, gatewayDescriptors})
			arrived := 0
			for _, w := range all[:faulty] {
				arrived += len(w.Runs())
			}
			if arrived < faulty || answered.Load() < 10*failed.Load() {
				t.Errorf("%d requests met the fault; %d were answered and %d were not", arrived, answered.Load(), failed.Load())
			}
		})
	}
}
