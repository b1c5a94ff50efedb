package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// suspendedAfter is how long the process must not have run to count as suspended. A busy host delays
	// timers by less; an endpoint takes longer to be replaced at its address.
	suspendedAfter = 400 * time.Millisecond
	// suspensionEffect is how long after a suspension events that occurred in it may be handled.
	suspensionEffect = time.Second
)

// suspensions notices that the process did not run for a while: it was stopped, or its host was. Times are
// nanoseconds since the gateway's start.
type suspensions struct {
	gateway *Gateway

	mu sync.Mutex
	// lastSeen is when the process last ran; 0 before it serves.
	lastSeen int64
	// began and ended are those of the last suspension; 0 if there was none.
	began, ended int64
}

// observe records that the process runs.
func (s *suspensions) observe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
}

// update is observe with mu held.
func (s *suspensions) update() {
	now := s.gateway.uptimeNanos()
	last := s.lastSeen
	s.lastSeen = now
	if last == 0 || time.Duration(now-last) < suspendedAfter {
		return
	}
	s.began, s.ended = last, now
	s.gateway.log.Warn("suspended", zap.Duration("for_ms", time.Duration(now-last)))
}

// recent returns a suspension that has just ended, and whether there was one. What the process learns now may
// have happened at any time in it.
func (s *suspensions) recent() (began, ended int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	return s.began, s.ended, s.ended != 0 && time.Duration(s.gateway.uptimeNanos()-s.ended) < suspensionEffect
}
