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
	// looksPerHeartbeat is how often a prompt asks for room between two heartbeats of another entry.
	looksPerHeartbeat = 5
	// chances is the precision with which a chance is drawn.
	chances = 1 << 20
)

// QueuePollInterval is how often a prompt that is held back asks whether it may start: a fraction of the
// time in which one of them is prefilled.
const QueuePollInterval = 20 * time.Millisecond

// QueuedPrompt is a long prompt that is held back until the engines have room for it.
type QueuedPrompt struct {
	policy  *Policy
	service *directory.Service
	prefill time.Duration
}

// Enqueue notes that a long prompt waits, until it is released.
func (p *Policy) Enqueue(service *directory.Service, promptTokens int) *QueuedPrompt {
	h := &QueuedPrompt{policy: p, service: service, prefill: PrefillTime(service.Engine, promptTokens)}
	p.ledger.hold(service.Name, h.prefill)
	return h
}

// Dequeue ends the wait. It must be called once.
func (h *QueuedPrompt) Dequeue() { h.policy.ledger.hold(h.service.Name, -h.prefill) }

// MayStart tells whether the engines for long prompts, which are those at the end of the list,
// have room for the prompt. Longer prompts wait for more to be done: what one of them takes would
// make several shorter ones late. Where as many engines are idle as a prompt may use, none is
// made late, however much others have to prefill.
func (h *QueuedPrompt) MayStart(now time.Time, endpoints []*directory.EndpointState) bool {
	p := h.policy
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	p.ledger.advance(now)
	demand := p.ledger.total(now, h.service.Name)
	long := p.forLong(demand, h.service, len(endpoints))
	limit := time.Duration(long) * readingLimit
	before := max(limit-h.prefill, time.Duration(leastReading*float64(limit)))
	if demand.PendingPrefill <= before {
		return p.takesTurn(limit-demand.PendingPrefill, demand.QueuedPrefill)
	}
	idle := p.idle(now, h.service, endpoints, long)
	return idle >= maxParts && p.takesTurn(time.Duration(idle)*readingLimit, demand.QueuedPrefill)
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

// idle counts, of the engines for long prompts, those on which nobody decodes and that are nearly
// done with what they have to prefill.
func (p *Policy) idle(now time.Time, service *directory.Service, endpoints []*directory.EndpointState, long int) int {
	kept := p.eligible(now, &Request{Service: service}, endpoints)
	n := 0
	for _, e := range kept[max(len(kept)-long, 0):] {
		if there := p.ledger.estimate(now, e.Incarnation); there.open == 0 && there.reading <= idleReading {
			n++
		}
	}
	return n
}
