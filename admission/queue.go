package admission

import (
	"sort"
	"time"

	"aspenyard.example/result"
)

// Config configures the queue of one endpoint. WithDefaults gives the defaults.
type Config struct {
	// MaxRunning bounds the jobs that run at once: the engine's batch size. Default 1.
	MaxRunning int
	// MemoryTokens is the engine's KV cache in tokens; 0 for a plain service.
	MemoryTokens int
	// PrefillRate is the engine's prefill rate in tokens per second; 0 for a plain
	// service.
	PrefillRate int
	// DecodeRate is the output rate of one sequence in a full batch, in tokens per
	// second; default 40. A lower rate refuses more jobs as too late for their
	// deadline.
	DecodeRate int
	// MaxLongRunning bounds the prompts over LongTokens that run at once; default
	// 2. More of them leave less KV cache to short prompts; fewer make long prompts
	// wait.
	MaxLongRunning int
	// MaxPrefilling bounds the jobs that have started and are not yet prefilled;
	// default 4. With a higher bound, the engine decides the order of more jobs, and the
	// started jobs take batch slots and KV cache from short prompts. With a lower one, the
	// engine may run out of prefill to do.
	// Only jobs of the same or more urgent levels count, so that a job that the engine
	// would prefill first is not held back.
	MaxPrefilling int
	// AgingDelay is how long jobs of each class may wait before they go ahead of newer
	// jobs of more urgent classes; defaults 0s, 1s, 10s.
	AgingDelay [classCount]time.Duration
	// MaxWait is the longest estimated wait, by class, with which a job is accepted;
	// defaults 10s, 15s, 30s. Shorter waits refuse earlier and keep accepted jobs
	// faster; longer ones accept more bulk jobs at the first attempt (docs/POLICY.md).
	MaxWait [classCount]time.Duration
	// ShortPromptReserve is the fraction of the KV cache that is kept free of long
	// prompts; default 0.2.
	ShortPromptReserve float64
}

// WithDefaults returns the config with the defaults in place of fields that are zero.
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

// MaxJobTokens returns the largest sum of prompt and output, in tokens, that one
// endpoint accepts: its KV cache without ShortPromptReserve.
func (c Config) MaxJobTokens() int {
	return int(float64(c.MemoryTokens) * (1 - c.ShortPromptReserve))
}

// Job is a request that is offered to the queue of an endpoint.
type Job struct {
	// ID is the reservation's number.
	ID uint64
	// DeferralKey is the same whenever this request comes back to this endpoint. With 0
	// the job gets no deferral.
	DeferralKey uint64
	Account     string
	Class       Class
	// PromptTokens and OutputTokens are the job's size. A running job holds KV cache
	// for both.
	PromptTokens, OutputTokens int
	Deadline                   time.Time

	arrived   time.Time
	startBy   time.Time // see assignStartBy
	ready     bool      // its run request has arrived
	running   bool
	prefilled bool
}

func (j *Job) memoryTokens() int { return j.PromptTokens + j.OutputTokens }
func (j *Job) isLong() bool      { return Band(j.PromptTokens) == bandCount-1 }
func (j *Job) level() Level      { return LevelOf(j.Class, j.PromptTokens) }

// Decision is the answer to an offered job.
type Decision struct {
	Accepted bool
	// Wait is the estimated time until an accepted job starts.
	Wait time.Duration
	// Code and RetryAfter are set if Accepted is false. RetryAfter is 0 if the job can
	// never be accepted.
	Code       result.Code
	RetryAfter time.Duration
	// Deferred is set if the refused job goes before later ones when it comes back to
	// this endpoint after RetryAfter.
	Deferred bool
}

