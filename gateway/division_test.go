package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/routing/direct"
	"aspenyard.example/wire"
)

func sampleDemand() direct.Demand {
	return direct.Demand{
		Service: "m", LongPrefill: 9 * time.Second, ShortInFlight: 40, PendingPrefill: 2 * time.Second, QueuedPrefill: time.Second,
		Long:  direct.Arrivals{EngineTime: 9 * time.Second, Recent: time.Second, Squares: 12.5, RecentSquares: 1.25},
		Short: direct.Arrivals{EngineTime: 4 * time.Second, Recent: 500 * time.Millisecond, Squares: 0.25, RecentSquares: 0.125},
	}
}

// Guards against a demand that other entries read differently from how it was reported, and against
// recent arrivals that exceed all arrivals.
func TestADemandIsReadAsItWasReported(t *testing.T) {
	is := is.New(t)
	d := sampleDemand()
	is.Equal(decodeDemand(encodeDemand(&d)), d)
	impossible := decodeDemand(&wire.Demand{ShortMs: 5, RecentShortMs: 9, ShortSquares: 1, RecentShortSquares: 2})
	is.Equal(impossible.Short, direct.Arrivals{EngineTime: 5 * time.Millisecond, Recent: 5 * time.Millisecond, Squares: 0.001, RecentSquares: 0.001})
}

// BenchmarkDemandBytes measures what the arrivals of a service add to a heartbeat.
func BenchmarkDemandBytes(b *testing.B) {
	d := sampleDemand()
	whole := encodeDemand(&d)
	d.Long, d.Short = direct.Arrivals{}, direct.Arrivals{}
	without := encodeDemand(&d)
	for b.Loop() {
		_ = proto.Size(whole)
	}
	b.ReportMetric(float64(proto.Size(whole)-proto.Size(without)), "bytes")
}
