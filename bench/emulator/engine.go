package emulator

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
)

// job is a request as its first engine has it.
type job struct {
	request *request
	// memoryTokens is what it needs there, priority its priority.
	memoryTokens, priority int
	helpers                []*engine
	// reservingHelpers of the helpers are each asked to hold reservedTokens tokens, of which requiredTokens must
	// be held; reservedAt do.
	reservingHelpers, reservedTokens, requiredTokens int
	reservedAt                                       []*engine
	partPrefill                                      time.Duration
	// unfinishedParts are its parts that are not prefilled; eventsLeft those that are left to write.
	unfinishedParts, eventsLeft int
	firstEventAt, lastEventAt   time.Duration
}

// promptPart is a promptPart of a prompt that waits to be prefilled.
type promptPart struct {
	job         *job
	prefillTime time.Duration
	// tokens is its part of the prompt.
	tokens int
}

// engine is a model engine. It works in passes: everything that waits to be prefilled goes
// into the next one, and everyone who decodes writes one event at its end. Left out: the
// limit of tokens in a pass, the way of messages, and what holding a part of the context
// costs.
type engine struct {
	sim  *simulation
	spec *directory.Engine
	// slowdown is how many times as long as described its work takes.
	slowdown     float64
	waiting      []*job // for a slot or memory
	pendingParts []promptPart
	decoding     []*job
	usedTokens   int // memory in use, in tokens
	usedSlots    int // in use
	inPass       bool
	// prefillingNewest is set while the newest part is read, since readingSince; readings is how
	// many times one began to be.
	prefillingNewest bool
	prefillSince     time.Duration
	prefillCount     int
}

// submit gives the engine a request.
func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return cmp.Compare(a.priority, b.priority) })
	e.admit()
}

// admit begins waiting requests as long as the first of them has a slot and memory.
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
			helper.addPart(promptPart{j, j.partPrefill, j.request.promptTokens / (1 + len(j.helpers))})
		}
	}
}

// addPart gives the engine a part to read.
func (e *engine) addPart(p promptPart) {
	e.interruptPrefill()
	e.pendingParts = append(e.pendingParts, p)
	e.startNext()
}

// startNext begins a pass, or to read, unless a pass is under way.
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
	reading := e.pendingParts
	e.pendingParts = nil
	e.sim.AfterFunc(e.slowed(e.passTime(reading)), func() { e.endPass(reading) })
}

func (e *engine) slowed(d time.Duration) time.Duration { return time.Duration(e.slowdown * float64(d)) }

// startPrefillOfNewest reads the newest part, unless another one comes before it is done.
func (e *engine) startPrefillOfNewest() {
	if len(e.pendingParts) == 0 {
		return
	}
	e.prefillingNewest, e.prefillSince = true, e.sim.Now()
	e.prefillCount++
	number, newest := e.prefillCount, e.pendingParts[len(e.pendingParts)-1]
	length := newest.prefillTime + time.Duration(e.prefillSteps(newest.tokens))*e.spec.StepTime
	e.sim.AfterFunc(e.slowed(length), func() {
		if !e.prefillingNewest || e.prefillCount != number {
			return
		}
		e.prefillingNewest = false
		e.pendingParts = e.pendingParts[:len(e.pendingParts)-1]
		e.finishParts([]promptPart{newest}, nil)
		e.admit()
		e.startNext()
	})
}

// interruptPrefill leaves the rest of the part that is being read.
func (e *engine) interruptPrefill() {
	if !e.prefillingNewest {
		return
	}
	e.prefillingNewest = false
	newest := &e.pendingParts[len(e.pendingParts)-1]
	done := time.Duration(float64(e.sim.Now()-e.prefillSince) / e.slowdown)
	newest.prefillTime = max(newest.prefillTime-done, 0)
}

// passTime is how long a pass takes: the steps that everyone who decodes needs for an event,
// and the prefill.
func (e *engine) passTime(reading []promptPart) time.Duration {
	length := direct.DecodeTime(e.spec, len(e.decoding), e.usedTokens)
	for _, p := range reading {
		length += p.prefillTime
	}
	return length
}

// prefillSteps is in how many steps tokens are prefilled that nobody's decoding adds steps to.
func (e *engine) prefillSteps(tokens int) int {
	if e.spec.ChunkTokens <= 0 {
		return 1
	}
	return (tokens + e.spec.ChunkTokens - 1) / e.spec.ChunkTokens
}

// endPass ends a pass: parts are prefilled, and everyone who decodes writes an event.
func (e *engine) endPass(reading []promptPart) {
	e.inPass = false
	e.finishParts(reading, slices.Clone(e.decoding))
	e.admit()
	e.startNext()
}

// finishParts ends parts that have been read, and the pass in which some requests decoded.
func (e *engine) finishParts(reading []promptPart, writing []*job) {
	for _, p := range reading {
		if p.job.unfinishedParts--; p.job.unfinishedParts > 0 {
			continue
		}
		first := p.job.request.engine
		first.decoding = append(first.decoding, p.job)
		if len(p.job.helpers) == 0 {
			writing = append(writing, p.job) // read and begun in one pass
		}
		if first != e {
			first.startNext()
		}
	}
	for _, j := range writing {
		e.emitEvent(j)
	}
}

// emitEvent passes one event of a stream on.
func (e *engine) emitEvent(j *job) {
	now := e.sim.Now()
	if j.firstEventAt == 0 {
		j.firstEventAt = now
		j.request.finishPrefill()
	} else {
		j.request.longestPause = max(j.request.longestPause, now-j.lastEventAt)
	}
	j.lastEventAt = now
	if j.eventsLeft--; j.eventsLeft > 0 {
		return
	}
	e.decoding = slices.DeleteFunc(e.decoding, func(other *job) bool { return other == j })
	e.usedSlots--
	e.usedTokens -= j.memoryTokens
	j.release()
	j.request.finish(j)
}

// reserve takes the memory that a job needs at its helpers; where most of it is not free
// nothing is taken.
func (j *job) reserve() bool {
	holders := j.helpers[:j.reservingHelpers]
	var taken []*engine
	for _, h := range holders {
		if h.usedTokens+j.reservedTokens <= h.spec.KVCacheTokens {
			taken = append(taken, h)
		}
	}
	if len(taken)*j.reservedTokens < j.requiredTokens {
		return false
	}
	j.reservedAt = taken
	for _, h := range taken {
		h.usedTokens += j.reservedTokens
	}
	return true
}

// release gives the memory at the helpers back.
func (j *job) release() {
	for _, h := range j.reservedAt {
		h.usedTokens -= j.reservedTokens
		h.admit()
	}
}

// newJob makes the job of a request by a plan.
func newJob(r *request, plan *direct.Plan) *job {
	j := &job{
		request: r, memoryTokens: plan.EndpointMemoryTokens, priority: direct.EnginePriority(r.promptTokens, 1), partPrefill: plan.PartPrefill,
		unfinishedParts: 1 + len(plan.Helpers), eventsLeft: r.kind.Events, reservingHelpers: plan.ReservingHelpers, reservedTokens: plan.HelperMemoryTokens, requiredTokens: plan.MemoryTokens - plan.EndpointMemoryTokens,
	}
	return j
}
