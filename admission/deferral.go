package admission

import "time"

const (
	// maxDeferrals bounds the deferrals of one endpoint, and
	// maxDeferralsPerAccount those of one client account there, so that a flood of
	// one account's requests does not delay all others. A deferral takes about 100
	// bytes.
	maxDeferrals           = 512
	maxDeferralsPerAccount = 64
	// deferralGrace is how long a deferral stays valid after its due time. It covers
	// the caller's network latency and the rounding of Retry-After to whole seconds.
	deferralGrace = 10 * time.Second
	// retryAfterFactor multiplies the time by which the estimated wait is too long
	// to give the Retry-After of a refusal. With 1, callers would return to a queue
	// that bursts have filled again, and be refused once more.
	retryAfterFactor = 2
	// newJobWaitShare is the fraction of the longest allowed wait that jobs without a
	// deferral may use. At 1, too little is left for the jobs that come back; at 0.5,
	// urgent requests are refused that would have met their deadline.
	newJobWaitShare = 2.0 / 3
	// minReturnShare is the lower bound of the estimated fraction of deferred jobs that
	// come back.
	minReturnShare = 0.1
	// initialReturnShare is that estimate before any deferral was due.
	initialReturnShare = 0.5
	// returnWeight is the weight of the latest deferral in the moving average of the
	// fraction that come back.
	returnWeight = 0.05
)

// deferrals records the jobs that this endpoint refused with a Retry-After. Their
// prefill, multiplied by the observed fraction of deferred jobs that come back, counts
// as ahead of jobs that are offered later. A job that comes back at its due time may
// wait longer than a new one.
//
// Without deferrals, a caller that obeys Retry-After finds a queue that newer jobs
// have filled in the meantime and is refused again, so that obeying it gains
// nothing. A deferral holds no KV cache and no batch slot; it only ranks the job
// among the jobs that are offered. An agent that is replaced loses its deferrals, which costs
// their callers another refusal.
type deferrals struct {
	byKey     map[uint64]deferral
	byAccount map[string]int
	// returnShare is the moving average of the fraction of deferred jobs that come
	// back, weighted by returnWeight.
	returnShare float64
}

// deferral is one refused job, which is expected back at dueAt.
type deferral struct {
	account      string
	dueAt        time.Time
	level        Level
	promptTokens int
}

func newDeferrals() deferrals {
	return deferrals{byKey: map[uint64]deferral{}, byAccount: map[string]int{}, returnShare: initialReturnShare}
}

// waitShare returns the fraction of the longest allowed wait that a job may use: 1
// for a job that comes back at its due time or later, newJobWaitShare for all others.
func (d *deferrals) waitShare(now time.Time, job *Job) float64 {
	if own, found := d.byKey[job.DeferralKey]; found && !now.Before(own.dueAt) {
		return 1
	}
	return newJobWaitShare
}

// add records that a job is to come back after wait, and returns the time until then.
// A job that comes back too early keeps its due time. add returns false if the job
// gets no deferral: it has no key, or there are too many deferrals.
func (d *deferrals) add(now time.Time, job *Job, wait time.Duration) (time.Duration, bool) {
	if job.DeferralKey == 0 {
		return wait, false
	}
	if own, found := d.byKey[job.DeferralKey]; found && now.Before(own.dueAt) {
		return own.dueAt.Sub(now), true
	}
	d.remove(job.DeferralKey)
	if len(d.byKey) >= maxDeferrals || d.byAccount[job.Account] >= maxDeferralsPerAccount {
		return wait, false
	}
	d.byKey[job.DeferralKey] = deferral{account: job.Account, dueAt: now.Add(wait), level: job.level(), promptTokens: job.PromptTokens}
	d.byAccount[job.Account]++
	return wait, true
}

// complete ends the deferral of a job that was accepted and counts it as one that
// came back.
func (d *deferrals) complete(job *Job) {
	if d.remove(job.DeferralKey) {
		d.updateReturnShare(1)
	}
}

// remove deletes a deferral and returns whether there was one.
func (d *deferrals) remove(key uint64) bool {
	own, found := d.byKey[key]
	if !found {
		return false
	}
	delete(d.byKey, key)
	d.byAccount[own.account]--
	if d.byAccount[own.account] == 0 {
		delete(d.byAccount, own.account)
	}
	return true
}

// updateReturnShare adds a deferral to the average: 1 if its job came back, else 0.
func (d *deferrals) updateReturnShare(returned float64) {
	d.returnShare += returnWeight * (returned - d.returnShare)
}

// tokensAhead estimates the deferred prefill, in tokens, that goes before a job. It
// counts the deferrals of the job's level and of more urgent levels; for a job that has
// a deferral itself, only those that are due before it. Deferrals whose job did not
// come back in time are removed.
func (d *deferrals) tokensAhead(now time.Time, job *Job) int {
	own, deferred := d.byKey[job.DeferralKey]
	sum := 0
	for key, other := range d.byKey {
		if now.Sub(other.dueAt) > deferralGrace {
			d.remove(key)
			d.updateReturnShare(0)
			continue
		}
		if key == job.DeferralKey || other.level > job.level() || deferred && !other.dueAt.Before(own.dueAt) {
			continue
		}
		sum += other.promptTokens
	}
	return int(float64(sum) * max(minReturnShare, d.returnShare))
}
