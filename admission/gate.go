package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Gate lets a few pieces of work at a time pass and keeps the others waiting in
// order. Safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	limit   int
	inside  int
	waiting waiters
}

// NewGate makes a gate that lets limit pieces of work pass at a time.
func NewGate(limit int) *Gate { return &Gate{limit: limit} }

// waiter is a piece of work that waits for its turn.
type waiter struct {
	// order is the time by which waiters are sorted, the earliest first.
	order time.Time
	turn  chan struct{}
	index int // in the heap; -1 once it has its turn
}

// Enter waits for the turn of a piece of work, or for ctx to end. Work is let in by
// order, the earliest first. After nil, Leave must be called once.
func (g *Gate) Enter(ctx context.Context, order time.Time) error {
	g.mu.Lock()
	if g.inside < g.limit {
		g.inside++
		g.mu.Unlock()
		return nil
	}
	w := &waiter{order: order, turn: make(chan struct{})}
	heap.Push(&g.waiting, w)
	g.mu.Unlock()
	select {
	case <-w.turn:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.waiting, w.index)
		return ctx.Err()
	}
	// The turn came as the work gave up: it goes to the next.
	g.pass()
	return ctx.Err()
}

// Leave ends a piece of work and lets the next in.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pass()
}

// pass hands one place to the first waiter.
func (g *Gate) pass() {
	if len(g.waiting) == 0 {
		g.inside--
		return
	}
	next := heap.Pop(&g.waiting).(*waiter)
	close(next.turn)
}

// Waiting is how many pieces of work wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// waiters implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].order.Before(w[j].order) }
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
