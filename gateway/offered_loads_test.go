package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
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

// Guards against refusing requests because those at slow endpoints are late, which less load does not change.
func TestLatenessAtSlowEndpointsDoesNotCount(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	slow, fast := directory.Incarnation{ID: "slow"}, directory.Incarnation{ID: "fast"}
	g := &Gateway{loadTracker: direct.NewLoadTracker(), admission: &admissionControl{controller: admission.NewController(admission.DefaultControllerConfig(), "e")}}
	g.loadTracker.SetSlowdown(now, slow, 4)
	late := func(endpoint directory.Incarnation) float64 {
		c := &call{gateway: g, service: &directory.Service{Name: "m"}, route: &directory.Route{Target: time.Second}, started: now.Add(-2 * time.Second)}
		f := &forwarding{call: c, admitted: true, lastEndpoint: endpoint}
		f.recordFirstResponse()
		return g.admission.controller.Reports(time.Now(), true)[0].Late
	}
	is.Equal(late(slow), 0.0)
	is.True(late(fast) > 0.9)
}
