package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// pendingPrefillLimit is how much prefill of long prompts may be left for each engine that takes
	// them, the next one's included. Engines prefill all parts that they have before the next
	// event of those who decode there, and the most patient of those allow a second.
	pendingPrefillLimit = 480 * time.Millisecond
	// minPrefillShare is the part of it that may be left before the longest prompts, which
	// would otherwise never go while others come.
	minPrefillShare = 0.3
	// idlePrefillLimit is what an engine may have to prefill that counts as idle. With more, those who
	// share it wait for each other.
	idlePrefillLimit = 300 * time.Millisecond
	// pollsPerHeartbeat is how often a prompt asks for room between two heartbeats of another entry.
	pollsPerHeartbeat = 5
	// drawPrecision is the precision with which a chance is drawn.
	drawPrecision = 1 << 20
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
	q := &QueuedPrompt{policy: p, service: service, prefill: PrefillTime(service.Engine, promptTokens)}
	p.tracker.addQueuedPrefill(service.Name, q.prefill)
	return q
}

// Dequeue ends the wait. It must be called once.
func (q *QueuedPrompt) Dequeue() { q.policy.tracker.addQueuedPrefill(q.service.Name, -q.prefill) }

// MayStart tells whether the engines for long prompts, which are those at the end of the list,
// have room for the prompt. Longer prompts wait for more to be done: what one of them takes would
// make several shorter ones late. Where as many engines are idle as a prompt may use, none is
// made late, however much others have to prefill.
func (q *QueuedPrompt) MayStart(now time.Time, endpoints []*directory.EndpointState) bool {
	p := q.policy
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.tracker.updatePendingPrefill(now)
	demand := p.tracker.totalDemand(now, q.service.Name)
	long := p.longEngineCount(demand, q.service, len(endpoints))
	limit := time.Duration(long) * pendingPrefillLimit
	startLimit := max(limit-q.prefill, time.Duration(minPrefillShare*float64(limit)))
	if demand.PendingPrefill <= startLimit {
		return p.drawStart(limit-demand.PendingPrefill, demand.QueuedPrefill)
	}
	idle := p.idleEngines(now, q.service, endpoints, long)
	return idle >= maxParts && p.drawStart(time.Duration(idle)*pendingPrefillLimit, demand.QueuedPrefill)
}

// drawStart draws whether one of the prompts that wait takes of the room now. All entries see the
// same room at the same moment and hear of each other's starts later: until then as much is to start as
// there is room for, of all that waits.
func (p *Policy) drawStart(room, queued time.Duration) bool {
	if queued <= room || len(p.tracker.peers) == 0 {
		return true
	}
	probability := room.Seconds() / queued.Seconds() / pollsPerHeartbeat
	return p.rand.IntN(drawPrecision) < int(probability*drawPrecision)
}

// idleEngines counts, of the engines for long prompts, those on which nobody decodes and that are nearly
// done with what they have to prefill.
func (p *Policy) idleEngines(now time.Time, service *directory.Service, endpoints []*directory.EndpointState, long int) int {
	candidates := p.eligible(now, &Request{Service: service}, endpoints)
	n := 0
	for _, e := range candidates[max(len(candidates)-long, 0):] {
		if load := p.tracker.estimate(now, e.Incarnation); load.inFlight == 0 && load.pendingPrefill <= idlePrefillLimit {
			n++
		}
	}
	return n
}
