package direct

import (
	"time"

	"aspenyard.example/directory"
)

// FirstTokenEstimate is the estimated time to the first token of a long prompt from now on.
type FirstTokenEstimate struct {
	// Wait is the time for the long prompts that all entries have sent or queued, Prefill
	// that for the prompt itself.
	Wait, Prefill time.Duration
}

// FirstToken is the estimated time until the first token.
func (e FirstTokenEstimate) FirstToken() time.Duration { return e.Wait + e.Prefill }

// TooLate reports whether the first token would miss the target, so that the prompt must be
// refused at once. A target of 0 is never missed.
func (e FirstTokenEstimate) TooLate(target time.Duration) bool {
	return target > 0 && e.FirstToken() > target
}

// longEngineCount returns the number of engines for long prompts at the given demand, at
// least 1.
func (p *Policy) longEngineCount(demand Demand, service *directory.Service, engines int) int {
	return max(engines-p.boundaryFor(demand, service, engines), 1)
}

// slowestPartFactor is the ratio of the time in which all parts of a prompt are prefilled
// to the estimate for one part: the prefill ends when the slowest engine has done its part.
const slowestPartFactor = 1.2

// LatestStart is how long after its arrival the prompt may stay queued with its first token
// still meeting the target.
func (e FirstTokenEstimate) LatestStart(target time.Duration) time.Duration {
	return max(target-time.Duration(slowestPartFactor*float64(e.Prefill)), 0)
}

// AddLongPrompt records the arrival of a long prompt, which moves the boundary between the
// engines for short and long prompts at once, and estimates the time to its first token.
func (p *Policy) AddLongPrompt(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.tracker.demand(service.Name).addLong(now, PrefillTime(service.Engine, promptTokens))
	return p.estimateFirstToken(now, service, engines, promptTokens)
}

// EstimateFirstToken estimates the time to the first token of a prompt whose arrival has
// been recorded.
func (p *Policy) EstimateFirstToken(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	return p.estimateFirstToken(now, service, engines, promptTokens)
}

// estimateFirstToken assumes that the engines for long prompts, at maxLongUtilization, first
// prefill all long prompts that the entries have sent or queued. The caller holds the
// tracker's lock.
func (p *Policy) estimateFirstToken(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.tracker.updatePendingPrefill(now)
	total := p.allowedDemand(now, service)
	longEngines := p.longEngineCount(total, service, engines)
	rate := float64(longEngines) * maxLongUtilization
	wait := (total.PendingPrefill + total.QueuedPrefill).Seconds() / rate
	return FirstTokenEstimate{Wait: time.Duration(wait * float64(time.Second)), Prefill: PrefillTime(service.Engine, promptTokens) / time.Duration(min(longEngines, maxParts))}
}