// Queue decides which jobs one endpoint accepts and in which order they start. It is
// not safe for concurrent use: it belongs to the agent's control thread.
type Queue struct {
	config Config
	// slots is how many jobs may run at once under the power grant, at most MaxRunning.
	slots       int
	jobs        map[uint64]*Job
	waiting     []*Job // by startBy
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

// accountState is the fair queueing state of a client account.
type accountState struct {
	// nextArrival is the virtual arrival time of the account's next job. Each job
	// advances it by its cost times the number of accounts that share the endpoint, so
	// that a flood of one account's jobs queues behind itself.
	nextArrival time.Time
	jobs        int
}

// NewQueue returns an empty queue with all slots of the config allowed.
func NewQueue(config Config) *Queue {
	config = config.WithDefaults()
	return &Queue{config: config, slots: config.MaxRunning, jobs: map[uint64]*Job{}, prefilling: map[uint64]*Job{}, accounts: map[string]*accountState{}, deferrals: newDeferrals()}
}

// SetSlots bounds the jobs that run at once to what the power grant allows. Running
// jobs are not stopped.
func (q *Queue) SetSlots(slots int) {
	q.slots = max(0, min(slots, q.config.MaxRunning))
}

// SetClosed sets whether all offers are refused, as they are while the endpoint is leaving.
func (q *Queue) SetClosed(closed bool) { q.closed = closed }

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = 200 * time.Millisecond

// Offer accepts a job into the queue, or refuses it with a code and the time to come
// back. An accepted job does not start before MarkReady.
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

// check returns nil for a job that may be accepted, else its refusal. A job that would miss
// its deadline even at an idle endpoint gets no deferral, because waiting does not help it.
func (q *Queue) check(now time.Time, job *Job) *Decision {
	if q.closed {
		return &Decision{Code: result.Leaving, RetryAfter: minRetryAfter}
	}
	if q.config.MemoryTokens > 0 && job.memoryTokens() > q.config.MaxJobTokens() {
		return &Decision{Code: result.PromptTooLong}
	}
	if q.slots == 0 && q.running == 0 {
		return &Decision{Code: result.NoPower, RetryAfter: time.Second}
	}
	wait := q.estimateWait(now, job.level(), q.deferrals.tokensAhead(now, job))
	waitShare := q.deferrals.waitShare(now, job)
	if excess := wait - scale(waitShare, q.config.MaxWait[job.Class]); excess > 0 {
		return q.refuseWithRetry(now, job, result.Overloaded, excess)
	}
	slack := job.Deadline.Sub(now) - q.estimateDuration(now, job)
	if slack < 0 {
		return &Decision{Code: result.DeadlineUnmeetable, RetryAfter: max(minRetryAfter, wait)}
	}
	if excess := wait - scale(waitShare, slack); excess > 0 {
		return q.refuseWithRetry(now, job, result.DeadlineUnmeetable, excess)
	}
	return nil
}

// refuseWithRetry refuses a job whose wait exceeds what it may be by excess, gives it a
// deferral if possible, and says when to come back.
func (q *Queue) refuseWithRetry(now time.Time, job *Job, code result.Code, excess time.Duration) *Decision {
	after, deferred := q.deferrals.add(now, job, max(minRetryAfter, scale(retryAfterFactor, excess)))
	return &Decision{Code: code, RetryAfter: after, Deferred: deferred}
}

// estimateWait estimates the time until the prefill of a new job of a level starts: the
// backlog that goes before it, divided by the prefill rate that more urgent arrivals
// leave to the level. ahead is further prefill, in tokens, that goes before it and is
// not in the queue.
func (q *Queue) estimateWait(now time.Time, level Level, ahead int) time.Duration {
	if q.config.PrefillRate == 0 {
		return 0
	}
	return seconds(float64(q.backlog.UpTo(level)+ahead) / q.prefillRate(now, level))
}

// estimateDuration estimates how long a job takes from its start to its end.
func (q *Queue) estimateDuration(now time.Time, job *Job) time.Duration {
	if q.config.PrefillRate == 0 {
		return 0
	}
	prefill := float64(job.PromptTokens) / q.prefillRate(now, job.level())
	return seconds(prefill + float64(job.OutputTokens)/float64(q.config.DecodeRate))
}

// minRateShare is the least fraction of the prefill rate that a level is estimated to
// get. Without this bound, the estimated wait could become infinite.
const minRateShare = 0.05

// prefillRate returns the prefill rate, in tokens per second, that more urgent arrivals
// leave to a level.
func (q *Queue) prefillRate(now time.Time, level Level) float64 {
	full := float64(q.config.PrefillRate)
	return max(full*minRateShare, full-q.arrivals.moreUrgentThan(now, level))
}

// assignStartBy returns the time by which a job should start, and advances its account's
// virtual arrival time. Jobs start in the order of these times, so that a job that has
// waited long goes before newer ones and cannot starve.
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
		cost = seconds(float64(job.memoryTokens()) / float64(q.config.PrefillRate))
	}
	a.nextArrival = start.Add(cost * time.Duration(len(q.accounts)))
	return start.Add(q.config.AgingDelay[job.Class] + cost)
}

