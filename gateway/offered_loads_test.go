package gateway

import (
	"testing"

	"github.com/matryer/is"

	"aspenyard.example/admission"
	"aspenyard.example/wire"
)

// Guards against heartbeats that leave out the memory or the time that requests need, and against an entry of
// an earlier version, which reports neither, whose load counts for nothing.
func TestHeartbeatsHaveTheMemoryThatCallersNeed(t *testing.T) {
	is := is.New(t)
	h := &wire.Heartbeat{}
	appendOfferedLoads(h, []admission.TierLoad{
		{Service: "m", Tier: 1, Offered: 300, Needed: admission.Load{Time: 200, Memory: 250}},
		{Service: "m", Tier: 2, Offered: 300, Needed: admission.Load{Time: 300, Memory: 100}},
	})
	is.Equal(h.OfferedLoads[1].TimeMs, uint32(0)) // the same as the offered load
	h.OfferedLoads = append(h.OfferedLoads, &wire.OfferedLoad{Service: "m", Tier: 3, OfferedMs: 400})
	loads := decodeOfferedLoads(h)
	is.Equal(loads[0].Needed, admission.Load{Time: 200, Memory: 250})
	is.Equal(loads[1].Needed, admission.Load{Time: 300, Memory: 100})
	is.Equal(loads[2].Needed, admission.Load{Time: 400})
}
