package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/membership"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

// metricsHandler serves the metrics of the gateway and of its process in the Prometheus text
// format.
func (g *Gateway) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

// registerMetrics registers the gauges; writer may be nil.
func (g *Gateway) registerMetrics(writer *eventlog.Writer) {
	g.metrics.NewGauge("aspenyard_gateway_active_requests", func() float64 { return float64(g.active.Load()) })
	g.pool.strays = g.metrics.NewCounter("aspenyard_gateway_stray_responses_total")
	g.pool.skipped = g.metrics.NewCounter("aspenyard_gateway_skipped_connections_total")
	g.metrics.NewGauge("aspenyard_gateway_endpoints", func() float64 { return float64(g.snapshot.Load().Len()) })
	g.metrics.NewGauge("aspenyard_gateway_slow_endpoints", func() float64 { return float64(len(g.loadTracker.SlowEndpoints(time.Now()))) })
	g.metrics.NewGauge("aspenyard_gateway_config_version", func() float64 {
		if config := g.snapshot.Load().Config; config != nil {
			return float64(config.Version)
		}
		return 0
	})
	g.metrics.NewGauge("aspenyard_gateway_request_logs_skipped_total", func() float64 { return float64(g.requestLogs.Skipped()) })
	g.metrics.NewGauge("aspenyard_gateway_waiting_outside_queue", func() float64 { return float64(g.outsideQueue.Load()) })
	g.metrics.NewGauge("aspenyard_gateway_config_age_seconds", func() float64 { return g.elapsedSince(&g.configAppliedAt).Seconds() })
	g.metrics.NewGauge("aspenyard_gateway_config_awaited_seconds", func() float64 { return g.watcher.ConfigAwaited().Seconds() })
	g.metrics.NewGauge("aspenyard_gateway_list_age_seconds", func() float64 { return g.stateAge().Seconds() })
	g.metrics.NewGauge("aspenyard_gateway_checkpoint_bytes", func() float64 { return float64(g.watcher.CheckpointBytes()) })
	g.metrics.NewGauge("aspenyard_gateway_watching", func() float64 {
		if g.watcher.Watching() {
			return 1
		}
		return 0
	})
	g.metrics.NewGauge("aspenyard_gateway_revision", func() float64 { return float64(g.snapshot.Load().At.Revision()) })
	g.metrics.NewGauge("aspenyard_gateway_store_era", func() float64 { return float64(g.snapshot.Load().At.Era().Stated()) })
	g.metrics.NewGauge("aspenyard_gateway_suspect_requests", func() float64 {
		suspects, _ := g.quarantine.Counts(time.Now())
		return float64(suspects)
	})
	g.metrics.NewGauge("aspenyard_gateway_quarantined_requests", func() float64 {
		_, quarantined := g.quarantine.Counts(time.Now())
		return float64(quarantined)
	})
	g.registerPartMetrics()
	g.registerLimitMetrics()
	g.registerLeavingMetrics()
	g.registerBackoffMetrics()
	g.registerEvacuationMetrics()
	g.registerReturnMetrics()
	g.registerHeldMetrics()
	g.registerPressureMetrics()
	g.registerColdMetrics()
	g.registerPeerMetrics()
	if writer != nil {
		g.metrics.NewGauge("aspenyard_gateway_log_lines_dropped_total", func() float64 { return float64(writer.Dropped()) })
	}
}

// registerPeerMetrics registers the gauges for how many of the other entries' load reports are in
// use, how old these reports are, and how many bytes the heartbeats take.
func (g *Gateway) registerPeerMetrics() {
	status := func() direct.PeerStatus { return g.loadTracker.PeerStatus(time.Now()) }
	g.metrics.NewGauge("aspenyard_gateway_peers", func() float64 { return float64(status().Peers) })
	g.metrics.NewGauge("aspenyard_gateway_peers_heard", func() float64 { return float64(status().Heard) })
	g.metrics.NewGauge("aspenyard_gateway_peer_age_seconds", func() float64 { return status().MeanAge.Seconds() })
	g.metrics.NewGauge("aspenyard_gateway_peer_oldest_seconds", func() float64 { return status().OldestAge.Seconds() })
	for direction, bytes := range map[string]func(s *membership.Stats) uint64{
		"in":  func(s *membership.Stats) uint64 { return s.ReceivedBytes.Load() },
		"out": func(s *membership.Stats) uint64 { return s.SentBytes.Load() },
	} {
		g.metrics.NewGauge(fmt.Sprintf(`aspenyard_gateway_heartbeat_bytes_total{direction=%q}`, direction), func() float64 {
			loop := g.peerLoop.Load()
			if loop == nil {
				return 0
			}
			return float64(bytes(&loop.Stats))
		})
	}
}

