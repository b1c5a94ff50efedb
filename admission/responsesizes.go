package admission

import "sync"

const (
	// sizeWeight is the weight of the newest response in the mean size of a route's responses. The mean
	// follows a change of the mix within a dozen responses.
	sizeWeight = 0.125
	// maxSizedRoutes bounds the routes whose sizes are kept. Above it all are dropped and learned anew.
	maxSizedRoutes = 10_000
)

// ResponseSizes learns how large the responses of each route are. Requests hold the mean from the start:
// otherwise many that are admitted while little is held would together need more room than there is once they
// have run. It is safe for concurrent use; the zero value is ready for use.
type ResponseSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// Expect returns the mean size of a route's responses in bytes; 0 if none is known.
func (s *ResponseSizes) Expect(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.means[route])
}

// Observe records the size in bytes of a response of a route.
func (s *ResponseSizes) Observe(route string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, found := s.means[route]
	switch {
	case found:
		s.means[route] = mean + sizeWeight*(float64(size)-mean)
		return
	case s.means == nil || len(s.means) >= maxSizedRoutes:
		s.means = map[string]float64{}
	}
	s.means[route] = float64(size)
}
