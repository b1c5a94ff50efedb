package routing

import "time"

// MaxAsked is how many times endpoints are asked for one request before a refusal
// is passed on; the last time it is the request's home, see Home.
const MaxAsked = 3

// Asking is the course of one request through endpoints that refuse it. Its zero
// value has asked nobody.
type Asking struct {
	refusals  int
	askHome   bool // the home is asked next
	homeAsked bool // it was: nobody is asked after it
}

// Pick chooses the endpoint to ask next; nil when none holds the request alone. The
// home gets the key by which it knows a request that it told to come back; key is
// called for nothing else.
func (a *Asking) Pick(now time.Time, p *Policy, r *Request, key func() uint64, endpoints []Endpoint) *Endpoint {
	r.Key = 0
	if a.askHome {
		a.askHome, a.homeAsked = false, true
		r.Key = key()
		if home := Home(r, endpoints); home != nil {
			return home
		}
		r.Key = 0
	}
	return p.Route(now, r, endpoints)
}

// Again tells after a refusal whether another endpoint is asked. busy is set when
// endpoints refused because they have too much work, so that coming back may help.
func (a *Asking) Again(r *Request, endpoints []Endpoint, busy bool) bool {
	a.refusals++
	untried := anyUntried(r, endpoints)
	switch {
	case a.homeAsked:
		return false
	case a.refusals < MaxAsked-1 && untried:
		return true
	case busy:
		a.askHome = true
		return true
	}
	return a.refusals < MaxAsked && untried
}

// anyUntried tells whether an endpoint that could serve has not been tried.
func anyUntried(r *Request, endpoints []Endpoint) bool {
	for i := range endpoints {
		if (Serves{}).Keep(r, &endpoints[i]) {
			return true
		}
	}
	return false
}
