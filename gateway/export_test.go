package gateway

import (
	"time"

	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

// ReportPeerPrefill simulates a heartbeat in which another entry reports pending prefill.
func (g *Gateway) ReportPeerPrefill(service string, pending time.Duration) {
	g.loadTracker.ReplacePeerLoad(time.Now(), "another", []direct.Demand{{Service: service, PendingPrefill: pending}}, nil)
}

// ReportRefusedLengths simulates heartbeats in which another entry reports that a route serves all prompts of
// 1,000 to 90,000 tokens and none of 140,000 to 159,000.
func (g *Gateway) ReportRefusedLengths(service, route string) {
	var outcomes []direct.LengthOutcome
	for i := range 90 {
		outcomes = append(outcomes, direct.LengthOutcome{Route: direct.HashRoute(service, route), Tokens: 1000 * (i + 1), Admitted: true})
	}
	for i := range 20 {
		outcomes = append(outcomes, direct.LengthOutcome{Route: direct.HashRoute(service, route), Tokens: 140_000 + 1000*i})
	}
	g.loadTracker.MergeOutcomes(time.Now(), outcomes)
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

// RequestsAllowed takes, as requests do that get no response, as many requests as the gateway may send to
// an endpoint after a backoff, at most most, and returns their number.
func (g *Gateway) RequestsAllowed(endpoint string, most int) int {
	e := g.snapshot.Load().Present(endpoint)
	for n := range most {
		if allowed, _ := g.loadTracker.Backoffs().Take(time.Now(), e.Incarnation); !allowed {
			return n
		}
	}
	return most
}

// HearEvacuation simulates a heartbeat in which another entry reports an evacuation.
func (g *Gateway) HearEvacuation(from, dataCentre string, revision uint64) {
	g.mergeEvacuations(time.Now(), &wire.Heartbeat{Node: from, Evacuations: []*wire.Evacuation{{DataCentre: dataCentre, Revision: revision, Evacuated: true}}})
}
