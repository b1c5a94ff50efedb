package emulator

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
)

// job is a request as the engine that it was sent to holds it.
type job struct {
	request *request
	// memoryTokens is the KV cache that the request needs at that engine. Jobs of lower
	// priority values start first.
	memoryTokens, priority int
	helpers                []*engine
	// The first reservingHelpers helpers are each asked to reserve KV cache for
	// reservedTokens tokens; together they must reserve at least requiredTokens. reservedAt
	// are the helpers that did.
	reservingHelpers, reservedTokens, requiredTokens int
	reservedAt                                       []*engine
	partPrefill                                      time.Duration
	// unfinishedParts counts the parts that are not prefilled yet, eventsLeft the events of
	// the stream that are not written yet.
	unfinishedParts, eventsLeft int
	firstEventAt, lastEventAt   time.Duration
}

// prefillPart is a prefill part that waits at an engine.
type prefillPart struct {
	job         *job
	prefillTime time.Duration
	// tokens is the length of the part.
	tokens int
}

// engine models an engine. While requests decode it works in passes: a pass prefills all
// pending parts, and each decoding request writes one event at its end. While none decodes
// it prefills the newest part first. The model leaves out the limit of tokens in a pass, the
// delay of messages between engines, and the cost of holding a part of the context.
type engine struct {
	sim  *simulation
	spec *directory.Engine
	// slowdown multiplies the time of all work; 1 is the speed of spec.
	slowdown     float64
	waiting      []*job // for a slot or memory
	pendingParts []prefillPart
	decoding     []*job
	usedTokens   int // KV cache in use, reservations included
	usedSlots    int
	inPass       bool // a pass is under way
	// prefillingNewest is set while the newest part is prefilled outside a pass, which
	// started at prefillSince. prefillCount counts such starts and identifies the current one.
	prefillingNewest bool
	prefillSince     time.Duration
	prefillCount     int
	// evacuation is the engine's evacuation, nil if it has none.
	evacuation *evacuationState
	// endpoint identifies the engine. limit is the limit that it states, nil while it states
	// none.
	endpoint direct.EndpointHash
	limit    *Limit
	// limitedArrivals are the arrivals while it states a limit.
	limitedArrivals []time.Duration
	incarnation     directory.Incarnation
	// refusals and departure are nil for an engine that does not refuse, or leave.
	refusals *refusalState
	// coldUntil is until when it is cold, coldArrivals what arrived meanwhile.
	coldUntil    time.Duration
	coldArrivals []time.Duration
	departure    *departureState
}

// submit queues a job by its priority.
func (e *engine) submit(j *job) {
	e.recordArrival()
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return cmp.Compare(a.priority, b.priority) })
	e.admit()
}

// admit starts waiting jobs, in order, until the first of them finds no free slot or too
// little KV cache.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if e.usedSlots >= e.spec.Slots || e.usedTokens+j.memoryTokens > e.spec.KVCacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.usedSlots++
		e.usedTokens += j.memoryTokens
		for _, helper := range append([]*engine{e}, j.helpers...) {
			helper.addPart(prefillPart{j, j.partPrefill, j.request.promptTokens / (1 + len(j.helpers))})
		}
	}
}

// addPart adds a part to prefill, which interrupts the prefill of an older one.
func (e *engine) addPart(p prefillPart) {
	e.interruptPrefill()
	e.pendingParts = append(e.pendingParts, p)
	e.startNext()
}

// startNext starts a pass if requests decode here, else the prefill of the newest part. It
// does nothing while a pass is under way.
func (e *engine) startNext() {
	if e.inPass {
		return
	}
	e.interruptPrefill()
	if len(e.decoding) == 0 {
		e.startPrefillOfNewest()
		return
	}
	e.inPass = true
	parts := e.pendingParts
	e.pendingParts = nil
	e.sim.AfterFunc(e.slowed(e.passTime(parts)), func() { e.endPass(parts) })
}

// slowed is the time that work of duration d takes at the engine's current speed.
func (e *engine) slowed(d time.Duration) time.Duration { return time.Duration(e.slowdown * float64(d)) }

// startPrefillOfNewest starts the prefill of the newest part outside a pass. A part that
// arrives before the end interrupts it.
func (e *engine) startPrefillOfNewest() {
	if len(e.pendingParts) == 0 {
		return
	}
	e.prefillingNewest, e.prefillSince = true, e.sim.Now()
	e.prefillCount++
	number, newest := e.prefillCount, e.pendingParts[len(e.pendingParts)-1]
	duration := newest.prefillTime + time.Duration(e.prefillSteps(newest.tokens))*e.spec.StepTime
	e.sim.AfterFunc(e.slowed(duration), func() {
		if !e.prefillingNewest || e.prefillCount != number {
			return
		}
		e.prefillingNewest = false
		e.pendingParts = e.pendingParts[:len(e.pendingParts)-1]
		e.finishParts([]prefillPart{newest}, nil)
		e.admit()
		e.startNext()
	})
}

