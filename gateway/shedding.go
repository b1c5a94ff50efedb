package gateway

import (
	"math"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/wire"
)

// highestPressure returns the pressure of the resource that this entry is shortest of, memory and descriptors
// included, which refuse no requests by rank.
func (m *pressureMonitor) highestPressure() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	highest := 0.0
	for r := range admission.EntryResource(admission.ResourceCount) {
		highest = max(highest, m.pressure.Pressure(r))
	}
	return highest
}

// shedConnection decides whether a new connection is closed before anything is read from it, so that its caller tries
// another entry at once.
func (s *callerServer) shedConnection() bool {
	g := s.gateway
	if !g.shedding.Shed(time.Now(), g.pressure.highestPressure()) {
		return false
	}
	g.metrics.GetOrCreateCounter("aspenyard_gateway_connections_shed_total").Inc()
	return true
}

// appendPressure adds this entry's pressure, in percent, plus one: entries of earlier versions report none.
func (g *Gateway) appendPressure(h *wire.Heartbeat) {
	h.PressurePercent = uint32(math.Round(percent*g.pressure.highestPressure())) + 1
}

// mergePressure applies the pressure that another entry reports.
func (g *Gateway) mergePressure(now time.Time, h *wire.Heartbeat) {
	if h.PressurePercent > 0 {
		g.shedding.RecordPeer(now, h.Node, float64(h.PressurePercent-1)/percent)
	}
}
