package admission

import (
	"sync"
	"time"
)

// ResponseTimes estimates how long the responses of each route take, by an average and the average deviation from it. It
// is safe for concurrent use; the zero value is ready.
type ResponseTimes struct {
	mu     sync.Mutex
	routes map[string]*responseTime
}

type responseTime struct{ mean, deviation time.Duration }

const (
	// Weights of the latest response in the averages, as divisors.
	meanDivisor, deviationDivisor = 8, 4
	// deviationFactor times the deviation is added to the mean, so that few responses take longer.
	deviationFactor = 2
	// maxTimedRoutes bounds the memory; the times of further routes are not known.
	maxTimedRoutes = 8192
)

// Record records how long a complete response of a route took.
func (r *ResponseTimes) Record(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.routes[route]
	switch {
	case t != nil:
		difference := took - t.mean
		t.mean += difference / meanDivisor
		t.deviation += (max(difference, -difference) - t.deviation) / deviationDivisor
	case len(r.routes) < maxTimedRoutes:
		if r.routes == nil {
			r.routes = map[string]*responseTime{}
		}
		r.routes[route] = &responseTime{mean: took}
	}
}

// Expected returns the time within which most responses of a route are complete; 0 if none is known.
func (r *ResponseTimes) Expected(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.routes[route]; t != nil {
		return t.mean + deviationFactor*t.deviation
	}
	return 0
}
