package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/result"
)

// queueWithBacklog has a backlog that keeps normal work waiting for the given time; new
// work may wait 20 s, work with a deferral 30.
func queueWithBacklog(wait time.Duration) *Queue {
	maxWait := [classCount]time.Duration{10 * time.Second, 30 * time.Second, time.Minute}
	q := NewQueue(Config{MaxRunning: 8, MemoryTokens: 400_000, PrefillRate: 10_000, MaxWait: maxWait})
	q.backlog[LevelOf(Normal, 1000)] = int(wait.Seconds()) * 10_000
	return q
}

func normalJob(key uint64) Job {
	return Job{ID: key, DeferralKey: key, Account: "a", Class: Normal, PromptTokens: 1000}
}

// Symptom: a caller that obeys Retry-After is refused again and again. Sequence:
// it is refused; others ask until it comes back; the queue is as long as before.
// Cause: nothing told the one who had waited from those who had not.
func TestDeferredJobGoesBeforeNewJobs(t *testing.T) {
	is := is.New(t)
	q := queueWithBacklog(25 * time.Second)
	first := q.Offer(testStart, withDeadline(normalJob(1)))
	is.Equal(first.Code, result.Overloaded)
	is.True(first.Deferred)
	at := testStart.Add(first.RetryAfter)
	newer := withDeadline(normalJob(2))
	is.Equal(q.Offer(at, newer).Code, result.Overloaded)
	is.True(q.Offer(at, withDeadline(normalJob(1))).Accepted)
	is.Equal(len(q.deferrals.byKey), 1) // the newer one's
}

func withDeadline(job Job) Job {
	job.Deadline = testStart.Add(time.Hour)
	return job
}

func TestJobWithoutKeyIsNotDeferred(t *testing.T) {
	is := is.New(t)
	q := queueWithBacklog(25 * time.Second)
	verdict := q.Offer(testStart, withDeadline(normalJob(0)))
	is.True(verdict.RetryAfter > 0)
	is.True(!verdict.Deferred)
	is.Equal(len(q.deferrals.byKey), 0)
}

// Symptom: work that can never end in time puts others off. Cause, were it there:
// it was told to come back like work that only has to wait.
func TestUnmeetableDeadlineIsNotDeferred(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	verdict := q.Offer(testStart, Job{ID: 1, DeferralKey: 1, Account: "a", PromptTokens: 1000, OutputTokens: 2000, Deadline: testStart.Add(time.Second)})
	is.Equal(verdict.Code, result.DeadlineUnmeetable)
	is.True(!verdict.Deferred)
	is.Equal(len(q.deferrals.byKey), 0)
}

// Symptom: a caller that asks every second is never served. Cause, were it there:
// each early call put its time off.
func TestEarlyReturnKeepsRetryTime(t *testing.T) {
	is := is.New(t)
	q := queueWithBacklog(25 * time.Second)
	first := q.Offer(testStart, withDeadline(normalJob(1)))
	early := q.Offer(testStart.Add(time.Second), withDeadline(normalJob(1)))
	is.True(!early.Accepted)
	is.Equal(early.RetryAfter, first.RetryAfter-time.Second)
}

// Symptom: urgent work that would end in time is refused at an idle engine. Cause:
// the part kept for deferrals was taken from the work's own duration too.
func TestDeferralShareAppliesToWaitOnly(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	job := Job{ID: 1, Account: "a", PromptTokens: 1000, OutputTokens: 2000, Deadline: testStart.Add(time.Minute)}
	is.True(q.estimateDuration(testStart, &job) > 40*time.Second)
	is.True(q.Offer(testStart, job).Accepted)
}

func TestDeferralsCountAsAheadUntilExpiry(t *testing.T) {
	is := is.New(t)
	q := queueWithBacklog(25 * time.Second)
	verdict := q.Offer(testStart, withDeadline(normalJob(1)))
	newer := withDeadline(normalJob(2))
	is.Equal(q.deferrals.tokensAhead(testStart, &newer), int(1000*initialReturnShare))
	urgent := Job{Account: "b", Class: Urgent, PromptTokens: 1000}
	is.Equal(q.deferrals.tokensAhead(testStart, &urgent), 0)
	late := testStart.Add(verdict.RetryAfter + deferralGrace + time.Millisecond)
	is.Equal(q.deferrals.tokensAhead(late, &newer), 0)
	is.True(q.deferrals.returnShare < initialReturnShare)
	is.Equal(len(q.deferrals.byAccount), 0)
}

// Symptom: one account's flood of refused requests puts all others off.
func TestDeferralsAreBounded(t *testing.T) {
	is := is.New(t)
	q := queueWithBacklog(25 * time.Second)
	for key := range uint64(2 * maxDeferralsPerAccount) {
		q.Offer(testStart, withDeadline(normalJob(key+1)))
	}
	is.Equal(q.deferrals.byAccount["a"], maxDeferralsPerAccount)
	for key := range uint64(2 * maxDeferrals) {
		job := withDeadline(normalJob(1_000_000 + key))
		job.Account = fmt.Sprint(key)
		q.Offer(testStart, job)
	}
	is.Equal(len(q.deferrals.byKey), maxDeferrals)
}
