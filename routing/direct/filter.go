package direct

import (
	"time"

	"aspenyard.example/directory"
)

// eligible drops endpoints that were tried, and, as long as there are others, those
// that accept no connections, refused work lately or whose registration has lapsed.
func (p *Policy) eligible(now time.Time, r *Request, endpoints []*directory.Listed) []*directory.Listed {
	untried := make([]*directory.Listed, 0, len(endpoints))
	var doubtful []*directory.Listed
	for _, e := range endpoints {
		known := p.ledger.loads[e.Life]
		switch {
		case r.Tried[e.Life]:
		case !e.Missing.IsZero() || known != nil && known.doubtful(now):
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
