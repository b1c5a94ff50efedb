package directory

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a rank by which the requests of all routes are equally urgent although the routes differ,
// because every account has the same priority, and against a route's priority that outranks an account's.
func TestRequestsAreRankedByAccountThenRoute(t *testing.T) {
	is := is.New(t)
	routes := []*Route{{Name: "short"}, {Name: "medium", Priority: 1}, {Name: "bulk", Priority: 2}}
	account := &Account{Priority: 1, HasPriority: true}
	c := NewConfig(1, Limits{}, nil, routes, map[string]*Account{"k": account})
	for i, want := range []float64{0, 0.5, 1} {
		is.Equal(c.PriorityRank(routes[i], account), want)
	}
	urgent := &Account{HasPriority: true}
	c = NewConfig(1, Limits{}, nil, routes, map[string]*Account{"k": account, "u": urgent})
	is.True(c.PriorityRank(routes[2], urgent) < c.PriorityRank(routes[0], account))
	is.Equal(c.PriorityRank(routes[0], urgent), 0.0)
	is.Equal(c.PriorityRank(routes[2], account), 1.0)
	c = NewConfig(1, Limits{}, nil, routes[:1], nil)
	is.Equal(c.PriorityRank(routes[0], nil), 0.0)
	is.Equal(c.PriorityRank(&Route{Priority: 99}, nil), 0.0) // with one tier all are equally urgent
}
