package agent

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// answersShare and maxAnswersTime bound the last part of drain_timeout, in which the jobs that still run are ended,
	// so that entries can send them elsewhere, and their sequences are cancelled at the engine.
	answersShare   = 0.25
	maxAnswersTime = 3 * time.Second
)

// drain refuses new and queued jobs and waits until the running jobs have ended, and until the run requests of the
// reservations that it has refused have come or their leases are over. What runs shortly before drain_timeout has passed,
// or at a further signal, is ended with an error.
func (a *Agent) drain(ctx context.Context, signals <-chan os.Signal) {
	start, limit := time.Now(), a.settings.DrainTimeout.D()
	answersTime := min(time.Duration(float64(limit)*answersShare), maxAnswersTime)
	var atOnce atomic.Bool
	a.log.Info("draining", zap.Int64("active", a.activeRuns.Load()), zap.Duration("at_most", limit))
	a.loop.Leave()
	if a.loop.Do(ctx, a.control.startDraining) != nil {
		return
	}
	a.shutdown.Begin(limit-answersTime, func() time.Duration {
		if atOnce.Load() {
			return max(time.Since(start), limit-answersTime)
		}
		return time.Since(start)
	})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	// The time to end jobs counts from the check that finds it due, also if the process was suspended meanwhile.
	var dueSince time.Time
	for {
		select {
		case <-signals:
			a.log.Warn("second signal received: ending the jobs that run", zap.Int64("active", a.activeRuns.Load()))
			atOnce.Store(true)
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.shutdown.Poll()
		if remaining, _ := a.shutdown.Remaining(); remaining <= 0 && dueSince.IsZero() {
			dueSince = time.Now()
		}
		lateRequests := a.control.refusedReservations.Load() > 0 && time.Since(start) < a.settings.ReservationLease.D()
		switch {
		case a.activeRuns.Load() == 0 && (!lateRequests || !dueSince.IsZero()):
			a.log.Info("drained")
			return
		case !dueSince.IsZero() && time.Since(dueSince) > answersTime:
			a.log.Warn("stopped with requests in flight", zap.Int64("active", a.activeRuns.Load()))
			return
		}
	}
}
