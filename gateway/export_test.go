package gateway

import (
	"time"

	"aspenyard.example/routing/direct"
)

// ReportPeerPrefill simulates a heartbeat in which another entry reports pending prefill.
func (g *Gateway) ReportPeerPrefill(service string, pending time.Duration) {
	g.loadTracker.ReplacePeerLoad(time.Now(), "another", []direct.Demand{{Service: service, PendingPrefill: pending}}, nil)
}
