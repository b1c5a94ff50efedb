package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests and parts at evacuated engines, and against an evacuation that costs the callers
// of short or medium prompts more than the engines that it takes. With -v it logs the figures with and
// without the gradual return, also for 68 entries.
func TestEvacuationsOfEngines(t *testing.T) {
	entryCounts, ramps := []int{4, 25}, []bool{true}
	if testing.Verbose() {
		entryCounts, ramps = append(entryCounts, 68), append(ramps, false)
	}
	for _, entries := range entryCounts {
		for _, share := range []struct {
			name    string
			engines int
			// served is the least share of the requests of each kind that is on time, of 16 s with 6 s of
			// evacuation.
			served float64
		}{{"a third", 5 * entries / 3, 0.95}, {"all", 5 * entries, 0.55}} {
			for _, ramp := range ramps {
				config := statementSite(1, entries)
				config.Evacuations = []Evacuation{{From: 3 * time.Second, To: 9 * time.Second, Engines: share.engines, KnownWithin: 300 * time.Millisecond, NoRamp: !ramp}}
				load, statements := SimulateStatements(config)
				got := statements.Evacuations
				t.Logf("%2d entries, %-7s evacuated, ramp %5v: %d sent, most in the second after the end %3d; on time %.3f %.3f, refused %d %d of %d %d", entries, share.name, ramp,
					got.Sent, got.MostAtTheEnd, load[0].OnTimeShare(), load[1].OnTimeShare(), load[0].Refused, load[1].Refused, load[0].Requests, load[1].Requests)
				is := is.New(t)
				is.Equal(got.Sent, 0)
				is.True(got.MostAtTheEnd > 0) // requests have returned
				for _, kind := range load {
					is.True(kind.OnTimeShare() >= share.served)
				}
			}
		}
	}
}
