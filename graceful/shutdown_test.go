package graceful

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that wait for their own deadline although the process ends before it.
func TestAShutdownEndsContextsBeforeResponsesAreDue(t *testing.T) {
	is := is.New(t)
	var s Shutdown
	elapsed := time.Duration(0)
	early, cancelEarly := s.Context(context.Background(), 3*time.Second)
	last, cancelLast := s.Context(context.Background(), -time.Second)
	defer cancelEarly()
	defer cancelLast()
	calls := 0
	cancelled := s.Before(time.Second, func() { calls++ })
	s.Before(time.Second, func() { calls += 10 })
	_, begun := s.Remaining()
	is.True(!begun)
	s.Poll() // has no effect yet
	s.Begin(5*time.Second, func() time.Duration { return elapsed })
	is.NoErr(early.Err())
	elapsed = 2 * time.Second
	s.Poll()
	is.True(errors.Is(context.Cause(early), ErrShutdown))
	remaining, begun := s.Remaining()
	is.True(begun)
	is.Equal(remaining, 3*time.Second)
	cancelled()
	elapsed = 5 * time.Second // a suspension may skip times
	s.Poll()
	s.Poll()
	is.Equal(calls, 10)
	is.NoErr(last.Err())
	elapsed = 6 * time.Second
	s.Poll()
	is.True(errors.Is(context.Cause(last), ErrShutdown))
	late, cancelLate := s.Context(context.Background(), 0)
	defer cancelLate()
	is.True(errors.Is(context.Cause(late), ErrShutdown))
}

func TestAContextThatEndsOtherwiseHasNoShutdownAsItsCause(t *testing.T) {
	is := is.New(t)
	var s Shutdown
	ctx, cancel := s.Context(context.Background(), 0)
	cancel()
	s.Begin(0, func() time.Duration { return time.Second })
	is.True(errors.Is(ctx.Err(), context.Canceled))
	is.True(!errors.Is(context.Cause(ctx), ErrShutdown))
}
