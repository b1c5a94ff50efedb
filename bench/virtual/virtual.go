// Package virtual provides a discrete-event scheduler with a virtual clock. Simulations of
// minutes run within moments on it and give the same result each time.
package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with its pending events. The zero value is ready to use and at
// time 0. Not safe for concurrent use.
type Clock struct {
	now          time.Duration
	events       eventHeap
	lastSequence int
}

// Now returns the virtual time since the clock's start.
func (c *Clock) Now() time.Duration { return c.now }

// AfterFunc schedules f to run d after the current virtual time. Functions that are due at the
// same time run in the order in which they were scheduled.
func (c *Clock) AfterFunc(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.now + d, c.lastSequence, f})
}

// RunUntil runs the events that are due up to and including a time, and those that they
// schedule up to then. The clock stops at the last event that ran.
func (c *Clock) RunUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].dueAt <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.dueAt
		next.run()
	}
}

// event is a scheduled function. sequence counts calls of AfterFunc and orders events that
// are due at the same time.
type event struct {
	dueAt    time.Duration
	sequence int
	run      func()
}

// eventHeap is a heap of events, the next one first.
type eventHeap []event

func (q eventHeap) Len() int { return len(q) }
func (q eventHeap) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].sequence < q[j].sequence
}
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventHeap) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventHeap) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
