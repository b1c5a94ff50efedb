package gateway

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"aspenyard.example/wire"
)

// BenchmarkColdHeartbeatBytes measures what cold endpoints add to a heartbeat.
func BenchmarkColdHeartbeatBytes(b *testing.B) {
	h := &wire.Heartbeat{Node: "g1"}
	empty := proto.Size(h)
	for i := range uint32(maxHeartbeatCold) {
		h.ColdEndpoints = append(h.ColdEndpoints, i*0x01010101)
		h.ColdLeftMs = append(h.ColdLeftMs, 5000+i)
	}
	for b.Loop() {
		_ = proto.Size(h)
	}
	b.ReportMetric(float64(proto.Size(h)-empty)/maxHeartbeatCold, "bytes/endpoint")
}
