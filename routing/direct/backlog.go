package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// readingLimit is how much prefill of long prompts may be left for each engine that takes
	// them, the next one's included. Engines prefill all parts that they have before the next
	// event of those who decode there, and the most patient of those allow a second.
	readingLimit = 480 * time.Millisecond
	// leastReading is the part of it that may be left before the longest prompts, which
	// would otherwise never go while others come.
	leastReading = 0.3
	// idleReading is what an engine may have to prefill that counts as idle. With more, those who
	// share it wait for each other.
	idleReading = 300 * time.Millisecond
)

// HeldPoll is how often a prompt that is held back asks whether it may start: a fraction of the
// time in which one of them is prefilled.
const HeldPoll = 20 * time.Millisecond

// Held is a long prompt that is held back until the engines have room for it.
type Held struct {
	policy  *Policy
	service *directory.Service
	prefill time.Duration
}

// Hold notes that a long prompt waits, until it is released.
func (p *Policy) Hold(service *directory.Service, promptTokens int) *Held {
	h := &Held{policy: p, service: service, prefill: Prefill(service.Engine, promptTokens)}
	p.ledger.hold(service.Name, h.prefill)
	return h
}

// Release ends the wait. It must be called once.
func (h *Held) Release() { h.policy.ledger.hold(h.service.Name, -h.prefill) }

// MayStart tells whether the engines for long prompts, which are those at the end of the list,
// have room for the prompt. Longer prompts wait for more to be done: what one of them takes would
// make several shorter ones late. Where as many engines are idle as a prompt may use, none is
// made late, however much others have to prefill.
func (h *Held) MayStart(now time.Time, endpoints []*directory.Listed) bool {
	p := h.policy
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	long := p.forLong(now, h.service, len(endpoints))
	limit := time.Duration(long) * readingLimit
	before := max(limit-h.prefill, time.Duration(leastReading*float64(limit)))
	demand := p.ledger.total(now, h.service.Name)
	if demand.Reading <= before {
		return p.takesTurn(limit-demand.Reading, demand.Waiting)
	}
	idle := p.idle(now, h.service, endpoints, long)
	return idle >= maxParts && p.takesTurn(time.Duration(idle)*readingLimit, demand.Waiting)
}

// takesTurn draws whether one of the prompts that wait takes of the room now. All entries see the
// same room at the same moment and hear of each other's starts later: until then as much is to start as
// there is room for, of all that waits.
func (p *Policy) takesTurn(room, waiting time.Duration) bool {
	if waiting <= room || len(p.ledger.peers) == 0 {
		return true
	}
	chance := room.Seconds() / waiting.Seconds() / looksPerHeartbeat
	return p.rand.IntN(chances) < int(chance*chances)
}

// looksPerHeartbeat is how often a prompt asks between two heartbeats of another entry.
const looksPerHeartbeat = 5

// chances is the precision with which a chance is drawn.
const chances = 1 << 20

// idle counts, of the engines for long prompts, those on which nobody decodes and that are nearly
// done with what they have to prefill.
func (p *Policy) idle(now time.Time, service *directory.Service, endpoints []*directory.Listed, long int) int {
	kept := p.eligible(now, &Request{Service: service}, endpoints)
	n := 0
	for _, e := range kept[max(len(kept)-long, 0):] {
		if there := p.ledger.estimate(now, e.Life); there.open == 0 && there.reading <= idleReading {
			n++
		}
	}
	return n
}

// Expectation is when the first token of a long prompt that has come would be there.
type Expectation struct {
	// Wait is for the long prompts that all entries have sent and hold back, Prefill for the
	// prompt itself.
	Wait, Prefill time.Duration
}

// FirstToken is the time until the first token.
func (e Expectation) FirstToken() time.Duration { return e.Wait + e.Prefill }

// TooLate tells whether the prompt is to be refused at once, as its first token would be late.
func (e Expectation) TooLate(target time.Duration) bool { return target > 0 && e.FirstToken() > target }

// forLong is how many engines there are for long prompts.
func (p *Policy) forLong(now time.Time, service *directory.Service, engines int) int {
	return max(engines-p.boundary(now, service, engines), 1)
}

// spreadFactor is how many times as long as its parts take a prompt is read: it ends with the slowest
// of its engines.
const spreadFactor = 1.2

// LatestStart is until when the prompt may be held back, from its arrival, and its first token
// still be there in time.
func (e Expectation) LatestStart(target time.Duration) time.Duration {
	return max(target-time.Duration(spreadFactor*float64(e.Prefill)), 0)
}

// Expect notes that a long prompt has come, which moves the boundary at once, and estimates when
// its first token would come.
func (p *Policy) Expect(now time.Time, service *directory.Service, engines, promptTokens int) Expectation {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.demand(service.Name).add(now, Prefill(service.Engine, promptTokens))
	return p.expect(now, service, engines, promptTokens)
}

// ExpectAgain estimates the same of a prompt that has been noted.
func (p *Policy) ExpectAgain(now time.Time, service *directory.Service, engines, promptTokens int) Expectation {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	return p.expect(now, service, engines, promptTokens)
}

// expect estimates when the first token of a prompt would come: after the long prompts that all
// entries have sent and hold back, at the rate of the engines for long prompts.
func (p *Policy) expect(now time.Time, service *directory.Service, engines, promptTokens int) Expectation {
	total := p.ledger.total(now, service.Name)
	free := p.forLong(now, service, engines)
	wait := (total.Reading + total.Waiting).Seconds() / (float64(free) * fullUse)
	return Expectation{Wait: time.Duration(wait * float64(time.Second)), Prefill: Prefill(service.Engine, promptTokens) / time.Duration(min(free, maxParts))}
}
