package routing

import "time"

// MaxAttempts is the number of endpoints that are tried for one request before a refusal is
// passed on to the caller. When endpoints refuse because they have too much work, the last
// attempt goes to the request's home endpoint, see HomeEndpoint.
const MaxAttempts = 3

// RetryState is the state of one request's attempts at endpoints that refuse it. Its zero
// value is that of a request that was not sent yet.
type RetryState struct {
	refusals  int
	tryHome   bool // the next attempt goes to the home endpoint
	homeTried bool // it was tried: there is no further attempt
}

// Pick returns the endpoint for the next attempt; nil when none can serve the request
// alone. key is called only for an attempt at the home endpoint; it returns the key by
// which that endpoint recognizes a request that it told to come back.
func (s *RetryState) Pick(now time.Time, p *Policy, r *Request, key func() uint64, endpoints []Endpoint) *Endpoint {
	r.Key = 0
	if s.tryHome {
		s.tryHome, s.homeTried = false, true
		r.Key = key()
		if home := HomeEndpoint(r, endpoints); home != nil {
			return home
		}
		r.Key = 0
	}
	return p.Route(now, r, endpoints)
}

// RecordRefusal records a refusal and returns whether another endpoint is tried. busy is
// set when endpoints refused because they have too much work, so that a later attempt may
// succeed.
func (s *RetryState) RecordRefusal(r *Request, endpoints []Endpoint, busy bool) bool {
	s.refusals++
	untried := anyUntried(r, endpoints)
	switch {
	case s.homeTried:
		return false
	case s.refusals < MaxAttempts-1 && untried:
		return true
	case busy:
		s.tryHome = true
		return true
	}
	return s.refusals < MaxAttempts && untried
}

// anyUntried reports whether there is an endpoint that could serve the request and was not
// tried.
func anyUntried(r *Request, endpoints []Endpoint) bool {
	for i := range endpoints {
		if (CanServe{}).Keep(r, &endpoints[i]) {
			return true
		}
	}
	return false
}
