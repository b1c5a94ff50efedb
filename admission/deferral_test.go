package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/result"
)

// queueWithBacklog returns a queue whose backlog makes normal jobs wait for the given
// time. New normal jobs may wait 20 s, those with a deferral 30 s.
func queueWithBacklog(wait time.Duration) *Queue {
	maxWait := [classCount]time.Duration{10 * time.Second, 30 * time.Second, time.Minute}
	q := NewQueue(Config{MaxRunning: 8, MemoryTokens: 400_000, PrefillRate: 10_000, MaxWait: maxWait})
	q.backlog[LevelOf(Normal, 1000)] = int(wait.Seconds()) * 10_000
	return q
}

func normalJob(key uint64) Job {
	return Job{ID: key, DeferralKey: key, Account: "a", Class: Normal, PromptTokens: 1000}
}

// Guards against a caller that obeys Retry-After and is refused again and again, because
// newer jobs fill the queue until it comes back and it is treated like them.
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
	is.Equal(len(q.deferrals.byKey), 1) // the newer job's
}

func withDeadline(job Job) Job {
	job.Deadline = testStart.Add(time.Hour)
	return job
}

func TestJobWithoutKeyIsNotDeferred(t *testing.T) {
	is := is.New(t)
	q := queueWithBacklog(25 * time.Second)
	decision := q.Offer(testStart, withDeadline(normalJob(0)))
	is.True(decision.RetryAfter > 0)
	is.True(!decision.Deferred)
	is.Equal(len(q.deferrals.byKey), 0)
}

// Guards against a deferral, which delays other jobs, for a job that can never meet its
// deadline.
func TestUnmeetableDeadlineIsNotDeferred(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	decision := q.Offer(testStart, Job{ID: 1, DeferralKey: 1, Account: "a", PromptTokens: 1000, OutputTokens: 2000, Deadline: testStart.Add(time.Second)})
	is.Equal(decision.Code, result.DeadlineUnmeetable)
	is.True(!decision.Deferred)
	is.Equal(len(q.deferrals.byKey), 0)
}

// Guards against a caller that retries every second and is never served, because each
// early retry moves its due time back.
func TestEarlyReturnKeepsRetryTime(t *testing.T) {
	is := is.New(t)
	q := queueWithBacklog(25 * time.Second)
	first := q.Offer(testStart, withDeadline(normalJob(1)))
	early := q.Offer(testStart.Add(time.Second), withDeadline(normalJob(1)))
	is.True(!early.Accepted)
	is.Equal(early.RetryAfter, first.RetryAfter-time.Second)
}

// Guards against refusing an urgent job at an idle engine where it would meet its
// deadline: the share kept for deferred jobs must reduce the allowed wait only, not the
// time for the job itself.
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
	decision := q.Offer(testStart, withDeadline(normalJob(1)))
	newer := withDeadline(normalJob(2))
	is.Equal(q.deferrals.tokensAhead(testStart, &newer), int(1000*initialReturnShare))
	urgent := Job{Account: "b", Class: Urgent, PromptTokens: 1000}
	is.Equal(q.deferrals.tokensAhead(testStart, &urgent), 0)
	expired := testStart.Add(decision.RetryAfter + deferralGrace + time.Millisecond)
	is.Equal(q.deferrals.tokensAhead(expired, &newer), 0)
	is.True(q.deferrals.returnShare < initialReturnShare)
	is.Equal(len(q.deferrals.byAccount), 0)
}

// Guards against deferrals without a bound: one account's flood of refused requests would
// delay all other accounts, and memory would grow with the refusals.
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
