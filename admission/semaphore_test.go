package admission

import (
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
		g := NewSemaphore(1)
		start := time.Now()
		is.NoErr(g.Acquire(t.Context(), start))
		var mu sync.Mutex
		var got []int
		var wait sync.WaitGroup
		for _, after := range []int{3, 1, 2} {
			wait.Go(func() {
				is.NoErr(g.Acquire(t.Context(), start.Add(time.Duration(after)*time.Second)))
				mu.Lock()
				got = append(got, after)
				mu.Unlock()
				g.Release()
			})
		}
		synctest.Wait()
		is.Equal(g.Waiting(), 3)
		g.Release()
		wait.Wait()
		is.Equal(got, []int{1, 2, 3})
	})
}

// Symptom: nothing is admitted any more. Sequence: the permit comes just as the
// one that waits gives up. Cause, were it there: the permit is lost with it.
func TestCancelledWaiterPassesPermitOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 200 {
			g := NewSemaphore(1)
			is.NoErr(g.Acquire(t.Context(), time.Now()))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- g.Acquire(ctx, time.Now()) }()
			synctest.Wait()
			cancel()
			g.Release()
			if <-done == nil {
				g.Release()
			}
			synctest.Wait()
			is.NoErr(g.Acquire(t.Context(), time.Now())) // it would wait for ever
		}
	})
}
