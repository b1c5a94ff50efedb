package admission

import (
	"sort"
	"time"

	"aspenyard.example/result"
)

// Config holds the bounds of one endpoint's queue.
type Config struct {
	// MaxRunning bounds the work started at once; the engine's batch size.
	MaxRunning int
	// MemoryTokens is the engine's KV cache in tokens; 0 for a plain service.
	MemoryTokens int
	// PrefillRate is tokens a second of prefill; 0 for a plain service.
	PrefillRate int
	// DecodeRate is the output tokens a second of one sequence in a full batch;
	// default 40. Lower refuses more work as too late for its deadline.
	DecodeRate int
	// MaxLongRunning bounds the prompts over LongTokens that run at once; default
	// 2. More keeps memory from short prompts; fewer makes long ones queue.
	MaxLongRunning int
	// MaxPrefilling bounds the jobs that are started and not yet prefilled; default 4.
	// More lets the engine's own order decide and takes batch places and memory
	// from short prompts; fewer may leave the engine without prefill to do. A job
	// that would go first at the engine is not bounded.
	MaxPrefilling int
	// AgingDelay is how long work of each class may wait before it goes ahead of
	// newer work of more urgent classes; defaults 0s, 1s, 10s.
	AgingDelay [classCount]time.Duration
	// MaxWait refuses work whose estimated wait exceeds it, by class; defaults
	// 10s, 15s, 30s. Shorter refuses earlier and keeps the admitted work faster:
	// at 10s, 30s, 5m a lasting overload of 1.3 kept long prompts waiting four times
	// as long, and a tenth more of the bulk work was done at its first asking.
	MaxWait [classCount]time.Duration
	// ShortPromptReserve is the share of memory that long prompts may not take;
	// default 0.2.
	ShortPromptReserve float64
}

// WithDefaults fills the fields left at zero.
func (c Config) WithDefaults() Config {
	if c.MaxRunning == 0 {
		c.MaxRunning = 1
	}
	if c.DecodeRate == 0 {
		c.DecodeRate = 40
	}
	if c.MaxLongRunning == 0 {
		c.MaxLongRunning = 2
	}
	if c.MaxPrefilling == 0 {
		c.MaxPrefilling = 4
	}
	if c.AgingDelay == [classCount]time.Duration{} {
		c.AgingDelay = [classCount]time.Duration{0, time.Second, 10 * time.Second}
	}
	if c.MaxWait == [classCount]time.Duration{} {
		c.MaxWait = [classCount]time.Duration{10 * time.Second, 15 * time.Second, 30 * time.Second}
	}
	if c.ShortPromptReserve == 0 {
		c.ShortPromptReserve = 0.2
	}
	return c
}

// MaxPromptTokens is the largest prompt with its output that one endpoint takes
// alone, in tokens: its memory less the short prompts' reserve.
func (c Config) MaxPromptTokens() int {
	return int(float64(c.MemoryTokens) * (1 - c.ShortPromptReserve))
}

// Job is work that asks to start.
type Job struct {
	// ID is the reservation's number.
	ID uint64
	// DeferralKey is the same whenever this request comes back to this endpoint; 0: a
	// refusal makes no deferral, and none is known.
	DeferralKey uint64
	Account     string
	Class       Class
	// PromptTokens and OutputTokens size the job; both are held as memory.
	PromptTokens, OutputTokens int
	Deadline                   time.Time

	arrived   time.Time
	startBy   time.Time
	ready     bool
	running   bool
	prefilled bool // prefill done
}

func (j *Job) memory() int  { return j.PromptTokens + j.OutputTokens }
func (j *Job) long() bool   { return Band(j.PromptTokens) == bandCount-1 }
func (j *Job) level() Level { return LevelOf(j.Class, j.PromptTokens) }

// Decision answers an offer.
type Decision struct {
	Accepted bool
	// Wait is the estimated time until the work starts.
	Wait time.Duration
	// Code and RetryAfter are set when Accepted is false.
	Code       result.Code
	RetryAfter time.Duration
	// Deferred is set when the job will go before later ones if it comes back
	// here after RetryAfter.
	Deferred bool
}

// Queue orders one endpoint's work. Not safe for concurrent use: it belongs to
// the control loop.
type Queue struct {
	config Config
	// slots is what the power grant allows of MaxRunning.
	slots       int
	jobs        map[uint64]*Job
	waiting     []*Job // by target
	running     int
	longRunning int
	heldTokens  int
	prefilling  map[uint64]*Job // started and not yet prefilled
	backlog     Backlog
	arrivals    arrivalRates
	accounts    map[string]*accountState
	deferrals   deferrals
	closed      bool
}

