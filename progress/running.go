package progress

import (
	"context"
	"runtime"
	"sync"
	"time"
)

// runningSteps is the number of steps in which the time of a RunningTimer passes.
const runningSteps = 16

// RunningTimer calls a function after a time in which this process ran. A time limit whose expiry is held against another
// process must not count the time in which this one could not have read an answer: while it was suspended, or its
// goroutines waited for a processor.
type RunningTimer struct {
	expire func()

	mu    sync.Mutex
	timer *time.Timer
	step  time.Duration
	left  int
	// generation counts the calls of Reset and Stop, so that a step that began before has no effect.
	generation int
}

// AfterRunning calls f in a goroutine of its own once this process has run for d.
func AfterRunning(d time.Duration, f func()) *RunningTimer {
	t := &RunningTimer{expire: f}
	t.Reset(d)
	return t
}

// Reset makes the timer expire once this process has run for d from now on.
func (t *RunningTimer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stop()
	t.step, t.left = d/runningSteps, runningSteps
	t.await()
}

// Stop keeps the timer from expiring.
func (t *RunningTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stop()
}

func (t *RunningTimer) stop() {
	t.generation++
	if t.timer != nil {
		t.timer.Stop()
	}
}

// await starts the next step. A step that ends late counts as one, however long the process was held up.
func (t *RunningTimer) await() {
	generation := t.generation
	t.timer = time.AfterFunc(t.step, func() {
		runtime.Gosched() // behind the goroutines that are ready to read what has arrived
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.generation != generation {
			return
		}
		if t.left--; t.left > 0 {
			t.await()
			return
		}
		go t.expire()
	})
}

// WithRunningTimeout returns a context that ends with the cause context.DeadlineExceeded once this process has run for d. The
// caller must cancel it.
func WithRunningTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := AfterRunning(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
