package routing

import "github.com/cespare/xxhash/v2"

// HomeEndpoint returns the endpoint that rendezvous hashing ranks first for the request's
// key among those that can serve it; nil when none can. It ignores which endpoints were
// tried, so that all entries that know the same endpoints find the same one. A refused
// request that comes back, through whichever entry, thus reaches the agent that told it
// when to come back.
func HomeEndpoint(r *Request, endpoints []Endpoint) *Endpoint {
	untried := *r
	untried.Tried = nil
	var home *Endpoint
	var highest uint64
	for i := range endpoints {
		e := &endpoints[i]
		if !(CanServe{}).Keep(&untried, e) || !(FitsMemory{}).Keep(&untried, e) {
			continue
		}
		if rank := rendezvous(r.Key, e.Name); home == nil || rank > highest {
			home, highest = e, rank
		}
	}
	return home
}

func rendezvous(key uint64, endpoint string) uint64 {
	digest := xxhash.NewWithSeed(key)
	_, _ = digest.WriteString(endpoint)
	return digest.Sum64()
}
