package admission

import "time"

const (
	// maxDeferrals bounds the deferrals of one endpoint, and
	// maxAccountDeferrals those of one account there, so that a flood of one
	// account's requests does not put all others off. About 100 bytes each.
	maxDeferrals           = 512
	maxDeferralsPerAccount = 64
	// deferralGrace is how long after its time a deferral stands: a caller's
	// way back, and Retry-After in whole seconds.
	deferralGrace = 10 * time.Second
	// retryAfterFactor is the time to come back over the time by which the wait is too
	// long: with 1, callers would come back to a queue that bursts have filled again, and
	// be refused once more.
	retryAfterFactor = 2
	// newJobWaitShare is the part of the longest wait that is open to requests without a
	// deferral. At 1, too little is left for those who come back; at a half,
	// urgent requests are refused that would have been in time.
	newJobWaitShare = 2.0 / 3
	// minReturnShare is the least part of the deferred work that is reckoned to come
	// back.
	minReturnShare = 0.1
	// initialReturnShare is the part reckoned before any was due.
	initialReturnShare = 0.5
	// returnWeight is the weight of the last deferral in the mean of those that came
	// back.
	returnWeight = 0.05
)

// deferrals are the jobs that were refused here and told when to come back.
// Their work counts as ahead of jobs that ask later, in the part that callers are
// seen to come back, and a job that comes back when it was told to may wait longer
// than a new one.
//
// Without them a caller who obeys Retry-After meets a queue that newer jobs have
// filled meanwhile, and is refused again: one would see obeying callers succeed no
// more often than others. They hold no memory and no place in the batch, only an
// order among those who ask; a replaced agent forgets them, which costs its
// callers another refusal.
type deferrals struct {
	byKey     map[uint64]deferral
	byAccount map[string]int
	// returnShare is the mean share of those deferred that come back, see returnWeight.
	returnShare float64
}

type deferral struct {
	account      string
	dueAt        time.Time
	level        Level
	promptTokens int
}

func newDeferrals() deferrals {
	return deferrals{byKey: map[uint64]deferral{}, byAccount: map[string]int{}, returnShare: initialReturnShare}
}

// waitShare is the part of the longest wait that is waitShare to a job: all of it for one
// that comes back when it was told to, or later.
func (d *deferrals) waitShare(now time.Time, job *Job) float64 {
	if own, found := d.byKey[job.DeferralKey]; found && !now.Before(own.dueAt) {
		return 1
	}
	return newJobWaitShare
}

// add records that a job was told to come back after a wait, and returns the
// wait: a job that comes too early is told its old time again. False when it gets
// no deferral.
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

// complete ends the deferral of a job that was accepted.
func (d *deferrals) complete(job *Job) {
	if d.remove(job.DeferralKey) {
		d.updateReturnShare(1)
	}
}

// remove forgets a deferral; false when there is none.
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

func (d *deferrals) updateReturnShare(returned float64) {
	d.returnShare += returnWeight * (returned - d.returnShare)
}

// tokensAhead sums the prefill in tokens that goes before a job: the deferrals of its
// level and of more urgent ones, of a job with a deferral only those before
// its own. Those whose job did not come back are forgotten.
func (d *deferrals) tokensAhead(now time.Time, job *Job) int {
	own, holds := d.byKey[job.DeferralKey]
	sum := 0
	for key, other := range d.byKey {
		if now.Sub(other.dueAt) > deferralGrace {
			d.remove(key)
			d.updateReturnShare(0)
			continue
		}
		if key == job.DeferralKey || other.level > job.level() || holds && !other.dueAt.Before(own.dueAt) {
			continue
		}
		sum += other.promptTokens
	}
	return int(float64(sum) * max(minReturnShare, d.returnShare))
}
