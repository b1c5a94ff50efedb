package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/membership"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// Guards against an endpoint that is avoided, and callers that are refused for it, because an attempt
// that failed before is recorded only after its agent has answered a later one.
func TestAnAnswerEndsTheAvoidanceOfEarlierFailures(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	members := &membership.View{Members: map[string]*membership.Member{"a1": {LastHeartbeat: &wire.Heartbeat{Node: "a1", Role: membership.RoleAgent}}}}
	suspect := func(c *controlState) bool {
		c.publishEndpoints(members)
		endpoints := *c.endpoints.Load()
		return endpoints[0].Suspect
	}
	t.Run("failure first", func(t *testing.T) {
		is := is.New(t)
		c := &controlState{loads: map[string]loadReport{}, avoidUntil: map[string]time.Time{}, answeredAt: map[string]time.Time{}}
		c.endpoints.Store(&[]routing.Endpoint{})
		c.recordFailure(at(1), "a1", at(0))
		is.True(suspect(c))
		c.recordAnswer(at(2), "a1", 1, &wire.Load{TakenMs: 1})
		is.True(!suspect(c))
	})
	t.Run("answer first", func(t *testing.T) {
		is := is.New(t)
		c := &controlState{loads: map[string]loadReport{}, avoidUntil: map[string]time.Time{}, answeredAt: map[string]time.Time{}}
		c.endpoints.Store(&[]routing.Endpoint{})
		c.recordAnswer(at(2), "a1", 1, &wire.Load{TakenMs: 1})
		c.recordFailure(at(3), "a1", at(0))
		is.True(!suspect(c))
		c.recordFailure(at(9), "a1", at(4)) // a later attempt
		is.True(suspect(c))
	})
}

// Guards against callers that are refused for lack of endpoints right after the only endpoint has answered, until
// the next tick publishes that it is no longer avoided.
func TestAnAnswerIsPublishedAtOnce(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	members := &membership.View{Members: map[string]*membership.Member{"a1": {LastHeartbeat: &wire.Heartbeat{Node: "a1", Role: membership.RoleAgent}}}}
	c := &controlState{loads: map[string]loadReport{}, avoidUntil: map[string]time.Time{}, answeredAt: map[string]time.Time{}, view: members}
	c.recordFailure(start, "a1", start)
	c.publishEndpoints(members)
	is.True((*c.endpoints.Load())[0].Suspect)
	c.recordAnswer(start.Add(time.Millisecond), "a1", 1, &wire.Load{TakenMs: 1})
	is.True(!(*c.endpoints.Load())[0].Suspect)
}
