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
	// memory is what it needs there, level its priority.
	memory, level int
	helpers       []*engine
	// holders of the helpers are each asked to hold reserved tokens, of which needed must
	// be held; reservedAt do.
	holders, reserved, needed int
	reservedAt                []*engine
	part                      time.Duration
	// missing are its parts that are not prefilled; events those that are left to write.
	missing, events int
	first, last     time.Duration
}

// part is a part of a prompt that waits to be prefilled.
type part struct {
	job     *job
	prefill time.Duration
	// tokens is its part of the prompt.
	tokens int
}

// engine is a model engine. It works in passes: everything that waits to be prefilled goes
// into the next one, and everyone who decodes writes one event at its end. Left out: the
// limit of tokens in a pass, the way of messages, and what holding a part of the context
// costs.
type engine struct {
	world *world
	model *directory.Engine
	// pace is how many times as long as described its work takes.
	pace    float64
	waiting []*job // for a slot or memory
	parts   []part
	writing []*job
	held    int // memory in use, in tokens
	slots   int // in use
	running bool
	// readingNewest is set while the newest part is read, since readingSince; readings is how
	// many times one began to be.
	readingNewest bool
	readingSince  time.Duration
	readings      int
}

// submit gives the engine a request.
func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return cmp.Compare(a.level, b.level) })
	e.admit()
}

// admit begins waiting requests as long as the first of them has a slot and memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if e.slots >= e.model.Slots || e.held+j.memory > e.model.KVCacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.slots++
		e.held += j.memory
		for _, helper := range append([]*engine{e}, j.helpers...) {
			helper.take(part{j, j.part, j.request.tokens / (1 + len(j.helpers))})
		}
	}
}

// take gives the engine a part to read.
func (e *engine) take(p part) {
	e.stopReading()
	e.parts = append(e.parts, p)
	e.run()
}

// run begins a pass, or to read, unless a pass is under way.
func (e *engine) run() {
	if e.running {
		return
	}
	e.stopReading()
	if len(e.writing) == 0 {
		e.readNewest()
		return
	}
	e.running = true
	reading := e.parts
	e.parts = nil
	e.world.AfterFunc(e.paced(e.passTime(reading)), func() { e.end(reading) })
}

func (e *engine) paced(d time.Duration) time.Duration { return time.Duration(e.pace * float64(d)) }

// readNewest reads the newest part, unless another one comes before it is done.
func (e *engine) readNewest() {
	if len(e.parts) == 0 {
		return
	}
	e.readingNewest, e.readingSince = true, e.world.Now()
	e.readings++
	number, newest := e.readings, e.parts[len(e.parts)-1]
	length := newest.prefill + time.Duration(e.readSteps(newest.tokens))*e.model.StepTime
	e.world.AfterFunc(e.paced(length), func() {
		if !e.readingNewest || e.readings != number {
			return
		}
		e.readingNewest = false
		e.parts = e.parts[:len(e.parts)-1]
		e.finish([]part{newest}, nil)
		e.admit()
		e.run()
	})
}

// stopReading leaves the rest of the part that is being read.
func (e *engine) stopReading() {
	if !e.readingNewest {
		return
	}
	e.readingNewest = false
	newest := &e.parts[len(e.parts)-1]
	done := time.Duration(float64(e.world.Now()-e.readingSince) / e.pace)
	newest.prefill = max(newest.prefill-done, 0)
}

// passTime is how long a pass takes: the steps that everyone who decodes needs for an event,
// and the prefill.
func (e *engine) passTime(reading []part) time.Duration {
	length := direct.DecodeTime(e.model, len(e.writing), e.held)
	for _, p := range reading {
		length += p.prefill
	}
	return length
}

// readSteps is in how many steps tokens are prefilled that nobody's decoding adds steps to.
func (e *engine) readSteps(tokens int) int {
	if e.model.ChunkTokens <= 0 {
		return 1
	}
	return (tokens + e.model.ChunkTokens - 1) / e.model.ChunkTokens
}

// end ends a pass: parts are prefilled, and everyone who decodes writes an event.
func (e *engine) end(reading []part) {
	e.running = false
	e.finish(reading, slices.Clone(e.writing))
	e.admit()
	e.run()
}

// finish ends parts that have been read, and the pass in which some requests decoded.
func (e *engine) finish(reading []part, writing []*job) {
	for _, p := range reading {
		if p.job.missing--; p.job.missing > 0 {
			continue
		}
		first := p.job.request.engine
		first.writing = append(first.writing, p.job)
		if len(p.job.helpers) == 0 {
			writing = append(writing, p.job) // read and begun in one pass
		}
		if first != e {
			first.run()
		}
	}
	for _, j := range writing {
		e.write(j)
	}
}

// write passes one event of a stream on.
func (e *engine) write(j *job) {
	now := e.world.Now()
	if j.first == 0 {
		j.first = now
		j.request.prefilled()
	} else {
		j.request.gap = max(j.request.gap, now-j.last)
	}
	j.last = now
	if j.events--; j.events > 0 {
		return
	}
	e.writing = slices.DeleteFunc(e.writing, func(other *job) bool { return other == j })
	e.slots--
	e.held -= j.memory
	j.release()
	j.request.done(j)
}

// reserve takes the memory that a job needs at its helpers; where most of it is not free
// nothing is taken.
func (j *job) reserve() bool {
	holders := j.helpers[:j.holders]
	var taken []*engine
	for _, h := range holders {
		if h.held+j.reserved <= h.model.KVCacheTokens {
			taken = append(taken, h)
		}
	}
	if len(taken)*j.reserved < j.needed {
		return false
	}
	j.reservedAt = taken
	for _, h := range taken {
		h.held += j.reserved
	}
	return true
}

// release gives the memory at the helpers back.
func (j *job) release() {
	for _, h := range j.reservedAt {
		h.held -= j.reserved
		h.admit()
	}
}

// newJob makes the job of a request by a plan.
func newJob(r *request, plan *direct.Plan) *job {
	j := &job{
		request: r, memory: plan.EndpointMemoryTokens, level: direct.EnginePriority(r.tokens, 1), part: plan.PartPrefill,
		missing: 1 + len(plan.Helpers), events: r.kind.Events, holders: plan.ReservingHelpers, reserved: plan.HelperMemoryTokens, needed: plan.MemoryTokens - plan.EndpointMemoryTokens,
	}
	return j
}
