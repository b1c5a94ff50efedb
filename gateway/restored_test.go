package gateway_test

import (
	"context"
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

// Guards against entries whose registrations a copy lacks, and that go on renewing leases which the store has
// lost and given to others.
func TestEntriesRegisterAnewAfterALoss(t *testing.T) {
	is := is.New(t)
	var saved *standin.StoreCopy
	gateways := startGatewaysOn(t, 4, func(s *standin.Store) { saved = s.Copy() }, plainWorker())
	first := gateways[0]
	restoreStore(first.store, saved)
	foreign := first.store.GrantLease(time.Minute) // it has the ID of an entry's former lease
	first.store.Put("op/config", first.config())
	for _, s := range gateways {
		s.waitFor("all are registered", func() bool { return len(first.store.Keys("nodes/")) == len(gateways) })
		s.waitFor("all others are known", func() bool { return s.sumMetric("aspenyard_gateway_peers_heard ") == float64(len(gateways)-1) })
		s.waitFor("the state is of the new era", func() bool { return s.sumMetric("aspenyard_gateway_store_era ") == 2 })
		is.Equal(s.post("/again/a", "after").status, http.StatusOK)
		s.sendSIGTERM()
	}
	for _, s := range gateways {
		is.NoErr(<-s.serveErr)
	}
	is.True(first.store.HasLease(foreign))
}

// Guards against an evacuation that ends because the store has lost it.
func TestAnEvacuationOutlastsALoss(t *testing.T) {
	is := is.New(t)
	inside, outside := plainWorker(), plainWorker()
	outside.DataCentre = "dc2"
	s := newFixture(t, inside, outside).start()
	saved := s.store.Copy()
	s.store.Put("op/evacuate/dc1", []byte("{}"))
	s.waitFor("the data centre is evacuated", func() bool { return s.sumMetric("aspenyard_gateway_evacuated_data_centres ") == 1 })
	restoreStore(s.store, saved)
	s.waitFor("the state is of the new era", func() bool { return s.sumMetric("aspenyard_gateway_store_era ") == 2 })
	expectNone(s, inside, "lost")
	s.store.Put("op/evacuate/dc1", []byte("{}"))
	s.store.Delete("op/evacuate/dc1")
	s.waitFor("the evacuation has ended", func() bool { return s.sumMetric("aspenyard_gateway_evacuated_data_centres ") == 0 })
	is.True(s.sumMetric("aspenyard_gateway_store_restorations_total ") == 1)
}

// Guards against an entry that misses a loss while it handles the one before.
func TestSeveralLossesAtOnce(t *testing.T) {
	is := is.New(t)
	leaving := plainWorker()
	gateways := startGateways(t, 4, leaving, plainWorker())
	first := gateways[0]
	saved := first.store.Copy()
	for range 5 {
		first.store.Put("other/a", []byte("lost"))
		time.Sleep(30 * time.Millisecond)
		first.store.Restore(saved)
	}
	first.store.Put("servers/"+leaving.ID, leaving.Registration("draining"))
	for _, s := range gateways {
		s.waitFor("the endpoint that leaves is left out", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 1 })
		is.Equal(s.sumMetric("aspenyard_gateway_store_era "), 6.0)
	}
}

// Guards against an entry that takes a checkpoint of an earlier era for the state.
func TestACheckpointOfAnEarlierEraIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	is.NoErr(s.gateway.MakeCheckpoint(context.Background()))
	s.store.Restore(s.store.Copy())
	s.waitFor("the state is of the new era", func() bool { return s.sumMetric("aspenyard_gateway_store_era ") == 2 })
	is.Equal(s.sumMetric(`aspenyard_gateway_checkpoints_total{result="used"}`), 0.0)
	is.Equal(s.sumMetric(`aspenyard_gateway_checkpoints_total{result="outdated"}`), 1.0)
}

// Guards against an entry that starts with the state of an era which ends meanwhile.
func TestALossWhileAnEntryStarts(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.configure()
	saved := s.store.Copy()
	s.store.SetFaults(standin.StoreFaults{Delay: 20 * time.Millisecond})
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		for i := range 5 {
			s.store.Put("other/a", []byte{byte(i)})
			time.Sleep(15 * time.Millisecond)
			s.store.Restore(saved)
		}
	}()
	s.launch()
	<-restored
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("the state is of the last era", func() bool { return s.sumMetric("aspenyard_gateway_store_era ") == 6 })
	is.Equal(s.post("/again/a", "r").status, http.StatusOK)
	s.configure()
	s.waitFor("the new configuration is in force", func() bool { return s.sumMetric("aspenyard_gateway_config_version ") == float64(s.version) })
}

// Guards against an entry that does not end its drain, or registers for good, because of a loss meanwhile.
func TestALossWhileAnEntryDrains(t *testing.T) {
	is := is.New(t)
	saved := (*standin.StoreCopy)(nil)
	gateways := startGatewaysOn(t, 2, func(s *standin.Store) { saved = s.Copy() }, plainWorker())
	first := gateways[0]
	first.sendSIGTERM()
	first.store.Restore(saved)
	first.store.Put("op/config", first.config())
	is.NoErr(<-first.serveErr)
	other := gateways[1]
	other.waitFor("only the other entry is registered", func() bool { return len(first.store.Keys("nodes/")) == 1 })
	is.Equal(other.post("/again/a", "r").status, http.StatusOK)
}
