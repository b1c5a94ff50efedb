package entry

import (
	"fmt"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/node"
	"aspenyard.example/result"
)

// bandNames are the names of the prompt-length bands of admission.Band in metric labels
// and reports.
var bandNames = []string{"up_to_4k", "up_to_16k", "up_to_100k", "above_100k"}

// registerMetrics registers the gauges that are read when the metrics are scraped.
func (e *Entry) registerMetrics() {
	node.RegisterLoopMetrics(e.metrics, e.loop)
	e.metrics.NewGauge("aspenyard_entry_active_requests", func() float64 { return float64(e.activeRequests.Load()) })
	e.metrics.NewGauge("aspenyard_entry_draining", func() float64 {
		if e.draining.Load() {
			return 1
		}
		return 0
	})
	e.metrics.NewGauge("aspenyard_entry_endpoints", func() float64 { return float64(len(*e.control.endpoints.Load())) })
	for class, budget := range e.budgets {
		e.metrics.NewGauge(fmt.Sprintf(`aspenyard_entry_retries_total{class="%d"}`, class), func() float64 {
			spent, _ := budget.Counts()
			return float64(spent)
		})
		e.metrics.NewGauge(fmt.Sprintf(`aspenyard_entry_retries_denied_total{class="%d"}`, class), func() float64 {
			_, denied := budget.Counts()
			return float64(denied)
		})
	}
}

// observeCall counts an ended call, records its time to first token and, for a kind of
// work with an objective, counts it as a good or a bad event. Calls that failed by the
// caller's own fault or were cancelled count as neither.
func (e *Entry) observeCall(c *call, code result.Code) {
	e.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_entry_requests_total{code="%d"}`, code)).Inc()
	if c.kind == nil {
		return
	}
	labels := fmt.Sprintf(`kind=%q,class=%q,band=%q`, c.kind.ID, c.kind.Work.Class, bandNames[admission.Band(c.promptTokens)])
	if !c.firstTokenAt.IsZero() {
		e.metrics.GetOrCreatePrometheusHistogramExt("aspenyard_entry_first_token_seconds{"+labels+"}", firstTokenBuckets).Update(c.firstTokenAt.Sub(c.startedAt).Seconds())
	}
	objective := c.kind.Work.Objective
	if objective == nil || code != result.OK && code < minSystemFaultCode || code == result.Cancelled {
		return
	}
	e.objectives.Record(e.metrics, "aspenyard_entry_objective_events", labels, code == result.OK && c.metTarget(objective.FirstToken.D()))
}

// minSystemFaultCode is the lowest result code of a failure that is not the caller's own
// fault.
const minSystemFaultCode = result.RateLimited

// metTarget reports whether the first token came within limit after the request's start
// or, where no token was sent, whether the request ended within it.
func (c *call) metTarget(limit time.Duration) bool {
	if c.firstTokenAt.IsZero() {
		return time.Since(c.startedAt) <= limit
	}
	return c.firstTokenAt.Sub(c.startedAt) <= limit
}

// firstTokenBuckets are the upper bounds of the histogram of times to first token, in
// seconds. They are the same on every node, so that histograms can be summed.
var firstTokenBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 50, 100, 250, 500}
