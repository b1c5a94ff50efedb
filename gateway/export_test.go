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

// ReportPeerShort simulates a heartbeat in which another entry reports short prompts in flight, and the
// next tick of the membership loop, which must not run.
func (g *Gateway) ReportPeerShort(service string, inFlight int) {
	g.loadTracker.ReplacePeerLoad(time.Now(), "another", []direct.Demand{{Service: service, ShortInFlight: inFlight}}, nil)
	g.divisions.observe(time.Now())
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
