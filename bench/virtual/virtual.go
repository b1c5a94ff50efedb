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
	now    time.Duration
	events events
	order  int
}

// Now is the time since the clock's start.
func (c *Clock) Now() time.Duration { return c.now }

// AfterFunc makes something happen after a while. What is due at one time happens in the order
// in which it was asked for.
func (c *Clock) AfterFunc(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, event{c.now + d, c.order, do})
}

// RunUntil lets happen what is due until a time, that included.
func (c *Clock) RunUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
