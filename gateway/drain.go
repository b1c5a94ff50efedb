package gateway

import (
	"os"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/routing/direct"
)

const (
	// acceptShare is the part of the drain's time in which requests are still taken:
	// the balancer needs two questions, a second apart, to see that this node is not
	// ready, and callers go on using open connections meanwhile. A request that came
	// later might not end before the process is killed.
	acceptShare = 0.36
	// stopMargin is left before the process is killed, to close connections.
	stopMargin        = 300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drain ends gracefully: readiness is off at once, answers tell callers to close
// their connections, requests are taken for a while and then refused as not run, and
// the process ends when none is left or just before it would be killed. An interrupt
// from a terminal ends it at once. Other signals that come meanwhile do nothing: a
// supervisor that asks twice, or a change of the settings file, would otherwise cut
// every request under way.
func (g *Gateway) drain(signals <-chan os.Signal) {
	limit := g.settings.DrainTimeout.D()
	start := time.Now()
	g.drainStartedAt.Store(int64(start.Sub(g.started)))
	g.callers.conns.DisableKeepAlives()
	g.peers.announceLeaving()
	g.log.Info("drain", zap.Int64("active", g.active.Load()), zap.Duration("limit_ms", limit))
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	acceptTime := time.Duration(float64(limit) * acceptShare)
	for {
		select {
		case signal := <-signals:
			if signal == os.Interrupt {
				g.log.Warn("stop_at_once", zap.Int64("active", g.active.Load()))
				return
			}
			g.log.Info("signal_ignored", zap.String("signal", signal.String()))
			continue
		case <-ticker.C:
		}
		elapsed := time.Since(start)
		if elapsed < acceptTime {
			continue
		}
		g.callers.conns.CloseIdle()
		active := g.active.Load()
		if active+g.releasing.Load() == 0 && g.callers.conns.StopReading() || elapsed > limit-stopMargin {
			g.log.Info("stop", zap.String("reason", "drained"), zap.Int64("active", active), zap.Duration("took_ms", elapsed))
			g.callers.close()
			return
		}
	}
}

// canAccept tells whether a new request that takes need can still end before the
// process stops. When all nodes of a data centre are stopped in turn, the balancer
// goes on sending to those that drain: short work is still served then.
func (g *Gateway) canAccept(need time.Duration) bool {
	if g.drainStartedAt.Load() == 0 {
		return true
	}
	limit := g.settings.DrainTimeout.D()
	elapsed := g.elapsedSince(&g.drainStartedAt)
	return elapsed < time.Duration(float64(limit)*acceptShare) || elapsed+need < limit-stopMargin
}

const (
	// eventEstimate is how long an engine under load takes for one event of a stream:
	// its decode steps and the prompts that it prefills between them.
	eventEstimate = 150 * time.Millisecond
	// firstEventEstimate is the wait for the first event beside the prefill.
	firstEventEstimate = time.Second
	// plainServiceEstimate bounds the work of a plain service.
	plainServiceEstimate = 1500 * time.Millisecond
)

// estimatedDuration estimates how long a call takes, rather too long than too short.
func (c *call) estimatedDuration() time.Duration {
	engine := c.service.Engine
	if engine == nil || engine.Stride <= 0 {
		return min(c.route.Timeout, plainServiceEstimate)
	}
	events := c.OutputTokens/engine.Stride + 1
	return min(c.route.Timeout, firstEventEstimate+2*direct.PrefillTime(engine, c.PromptTokens)+time.Duration(events)*eventEstimate)
}
