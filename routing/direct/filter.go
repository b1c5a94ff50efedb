package direct

import (
	"time"

	"aspenyard.example/directory"
)

// eligible drops endpoints that were already tried. Unless no others remain, it also drops
// those that accept no connections, refused work lately or have lost their registration.
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
