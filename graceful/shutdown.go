package graceful

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrShutdown is the cause of contexts that a shutdown ends.
var ErrShutdown = errors.New("graceful: the process shuts down")

// Shutdown is the end of a process that serves requests. It is a deadline that all requests share with their own: by
// then each must have its final response. The zero value is a process that goes on. Safe for concurrent use.
type Shutdown struct {
	mu      sync.Mutex
	elapsed func() time.Duration // nil until Begin
	due     time.Duration
	waiters map[*shutdownWaiter]struct{}
}

// shutdownWaiter is a function that waits for a shutdown.
type shutdownWaiter struct {
	lead time.Duration
	fire func()
}

// Begin begins the shutdown: final responses are due when elapsed, the time since it was asked for, reaches due. Poll
// must be called from then on. A second call has no effect.
func (s *Shutdown) Begin(due time.Duration, elapsed func() time.Duration) {
	s.mu.Lock()
	if s.elapsed == nil {
		s.elapsed, s.due = elapsed, due
	}
	s.mu.Unlock()
	s.Poll()
}

// Remaining returns the time until final responses are due; false while the process goes on.
func (s *Shutdown) Remaining() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.elapsed == nil {
		return 0, false
	}
	return s.due - s.elapsed(), true
}

// Before calls fire once, in a shutdown, when final responses are due within lead; with a negative lead, when they have
// been due for that long. fire must not block. cancel keeps it from being called, but does not wait for it.
func (s *Shutdown) Before(lead time.Duration, fire func()) (cancel func()) {
	w := &shutdownWaiter{lead, fire}
	s.mu.Lock()
	if s.waiters == nil {
		s.waiters = map[*shutdownWaiter]struct{}{}
	}
	s.waiters[w] = struct{}{}
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiters, w)
	}
}

// Context returns a context that ends with parent, or with the cause ErrShutdown in a shutdown when final responses are
// due within lead.
func (s *Shutdown) Context(parent context.Context, lead time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stopWaiting := s.Before(lead, func() { cancel(ErrShutdown) })
	if remaining, begun := s.Remaining(); begun && remaining <= lead {
		cancel(ErrShutdown)
	}
	return ctx, func() {
		stopWaiting()
		cancel(nil)
	}
}

// Poll calls the functions whose time has come. It is called periodically, as timers stand still while the machine is
// suspended, and whoever ends the process counts that time.
func (s *Shutdown) Poll() {
	s.mu.Lock()
	if s.elapsed == nil {
		s.mu.Unlock()
		return
	}
	remaining := s.due - s.elapsed()
	var due []*shutdownWaiter
	for w := range s.waiters {
		if remaining <= w.lead {
			due = append(due, w)
			delete(s.waiters, w)
		}
	}
	s.mu.Unlock()
	for _, w := range due {
		w.fire()
	}
}
