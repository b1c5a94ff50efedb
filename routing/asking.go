package routing

import "time"

// MaxAttempts is how many times endpoints are asked for one request before a refusal
// is passed on; the last time it is the request's home, see Home.
const MaxAttempts = 3

// RetryState is the course of one request through endpoints that refuse it. Its zero
// value has asked nobody.
type RetryState struct {
	refusals  int
	askHome   bool // the home is asked next
	homeAsked bool // it was: nobody is asked after it
}

// Pick chooses the endpoint to ask next; nil when none holds the request alone. The
// home gets the key by which it knows a request that it told to come back; key is
// called for nothing else.
func (a *RetryState) Pick(now time.Time, p *Policy, r *Request, key func() uint64, endpoints []Endpoint) *Endpoint {
	r.Key = 0
	if a.askHome {
		a.askHome, a.homeAsked = false, true
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
func (a *RetryState) RecordRefusal(r *Request, endpoints []Endpoint, busy bool) bool {
	a.refusals++
	untried := anyUntried(r, endpoints)
	switch {
	case a.homeAsked:
		return false
	case a.refusals < MaxAttempts-1 && untried:
		return true
	case busy:
		a.askHome = true
		return true
	}
	return a.refusals < MaxAttempts && untried
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
