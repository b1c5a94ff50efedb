package gateway

import (
	"fmt"
	"maps"
	"sync"

	"go.uber.org/zap"

	"aspenyard.example/directory"
)

// limitLog logs the request limits that endpoints state, once for each change.
type limitLog struct {
	mu     sync.Mutex
	stated map[directory.Incarnation]StatedLimit
}

func newLimitLog() *limitLog { return &limitLog{stated: map[directory.Incarnation]StatedLimit{}} }

// observe records the limit that a response states or does not state, and logs it if that has
// changed.
func (g *Gateway) observeLimit(e *directory.EndpointState, limit StatedLimit) {
	l := g.limitLog
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.stated[e.Incarnation]
	switch {
	case limit.Kind == LimitInvalid:
		g.metrics.GetOrCreateCounter("aspenyard_gateway_invalid_limits_total").Inc()
		g.log.Error("endpoint_limit_refused", zap.String("endpoint", e.ID), zap.String("header", limit.Header), zap.String("value", limit.Text))
	case limit.Kind == LimitNotStated && before.Kind == LimitStated:
		delete(l.stated, e.Incarnation)
		g.log.Info("endpoint_limit_ended", zap.String("endpoint", e.ID), zap.Float64("limit", before.PerSecond))
	case limit.Kind == LimitStated && (before.Kind != LimitStated || before.PerSecond != limit.PerSecond):
		l.stated[e.Incarnation] = limit
		g.log.Warn("endpoint_limit", zap.String("endpoint", e.ID), zap.Float64("limit", limit.PerSecond), zap.String("header", limit.Header))
	}
}

// count returns the number of endpoints whose last response stated a limit.
func (l *limitLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.stated)
}

// isLimited reports whether an endpoint's last response stated a limit.
func (l *limitLog) isLimited(incarnation directory.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stated[incarnation].Kind == LimitStated
}

// prune drops endpoints that are no longer known.
func (l *limitLog) prune(known func(incarnation directory.Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.stated, func(incarnation directory.Incarnation, _ StatedLimit) bool { return !known(incarnation) })
}

// countLimitedRequest counts a request that is sent to an endpoint that states a limit.
func (g *Gateway) countLimitedRequest(service string) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_limited_requests_total{service=%q}`, service)).Inc()
}
