package direct

import (
	"time"

	"aspenyard.example/directory"
)

// FirstTokenEstimate is when the first token of a long prompt that has come would be there.
type FirstTokenEstimate struct {
	// Wait is for the long prompts that all entries have sent and hold back, Prefill for the
	// prompt itself.
	Wait, Prefill time.Duration
}

// FirstToken is the time until the first token.
func (e FirstTokenEstimate) FirstToken() time.Duration { return e.Wait + e.Prefill }

// TooLate tells whether the prompt is to be refused at once, as its first token would be late.
func (e FirstTokenEstimate) TooLate(target time.Duration) bool {
	return target > 0 && e.FirstToken() > target
}

// longEngineCount is how many engines there are for long prompts at a demand.
func (p *Policy) longEngineCount(demand Demand, service *directory.Service, engines int) int {
	return max(engines-p.boundaryFor(demand, service, engines), 1)
}

// slowestPartFactor is how many times as long as its parts take a prompt is read: it ends with the slowest
// of its engines.
const slowestPartFactor = 1.2

// LatestStart is until when the prompt may be held back, from its arrival, and its first token
// still be there in time.
func (e FirstTokenEstimate) LatestStart(target time.Duration) time.Duration {
	return max(target-time.Duration(slowestPartFactor*float64(e.Prefill)), 0)
}

// AddLongPrompt notes that a long prompt has come, which moves the boundary at once, and estimates when
// its first token would come.
func (p *Policy) AddLongPrompt(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.tracker.demand(service.Name).add(now, PrefillTime(service.Engine, promptTokens))
	return p.estimateFirstToken(now, service, engines, promptTokens)
}

// EstimateFirstToken estimates the same of a prompt that has been noted.
func (p *Policy) EstimateFirstToken(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	return p.estimateFirstToken(now, service, engines, promptTokens)
}

// estimateFirstToken estimates when the first token of a prompt would come: after the long prompts that all
// entries have sent and hold back, at the rate of the engines for long prompts.
func (p *Policy) estimateFirstToken(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.tracker.updatePendingPrefill(now)
	total := p.tracker.totalDemand(now, service.Name)
	longEngines := p.longEngineCount(total, service, engines)
	wait := (total.PendingPrefill + total.QueuedPrefill).Seconds() / (float64(longEngines) * maxLongUtilization)
	return FirstTokenEstimate{Wait: time.Duration(wait * float64(time.Second)), Prefill: PrefillTime(service.Engine, promptTokens) / time.Duration(min(longEngines, maxParts))}
}
