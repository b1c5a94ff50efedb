package routing

import "github.com/cespare/xxhash/v2"

// HomeEndpoint is the endpoint, among those that serve a request, that a rendezvous hash
// ranks first for the request's key; nil when none serves it. Every entry that
// knows the same endpoints finds the same one, tried already or not: the agent that
// told a refused request when to come back is the one that it is brought back to,
// through whichever entry.
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
