package gateway_test

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against changes that reach only the entries that watch the store: an entry that cannot reach the
// store takes them from another one, also if it was to watch itself.
func TestAnEntryCutOffFromTheStoreFollowsAnother(t *testing.T) {
	first, second := twoGateways(t, plainWorker(), plainWorker())
	worker := first.workers[1]
	// Entries keep no changes from before their start.
	second.waitFor("both know the same", func() bool {
		return first.sumMetric("aspenyard_gateway_revision ") == second.sumMetric("aspenyard_gateway_revision ")
	})
	for _, cut := range []*fixture{first, second} {
		cut.cutFromStore.Store(true)
		for _, step := range []struct {
			change    func()
			endpoints float64
		}{
			{func() { first.store.Delete("servers/" + worker.ID) }, 1},
			{func() { first.store.Put("servers/"+worker.ID, worker.Registration("ready")) }, 2},
			{func() { first.store.Put("servers/"+worker.ID, worker.Registration("draining")) }, 1},
			{func() { first.store.Delete("servers/" + worker.ID) }, 1},
			{func() { first.store.Put("servers/"+worker.ID, worker.Registration("ready")) }, 2},
		} {
			step.change()
			for _, s := range []*fixture{first, second} {
				s.waitFor("the change is known", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == step.endpoints })
			}
		}
		cut.cutFromStore.Store(false)
	}
}

// Guards against a configuration that is too long for a datagram and does not reach the entries that
// follow another one. They read it from the store, and only it.
func TestFollowersReadALongConfiguration(t *testing.T) {
	is := is.New(t)
	first, second := twoGateways(t)
	both := []*fixture{first, second}
	for _, s := range both {
		s.waitFor("the other gateway's heartbeats arrive", func() bool { return s.sumMetric("aspenyard_gateway_peers_heard ") == 1 })
	}
	read := func() (sum float64) {
		for _, s := range both {
			sum += s.sumMetric(`aspenyard_gateway_omitted_values_read_total{stale="true",current="true"}`)
		}
		return sum
	}
	first.waitFor("a follower has read a configuration", func() bool {
		first.keys = append(first.keys, "another-key")
		first.configure()
		for _, s := range both {
			s.waitFor("the configuration is in force", func() bool { return int(s.sumMetric("aspenyard_gateway_config_version ")) == first.version })
		}
		return read() > 0
	})
	for _, s := range both {
		is.True(s.sumMetric(`aspenyard_gateway_store_calls_total{kind="list",reason="full_read"`) <= 4) // at the start
	}
}
