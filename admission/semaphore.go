package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Semaphore bounds the number of requests that run at once and admits waiting ones by
// priority. It is safe for concurrent use.
type Semaphore struct {
	mu      sync.Mutex
	limit   int
	held    int
	waiting waiters
}

// NewSemaphore returns a semaphore with the given number of permits, all free.
func NewSemaphore(limit int) *Semaphore { return &Semaphore{limit: limit} }

// waiter is a call of Acquire that waits for a permit.
type waiter struct {
	Turn
	admitted chan struct{}
	index    int // in the heap; -1 once it is admitted
}

// Turn is the place of a call of Acquire among those that wait.
type Turn struct {
	// Priority is the time by which waiters are admitted, the earliest first.
	Priority time.Time
	// Tier is the urgency of the waiter. It does not rank tiers against each other.
	Tier int
	// Returning is set for a caller that was refused and returns when it was told to. It goes before
	// all waiters of its tier that are not returning.
	Returning bool
}

// Acquire waits for a permit, or returns the error of ctx when ctx ends first. Waiters
// are admitted by their turns. After nil, Release must be called once.
func (s *Semaphore) Acquire(ctx context.Context, turn Turn) error {
	s.mu.Lock()
	if s.held < s.limit {
		s.held++
		s.mu.Unlock()
		return nil
	}
	w := &waiter{Turn: s.waiting.adjust(turn), admitted: make(chan struct{})}
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
	// The permit was granted just as ctx ended. It goes to the next waiter; otherwise it
	// would be lost and later waiters would wait forever.
	s.releaseLocked()
	return ctx.Err()
}

// Release returns a permit and admits the next waiter.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked passes a permit to the first waiter, or frees it if there is none. The
// calling code holds mu.
func (s *Semaphore) releaseLocked() {
	if len(s.waiting) == 0 {
		s.held--
		return
	}
	next := heap.Pop(&s.waiting).(*waiter)
	close(next.admitted)
}

// Waiting returns how many calls of Acquire wait.
func (s *Semaphore) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// adjust moves the turn of a returning caller before the waiters of its tier that are not returning,
// and that of others behind the waiters of their tier that are.
func (w waiters) adjust(turn Turn) Turn {
	for _, other := range w {
		switch {
		case other.Tier != turn.Tier || other.Returning == turn.Returning:
		case turn.Returning && !turn.Priority.Before(other.Priority):
			turn.Priority = other.Priority.Add(-1)
		case other.Returning && !other.Priority.Before(turn.Priority):
			turn.Priority = other.Priority.Add(1)
		}
	}
	return turn
}

// waiters is a heap of waiters by priority. It implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].Priority.Before(w[j].Priority) }
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push appends a waiter; called by package heap only.
func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop removes the last waiter; called by package heap only.
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	last.index = -1
	return last
}
