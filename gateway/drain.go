package gateway

import (
	"os"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/graceful"
)

const (
	// acceptShare is the part of the drain timeout in which requests are still accepted: the
	// load balancer needs two readiness checks, a second apart, to see that this node is not
	// ready, and callers go on using open connections meanwhile. A request that arrives later
	// might not end before the process is killed.
	acceptShare = 0.36
	// stopMargin is the time left for closing connections before the process is killed.
	stopMargin = 300 * time.Millisecond
	// answerMargin is the time before that in which final responses are written and reach callers' hosts.
	answerMargin = 300 * time.Millisecond
	// minAnswerShare is the least part of the drain timeout after which final responses are due.
	minAnswerShare = 0.5
	// closeMargin is the time before stopMargin in which responses that have begun are broken off.
	closeMargin       = 100 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// answersDue returns how long after the signal every request must have its final response.
func (g *Gateway) answersDue() time.Duration {
	limit := g.settings.DrainTimeout.D()
	return max(limit-stopMargin-answerMargin, scaleDuration(limit, minAnswerShare))
}

// drain shuts the gateway down gracefully. Readiness is withdrawn at once, and responses tell
// callers to close their connections. Requests are accepted for a while and then refused as not
// run. Requests learn from the shutdown when they must have ended. drain returns when no request
// is in flight and callers' hosts have taken what was written, or just before the process would be
// killed. An interrupt from a terminal ends it at once. Other signals are ignored during the drain: a
// supervisor that signals twice, or a change of the settings file, would otherwise cut off every
// request in flight.
func (g *Gateway) drain(signals <-chan os.Signal) {
	limit, noticed := g.settings.DrainTimeout.D(), bootTime()
	elapsed, sinceSignal := func() time.Duration { return bootTime() - noticed }, g.sinceSignal(noticed)
	g.shutdown.Begin(g.answersDue(), sinceSignal)
	g.closing.Begin(limit-stopMargin-closeMargin, elapsed)
	g.callers.conns.DisableKeepAlives()
	g.peers.announceLeaving()
	g.log.Info("drain", zap.Int64("active", g.active.Load()), zap.Duration("limit_ms", limit))
	g.shutdown.Before(0, g.callers.expireHeads)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
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
		g.shutdown.Poll()
		g.closing.Poll()
		if sinceSignal() < scaleDuration(limit, acceptShare) {
			continue
		}
		g.callers.conns.CloseIdle()
		active := g.active.Load()
		switch {
		case active+g.releasing.Load() == 0 && g.callers.conns.Drained():
			g.logStop("drained", active, elapsed())
		case elapsed() > limit-stopMargin:
			g.logStop("limit", active, elapsed())
			g.callers.cutOff()
		default:
			continue
		}
		g.callers.close()
		return
	}
}

// sinceSignal returns a clock of the time since the earliest moment at which a signal that was noticed at a time since
// boot may have been sent. The supervisor counts the drain timeout from there, also while this process or its machine is
// suspended.
func (g *Gateway) sinceSignal(noticed time.Duration) func() time.Duration {
	if began, _, ok := g.suspensions.recent(); ok {
		noticed -= time.Duration(g.uptimeNanos() - began)
	}
	return func() time.Duration { return bootTime() - noticed }
}

// draining reports whether the process is shutting down.
func (g *Gateway) draining() bool {
	_, draining := g.shutdown.Remaining()
	return draining
}

// logStop logs what the process leaves behind.
func (g *Gateway) logStop(reason string, active int64, elapsed time.Duration) {
	carrying, unsent := 0, 0
	g.callers.conns.Each(func(conn *graceful.Conn) {
		if conn.InRequest() {
			carrying++
		}
		unsent += conn.Unsent()
	})
	g.log.Info("stop", zap.String("reason", reason), zap.Int64("active", active), zap.Duration("took_ms", elapsed),
		zap.Int("open", g.callers.conns.Len()), zap.Int("carrying", carrying), zap.Int("unsent_bytes", unsent))
}

// acceptsAll reports whether requests are accepted whatever they need: the process goes on, or the load balancer may not
// have noticed yet that it does not.
func (g *Gateway) acceptsAll() bool {
	remaining, draining := g.shutdown.Remaining()
	return !draining || g.answersDue()-remaining < scaleDuration(g.settings.DrainTimeout.D(), acceptShare)
}

// canAccept reports whether a request that has not been sent to an endpoint can still get a complete response before the
// process stops. When all nodes of a data centre are stopped in turn, the load balancer goes on sending requests to
// draining nodes; short ones are still served then. A stream is not among them: it may take longer than any estimate,
// and once it has begun, the process can only break it off.
func (c *call) canAccept() bool {
	if c.gateway.acceptsAll() {
		return true
	}
	remaining, _ := c.gateway.shutdown.Remaining()
	return c.route.Kind != directory.Streaming && min(c.route.Timeout, plainServiceEstimate) < remaining
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
