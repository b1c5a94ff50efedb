// Package virtual runs what happens at times of a virtual clock, one after the other. It
// exists so that a play of minutes takes a moment and comes out the same way each time.
package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock and what is still to happen. The zero value is at time 0. Not
// safe for concurrent use.
type Clock struct {
	now          time.Duration
	events       eventHeap
	lastSequence int
}

// Now is the time since the clock's start.
func (c *Clock) Now() time.Duration { return c.now }

// AfterFunc makes something happen after a while. What is due at one time happens in the order
// in which it was asked for.
func (c *Clock) AfterFunc(d time.Duration, do func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.now + d, c.lastSequence, do})
}

// RunUntil lets happen what is due until a time, that included.
func (c *Clock) RunUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].dueAt <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.dueAt
		next.do()
	}
}

type event struct {
	dueAt    time.Duration
	sequence int
	do       func()
}

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
