package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/gateway"
	"aspenyard.example/wire"
)

// views returns the number of views with a result.
func (s *fixture) views(result string) int {
	return int(s.sumMetric(`aspenyard_gateway_views_total{result="` + result + `"}`))
}

// Guards against an entry that starts beside others and does not place its first requests by what one of
// them knows, and against entries that respond while they start themselves.
func TestAStartingEntryGetsAView(t *testing.T) {
	is := is.New(t)
	first := newFixture(t, plainWorker())
	first.enablePeers()
	first.start()
	first.waitFor("registered", func() bool { return strings.Contains(first.log.String(), `"registered"`) })
	registered := time.Now()
	first.waitFor("it may respond", func() bool { return time.Since(registered) > 2*time.Second })
	var second *fixture
	for i := range 5 { // no view is needed if the first gateway's full heartbeat happens to come before
		second = newFixture(t)
		second.store, second.version = first.store, first.version
		second.enablePeers()
		second.extraSettings += fmt.Sprintf(`,"name":"g%d"`, i+2)
		second.start()
		second.waitFor("the first gateway is heard", func() bool { return second.sumMetric("aspenyard_gateway_peers_heard ") > 0 })
		if second.views("received") == 1 {
			break
		}
	}
	is.Equal(second.views("received"), 1)
	second.waitFor("the log line", func() bool { return strings.Contains(second.log.String(), `"view_received"`) })
	is.True(first.views("sent") > 0)
	declined := second.views("declined") // the first gateway asks as well if it has not heard the second one yet
	second.gateway.HearViewRequest("g9")
	is.True(second.views("declined") > declined)
	is.Equal(second.views("sent"), 0)
}

// Guards against a damaged view that distorts the placement, and a view that nobody asked for.
func TestDamagedViewsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, plainWorker()).start()
	s.gateway.HearView("g2", &wire.View{Entries: 1})
	is.Equal(s.views("unneeded"), 1)
	s.gateway.AskedForView("g2")
	s.gateway.HearView("g2", &wire.View{Entries: 1, Endpoints: []uint32{1}})
	s.gateway.HearView("g2", &wire.View{Entries: 1, Endpoints: []uint32{1}, Counts: []uint32{1 << 30}, ReadingMs: []uint32{0}, MemoryKtokens: []uint32{0}, SlowPercents: []uint32{0}})
	is.Equal(s.views("invalid"), 2)
	s.waitFor("the log line", func() bool { return strings.Count(s.log.String(), `"view_refused"`) == 2 })
	s.gateway.HearView("g2", &wire.View{Entries: 1})
	is.Equal(s.views("received"), 1)
}

// Guards against a view that does not fit into one datagram: with the largest values of 10,000 engines.
func TestAViewFitsIntoOneDatagram(t *testing.T) {
	is := is.New(t)
	for _, large := range []bool{false, true} {
		view := gateway.EncodeViewOf(10_000, large)
		h := &wire.Heartbeat{Node: strings.Repeat("n", 40), Role: "entry", DataCentre: strings.Repeat("d", 20), Addr: "255.255.255.255:65535", Incarnation: 1 << 60, Sequence: 1 << 60, AdvisedIntervalMs: 1000, View: view}
		t.Logf("%d engines, %d bytes", len(view.Endpoints), proto.Size(h))
		is.True(proto.Size(h) <= 1400)
		is.True(len(view.Endpoints) >= 45)
	}
}
