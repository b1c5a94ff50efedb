package eventlog

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Rate of the stories of requests that ended well. Those of requests that failed are
// always written.
const (
	// storiesPerSecond keeps a node's log under 20 KB/s from requests that ended
	// well, at four lines of 250 bytes each.
	storiesPerSecond = 20
	storyBurst       = 40
)

// Stories decides which requests' lines are written: all lines of a request or none,
// so that a story that is there is whole. Safe for concurrent use.
type Stories struct {
	log     *zap.Logger
	mu      sync.Mutex
	tokens  float64
	at      time.Time
	skipped uint64
}

// NewStories makes a keeper of requests' lines.
func NewStories(log *zap.Logger) *Stories {
	return &Stories{log: log, tokens: storyBurst, at: time.Now()}
}

// Skipped counts requests that ended well and whose lines were left out.
func (s *Stories) Skipped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.skipped
}

func (s *Stories) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(storyBurst, s.tokens+now.Sub(s.at).Seconds()*storiesPerSecond)
	s.at = now
	if s.tokens < 1 {
		s.skipped++
		return false
	}
	s.tokens--
	return true
}

// Story collects the lines of one request until its end tells whether they are kept.
// Not safe for concurrent use.
type Story struct {
	stories *Stories
	request string
	lines   []line
}

type line struct {
	at     time.Time
	event  string
	fields []zapcore.Field
}

// Begin starts the story of a request.
func (s *Stories) Begin(request string) *Story {
	return &Story{stories: s, request: request}
}

// Add notes a decision.
func (s *Story) Add(event string, fields ...zapcore.Field) {
	s.lines = append(s.lines, line{at: time.Now(), event: event, fields: fields})
}

// End writes the lines if the request failed or the rate allows it.
func (s *Story) End(failed bool) {
	if !failed && !s.stories.allow(time.Now()) {
		return
	}
	for _, l := range s.lines {
		entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: l.at, Message: l.event}
		if checked := s.stories.log.Core().Check(entry, nil); checked != nil {
			checked.Write(append(l.fields, zap.String("request", s.request))...)
		}
	}
}
