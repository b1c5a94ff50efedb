package gateway

import (
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptShare is the part of the drain's time in which requests are still taken:
	// the balancer needs two questions, a second apart, to see that this node is not
	// ready, and callers go on using open connections meanwhile. A request that came
	// later might not end before the process is killed.
	acceptShare = 0.36
	// stopMargin is left before the process is killed, to close connections.
	stopMargin = 300 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
)

// drain ends gracefully: readiness is off at once, answers tell callers to close
// their connections, requests are taken for a while and then refused as not run, and
// the process ends when none is left or just before it would be killed.
func (g *Gateway) drain(signals <-chan os.Signal) {
	limit := g.settings.DrainTimeout.D()
	begun := time.Now()
	g.stopping.Store(int64(begun.Sub(g.started)))
	g.callers.endKeepAlive()
	g.log.Info("drain", zap.Int64("active", g.active.Load()), zap.Duration("limit_ms", limit))
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	accept := time.Duration(float64(limit) * acceptShare)
	for {
		select {
		case <-signals:
			g.log.Warn("stop", zap.String("reason", "second signal"), zap.Int64("active", g.active.Load()))
			return
		case <-ticker.C:
		}
		since := time.Since(begun)
		if since < accept {
			continue
		}
		g.callers.closeIdle()
		if active := g.active.Load(); active == 0 || since > limit-stopMargin {
			g.log.Info("stop", zap.String("reason", "drained"), zap.Int64("active", active), zap.Duration("took_ms", since))
			g.callers.close()
			return
		}
	}
}

// accepting tells whether a new request can still end before the process stops.
func (g *Gateway) accepting() bool {
	at := g.stopping.Load()
	if at == 0 {
		return true
	}
	since := time.Since(g.started) - time.Duration(at)
	return since < time.Duration(float64(g.settings.DrainTimeout.D())*acceptShare)
}
