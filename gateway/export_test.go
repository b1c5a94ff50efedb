package gateway

import (
	"time"

	"aspenyard.example/routing/direct"
)

// ReportPeerPrefill simulates a heartbeat in which another entry reports pending prefill.
func (g *Gateway) ReportPeerPrefill(service string, pending time.Duration) {
	g.loadTracker.ReplacePeerLoad(time.Now(), "another", []direct.Demand{{Service: service, PendingPrefill: pending}}, nil)
}

// InFlight returns how many of the gateway's requests are in flight at an endpoint, as placement
// counts them.
func (g *Gateway) InFlight(endpoint string) int {
	e := g.snapshot.Load().Present(endpoint)
	for _, load := range g.loadTracker.Loads(time.Now()) {
		if e != nil && load.Endpoint == direct.HashEndpoint(e.Incarnation) {
			return load.InFlight
		}
	}
	return 0
}
