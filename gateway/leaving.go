package gateway

import (
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/wire"
)

// maxHeartbeatLeaving is how many endpoints that leave a heartbeat lists at most, of 8 bytes each.
const maxHeartbeatLeaving = 64

// observeLeaving records that an endpoint has stated that it leaves, and tells the other entries.
func (g *Gateway) observeLeaving(e *directory.EndpointState, header string) {
	if !g.statedLeaving().Add(time.Now(), e.Hash()) {
		return
	}
	g.log.Info("endpoint_states_leaving", zap.String("endpoint", e.ID), zap.String("header", header), zap.String("heard_from", ""))
	g.watcher.RequestPublish()
	g.peers.sendHeartbeat()
}

// statedLeaving returns the endpoints that have stated that they leave.
func (g *Gateway) statedLeaving() *directory.StatedLeaving { return g.watcher.StatedLeaving() }

// appendLeaving adds the endpoints that have stated that they leave to a heartbeat.
func (g *Gateway) appendLeaving(now time.Time, h *wire.Heartbeat) {
	for _, incarnation := range g.statedLeaving().Reports(now, !h.Partial, maxHeartbeatLeaving) {
		h.LeavingEndpoints = append(h.LeavingEndpoints, uint64(incarnation))
	}
}

// mergeLeaving applies the endpoints that another entry's heartbeat reports as leaving.
func (g *Gateway) mergeLeaving(now time.Time, h *wire.Heartbeat) {
	added := map[directory.IncarnationHash]bool{}
	for _, hash := range h.LeavingEndpoints {
		if incarnation := directory.IncarnationHash(hash); g.statedLeaving().Add(now, incarnation) {
			added[incarnation] = true
		}
	}
	if len(added) == 0 {
		return
	}
	for e := range g.snapshot.Load().All() {
		if added[e.Hash()] {
			g.log.Info("endpoint_states_leaving", zap.String("endpoint", e.ID), zap.String("header", ""), zap.String("heard_from", h.Node))
		}
	}
	g.watcher.RequestPublish()
}

// registerLeavingMetrics registers the gauges of endpoints that state that they leave while the
// store lists them as taking requests.
func (g *Gateway) registerLeavingMetrics() {
	g.metrics.NewGauge("aspenyard_gateway_stated_leaving_endpoints", func() float64 {
		count, _ := g.statedLeaving().StillListed(time.Now())
		return float64(count)
	})
	g.metrics.NewGauge("aspenyard_gateway_stated_leaving_age_seconds", func() float64 {
		_, oldest := g.statedLeaving().StillListed(time.Now())
		return oldest.Seconds()
	})
}
