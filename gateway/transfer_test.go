package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/standin/link"
)

const (
	// slowLink is a link of 14 Mbit/s, in bytes a second.
	slowLink = 1_750_000
	// smallVersion and mediumVersion are the routes of configurations of 0.4 and 2 MB, largeVersion those of
	// one of 3 MB.
	smallVersion, mediumVersion, largeVersion = 1640, 8000, 12_000
)

// addRoutes makes the fixture's next configurations have so many more routes.
func (s *fixture) addRoutes(n int) {
	for range n {
		id := len(s.routes)
		s.routes = append(s.routes, route(fmt.Sprintf("route-%07d", id), fmt.Sprintf("/route-%07d/", id), "idempotent"))
	}
}

func (s *fixture) configInForce() int { return int(s.sumMetric("aspenyard_gateway_config_version ")) }

func (s *fixture) awaitConfig(version int) {
	s.t.Helper()
	s.waitFor(fmt.Sprintf("version %d is in force", version), func() bool { return s.configInForce() == version })
}

// Guards against an entry behind a slow link that never gets the newest configuration: each call for it ends
// before the transfer does, and the next one begins anew with more to transfer.
func TestTheNewestConfigurationComesThroughASlowLink(t *testing.T) {
	for _, play := range []struct {
		name             string
		routes, versions int
		// refused is how long the store refuses the entry meanwhile.
		refused time.Duration
	}{
		{"several versions after an outage", smallVersion, 6, 3 * time.Second},
		{"two long versions after an outage", mediumVersion, 2, 3 * time.Second},
		{"one of the longest", largeVersion, 1, 0},
		{"several versions in series", smallVersion, 6, 0},
	} {
		t.Run(play.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newFixture(t, plainWorker())
			s.storeBytesPerSecond = slowLink
			s.start()
			s.cutFromStore.Store(play.refused > 0)
			s.addRoutes(play.routes)
			s.storeLink.CountPassed()
			for range play.versions {
				s.configure()
				time.Sleep(300 * time.Millisecond)
			}
			if play.refused > 0 {
				time.Sleep(play.refused)
				s.cutFromStore.Store(false)
			}
			s.awaitConfig(s.version)
			transfers := float64(s.storeLink.Passed()) / (float64(len(s.config())) * 4 / 3)
			t.Logf("%.1f transfers of one version", transfers)
			if play.refused > 0 {
				is.True(transfers < 2) // the newest once, and no other
			}
		})
	}
}

// Guards against changes of endpoints that are learned only after a configuration has been transferred.
func TestAnEndpointsLeavingOvertakesAConfiguration(t *testing.T) {
	t.Run("watcher", func(t *testing.T) {
		t.Parallel()
		s := newFixture(t, plainWorker(), plainWorker())
		s.start()
		overtake(t, s, s, false)
	})
	t.Run("watcher whose history was dropped", func(t *testing.T) {
		t.Parallel()
		s := newFixture(t, plainWorker(), plainWorker())
		s.start()
		overtake(t, s, s, true)
	})
	t.Run("follower", func(t *testing.T) {
		t.Parallel()
		first, second := twoGateways(t, plainWorker(), plainWorker())
		var follower *fixture
		first.waitFor("one of them follows the other", func() bool {
			firstWatches, secondWatches := first.sumMetric("aspenyard_gateway_watching ") == 1, second.sumMetric("aspenyard_gateway_watching ") == 1
			if follower = first; firstWatches {
				follower = second
			}
			return firstWatches != secondWatches
		})
		overtake(t, first, follower, false)
	})
}

// overtake checks that an entry learns that an endpoint leaves, and has left, while a long configuration is transferred to
// it, over a link on which that takes longer than the test may. The store may drop its history before the entry has it.
func overtake(t *testing.T, operator, s *fixture, dropHistory bool) {
	is := is.New(t)
	before := operator.version
	s.waitFor("both endpoints are known", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 2 })
	operator.addRoutes(largeVersion)
	s.storeLink.SetBandwidth(len(operator.config()) * 4 / 3 / int(2*waitTimeout/time.Second))
	s.cutFromStore.Store(dropHistory)
	operator.configure()
	if dropHistory {
		operator.store.Compact()
		s.cutFromStore.Store(false)
	}
	worker := operator.workers[0]
	for _, step := range []struct {
		state     string
		endpoints float64
	}{{"draining", 1}, {"", 1}} {
		if step.state == "" {
			operator.store.Delete("servers/" + worker.ID)
		} else {
			operator.store.Put("servers/"+worker.ID, worker.Registration(step.state))
		}
		s.waitFor("the change of the endpoint is known", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == step.endpoints })
		is.Equal(s.configInForce(), before)
	}
	s.storeLink.SetBandwidth(0)
	s.awaitConfig(operator.version)
}

