package eventlog

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Rate of the lines of requests that ended well. Those of requests that failed are
// always written.
const (
	// requestsPerSecond keeps a node's log under 20 KB/s from requests that ended
	// well, at four lines of 250 bytes each.
	requestsPerSecond = 20
	requestBurst      = 40
)

// RequestLogs decides which requests' lines are written: all lines of a request or none,
// so that what is there of a request is whole. Safe for concurrent use.
type RequestLogs struct {
	log        *zap.Logger
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	skipped    uint64
}

// NewRequestLogs makes a keeper of requests' lines.
func NewRequestLogs(log *zap.Logger) *RequestLogs {
	return &RequestLogs{log: log, tokens: requestBurst, refilledAt: time.Now()}
}

// Skipped counts requests that ended well and whose lines were left out.
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

// RequestLog collects the lines of one request until its end tells whether they are kept.
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

// Begin starts the log lines of a request.
func (s *RequestLogs) Begin(request string) *RequestLog {
	return &RequestLog{logs: s, request: request}
}

// Add notes a decision.
func (s *RequestLog) Add(event string, fields ...zapcore.Field) {
	s.lines = append(s.lines, line{at: time.Now(), event: event, fields: fields})
}

// End writes the lines if the request failed or the rate allows it.
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
