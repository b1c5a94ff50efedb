package gateway

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/eventlog"
	"aspenyard.example/result"
	"aspenyard.example/settings"
)

// UsageReader measures what the process uses of its host.
type UsageReader interface {
	// ProcessorTime returns the processor time that the process has used since its start.
	ProcessorTime() (time.Duration, error)
	// OpenDescriptors returns how many descriptors the process has open.
	OpenDescriptors() (int, error)
}

// traffic counts the bytes of callers' and endpoints' connections. The methods may be called on a nil pointer.
type traffic struct {
	received, sent atomic.Int64
	// largeBodies are the received bytes of large bodies.
	largeBodies atomic.Int64
}

func (t *traffic) addReceived(n int) {
	if t != nil {
		t.received.Add(int64(n))
	}
}

func (t *traffic) addSent(n int) {
	if t != nil {
		t.sent.Add(int64(n))
	}
}

// descriptorPeriod is the number of measurements for each count of the descriptors. Those of callers' connections, which
// change the fastest, are counted exactly.
const descriptorPeriod = 10

// pressureMonitor measures what the process uses and keeps the pressure that follows from it.
type pressureMonitor struct {
	gateway *Gateway
	usage   UsageReader
	limits  admission.EntryLimits
	// descriptorLimit is 0 if there is none.
	descriptorLimit int
	// callerLimit is how many connections callers may have, callerResource the resource that bounds them.
	callerLimit    atomic.Int64
	callerResource atomic.Int64
	timerLate      atomic.Int64 // of the last measurement, in nanoseconds

	mu       sync.Mutex
	pressure *admission.EntryPressure
	// otherBytes are the bytes that are received a second besides large bodies, averaged.
	otherBytes float64

	// The other fields are used by one goroutine.
	measurements  int
	processorTime time.Duration
	// received, sent and largeBodies are the counts of the last measurement.
	received, sent, largeBodies int64
	// failed are the resources whose last measurement failed.
	failed map[admission.EntryResource]bool
}

func newPressureMonitor(g *Gateway, s *settings.Gateway, usage UsageReader) *pressureMonitor {
	if usage == nil {
		usage = processUsage{}
	}
	limits := admission.EntryLimits{Cores: s.ProcessorLimit, LinkBytes: float64(s.LinkLimit) / 8}
	m := &pressureMonitor{
		gateway: g, usage: usage, limits: limits, descriptorLimit: int(s.DescriptorLimit),
		pressure: admission.NewEntryPressure(limits), failed: map[admission.EntryResource]bool{},
	}
	m.boundCallers(0)
	return m
}

// run measures until ctx ends. Only monotonic time is used, so that changes of the clock have no effect.
func (m *pressureMonitor) run(ctx context.Context) {
	m.processorTime, _ = m.usage.ProcessorTime()
	last := time.Now()
	due := last.Add(admission.MeasureInterval)
	timer := time.NewTimer(admission.MeasureInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		m.gateway.suspensions.observe()
		now := time.Now()
		m.measure(now.Sub(last), now.Sub(due))
		last, due = now, now.Add(admission.MeasureInterval)
		timer.Reset(admission.MeasureInterval)
	}
}

// measure makes one measurement, elapsed after the one before. late is how late its timer has fired.
func (m *pressureMonitor) measure(elapsed, late time.Duration) {
	m.timerLate.Store(int64(late))
	if m.descriptorLimit > 0 && m.measurements%descriptorPeriod == 0 {
		m.countDescriptors()
	}
	m.measurements++
	use := m.use(elapsed, late)
	large := m.gateway.traffic.largeBodies.Load()
	other := float64(max(use.Received-(large-m.largeBodies), 0)) / max(elapsed, admission.MeasureInterval).Seconds()
	m.largeBodies = large
	connections := float64(m.gateway.callers.conns.Len()) / float64(m.callerLimit.Load())
	held := float64(m.gateway.bytes.Held()) / float64(m.gateway.bytes.Bound())

	m.mu.Lock()
	m.otherBytes += (other - m.otherBytes) * otherBytesWeight
	if admission.EntryResource(m.callerResource.Load()) == admission.Descriptors {
		m.pressure.SetUse(admission.Descriptors, connections)
		m.pressure.SetUse(admission.Memory, held)
	} else {
		m.pressure.SetUse(admission.Memory, max(connections, held))
	}
	changes := m.pressure.Observe(use)
	m.mu.Unlock()
	for _, c := range changes {
		if c.Pressed {
			m.gateway.log.Warn("entry_pressed", zap.Stringer("resource", c.Resource), zap.Float64("pressure", c.Pressure))
		} else {
			m.gateway.log.Info("entry_relieved", zap.Stringer("resource", c.Resource), zap.Float64("pressure", c.Pressure))
		}
	}
}

// otherBytesWeight is the weight of one measurement of received bytes in their average over about a second.
const otherBytesWeight = 0.1

// use returns what was used since the last measurement.
func (m *pressureMonitor) use(elapsed, late time.Duration) admission.EntryUse {
	t := &m.gateway.traffic
	received, sent := t.received.Load(), t.sent.Load()
	use := admission.EntryUse{Elapsed: elapsed, TimerLate: late, Received: received - m.received, Sent: sent - m.sent}
	m.received, m.sent = received, sent
	if m.limits.Cores > 0 {
		processorTime, err := m.usage.ProcessorTime()
		wasFailed := m.failed[admission.Processor]
		m.report(admission.Processor, err)
		if use.Processor = processorTime - m.processorTime; err != nil || wasFailed {
			use.Processor = -1 // after a failure, nothing is known of the time before
		}
		m.processorTime = processorTime
	}
	if m.limits.LinkBytes > 0 {
		for _, s := range m.gateway.slowCallers.states() {
			switch {
			case s.Announced > admission.SmallBody:
				use.ReceiveWaiting += s.Announced - s.Received
			case !s.Sends:
				use.SendWaiting += s.Held
			}
		}
	}
	return use
}

