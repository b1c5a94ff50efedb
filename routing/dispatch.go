package routing

import (
	"sync"
	"time"

	"aspenyard.example/admission"
)

// RecentDispatches counts what this entry has recently sent to each endpoint, to
// correct reports that were made before it.
type RecentDispatches struct {
	mu   sync.Mutex
	keep time.Duration
	sent map[string][]dispatch
}

type dispatch struct {
	at             time.Time
	level          admission.Level
	prompt, memory int
}

// NewRecentDispatches remembers dispatches for the duration keep, which should exceed
// the reports' lag.
func NewRecentDispatches(keep time.Duration) *RecentDispatches {
	return &RecentDispatches{keep: keep, sent: map[string][]dispatch{}}
}

// Record remembers a dispatch.
func (d *RecentDispatches) Record(now time.Time, r *Request, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.sent[endpoint]
	old := 0
	for old < len(list) && now.Sub(list[old].at) > d.keep {
		old++
	}
	d.sent[endpoint] = append(list[old:], dispatch{
		at: now, level: r.Level(), prompt: r.PromptTokens, memory: r.PromptTokens + r.OutputTokens,
	})
}

// BacklogSince sums the prefill sent to an endpoint after a report arrived, by level.
func (d *RecentDispatches) BacklogSince(endpoint string, reported time.Time) *admission.Backlog {
	d.mu.Lock()
	defer d.mu.Unlock()
	var backlog admission.Backlog
	for _, sent := range d.sent[endpoint] {
		if sent.at.After(reported) {
			backlog[sent.level] += sent.prompt
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
		if sent.at.After(reported) {
			count++
			memory += sent.memory
		}
	}
	return count, memory
}
