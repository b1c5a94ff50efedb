package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"aspenyard.example/admission"
	"aspenyard.example/wire"
)

// BenchmarkOfferedLoads measures what the offered loads of a number of tiers add to a heartbeat, while
// capacity suffices and, with eight client accounts in each tier, while it is scarce.
func BenchmarkOfferedLoads(b *testing.B) {
	for _, tiers := range []int{3, 5} {
		for _, accounts := range []int{0, 8} {
			b.Run(fmt.Sprintf("%d tiers, %d accounts", tiers, accounts), func(b *testing.B) {
				var loads []admission.TierLoad
				for tier := range tiers {
					load := admission.TierLoad{Service: "summaries", Tier: admission.Tier(16 + tier), Offered: 1000, Admitted: 800, Needed: admission.Load{Time: 900, Memory: 500}, Started: 5, Late: 1}
					for i := range accounts {
						load.Accounts = append(load.Accounts, admission.AccountLoad{Account: admission.HashAccount(fmt.Sprint(i)), Offered: 200})
					}
					loads = append(loads, load)
				}
				var h *wire.Heartbeat
				for b.Loop() {
					h = &wire.Heartbeat{}
					appendOfferedLoads(h, loads)
					decodeOfferedLoads(h)
				}
				b.ReportMetric(float64(proto.Size(h)), "B/heartbeat")
			})
		}
	}
}

// BenchmarkReports measures what an entry reports of five tiers.
func BenchmarkReports(b *testing.B) {
	c, now := admission.NewController(admission.DefaultControllerConfig(), "e"), time.Now()
	for i := range 5000 {
		a := &admission.Arrival{Service: "m", Tier: admission.Tier(16 + i%5), Account: fmt.Sprint(i % 1000), Cost: 100 * time.Millisecond}
		c.Admit(now, a, func() []admission.EngineState { return []admission.EngineState{{Slowdown: 1, Slots: 12}} })
	}
	for b.Loop() {
		c.Reports(now, true)
	}
}
