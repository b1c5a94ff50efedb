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
	acceptShare       = 0.36
	drainPollInterval = 20 * time.Millisecond
)

// drainTimes are times after the signal, in this order.
type drainTimes struct {
	// accept is until when all requests are accepted, due when every request must have its final response, closing when
	// responses that have begun are broken off, and stop when the process ends.
	accept, due, closing, stop time.Duration
}

const (
	// stopMargin is the time left before the process is killed, answerMargin the time before that in which final responses
	// are written and reach callers' hosts, and closeMargin its last part, in which nothing more is relayed.
	stopMargin   = 300 * time.Millisecond
	answerMargin = 300 * time.Millisecond
	closeMargin  = 100 * time.Millisecond
	// Bounds of the margins as shares of a short drain timeout.
	maxMarginShare      = 1.0 / 8
	maxCloseMarginShare = 1.0 / 24
)

// drainTimesFor returns the times of a drain that may take as long as limit.
func drainTimesFor(limit time.Duration) drainTimes {
	margin := func(most time.Duration, share float64) time.Duration { return min(most, scaleDuration(limit, share)) }
	stop := limit - margin(stopMargin, maxMarginShare)
	return drainTimes{
		accept: scaleDuration(limit, acceptShare), due: stop - margin(answerMargin, maxMarginShare), closing: stop - margin(closeMargin, maxCloseMarginShare), stop: stop,
	}
}

// drainTimes returns the times of this process's drain.
func (g *Gateway) drainTimes() drainTimes { return drainTimesFor(g.settings.DrainTimeout.D()) }

// drain shuts the gateway down gracefully. Readiness is withdrawn at once, and responses tell
// callers to close their connections. Requests are accepted for a while and then refused as not
// run. Requests learn from the shutdown when they must have ended. drain returns when no request
// is in flight and callers' hosts have taken what was written, or just before the process would be
// killed. An interrupt from a terminal ends it at once. Other signals are ignored during the drain: a
// supervisor that signals twice, or a change of the settings file, would otherwise cut off every
// request in flight.
func (g *Gateway) drain(signals <-chan os.Signal) {
	times, noticed := g.drainTimes(), bootTime()
	elapsed, sinceSignal := func() time.Duration { return bootTime() - noticed }, g.sinceSignal(noticed)
	g.shutdown.Begin(times.due, sinceSignal)
	g.closing.Begin(times.closing, elapsed)
	g.callers.conns.DisableKeepAlives()
	g.peers.announceLeaving()
	g.log.Info("drain", zap.Int64("active", g.active.Load()), zap.Duration("limit_ms", g.settings.DrainTimeout.D()))
	g.shutdown.Before(0, g.callers.expireHeads)
	g.closing.Before(0, g.callers.stopAccepting)
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
		if sinceSignal() < times.accept {
			continue
		}
		g.callers.conns.CloseIdle()
		if remaining, _ := g.closing.Remaining(); remaining <= 0 {
			// What arrives from now on is not read, so that its callers may send it elsewhere.
			g.callers.conns.CloseUnused()
			g.callers.expireHeads()
		}
		active := g.active.Load()
		switch {
		case active+g.releasing.Load() == 0 && g.callers.conns.Drained():
			g.logStop("drained", active, elapsed())
		case elapsed() > times.stop:
			g.logStop("limit", active, elapsed())
			g.callers.cutOff()
		default:
			continue
		}
		g.callers.close()
		return
	}
}

// sinceSignal returns a clock that counts from the earliest moment at which the signal may have been sent. noticed is when
// it was noticed, as time since boot: if the process was suspended before, the signal may be as old as the suspension. The
// supervisor counts the drain timeout from when it sent the signal, also during suspensions.
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
	times := g.drainTimes()
	return !draining || times.due-remaining < times.accept
}

// canAccept reports whether a request that has not been sent to an endpoint can still get a complete response before the
// process stops. When all nodes of a data centre are stopped in turn, the load balancer goes on sending requests to
// draining nodes; short ones are still served then. A stream is not among them: it may take longer than any estimate,
// and once it has begun, the process can only break it off. A request that may run once is refused as soon as responses of
// its route take longer than is left: its caller may send it elsewhere, but not once it may have run.
func (c *call) canAccept() bool {
	remaining, draining := c.gateway.shutdown.Remaining()
	switch {
	case draining && !c.route.Repeatable() && min(c.route.Timeout, c.gateway.responseTimes.Expected(c.route.Name)) > remaining:
		return false
	case c.gateway.acceptsAll():
		return true
	}
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
