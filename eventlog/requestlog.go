package eventlog

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limit on how many requests that succeeded are logged. Failed requests are always logged.
const (
	// requestsPerSecond keeps a node's log of successful requests under 20 KB/s, at four lines
	// of 250 bytes for each.
	requestsPerSecond = 20
	requestBurst      = 40
)

// RequestLogs decides which requests are logged. Either all lines of a request are written or none,
// so that a request in the log is complete. Safe for concurrent use.
type RequestLogs struct {
	log *zap.Logger
	mu  sync.Mutex
	// tokens is the fill of the limit's token bucket, refilledAt when it was last refilled.
	tokens     float64
	refilledAt time.Time
	skipped    uint64
}

// NewRequestLogs returns a RequestLogs that writes to log.
func NewRequestLogs(log *zap.Logger) *RequestLogs {
	return &RequestLogs{log: log, tokens: requestBurst, refilledAt: time.Now()}
}

// Skipped returns how many successful requests were not logged because of the limit.
func (s *RequestLogs) Skipped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.skipped
}

func (s *RequestLogs) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(requestBurst, s.tokens+now.Sub(s.refilledAt).Seconds()*requestsPerSecond)
	s.refilledAt = now
	if s.tokens < 1 {
		s.skipped++
		return false
	}
	s.tokens--
	return true
}

// RequestLog collects the lines of one request until its end decides whether they are written.
// Not safe for concurrent use.
type RequestLog struct {
	logs    *RequestLogs
	request string
	lines   []line
}

type line struct {
	at     time.Time
	event  string
	fields []zapcore.Field
}

// Begin starts the log of the request with the given ID.
func (s *RequestLogs) Begin(request string) *RequestLog {
	return &RequestLog{logs: s, request: request}
}

// Add adds a line for an event, with the present time.
func (s *RequestLog) Add(event string, fields ...zapcore.Field) {
	s.lines = append(s.lines, line{at: time.Now(), event: event, fields: fields})
}

// End writes the lines if the request failed or the limit allows it.
func (s *RequestLog) End(failed bool) {
	if !failed && !s.logs.allow(time.Now()) {
		return
	}
	for _, l := range s.lines {
		entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: l.at, Message: l.event}
		if checked := s.logs.log.Core().Check(entry, nil); checked != nil {
			checked.Write(append(l.fields, zap.String("request", s.request))...)
		}
	}
}
