package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// pendingPrefillLimit is the prefill of long prompts that may be pending for each
	// engine that takes them, including that of the next prompt. An engine prefills all
	// parts that it has before the next event of the streams that decode there, and the
	// most tolerant of those allow a pause of a second.
	pendingPrefillLimit = 480 * time.Millisecond
	// minPrefillShare is the fraction of the limit that may be pending when the longest
	// prompts start. Without it they would never start while others keep arriving.
	minPrefillShare = 0.3
	// passedOverPrefillShare is that fraction for prompts that are passed over: with the smaller one too
	// few of the longest prompts would be served.
	passedOverPrefillShare = 0.6
	// idlePrefillLimit is the pending prefill up to which an engine counts as idle. With
	// more, prompts that share the engine wait for each other.
	idlePrefillLimit = 300 * time.Millisecond
	// pollsPerHeartbeat is how often a queued prompt polls between two heartbeats of
	// another entry.
	pollsPerHeartbeat = 5
	// drawPrecision is the resolution of a random draw: a probability is rounded to a
	// multiple of 1/drawPrecision.
	drawPrecision = 1 << 20
)

// QueuePollInterval is the interval at which a queued prompt asks whether it may start, a
// fraction of the prefill time of one such prompt.
const QueuePollInterval = 20 * time.Millisecond

// QueuedPrompt is a long prompt that waits until the engines have capacity for it.
type QueuedPrompt struct {
	policy  *Policy
	service *directory.Service
	prefill time.Duration
	// passedOver is set for a prompt of a length that is hardly served, see Policy.PassedOver.
	passedOver bool
}

// Enqueue counts a long prompt as queued until Dequeue is called.
func (p *Policy) Enqueue(service *directory.Service, promptTokens int) *QueuedPrompt {
	q := &QueuedPrompt{policy: p, service: service, prefill: PrefillTime(service.Engine, promptTokens)}
	p.tracker.addQueuedPrefill(service.Name, q.prefill)
	return q
}

// WaitUncounted returns a long prompt that waits without being counted as queued, so that no other prompt is
// held back or refused because of it.
func (p *Policy) WaitUncounted(r *Request) *QueuedPrompt {
	return &QueuedPrompt{policy: p, service: r.Service, prefill: PrefillTime(r.Service.Engine, r.PromptTokens), passedOver: r.PassedOver}
}

// Dequeue ends the wait of a counted prompt. It must be called exactly once.
func (q *QueuedPrompt) Dequeue() { q.policy.tracker.addQueuedPrefill(q.service.Name, -q.prefill) }

// MayStart reports whether the engines for long prompts, which are at the end of the list,
// have capacity for the prompt. The longer the prompt, the less prefill may be pending when
// it starts, because a long one would delay several shorter ones. Where at least maxParts
// engines are idle, the prompt delays no other request and may start however much prefill is
// pending elsewhere. The capacity is shared among the queued prompts of all entries at
// random, see drawStart.
func (q *QueuedPrompt) MayStart(now time.Time, endpoints []*directory.EndpointState) bool {
	p := q.policy
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.tracker.updatePendingPrefill(now)
	if endpoints = p.Warm(now, q.service, p.Usable(now, now, endpoints)); len(endpoints) == 0 {
		return false // all of them are in backoff
	}
	demand := p.allowedDemand(now, q.service)
	long := p.longEngineCount(demand, q.service, len(endpoints))
	limit := time.Duration(long) * pendingPrefillLimit
	minShare := minPrefillShare
	if q.passedOver {
		minShare = passedOverPrefillShare
	}
	startLimit := max(limit-q.prefill, time.Duration(minShare*float64(limit)))
	if demand.PendingPrefill <= startLimit {
		return p.drawStart(limit-demand.PendingPrefill, demand.QueuedPrefill)
	}
	idle := p.idleEngines(now, q.service, endpoints, long)
	return idle >= maxParts && p.drawStart(time.Duration(idle)*pendingPrefillLimit, demand.QueuedPrefill)
}

// drawStart draws at random whether the prompt may start now. All entries see the same free
// capacity at the same moment and learn only later what the others started. Until then, the
// prompts that start, out of all that are queued, should on average need no more than that
// capacity.
func (p *Policy) drawStart(capacity, queued time.Duration) bool {
	if queued <= capacity || len(p.tracker.peers) == 0 {
		return true
	}
	probability := capacity.Seconds() / queued.Seconds() / pollsPerHeartbeat
	return p.rand.IntN(drawPrecision) < int(probability*drawPrecision)
}

// idleEngines counts the engines for long prompts on which nothing decodes and little
// prefill is pending.
func (p *Policy) idleEngines(now time.Time, service *directory.Service, endpoints []*directory.EndpointState, long int) int {
	candidates := p.eligible(now, &Request{Service: service}, endpoints).unlimited
	n := 0
	for _, e := range candidates[max(len(candidates)-long, 0):] {
		if load := p.tracker.estimate(now, e.Incarnation); load.inFlight == 0 && load.pendingPrefill <= idlePrefillLimit {
			n++
		}
	}
	return n
}
