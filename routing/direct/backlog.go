package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// readingLimit is how much prefill of long prompts may be under way for each engine
	// that takes them, the next one's included. Engines prefill all parts that they have
	// before the next event of those who decode there, and the most patient of those allow a
	// second.
	readingLimit = 800 * time.Millisecond
	// leastReading is the part of it that may be under way before the longest prompts, which
	// would otherwise never go while others come.
	leastReading = 0.3
)

// Crowded tells whether the engines for long prompts have enough to prefill, so that
// another one of so many tokens had better wait. Longer prompts wait for more to be done:
// what one of them takes would make several shorter ones late.
func (p *Policy) Crowded(now time.Time, service *directory.Service, engines, promptTokens int) bool {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	free := max(engines-p.boundary(now, service, engines), 1)
	limit := time.Duration(free) * readingLimit
	before := max(limit-Prefill(service.Engine, promptTokens), time.Duration(leastReading*float64(limit)))
	return p.ledger.total(now, service.Name).Reading > before
}

// Expect notes that a long prompt has come, which moves the boundary at once, and
// estimates when its first token would come: after the long prompts that all entries
// have sent and hold back, at the rate of the engines for long prompts.
func (p *Policy) Expect(now time.Time, service *directory.Service, engines, promptTokens int) time.Duration {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	prefill := Prefill(service.Engine, promptTokens)
	p.ledger.demand(service.Name).add(now, prefill)
	free := max(engines-p.boundary(now, service, engines), 1)
	total := p.ledger.total(now, service.Name)
	wait := (total.Reading + total.Waiting).Seconds() / (float64(free) * fullUse)
	return time.Duration(wait*float64(time.Second)) + prefill/time.Duration(min(free, maxParts))
}

// Hold notes that a long prompt waits; the function that it returns ends that.
func (p *Policy) Hold(service *directory.Service, promptTokens int) func() {
	prefill := Prefill(service.Engine, promptTokens)
	p.ledger.hold(service.Name, prefill)
	return func() { p.ledger.hold(service.Name, -prefill) }
}