// accountState is what fair queueing remembers of a client accountState.
type accountState struct {
	// nextArrival is when the account's nextArrival job counts as arrived: each job moves it
	// on by its cost times the accounts that share the endpoint, so that one
	// account's flood queues behind itself.
	nextArrival time.Time
	jobs        int
}

// NewQueue makes an empty queue.
func NewQueue(config Config) *Queue {
	config = config.WithDefaults()
	return &Queue{config: config, slots: config.MaxRunning, jobs: map[uint64]*Job{}, prefilling: map[uint64]*Job{}, accounts: map[string]*accountState{}, deferrals: newDeferrals()}
}

// SetSlots bounds the work started at once to what the power grant allows.
// Running work is not stopped.
func (q *Queue) SetSlots(slots int) {
	q.slots = max(0, min(slots, q.config.MaxRunning))
}

// SetClosed refuses all further offers while the endpoint is leaving.
func (q *Queue) SetClosed(closed bool) { q.closed = closed }

// minRetryAfter keeps refused callers from asking again at once.
const minRetryAfter = 200 * time.Millisecond

// Offer accepts a job into the queue or refuses it with a code and with when
// to come back. An accepted job waits for Arm.
func (q *Queue) Offer(now time.Time, job Job) Decision {
	if refusal := q.check(now, &job); refusal != nil {
		return *refusal
	}
	q.deferrals.complete(&job)
	job.arrived = now
	job.startBy = q.assignStartBy(now, &job)
	stored := &job
	q.jobs[job.ID] = stored
	q.insert(stored)
	q.backlog[job.level()] += job.PromptTokens
	q.arrivals.add(now, job.level(), job.PromptTokens)
	return Decision{Accepted: true, Wait: q.estimateWait(now, job.level(), 0)}
}

// check refuses a job that may not wait or would end too late; nil accepts it. One
// that would be too late at an idle endpoint is not deferred: waiting does not help.
func (q *Queue) check(now time.Time, job *Job) *Decision {
	if q.closed {
		return &Decision{Code: result.Leaving, RetryAfter: minRetryAfter}
	}
	if q.config.MemoryTokens > 0 && job.memory() > q.config.MaxPromptTokens() {
		return &Decision{Code: result.PromptTooLong}
	}
	if q.slots == 0 && q.running == 0 {
		return &Decision{Code: result.NoPower, RetryAfter: time.Second}
	}
	wait := q.estimateWait(now, job.level(), q.deferrals.tokensAhead(now, job))
	open := q.deferrals.waitShare(now, job)
	if over := wait - scale(open, q.config.MaxWait[job.Class]); over > 0 {
		return q.refuseWithRetry(now, job, result.Overloaded, over)
	}
	spare := job.Deadline.Sub(now) - q.estimateDuration(now, job)
	if spare < 0 {
		return &Decision{Code: result.DeadlineUnmeetable, RetryAfter: max(minRetryAfter, wait)}
	}
	if over := wait - scale(open, spare); over > 0 {
		return q.refuseWithRetry(now, job, result.DeadlineUnmeetable, over)
	}
	return nil
}

// refuseWithRetry refuses a job whose wait is over what it may be, and says when it no
// longer will be.
func (q *Queue) refuseWithRetry(now time.Time, job *Job, code result.Code, over time.Duration) *Decision {
	after, held := q.deferrals.add(now, job, max(minRetryAfter, scale(retryAfterFactor, over)))
	return &Decision{Code: code, RetryAfter: after, Deferred: held}
}

// estimateWait estimates the time until new work of a level starts its prefill: the
// backlog that goes before it, at the rate that the work which will come
// meanwhile and go before it too leaves over. ahead is prefill in tokens that goes
// before it too and is not in the queue.
func (q *Queue) estimateWait(now time.Time, level Level, ahead int) time.Duration {
	if q.config.PrefillRate == 0 {
		return 0
	}
	return seconds(float64(q.backlog.UpTo(level)+ahead) / q.prefillRate(now, level))
}

// estimateDuration estimates how long a job takes once it starts.
func (q *Queue) estimateDuration(now time.Time, job *Job) time.Duration {
	if q.config.PrefillRate == 0 {
		return 0
	}
	prefill := float64(job.PromptTokens) / q.prefillRate(now, job.level())
	return seconds(prefill + float64(job.OutputTokens)/float64(q.config.DecodeRate))
}

// minRateShare is the least part of the prefill rate that a level is reckoned to
// get: below it, an estimate would only say "never".
const minRateShare = 0.05

// prefillRate is the prefill prefillRate, in tokens a second, that is left for a level.
func (q *Queue) prefillRate(now time.Time, level Level) float64 {
	full := float64(q.config.PrefillRate)
	return max(full*minRateShare, full-q.arrivals.moreUrgentThan(now, level))
}

