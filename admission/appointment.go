package admission

import "time"

const (
	// maxAppointments bounds the appointments of one endpoint, and
	// maxAccountAppointments those of one account there, so that a flood of one
	// account's requests does not put all others off. About 100 bytes each.
	maxAppointments        = 512
	maxAccountAppointments = 64
	// appointmentGrace is how long after its time an appointment stands: a caller's
	// way back, and Retry-After in whole seconds.
	appointmentGrace = 10 * time.Second
	// retryMargin is the time to come back over the time by which the wait is too
	// long: with 1, callers came back to a queue that bursts had filled again, and
	// 0.57 of them succeeded in place of 0.70 (bench policy, load 1.3).
	retryMargin = 2
	// newShare is the part of the longest wait that is open to requests without an
	// appointment. At 1, too little is left for those who come back; at a half,
	// urgent requests are refused that would have been in time (bench policy).
	newShare = 2.0 / 3
	// minKeptShare is the least part of appointments that is reckoned to be kept.
	minKeptShare = 0.1
	// firstKeptShare is the part reckoned before any was due.
	firstKeptShare = 0.5
	// keptWeight is the weight of the last appointment in the mean of those kept.
	keptWeight = 0.05
)

// appointments are the jobs that were refused here and told when to come back.
// Their work counts as ahead of jobs that ask later, in the part that callers are
// seen to come back, and a job that keeps its appointment may wait longer than a
// new one.
//
// Without them a caller who obeys Retry-After meets a queue that newer jobs have
// filled meanwhile, and is refused again: one would see obeying callers succeed no
// more often than others. They hold no memory and no place in the batch, only an
// order among those who ask; a replaced agent forgets them, which costs its
// callers another refusal.
type appointments struct {
	byKey     map[uint64]appointment
	byAccount map[string]int
	// kept is the mean of the share that was kept, see keptWeight.
	kept float64
}

type appointment struct {
	account string
	at      time.Time
	level   Level
	tokens  int
}

func newAppointments() appointments {
	return appointments{byKey: map[uint64]appointment{}, byAccount: map[string]int{}, kept: firstKeptShare}
}

// open is the part of the longest wait that is open to a job: all of it for one
// that comes back when it was told to, or later.
func (a *appointments) open(now time.Time, job *Job) float64 {
	if own, found := a.byKey[job.Key]; found && !now.Before(own.at) {
		return 1
	}
	return newShare
}

// make records that a job was told to come back after a wait, and returns the
// wait: a job that comes too early is told its old time again. False when it gets
// no appointment.
func (a *appointments) make(now time.Time, job *Job, wait time.Duration) (time.Duration, bool) {
	if job.Key == 0 {
		return wait, false
	}
	if own, found := a.byKey[job.Key]; found && now.Before(own.at) {
		return own.at.Sub(now), true
	}
	a.remove(job.Key)
	if len(a.byKey) >= maxAppointments || a.byAccount[job.Account] >= maxAccountAppointments {
		return wait, false
	}
	a.byKey[job.Key] = appointment{account: job.Account, at: now.Add(wait), level: job.level(), tokens: job.PromptTokens}
	a.byAccount[job.Account]++
	return wait, true
}

// accept ends the appointment of a job that was accepted.
func (a *appointments) accept(job *Job) {
	if a.remove(job.Key) {
		a.count(1)
	}
}

// remove forgets an appointment; false when there is none.
func (a *appointments) remove(key uint64) bool {
	own, found := a.byKey[key]
	if !found {
		return false
	}
	delete(a.byKey, key)
	a.byAccount[own.account]--
	if a.byAccount[own.account] == 0 {
		delete(a.byAccount, own.account)
	}
	return true
}

func (a *appointments) count(kept float64) {
	a.kept += keptWeight * (kept - a.kept)
}

// ahead sums the prefill in tokens that goes before a job: the appointments of its
// level and of more urgent ones, of a job with an appointment only those before
// its own. Appointments that were not kept are forgotten.
func (a *appointments) ahead(now time.Time, job *Job) int {
	own, holds := a.byKey[job.Key]
	sum := 0
	for key, other := range a.byKey {
		if now.Sub(other.at) > appointmentGrace {
			a.remove(key)
			a.count(0)
			continue
		}
		if key == job.Key || other.level > job.level() || holds && !other.at.Before(own.at) {
			continue
		}
		sum += other.tokens
	}
	return int(float64(sum) * max(minKeptShare, a.kept))
}
