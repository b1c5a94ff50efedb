package gateway

import (
	"cmp"
	"os"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/graceful"
	"aspenyard.example/routing/direct"
)

const (
	// acceptShare is the part of the drain timeout in which requests are still accepted: the
	// load balancer needs two readiness checks, a second apart, to see that this node is not
	// ready, and callers go on using open connections meanwhile. A request that arrives later
	// might not end before the process is killed.
	acceptShare = 0.36
	// stopMargin is the time left for closing connections before the process is killed.
	stopMargin        = 300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts the gateway down gracefully. Readiness is withdrawn at once, and responses tell
// callers to close their connections. Requests are accepted for a while and then refused as not
// run. drain returns when no request is in flight, or just before the process would be killed.
// An interrupt from a terminal ends it at once. Other signals are ignored during the drain: a
// supervisor that signals twice, or a change of the settings file, would otherwise cut off every
// request in flight.
func (g *Gateway) drain(signals <-chan os.Signal) {
	limit := g.settings.DrainTimeout.D()
	start := time.Now()
	g.drainStartedAt.Store(g.signalledAt(start))
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
		if g.elapsedSince(&g.drainStartedAt) < acceptTime {
			continue
		}
		elapsed := time.Since(start)
		g.callers.conns.CloseIdle()
		active := g.active.Load()
		if active+g.releasing.Load() == 0 && g.callers.conns.Drained() || elapsed > limit-stopMargin {
			g.logStop(active, elapsed)
			g.stopped.Store(true)
			g.callers.close()
			return
		}
	}
}

// logStop logs what the process leaves behind.
func (g *Gateway) logStop(active int64, elapsed time.Duration) {
	carrying, unsent := 0, 0
	g.callers.conns.Each(func(conn *graceful.Conn) {
		if conn.InRequest() {
			carrying++
		}
		unsent += conn.Unsent()
	})
	g.log.Info("stop", zap.String("reason", "drained"), zap.Int64("active", active), zap.Duration("took_ms", elapsed),
		zap.Int("open", g.callers.conns.Len()), zap.Int("carrying", carrying), zap.Int("unsent_bytes", unsent))
}

// signalledAt returns the earliest time at which a signal that is noticed now may have been sent, in nanoseconds since
// the gateway's start. The supervisor counts the drain timeout from there, also while this process is suspended.
func (g *Gateway) signalledAt(noticed time.Time) int64 {
	if began, _, ok := g.suspensions.recent(); ok {
		return cmp.Or(began, 1) // 0 means that no drain has begun
	}
	return int64(noticed.Sub(g.started))
}

// canAccept reports whether a new request that takes the time need can still end before the
// process stops. When all nodes of a data centre are stopped in turn, the load balancer goes on
// sending requests to draining nodes; short ones are still served then.
func (g *Gateway) canAccept(need time.Duration) bool {
	if g.drainStartedAt.Load() == 0 {
		return true
	}
	limit := g.settings.DrainTimeout.D()
	elapsed := g.elapsedSince(&g.drainStartedAt)
	return elapsed < time.Duration(float64(limit)*acceptShare) || elapsed+need < limit-stopMargin
}

const (
	// eventEstimate is the time that an engine under load takes for one event of a stream: its
	// decode steps and the prompts that it prefills between them.
	eventEstimate = 150 * time.Millisecond
	// firstEventEstimate is the estimated wait for the first event in addition to the prefill.
	firstEventEstimate = time.Second
	// plainServiceEstimate bounds the estimate for a plain service.
	plainServiceEstimate = 1500 * time.Millisecond
)

// estimatedDuration estimates how long a call takes. The estimate errs on the long side, so that an
// accepted request ends before the process does.
func (c *call) estimatedDuration() time.Duration {
	engine := c.service.Engine
	if engine == nil || engine.Stride <= 0 {
		return min(c.route.Timeout, plainServiceEstimate)
	}
	events := c.OutputTokens/engine.Stride + 1
	return min(c.route.Timeout, firstEventEstimate+2*direct.PrefillTime(engine, c.PromptTokens)+time.Duration(events)*eventEstimate)
}
