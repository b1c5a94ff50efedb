package entry

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/graceful"
	"aspenyard.example/result"
	"aspenyard.example/routing"
)

const (
	// listenerCloseDelay is how long a draining entry still accepts connections, so that the load balancer sees the
	// failed readiness check before the port closes.
	listenerCloseDelay = time.Second
	drainPollInterval  = 20 * time.Millisecond
	// answersShare and maxAnswersTime bound the last part of drain_timeout, in which the requests that have not ended
	// are answered. Agents are asked first what became of them, and outcomes are recorded.
	answersShare   = 0.25
	maxAnswersTime = 3 * time.Second
	// leavingRetryAfter is the Retry-After of a request that ends because this entry stops: another entry can take it.
	leavingRetryAfter = time.Second
	// shortTokenTime is a fast engine's time for one output token. A request that needs longer than is left is refused,
	// so the estimate errs on the short side.
	shortTokenTime = 10 * time.Millisecond
)

// answersTime returns the part of drain_timeout in which requests that have not ended are answered.
func (e *Entry) answersTime() time.Duration {
	return min(time.Duration(float64(e.settings.DrainTimeout.D())*answersShare), maxAnswersTime)
}

// answersDue returns the time after the beginning of a drain at which each request must have its final answer.
func (e *Entry) answersDue() time.Duration { return e.settings.DrainTimeout.D() - e.answersTime() }

// canServe reports whether a request that takes the time need can end before final answers are due.
func (e *Entry) canServe(need time.Duration) bool {
	remaining, draining := e.shutdown.Remaining()
	return !draining || remaining > need
}

// endedByStop reports whether a request's context has ended because the entry stops.
func endedByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), graceful.ErrShutdown)
}

// contextError returns the final error of a request whose context has ended; ran says whether it has run.
func contextError(ctx context.Context, ran result.Ran) *result.Error {
	switch {
	case endedByStop(ctx):
		return stopError(ran)
	case ctx.Err() == context.Canceled:
		return result.Fail(result.Cancelled, ran, "the caller disconnected")
	}
	return result.Fail(result.DeadlineExceeded, ran, "the deadline passed before the request ended")
}

// stopError returns the final error of a request that has not ended before this entry stops.
func stopError(ran result.Ran) *result.Error {
	if ran == result.RanNo {
		return refuseLeaving()
	}
	failure := result.Fail(result.Interrupted, ran, "the entry stops and the endpoint has not completed the request")
	failure.RetryAfter = leavingRetryAfter
	return failure
}

func refuseLeaving() *result.Error {
	return result.Refuse(result.Leaving, leavingRetryAfter, "the entry stops and has not run the request")
}

// shortestTime returns a lower estimate of the time that a request takes at an endpoint; nil for any endpoint.
func shortestTime(r *routing.Request, endpoint *routing.Endpoint) time.Duration {
	need := time.Duration(r.OutputTokens) * shortTokenTime
	if endpoint != nil && endpoint.PrefillRate > 0 {
		need += time.Duration(r.PromptTokens) * time.Second / time.Duration(endpoint.PrefillRate)
	}
	return need
}

// drain shuts the entry down gracefully within drain_timeout: requests in flight may end, and what has not ended shortly
// before is answered as it stands. Another signal makes the answers due at once.
func (e *Entry) drain(ctx context.Context, callers net.Listener, signals <-chan os.Signal) {
	start := time.Now()
	var atOnce atomic.Bool
	e.log.Info("draining", zap.Int64("active", e.activeRequests.Load()), zap.Duration("at_most", e.settings.DrainTimeout.D()))
	e.draining.Store(true)
	e.shutdown.Begin(e.answersDue(), func() time.Duration {
		if atOnce.Load() {
			return max(time.Since(start), e.answersDue())
		}
		return time.Since(start)
	})
	e.loop.Leave()
	e.callerConns.DisableKeepAlives()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	// The time for answers counts from the check that finds them due, also if the process was suspended meanwhile.
	var dueSince time.Time
	for accepting := true; ; {
		select {
		case <-signals:
			e.log.Warn("second signal received: answering requests in flight", zap.Int64("active", e.activeRequests.Load()))
			atOnce.Store(true)
		case <-ctx.Done():
			e.logCutOff()
			return
		case <-ticker.C:
		}
		e.shutdown.Poll()
		if !e.canServe(0) && dueSince.IsZero() {
			dueSince = time.Now()
		}
		if accepting {
			if time.Since(start) < listenerCloseDelay && dueSince.IsZero() {
				continue
			}
			// The drain would not end if callers could keep opening connections.
			accepting = false
			if err := callers.Close(); err != nil {
				e.log.Warn("callers' listener could not be closed", zap.Error(err))
			}
		}
		e.callerConns.CloseIdle()
		if e.activeRequests.Load() == 0 && e.callerConns.Drained() {
			e.log.Info("drained")
			return
		}
		if !dueSince.IsZero() && time.Since(dueSince) > e.answersTime() {
			e.logCutOff()
			return
		}
	}
}

// logCutOff logs what the process leaves behind at the end of drain_timeout.
func (e *Entry) logCutOff() {
	carrying, unsent := 0, 0
	e.callerConns.Each(func(conn *graceful.Conn) {
		if conn.InRequest() {
			carrying++
		}
		unsent += conn.Unsent()
	})
	e.log.Warn("stopped with requests in flight", zap.Int64("active", e.activeRequests.Load()), zap.Int("open", e.callerConns.Len()),
		zap.Int("carrying", carrying), zap.Int("unsent_bytes", unsent))
}
