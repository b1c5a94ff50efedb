package direct

import (
	"time"

	"aspenyard.example/directory"
)

// eligible drops endpoints that were tried, and, as long as there are others, those
// that accept no connections, refused work lately or whose registration has lapsed.
func (p *Policy) eligible(now time.Time, r *Request, endpoints []*directory.EndpointState) []*directory.EndpointState {
	untried := make([]*directory.EndpointState, 0, len(endpoints))
	var doubtful []*directory.EndpointState
	for _, e := range endpoints {
		known := p.ledger.loads[e.Incarnation]
		switch {
		case r.Tried[e.Incarnation]:
		case !e.MissingSince.IsZero() || known != nil && known.doubtful(now):
			doubtful = append(doubtful, e)
		default:
			untried = append(untried, e)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	return doubtful
}
