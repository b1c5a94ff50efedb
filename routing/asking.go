package routing

import "time"

// MaxAttempts is how many times endpoints are asked for one request before a refusal
// is passed on; the last time it is the request's home, see Home.
const MaxAttempts = 3

// RetryState is the course of one request through endpoints that refuse it. Its zero
// value has asked nobody.
type RetryState struct {
	refusals  int
	tryHome   bool // the home is asked next
	homeTried bool // it was: nobody is asked after it
}

// Pick chooses the endpoint to ask next; nil when none holds the request alone. The
// home gets the key by which it knows a request that it told to come back; key is
// called for nothing else.
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

// RecordRefusal tells after a refusal whether another endpoint is asked. busy is set when
// endpoints refused because they have too much work, so that coming back may help.
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

// anyUntried tells whether an endpoint that could serve has not been tried.
func anyUntried(r *Request, endpoints []Endpoint) bool {
	for i := range endpoints {
		if (CanServe{}).Keep(r, &endpoints[i]) {
			return true
		}
	}
	return false
}
