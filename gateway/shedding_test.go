package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against refusals at an entry that gets most new connections, while other entries are idle: callers whose
// connection is closed unread are served there at once.
func TestAnEntryThatGetsMostConnectionsLeavesSomeToOthers(t *testing.T) {
	is := is.New(t)
	usage := newFakeUsage(150)
	first, second := newPressedFixture(t, usage, `,"processor_limit":1`, plainWorker(), plainWorker()), newFixture(t)
	second.store = first.store
	first.enablePeers()
	second.enablePeers()
	second.extraSettings += `,"name":"g2"`
	first.start()
	second.version = first.version
	second.start()
	for _, s := range []*fixture{first, second} {
		s.client.Transport = &http.Transport{DisableKeepAlives: true}
		s.waitFor("the other gateway's heartbeats arrive", func() bool { return s.sumMetric("aspenyard_gateway_peers_heard ") == 1 })
	}
	served, refused, closed := 0, 0, 0
	send := func(s *fixture, id string) (read bool) {
		got := s.do(s.request(http.MethodPost, "/again/a", id, "body"))
		if s == first {
			usage.record(got.status == http.StatusOK)
		}
		switch {
		case got.status == http.StatusOK:
			served++
		case got.status != 0:
			refused++
		default:
			closed++
		}
		return got.status != 0
	}
	n := 0
	first.waitFor("200 connections are closed unread", func() bool {
		n++
		if id := fmt.Sprint("q", n); !send(first, id) {
			is.True(send(second, id+"-again"))
		}
		return closed >= 200
	})
	t.Logf("served %d, refused %d, connections closed %d", served, refused, closed)
	is.True(4*served >= 3*(served+refused))
	is.True(first.sumMetric("aspenyard_gateway_connections_shed_total") >= 200)
	is.Equal(first.readyStatus(), http.StatusOK)
}
