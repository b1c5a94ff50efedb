package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/directory"
	"aspenyard.example/infra"
	"aspenyard.example/membership"
	"aspenyard.example/routing/direct"
	"aspenyard.example/settings"
	"aspenyard.example/wire"
)

// BenchmarkHeartbeats measures what one heartbeat costs the entry that sends it and each that receives it, from an entry
// with some open requests, and what a tick costs with 100 entries heard of all that are registered.
func BenchmarkHeartbeats(b *testing.B) {
	newGateway := func(name string) *Gateway {
		s := settings.Gateway{Name: name, DataCentre: "dc", CallersListen: "127.0.0.1:1", ReadinessListen: "127.0.0.1:2", MetricsListen: "127.0.0.1:3", PeersListen: "127.0.0.1:4", Store: "127.0.0.1:5"}
		if err := s.Check().Err(); err != nil {
			b.Fatal(err)
		}
		return New(Config{Settings: s, Log: zap.NewNop()})
	}
	const heard = 100
	for _, open := range []int{0, 2, 20} {
		sender, receiver, now := newGateway("sender"), newGateway("receiver"), time.Now()
		for i := range open {
			sender.loadTracker.Begin(now, &direct.Plan{Endpoint: &directory.EndpointState{Endpoint: directory.Endpoint{Incarnation: directory.Incarnation{ID: fmt.Sprint("i-", i)}, Service: "model"}}})
		}
		var messages [2][]byte // a full and a partial one
		for i := range messages {
			h := &wire.Heartbeat{Node: "sender"}
			sender.peers.FillHeartbeat(now, h)
			messages[i], _ = proto.Marshal(h)
		}
		b.Run(fmt.Sprintf("send/open=%d", open), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				h := &wire.Heartbeat{Node: "sender"}
				sender.peers.FillHeartbeat(now.Add(time.Duration(i)*100*time.Millisecond), h)
				if _, err := proto.Marshal(h); err != nil {
					b.Fatal(err)
				}
			}
		})
		for i, kind := range []string{"full", "partial"} {
			b.Run(fmt.Sprintf("receive-%s/open=%d", kind, open), func(b *testing.B) {
				for n := 0; b.Loop(); n++ {
					h := &wire.Heartbeat{}
					if err := proto.Unmarshal(messages[i], h); err != nil {
						b.Fatal(err)
					}
					h.Node = fmt.Sprint("entry-", n%heard)
					receiver.peers.HandleHeartbeat(now.Add(time.Duration(n)*time.Millisecond), h)
				}
				b.ReportMetric(float64(len(messages[i])), "B/heartbeat")
			})
		}
	}
	for _, registered := range []int{341, 1000, 3800} {
		g, now, view := newGateway("g"), time.Now(), &membership.View{Members: map[string]*membership.Member{}}
		for i := range registered {
			m := &membership.Member{VM: infra.VM{Name: fmt.Sprint("entry-", i), Role: membership.RoleEntry}, Listed: true}
			if i < heard {
				m.LastHeartbeat = &wire.Heartbeat{Node: m.VM.Name, Role: membership.RoleEntry, Incarnation: 1}
			}
			view.Members[m.VM.Name] = m
		}
		b.Run(fmt.Sprintf("tick/registered=%d", registered), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				g.peers.Tick(now.Add(time.Duration(i)*heartbeatInterval), view)
			}
		})
	}
}
