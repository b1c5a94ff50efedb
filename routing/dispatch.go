package routing

import (
	"sync"
	"time"

	"aspenyard.example/admission"
)

// RecentDispatches counts what this entry has recently sent to each endpoint, to
// correct reports that were made before it.
type RecentDispatches struct {
	mu        sync.Mutex
	retention time.Duration
	sent      map[string][]dispatch
}

type dispatch struct {
	sentAt                     time.Time
	level                      admission.Level
	promptTokens, memoryTokens int
}

// NewRecentDispatches remembers dispatches for the duration keep, which should exceed
// the reports' lag.
func NewRecentDispatches(retention time.Duration) *RecentDispatches {
	return &RecentDispatches{retention: retention, sent: map[string][]dispatch{}}
}

// Record remembers a dispatch.
func (d *RecentDispatches) Record(now time.Time, r *Request, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.sent[endpoint]
	expired := 0
	for expired < len(list) && now.Sub(list[expired].sentAt) > d.retention {
		expired++
	}
	d.sent[endpoint] = append(list[expired:], dispatch{
		sentAt: now, level: r.Level(), promptTokens: r.PromptTokens, memoryTokens: r.PromptTokens + r.OutputTokens,
	})
}

// BacklogSince sums the prefill sent to an endpoint after a report arrived, by level.
func (d *RecentDispatches) BacklogSince(endpoint string, reported time.Time) *admission.Backlog {
	d.mu.Lock()
	defer d.mu.Unlock()
	var backlog admission.Backlog
	for _, sent := range d.sent[endpoint] {
		if sent.sentAt.After(reported) {
			backlog[sent.level] += sent.promptTokens
		}
	}
	return &backlog
}

// CountSince counts the requests sent after a report arrived, and their memory
// in tokens.
func (d *RecentDispatches) CountSince(endpoint string, reported time.Time) (count, memory int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sent := range d.sent[endpoint] {
		if sent.sentAt.After(reported) {
			count++
			memory += sent.memoryTokens
		}
	}
	return count, memory
}
