package admission

import (
	"container/heap"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestSemaphoreAdmitsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSemaphore(1)
		start := time.Now()
		is.NoErr(s.Acquire(t.Context(), Turn{Priority: start}))
		var mu sync.Mutex
		var got []int
		var wait sync.WaitGroup
		for _, after := range []int{3, 1, 2} {
			wait.Go(func() {
				is.NoErr(s.Acquire(t.Context(), Turn{Priority: start.Add(time.Duration(after) * time.Second)}))
				mu.Lock()
				got = append(got, after)
				mu.Unlock()
				s.Release()
			})
		}
		synctest.Wait()
		is.Equal(s.Waiting(), 3)
		s.Release()
		wait.Wait()
		is.Equal(got, []int{1, 2, 3})
	})
}

// Guards against a permit that is lost when it is granted just as the waiter's context
// ends. Nothing would be admitted any more.
func TestCancelledWaiterPassesPermitOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 200 {
			s := NewSemaphore(1)
			is.NoErr(s.Acquire(t.Context(), Turn{Priority: time.Now()}))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- s.Acquire(ctx, Turn{Priority: time.Now()}) }()
			synctest.Wait()
			cancel()
			s.Release()
			if <-done == nil {
				s.Release()
			}
			synctest.Wait()
			is.NoErr(s.Acquire(t.Context(), Turn{Priority: time.Now()})) // waits forever if the permit is lost
		}
	})
}

// Guards against callers that return when they were told to and wait behind newcomers of their tier,
// and against precedence over other tiers. The turns are in the order of arrival.
func TestReturningCallersGoBeforeNewcomersOfTheirTier(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for name, c := range map[string]struct {
		turns []Turn
		want  []int
	}{
		"returning after newcomers":  {[]Turn{{Priority: at(1)}, {Priority: at(2)}, {Priority: at(9), Returning: true}}, []int{2, 0, 1}},
		"newcomers after returning":  {[]Turn{{Priority: at(9), Returning: true}, {Priority: at(1)}}, []int{0, 1}},
		"other tiers keep their own": {[]Turn{{Priority: at(1)}, {Priority: at(2), Tier: 1}, {Priority: at(9), Tier: 1, Returning: true}}, []int{0, 2, 1}},
		"returning among themselves": {[]Turn{{Priority: at(9), Returning: true}, {Priority: at(1), Returning: true}}, []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var waiting waiters
			order := map[*waiter]int{}
			for i, turn := range c.turns {
				w := &waiter{Turn: waiting.adjust(turn)}
				order[w] = i
				heap.Push(&waiting, w)
			}
			var got []int
			for len(waiting) > 0 {
				got = append(got, order[heap.Pop(&waiting).(*waiter)])
			}
			is.Equal(got, c.want)
		})
	}
}
