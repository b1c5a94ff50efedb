package routing

import (
	"sync"
	"time"

	"aspenyard.example/admission"
)

// RecentDispatches records what this entry has recently sent to each endpoint, to correct
// load reports that were made before. It is safe for concurrent use.
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

// NewRecentDispatches returns an empty record that keeps dispatches for the given time,
// which should exceed the lag of load reports.
func NewRecentDispatches(retention time.Duration) *RecentDispatches {
	return &RecentDispatches{retention: retention, sent: map[string][]dispatch{}}
}

// Record records that a request was sent to an endpoint.
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

// BacklogSince sums the prefill, in tokens by level, that was sent to an endpoint after a
// load report arrived.
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

// CountSince counts the requests that were sent to an endpoint after a load report arrived,
// and the memory that they need, in tokens.
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
