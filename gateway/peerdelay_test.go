package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/infra"
	"aspenyard.example/membership"
	"aspenyard.example/wire"
)

// Guards against heartbeats that waited while this process was suspended and count as new.
func TestLateHeartbeatsAreRecognized(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	d := newPeerDelays(start)
	beat := func(incarnation, uptime uint64) *wire.Heartbeat {
		return &wire.Heartbeat{Node: "g2", Incarnation: incarnation, SentUptimeMs: uptime}
	}
	is.Equal(d.observe(at(1000), beat(1, 500)), time.Duration(0))
	is.Equal(d.observe(at(1105), beat(1, 600)), 5*time.Millisecond)
	is.Equal(d.observe(at(1200), beat(1, 702)), time.Duration(0)) // the promptest so far
	is.Equal(d.observe(at(9000), beat(1, 800)), 7702*time.Millisecond)
	is.Equal(d.observe(at(9000), beat(2, 10)), time.Duration(0)) // another incarnation
	is.Equal(d.observe(at(9100), beat(0, 0)), time.Duration(0))  // an earlier version does not tell
	is.Equal(d.observe(at(9100), beat(2, math.MaxUint64)), time.Duration(0))
	is.Equal(d.observe(at(9105), beat(2, 110)), 5*time.Millisecond) // the impossible uptime has left no trace
	d.prune(func(string) bool { return false })
	is.Equal(len(d.peers), 0)
}

// Guards against an entry that starts and waits for up to a second to hear what the others know.
func TestAStartingEntryGetsAFullHeartbeat(t *testing.T) {
	is := is.New(t)
	p := &peers{delays: newPeerDelays(time.Now()), incarnations: map[string]uint64{}, fullSentAt: time.Now()}
	view := func(incarnation uint64) *membership.View {
		return &membership.View{Members: map[string]*membership.Member{"g2": {LastHeartbeat: &wire.Heartbeat{Node: "g2", Incarnation: incarnation}}}}
	}
	p.fullHeartbeatForNewEntries(view(1))
	is.True(p.fullSentAt.IsZero())
	p.fullSentAt = time.Now()
	p.fullHeartbeatForNewEntries(view(1))
	is.True(!p.fullSentAt.IsZero())
	p.fullHeartbeatForNewEntries(view(2)) // it has started again
	is.True(p.fullSentAt.IsZero())
}

// Guards against entries that start together and each take the few others that they have heard for all:
// they would prefer the same engines. Entries that are registered and have ended count only at first.
func TestAStartingEntryRanksAmongTheRegistered(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	p := &peers{views: viewExchange{startedAt: start}}
	entry := func(name string, leaving bool) *membership.Member {
		return &membership.Member{Listed: true, Leaving: leaving, VM: infra.VM{Name: name, Role: membership.RoleEntry}}
	}
	heard := &membership.Member{Listed: true, LastHeartbeat: &wire.Heartbeat{Node: "g3", Role: membership.RoleEntry}}
	view := &membership.View{Members: map[string]*membership.Member{"g2": entry("g2", false), "g3": heard, "g4": entry("g4", true)}}
	is.Equal(p.rankedEntries(start, view), []string{"g2", "g3"})
	is.Equal(p.rankedEntries(start.Add(startingTime), view), []string{"g3"})
}
