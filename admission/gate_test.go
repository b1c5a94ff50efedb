package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestAGateLetsInByOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate(1)
		start := time.Now()
		is.NoErr(g.Enter(t.Context(), start))
		var mu sync.Mutex
		var got []int
		var wait sync.WaitGroup
		for _, after := range []int{3, 1, 2} {
			wait.Go(func() {
				is.NoErr(g.Enter(t.Context(), start.Add(time.Duration(after)*time.Second)))
				mu.Lock()
				got = append(got, after)
				mu.Unlock()
				g.Leave()
			})
		}
		synctest.Wait()
		is.Equal(g.Waiting(), 3)
		g.Leave()
		wait.Wait()
		is.Equal(got, []int{1, 2, 3})
	})
}

// Symptom: a gate that nothing passes any more. Sequence: the turn comes just as the
// one that waits gives up. Cause, were it there: the turn is lost with it.
func TestATurnIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 200 {
			g := NewGate(1)
			is.NoErr(g.Enter(t.Context(), time.Now()))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- g.Enter(ctx, time.Now()) }()
			synctest.Wait()
			cancel()
			g.Leave()
			if <-done == nil {
				g.Leave()
			}
			synctest.Wait()
			is.NoErr(g.Enter(t.Context(), time.Now())) // it would wait for ever
		}
	})
}
