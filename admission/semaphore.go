package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Semaphore bounds how much work runs at a time and admits the rest in order. Safe for
// concurrent use.
type Semaphore struct {
	mu      sync.Mutex
	limit   int
	held    int
	waiting waiters
}

// NewSemaphore makes a semaphore with limit permits.
func NewSemaphore(limit int) *Semaphore { return &Semaphore{limit: limit} }

// waiter is a piece of work that waits for a permit.
type waiter struct {
	// priority is the time by which waiters are sorted, the earliest first.
	priority time.Time
	admitted chan struct{}
	index    int // in the heap; -1 once it is admitted
}

// Acquire waits for a permit, or for ctx to end. Waiters are admitted by order, the
// earliest first. After nil, Release must be called once.
func (s *Semaphore) Acquire(ctx context.Context, order time.Time) error {
	s.mu.Lock()
	if s.held < s.limit {
		s.held++
		s.mu.Unlock()
		return nil
	}
	w := &waiter{priority: order, admitted: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
		return ctx.Err()
	}
	// The permit came as the work gave up: it goes to the next, or it would be lost and
	// every later waiter would wait for good.
	s.releaseLocked()
	return ctx.Err()
}

// Release gives a permit back and admits the next waiter.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked hands one permit to the first waiter.
func (s *Semaphore) releaseLocked() {
	if len(s.waiting) == 0 {
		s.held--
		return
	}
	next := heap.Pop(&s.waiting).(*waiter)
	close(next.admitted)
}

// Waiting is how many pieces of work wait.
func (s *Semaphore) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// waiters implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].priority.Before(w[j].priority) }
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	last.index = -1
	return last
}
