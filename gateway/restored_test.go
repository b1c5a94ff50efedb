package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// restoreStore lets a store be away for a moment and come back from a copy.
func restoreStore(store *standin.Store, from *standin.StoreCopy) {
	store.SetFaults(standin.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(300 * time.Millisecond)
	store.Restore(from)
	store.SetFaults(standin.StoreFaults{})
}

// loseRevisions writes to a store what it will lose, and waits until all gateways know it.
func loseRevisions(gateways []*fixture, n int) {
	store := gateways[0].store
	revision := uint64(0)
	for i := range n {
		revision = store.Put(fmt.Sprint("other/", i), []byte("lost"))
	}
	for _, s := range gateways {
		s.waitFor("the gateway knows what will be lost", func() bool { return s.sumMetric("aspenyard_gateway_revision ") == float64(revision) })
	}
}

// Guards against entries that order what a restored store says by the revisions of before: new
// configurations and leaving endpoints were never seen.
func TestEntriesFollowAStoreRestoredFromACopy(t *testing.T) {
	// Seven revisions are written after the return, and those that matter come first.
	for _, c := range []struct {
		name     string
		lost     int
		hidesEra bool
	}{{"fewer lost than written", 3, false}, {"as many lost as written", 7, false}, {"more lost than written", 21, false}, {"store without eras", 21, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			leaving, gone, stays := plainWorker(), plainWorker(), plainWorker()
			gateways := startGatewaysOn(t, 4, func(s *standin.Store) {
				if c.hidesEra {
					s.HideEra()
				}
			}, leaving, gone, stays)
			first := gateways[0]
			saved := first.store.Copy()
			loseRevisions(gateways, c.lost)
			restoreStore(first.store, saved)
			first.store.Put("servers/"+leaving.ID, leaving.Registration("draining"))
			first.store.Delete("servers/" + gone.ID)
			first.configure()
			for range 4 {
				first.store.Put("servers/"+stays.ID, stays.Registration("ready"))
			}
			for _, s := range gateways {
				s.waitFor("the new configuration is in force", func() bool {
					return s.sumMetric("aspenyard_gateway_config_version ") == float64(first.version)
				})
				s.waitFor("only one endpoint is left", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 1 })
			}
			before := len(leaving.Runs()) + len(gone.Runs())
			sendConstantly(gateways, "/again/a", 50*time.Millisecond, 500*time.Millisecond)
			is.Equal(len(leaving.Runs())+len(gone.Runs()), before)
		})
	}
}
