package gateway

import (
	"time"

	"aspenyard.example/routing/direct"
)

// ReportPeerPrefill lets the gateway hear that another entry has so much prefill under way.
func (g *Gateway) ReportPeerPrefill(service string, reading time.Duration) {
	g.ledger.ReplacePeerLoad(time.Now(), "another", []direct.Demand{{Service: service, PendingPrefill: reading}}, nil)
}
