package direct

import (
	"time"

	"aspenyard.example/directory"
)

// eligible drops endpoints that were tried, and, as long as there are others, those
// that accept no connections, refused work lately or whose registration has lapsed.
func (p *Policy) eligible(now time.Time, r *Request, endpoints []*directory.EndpointState) []*directory.EndpointState {
	preferred := make([]*directory.EndpointState, 0, len(endpoints))
	var avoided []*directory.EndpointState
	for _, e := range endpoints {
		tracked := p.tracker.endpoints[e.Incarnation]
		switch {
		case r.Tried[e.Incarnation]:
		case !e.MissingSince.IsZero() || tracked != nil && tracked.avoided(now):
			avoided = append(avoided, e)
		default:
			preferred = append(preferred, e)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return avoided
}