// assignStartBy gives the time by which a job should start: the earliest goes first,
// so that every job's turn comes as it ages.
func (q *Queue) assignStartBy(now time.Time, job *Job) time.Time {
	a := q.accounts[job.Account]
	if a == nil {
		a = &accountState{nextArrival: now}
		q.accounts[job.Account] = a
	}
	a.jobs++
	start := a.nextArrival
	if start.Before(now) {
		start = now
	}
	cost := time.Duration(0)
	if q.config.PrefillRate > 0 {
		cost = seconds(float64(job.memory()) / float64(q.config.PrefillRate))
	}
	a.nextArrival = start.Add(cost * time.Duration(len(q.accounts)))
	return start.Add(q.config.AgingDelay[job.Class] + cost)
}

func (q *Queue) insert(job *Job) {
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].startBy.After(job.startBy) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = job
}

// MarkReady tells that a job's order has arrived, so that it may start.
func (q *Queue) MarkReady(id uint64) {
	if job := q.jobs[id]; job != nil {
		job.ready = true
	}
}

// StartNext takes the next job that may start now; false when none may. Jobs whose
// order has not come are passed over. While the job whose turn it is does not
// fit the free memory, only short and urgent prompts go past it: else a flow of
// middling ones would take each piece of memory as it is freed, and the job never
// fits.
func (q *Queue) StartNext() (uint64, bool) {
	if q.running >= q.slots {
		return 0, false
	}
	blocked := false
	for i, job := range q.waiting {
		if !job.ready {
			continue
		}
		if blocked && Band(job.PromptTokens) > 0 && job.Class != Urgent {
			continue
		}
		if !q.prefillsSoon(job) {
			continue
		}
		if !q.fits(job) {
			blocked = true
			continue
		}
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		job.running = true
		q.running++
		q.heldTokens += job.memory()
		q.prefilling[job.ID] = job
		if job.long() {
			q.longRunning++
		}
		return job.ID, true
	}
	return 0, false
}

// prefillsSoon tells whether the engine would come to a job's prefill soon. Work
// started earlier than that only takes places and memory while it waits.
func (q *Queue) prefillsSoon(job *Job) bool {
	if q.config.PrefillRate == 0 {
		return true
	}
	filling := 0
	for _, other := range q.prefilling {
		if other.level() <= job.level() {
			filling++
		}
	}
	return filling < q.config.MaxPrefilling
}

func (q *Queue) fits(job *Job) bool {
	if q.config.MemoryTokens == 0 {
		return true
	}
	if job.long() {
		return q.longRunning < q.config.MaxLongRunning && q.heldTokens+job.memory() <= q.config.MaxPromptTokens()
	}
	return q.heldTokens+job.memory() <= q.config.MemoryTokens
}

// MarkPrefilled tells that a running job's prefill is done.
func (q *Queue) MarkPrefilled(id uint64) {
	if job := q.jobs[id]; job != nil && !job.prefilled {
		job.prefilled = true
		delete(q.prefilling, id)
		q.backlog[job.level()] -= job.PromptTokens
	}
}

// Remove ends a job, running or waiting.
func (q *Queue) Remove(id uint64) {
	job := q.jobs[id]
	if job == nil {
		return
	}
	q.MarkPrefilled(id)
	delete(q.jobs, id)
	if job.running {
		q.running--
		q.heldTokens -= job.memory()
		if job.long() {
			q.longRunning--
		}
	} else {
		q.removeWaiting(job)
	}
	a := q.accounts[job.Account]
	a.jobs--
	if a.jobs == 0 {
		delete(q.accounts, job.Account)
	}
}

func (q *Queue) removeWaiting(job *Job) {
	for i, other := range q.waiting {
		if other == job {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Waiting lists the jobs not yet started, in their order.
func (q *Queue) Waiting() []uint64 {
	ids := make([]uint64, 0, len(q.waiting))
	for _, job := range q.waiting {
		ids = append(ids, job.ID)
	}
	return ids
}

// LoadReport is a queue's load.
type LoadReport struct {
	Running, Queued, FreeMemoryTokens int
	Backlog                           Backlog
}

// Report tells the queue's load.
func (q *Queue) Report() LoadReport {
	return LoadReport{
		Running: q.running, Queued: len(q.waiting),
		FreeMemoryTokens: q.config.MemoryTokens - q.heldTokens, Backlog: q.backlog,
	}
}

// SlotDemand is how many slots the present work could use.
func (q *Queue) SlotDemand() int {
	return min(q.config.MaxRunning, q.running+len(q.waiting))
}

func scale(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