// Guards against an entry behind a slow link that cannot start: the lists, and the versions that follow a state that is
// stale, take longer than one call.
func TestAnEntryStartsBehindASlowLink(t *testing.T) {
	t.Run("stale lists", func(t *testing.T) {
		t.Parallel()
		s := newFixture(t, plainWorker())
		s.addRoutes(largeVersion)
		s.configure()
		s.configure()
		s.store.SetStaleAges(time.Hour, time.Hour, time.Hour)
		s.storeBytesPerSecond = slowLink
		s.start()
		s.awaitConfig(s.version)
	})
	t.Run("many registrations", func(t *testing.T) {
		t.Parallel()
		s := newFixture(t, plainWorker())
		for i := range 3000 {
			s.store.Put(fmt.Sprintf("servers/i-other-%d", i), s.workers[0].Registration("ready"))
		}
		s.addRoutes(mediumVersion)
		s.storeBytesPerSecond = slowLink
		s.start()
		s.waitFor("all endpoints are known", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 3001 })
	})
}

// Guards against versions that follow each other faster than one is transferred, so that none comes into force.
func TestAStormOfVersionsStarvesNoTransfer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newFixture(t, plainWorker())
	s.storeBytesPerSecond = slowLink
	s.start()
	first := s.version
	s.addRoutes(mediumVersion)
	seen := map[int]bool{}
	for deadline := time.Now().Add(waitTimeout); len(seen) < 3 && time.Now().Before(deadline); {
		s.configure()
		if version := s.configInForce(); version != first {
			seen[version] = true
		}
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(len(seen), 3) // versions that came into force while others followed
	s.awaitConfig(s.version)
}

// Guards against a transfer that waits for ever on a connection that went silent in the middle of it.
func TestATransferThatStopsIsBegunAnew(t *testing.T) {
	t.Parallel()
	s := newFixture(t, plainWorker())
	s.storeBytesPerSecond = slowLink
	s.start()
	s.addRoutes(largeVersion)
	s.storeLink.CountPassed()
	s.configure()
	for range 2 {
		s.waitFor("a part is transferred", func() bool { return s.storeLink.Passed() > 1_000_000 })
		s.storeLink.BlackholeConnections()
		s.storeLink.CountPassed()
	}
	s.awaitConfig(s.version)
}

// Guards against an entry that is sent new callers although it has known for longer than the bound of a configuration that
// it does not have; and against one that refuses them because the store is away.
func TestAnEntryThatLacksAKnownConfigurationIsNotReady(t *testing.T) {
	t.Run("transfer is slow", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		s := awaitingConfig(t)
		s.waitFor("not ready", func() bool { return s.readyStatus() == http.StatusServiceUnavailable })
		is.True(s.sumMetric("aspenyard_gateway_config_awaited_seconds ") > 2)
		is.Equal(s.post("/again/", "served").status, http.StatusOK)
		s.storeLink.SetBandwidth(0)
		s.awaitConfig(s.version)
		s.waitFor("ready", func() bool { return s.readyStatus() == http.StatusOK })
	})
	t.Run("store is away", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		s := awaitingConfig(t)
		s.waitFor("the configuration is awaited", func() bool { return s.sumMetric("aspenyard_gateway_config_awaited_seconds ") > 0 })
		s.storeLink.SetBlocked(link.Both)
		s.waitFor("the outage is noticed", func() bool { return s.sumMetric("aspenyard_gateway_list_age_seconds ") > 4 })
		is.Equal(s.readyStatus(), http.StatusOK)
		s.storeLink.SetBlocked(0)
		s.storeLink.SetBandwidth(0)
		s.awaitConfig(s.version)
	})
}

// awaitingConfig returns a started entry to which a configuration is being transferred, for longer than its bound.
func awaitingConfig(t *testing.T) *fixture {
	t.Helper()
	s := newFixture(t, plainWorker())
	s.extraSettings = `,"config_within":"2s"`
	s.start()
	s.addRoutes(largeVersion)
	s.storeLink.SetBandwidth(500_000)
	s.configure()
	return s
}