// report logs the first failure in a row to measure a resource, which is left out until it can be measured.
func (m *pressureMonitor) report(r admission.EntryResource, err error) {
	if err != nil && !m.failed[r] {
		m.gateway.log.Warn("entry_not_measured", zap.Stringer("resource", r), eventlog.Error(err))
	}
	m.failed[r] = err != nil
}

// countDescriptors bounds the callers' connections by the descriptors that are open for anything else.
func (m *pressureMonitor) countDescriptors() {
	open, err := m.usage.OpenDescriptors()
	m.report(admission.Descriptors, err)
	if err != nil {
		open = 0
	}
	m.boundCallers(max(open-m.gateway.callers.conns.Len(), 0))
}

func (m *pressureMonitor) boundCallers(otherDescriptors int) {
	limit, resource := admission.CallerConnections(m.descriptorLimit, int64(memoryOrDefault(m.gateway.settings.MemoryLimit)), otherDescriptors)
	m.callerLimit.Store(int64(limit))
	m.callerResource.Store(int64(resource))
}

// refusePressed refuses a request that the entry has no capacity for, before its body is read. A resumed stream
// has taken an endpoint's work already and is never refused.
func (c *call) refusePressed() *result.Error {
	if c.LastEventID != "" {
		return nil
	}
	m := c.gateway.pressure
	if conn := c.callerConn(); conn != nil && conn.overLimit {
		resource := admission.EntryResource(m.callerResource.Load())
		return c.refuseFor(resource, float64(c.gateway.callers.conns.Len())/float64(m.callerLimit.Load()), 0)
	}
	m.mu.Lock()
	resource, pressure := m.pressure.Highest()
	admitted := m.pressure.Admit(c.rank)
	m.mu.Unlock()
	if conn := c.callerConn(); conn != nil && conn.admitted {
		conn.admitted = false
		return nil
	}
	if !admitted {
		return c.refuseFor(resource, pressure, 0)
	}
	return nil
}

// refuseLateBody refuses a large body that could not arrive in time through the entry's link.
func (c *call) refuseLateBody(length int64) *result.Error {
	m := c.gateway.pressure
	if m.limits.LinkBytes <= 0 || length <= admission.SmallBody || c.LastEventID != "" {
		return nil
	}
	m.mu.Lock()
	pressure, other := m.pressure.Pressure(admission.LinkReceived), m.otherBytes
	m.mu.Unlock()
	now := time.Now()
	terms := admission.LinkTerms{LinkBytes: m.limits.LinkBytes, OtherBytes: other, Remaining: c.deadline.Sub(now)}
	if admission.BodyArrives(terms, length, c.gateway.slowCallers.incomingBodies(now)) {
		return nil
	}
	return c.refuseFor(admission.LinkReceived, pressure, length)
}

// refuseFor refuses a request for lack of a resource. bytes is the size of its body if that is the reason.
func (c *call) refuseFor(resource admission.EntryResource, pressure float64, bytes int64) *result.Error {
	c.log.Add("entry_full", zap.Stringer("resource", resource), zap.Float64("pressure", pressure), zap.Int64("bytes", bytes), zap.Float64("rank", c.rank))
	c.countFull(resource)
	if bytes > 0 {
		return result.Refuse(result.EntryFull, entryFullRetryAfter, "a body of %d bytes could not arrive in time", bytes)
	}
	return result.Refuse(result.EntryFull, entryFullRetryAfter, "entry is short of %s", resource)
}

// countFull counts a request that is refused for lack of a resource.
func (c *call) countFull(resource admission.EntryResource) {
	c.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_full_refused_total{class=%q,resource=%q}`, c.requestClass(), resource)).Inc()
}

// closeOverLimit makes the response to a request on a connection beyond the limit close the connection, unless
// others have been closed meanwhile.
func (c *call) closeOverLimit() {
	conn := c.callerConn()
	if conn == nil || !conn.overLimit {
		return
	}
	if c.gateway.callers.full() {
		c.response.CloseConnection()
		return
	}
	conn.setAdmitted()
}

// registerPressureMetrics registers the gauges of the entry's own resources.
func (g *Gateway) registerPressureMetrics() {
	m := g.pressure
	for r := admission.EntryResource(0); r < admission.ResourceCount; r++ {
		g.metrics.NewGauge(fmt.Sprintf(`aspenyard_gateway_pressure{resource=%q}`, r), func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.pressure.Pressure(r)
		})
	}
	g.metrics.NewGauge("aspenyard_gateway_timer_late_seconds", func() float64 { return time.Duration(m.timerLate.Load()).Seconds() })
	g.metrics.NewGauge("aspenyard_gateway_caller_connections", func() float64 { return float64(g.callers.conns.Len()) })
	g.metrics.NewGauge("aspenyard_gateway_caller_connections_bound", func() float64 {
		limit := m.callerLimit.Load()
		if limit == math.MaxInt64 {
			return 0
		}
		return float64(limit)
	})
}