// elapsedSince returns the time since a moment that is stored in nanoseconds since the process's
// start; for a moment that was never set, the time since the start.
func (g *Gateway) elapsedSince(moment *atomic.Int64) time.Duration {
	return time.Since(g.started) - time.Duration(moment.Load())
}

// uptimeNanos returns the present moment in the form that elapsedSince takes.
func (g *Gateway) uptimeNanos() int64 { return int64(time.Since(g.started)) }

// latencyBuckets are the upper bounds of the latency histograms' buckets, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2, 3, 5, 10, 20}

// requestClass returns the class label of a call's metrics: the route's kind and, for streams, the
// range of the prompt's length. There are few classes, whatever callers send.
func (c *call) requestClass() string {
	switch {
	case c.route == nil:
		return "none"
	case c.route.Kind != directory.Streaming:
		return c.route.Kind.String()
	case c.PromptTokens > 100_000:
		return "streaming_above_100k"
	case c.PromptTokens > 24_000:
		return "streaming_up_to_100k"
	}
	return "streaming_up_to_24k"
}

// observeCall records the metrics of an ended call.
func (g *Gateway) observeCall(c *call, code result.Code, took time.Duration, late lateness) {
	class := c.requestClass()
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_requests_total{class=%q,code="%d",outcome=%q}`, class, code, result.Lookup(code).Name)).Inc()
	g.metrics.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`aspenyard_gateway_request_seconds{class=%q}`, class), latencyBuckets).Update(took.Seconds())
	if c.route != nil && c.route.Target > 0 && code != result.Cancelled {
		good := code == result.OK && late == onTime
		g.objectives.Record(g.metrics, "aspenyard_gateway_objective_events", fmt.Sprintf("kind=%q", class), good)
	}
	if c.firstByteAt.IsZero() {
		return
	}
	g.metrics.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`aspenyard_gateway_first_event_seconds{class=%q}`, class), latencyBuckets).Update(c.firstByteAt.Sub(c.started).Seconds())
	if c.eventsSent > 1 {
		g.metrics.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`aspenyard_gateway_longest_pause_seconds{class=%q}`, class), latencyBuckets).Update(c.longestPause.Seconds())
	}
}

// observeQueueWait records how long a long prompt was held back in the queue.
func (g *Gateway) observeQueueWait(waited time.Duration) {
	g.metrics.GetOrCreatePrometheusHistogramExt("aspenyard_gateway_queue_wait_seconds", latencyBuckets).Update(waited.Seconds())
}

// countCrash counts an endpoint that crashed while a request was in flight there.
func (g *Gateway) countCrash(service string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_crashes_total{service=%q}`, service)).Inc()
}

// countFailedAttempt counts a failed attempt by service and outcome.
func (g *Gateway) countFailedAttempt(service string, outcome attempt.SendOutcome) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_attempts_failed_total{service=%q,outcome=%q}`, service, outcome)).Inc()
}

// countConnection counts the use of a connection to an endpoint, by whether it was reused.
func (g *Gateway) countConnection(reused bool) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_endpoint_connections_total{reused="%t"}`, reused)).Inc()
}

// observeStoreCall records the duration and outcome of a call to the store.
func (g *Gateway) observeStoreCall(fullRead bool, took time.Duration, err error) {
	call, outcome := "follow", "ok"
	if fullRead {
		call = "read"
	}
	if err != nil {
		outcome = "failed"
	}
	g.metrics.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`aspenyard_gateway_store_seconds{call=%q,outcome=%q}`, call, outcome), latencyBuckets).Update(took.Seconds())
}

// countStoreCall counts a call to the store and the bytes of its bodies by kind and reason.
func (g *Gateway) countStoreCall(call directory.StoreCall) {
	labels := fmt.Sprintf(`{kind=%q,reason=%q,stale="%t",answered="%t"}`, call.Kind, call.Reason, call.Stale, call.Answered)
	g.metrics.GetOrCreateCounter("aspenyard_gateway_store_calls_total" + labels).Inc()
	g.metrics.GetOrCreateCounter("aspenyard_gateway_store_bytes_total" + labels).Add(call.RequestBytes + call.ResponseBytes)
}
