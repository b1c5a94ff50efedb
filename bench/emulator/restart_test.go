package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartSite is a load of mostly short prompts that fills about two thirds of the slots of 125
// engines. A third of 25 entries restarts.
func restartSite(seed uint64, restarts Restarts) *Config {
	const entries = 25
	c := &Config{Seed: seed, Entries: entries, Engines: 5 * entries, Engine: testEngine(), Kinds: testKinds()[:2], Duration: 7 * time.Second}
	c.Kinds[0].RequestsPerSecond, c.Kinds[1].RequestsPerSecond = 640, 10
	restarts.From, restarts.To, restarts.Entries = 2*time.Second, 4*time.Second, entries/3
	c.Restarts = &restarts
	return c
}

// Guards against short prompts that entries which have just started send to engines that the others have
// filled. With -v it logs the figures of several ways on the same loads.
func TestStartingEntriesPlaceByAView(t *testing.T) {
	seeds := uint64(2)
	if testing.Verbose() {
		seeds = 8
	}
	for name, full := range map[string]FullHeartbeats{"after a start": FullAfterStart, "each second": FullEachSecond} {
		run := func(way string, r Restarts) RestartResult {
			r.Full = full
			var sum RestartResult
			for seed := range seeds {
				_, got := SimulateRestarts(restartSite(seed+1, r))
				sum.Add(got)
			}
			t.Logf("full heartbeats %s, %-33s: %3d late, of them %3d in the first 200 ms, of %d; slots filled %.2f", name, way, sum.Late(), sum.LateAtStart, sum.Requests, sum.Fill/float64(seeds))
			return sum
		}
		without := run("rank among the heard, no view", Restarts{RankHeard: true})
		with := run("rank among the registered, view", Restarts{View: true})
		is := is.New(t)
		if testing.Verbose() || full == FullAfterStart {
			viewAlone := run("rank among the heard, view", Restarts{RankHeard: true, View: true})
			is.True(4*viewAlone.LateAtStart < 3*without.LateAtStart)
		}
		if testing.Verbose() {
			run("rank among the registered, no view", Restarts{})
		}
		is.True(with.Views >= int(seeds)*7) // of 8; an entry may ask only others that start too
		is.True(2*with.LateAtStart < without.LateAtStart)
		is.True(with.Late() < without.Late())
	}
}
