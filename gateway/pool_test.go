package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against idle connections of many entries that together take all the connections that an
// endpoint accepts.
func TestAllEntriesTogetherLeaveAnEndpointConnections(t *testing.T) {
	is := is.New(t)
	w := plainWorker()
	w.WorkTime = 200 * time.Millisecond
	gateways := startGateways(t, 4, w)
	var calls sync.WaitGroup
	for g, s := range gateways {
		for i := range 20 {
			calls.Go(func() { s.post("/again/a", fmt.Sprintf("g%d-%d", g, i)) })
		}
	}
	calls.Wait()
	is.Equal(len(w.Runs()), 80)
	t.Logf("%d connections are open", w.OpenConnections())
	gateways[0].waitFor("half of the 100 connections are free", func() bool { return w.OpenConnections() <= 50 })
}