// interruptPrefill stops the prefill of the newest part and keeps what is left of it for
// later.
func (e *engine) interruptPrefill() {
	if !e.prefillingNewest {
		return
	}
	e.prefillingNewest = false
	newest := &e.pendingParts[len(e.pendingParts)-1]
	done := time.Duration(float64(e.sim.Now()-e.prefillSince) / e.slowdown)
	newest.prefillTime = max(newest.prefillTime-done, 0)
}

// passTime is the duration of a pass at normal speed: the decode steps of one event, and the
// prefill of the parts.
func (e *engine) passTime(parts []prefillPart) time.Duration {
	duration := direct.DecodeTime(e.spec, len(e.decoding), e.usedTokens)
	for _, p := range parts {
		duration += p.prefillTime
	}
	return duration
}

// prefillSteps is the number of steps that prefill this many tokens while no request
// decodes.
func (e *engine) prefillSteps(tokens int) int {
	if e.spec.ChunkTokens <= 0 {
		return 1
	}
	return (tokens + e.spec.ChunkTokens - 1) / e.spec.ChunkTokens
}

// endPass ends a pass: its parts are prefilled, and each decoding request writes an event.
func (e *engine) endPass(parts []prefillPart) {
	e.inPass = false
	e.finishParts(parts, slices.Clone(e.decoding))
	e.admit()
	e.startNext()
}

// finishParts marks parts as prefilled and writes an event of each job in decoded. A job
// whose parts are all prefilled starts to decode at the engine that it was sent to.
func (e *engine) finishParts(parts []prefillPart, decoded []*job) {
	for _, p := range parts {
		if p.job.unfinishedParts--; p.job.unfinishedParts > 0 {
			continue
		}
		decoder := p.job.request.engine
		decoder.decoding = append(decoder.decoding, p.job)
		if len(p.job.helpers) == 0 {
			decoded = append(decoded, p.job) // a prompt in one part gets its first event with the prefill
		}
		if decoder != e {
			decoder.startNext()
		}
	}
	for _, j := range decoded {
		e.emitEvent(j)
	}
}

// emitEvent writes the next event of a stream and ends the job after the last one.
func (e *engine) emitEvent(j *job) {
	now := e.sim.Now()
	if j.firstEventAt == 0 {
		j.firstEventAt = now
		j.request.finishPrefill()
		j.request.observeHead()
	} else {
		j.request.observePause(now-j.lastEventAt, j.firstEventAt)
	}
	j.lastEventAt = now
	if j.eventsLeft--; j.eventsLeft > 0 {
		return
	}
	e.decoding = slices.DeleteFunc(e.decoding, func(other *job) bool { return other == j })
	e.usedSlots--
	e.usedTokens -= j.memoryTokens
	j.releaseMemory()
	j.request.finish(j)
}

// reserveMemory reserves KV cache at the job's helpers. It reserves nothing and reports false if
// the helpers with enough free memory would reserve less than requiredTokens in total.
func (j *job) reserveMemory() bool {
	candidates := j.helpers[:j.reservingHelpers]
	var accepting []*engine
	for _, h := range candidates {
		if h.usedTokens+j.reservedTokens <= h.spec.KVCacheTokens {
			accepting = append(accepting, h)
		}
	}
	if len(accepting)*j.reservedTokens < j.requiredTokens {
		return false
	}
	j.reservedAt = accepting
	for _, h := range accepting {
		h.usedTokens += j.reservedTokens
	}
	return true
}

// releaseMemory frees the KV cache reserved at the helpers.
func (j *job) releaseMemory() {
	for _, h := range j.reservedAt {
		h.usedTokens -= j.reservedTokens
		h.admit()
	}
}

// newJob returns the job that carries out a request's plan, without its helpers.
func newJob(r *request, plan *direct.Plan) *job {
	j := &job{
		request: r, memoryTokens: plan.EndpointMemoryTokens, priority: direct.EnginePriority(r.promptTokens, 1), partPrefill: plan.PartPrefill,
		unfinishedParts: 1 + len(plan.Helpers), eventsLeft: r.kind.Events, reservingHelpers: plan.ReservingHelpers, reservedTokens: plan.HelperMemoryTokens, requiredTokens: plan.MemoryTokens - plan.EndpointMemoryTokens,
	}
	return j
}
