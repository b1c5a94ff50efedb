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

// forLong is how many engines there are for long prompts at a demand.
func (p *Policy) forLong(demand Demand, service *directory.Service, engines int) int {
	return max(engines-p.boundaryFor(demand, service, engines), 1)
}

// spreadFactor is how many times as long as its parts take a prompt is read: it ends with the slowest
// of its engines.
const spreadFactor = 1.2

// LatestStart is until when the prompt may be held back, from its arrival, and its first token
// still be there in time.
func (e FirstTokenEstimate) LatestStart(target time.Duration) time.Duration {
	return max(target-time.Duration(spreadFactor*float64(e.Prefill)), 0)
}

// AddLongPrompt notes that a long prompt has come, which moves the boundary at once, and estimates when
// its first token would come.
func (p *Policy) AddLongPrompt(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.demand(service.Name).add(now, PrefillTime(service.Engine, promptTokens))
	return p.expect(now, service, engines, promptTokens)
}

// EstimateFirstToken estimates the same of a prompt that has been noted.
func (p *Policy) EstimateFirstToken(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	return p.expect(now, service, engines, promptTokens)
}

// expect estimates when the first token of a prompt would come: after the long prompts that all
// entries have sent and hold back, at the rate of the engines for long prompts.
func (p *Policy) expect(now time.Time, service *directory.Service, engines, promptTokens int) FirstTokenEstimate {
	p.ledger.advance(now)
	total := p.ledger.total(now, service.Name)
	free := p.forLong(total, service, engines)
	wait := (total.PendingPrefill + total.QueuedPrefill).Seconds() / (float64(free) * fullUse)
	return FirstTokenEstimate{Wait: time.Duration(wait * float64(time.Second)), Prefill: PrefillTime(service.Engine, promptTokens) / time.Duration(min(free, maxParts))}
}