// insert adds a job to waiting, behind those with the same startBy.
func (q *Queue) insert(job *Job) {
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].startBy.After(job.startBy) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = job
}

// MarkReady records that a job's run request has arrived, so that it may start.
func (q *Queue) MarkReady(id uint64) {
	if job := q.jobs[id]; job != nil {
		job.ready = true
	}
}

// StartNext marks the next job that may start now as running and returns its ID, or
// false if there is none. Jobs whose run request has not arrived are skipped. While the
// next job in order does not fit into the free KV cache, only short prompts and urgent ones
// may start before it. Otherwise a stream of medium-sized prompts would take all memory
// as it is freed, and the job would never fit.
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
		q.heldTokens += job.memoryTokens()
		q.prefilling[job.ID] = job
		if job.isLong() {
			q.longRunning++
		}
		return job.ID, true
	}
	return 0, false
}

// prefillsSoon returns whether fewer than MaxPrefilling running jobs go before a job at
// the engine. A job that starts earlier only holds a slot and KV cache while it waits.
func (q *Queue) prefillsSoon(job *Job) bool {
	if q.config.PrefillRate == 0 {
		return true
	}
	before := 0
	for _, other := range q.prefilling {
		if other.level() <= job.level() {
			before++
		}
	}
	return before < q.config.MaxPrefilling
}

// fits returns whether a job fits into the free KV cache, and a long one into the bounds
// for long prompts.
func (q *Queue) fits(job *Job) bool {
	if q.config.MemoryTokens == 0 {
		return true
	}
	if job.isLong() {
		return q.longRunning < q.config.MaxLongRunning && q.heldTokens+job.memoryTokens() <= q.config.MaxJobTokens()
	}
	return q.heldTokens+job.memoryTokens() <= q.config.MemoryTokens
}

// MarkPrefilled records that a running job's prefill is done.
func (q *Queue) MarkPrefilled(id uint64) {
	if job := q.jobs[id]; job != nil && !job.prefilled {
		job.prefilled = true
		delete(q.prefilling, id)
		q.backlog[job.level()] -= job.PromptTokens
	}
}

// Remove deletes a job, running or waiting, and frees what it holds.
func (q *Queue) Remove(id uint64) {
	job := q.jobs[id]
	if job == nil {
		return
	}
	q.MarkPrefilled(id)
	delete(q.jobs, id)
	if job.running {
		q.running--
		q.heldTokens -= job.memoryTokens()
		if job.isLong() {
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

// Waiting returns the IDs of the jobs that have not started, in starting order.
func (q *Queue) Waiting() []uint64 {
	ids := make([]uint64, 0, len(q.waiting))
	for _, job := range q.waiting {
		ids = append(ids, job.ID)
	}
	return ids
}

// LoadReport is the load of a queue: running and queued jobs, free KV cache and prefill
// backlog in tokens.
type LoadReport struct {
	Running, Queued, FreeMemoryTokens int
	Backlog                           Backlog
}

// Report returns the queue's present load.
func (q *Queue) Report() LoadReport {
	return LoadReport{
		Running: q.running, Queued: len(q.waiting),
		FreeMemoryTokens: q.config.MemoryTokens - q.heldTokens, Backlog: q.backlog,
	}
}

// SlotDemand returns how many slots the running and waiting jobs could use.
func (q *Queue) SlotDemand() int {
	return min(q.config.MaxRunning, q.running+len(q.waiting))
}

func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
