package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/result"
)

// fullQueue has a backlog that keeps normal work waiting for the given time; new
// work may wait 20 s, work with an appointment 30.
func fullQueue(wait time.Duration) *Queue {
	maxWait := [classCount]time.Duration{10 * time.Second, 30 * time.Second, time.Minute}
	q := NewQueue(Config{MaxRunning: 8, MemoryTokens: 400_000, PrefillRate: 10_000, MaxWait: maxWait})
	q.backlog[LevelOf(Normal, 1000)] = int(wait.Seconds()) * 10_000
	return q
}

func asking(key uint64) Job {
	return Job{ID: key, Key: key, Account: "a", Class: Normal, PromptTokens: 1000}
}

// Symptom: a caller that obeys Retry-After is refused again and again. Sequence:
// it is refused; others ask until it comes back; the queue is as long as before.
// Cause: nothing told the one who had waited from those who had not.
func TestAnAppointmentGoesBeforeNewWork(t *testing.T) {
	is := is.New(t)
	q := fullQueue(25 * time.Second)
	first := q.Offer(testStart, withDeadline(asking(1)))
	is.Equal(first.Code, result.Overloaded)
	is.True(first.Appointment)
	at := testStart.Add(first.RetryAfter)
	newer := withDeadline(asking(2))
	is.Equal(q.Offer(at, newer).Code, result.Overloaded)
	is.True(q.Offer(at, withDeadline(asking(1))).Accepted)
	is.Equal(len(q.refused.byKey), 1) // the newer one's
}

func withDeadline(job Job) Job {
	job.Deadline = testStart.Add(time.Hour)
	return job
}

func TestWorkWithoutAKeyGetsNoAppointment(t *testing.T) {
	is := is.New(t)
	q := fullQueue(25 * time.Second)
	verdict := q.Offer(testStart, withDeadline(asking(0)))
	is.True(verdict.RetryAfter > 0)
	is.True(!verdict.Appointment)
	is.Equal(len(q.refused.byKey), 0)
}

// Symptom: a caller that asks every second is never served. Cause, were it there:
// each early call put its time off.
func TestComingTooEarlyKeepsTheTime(t *testing.T) {
	is := is.New(t)
	q := fullQueue(25 * time.Second)
	first := q.Offer(testStart, withDeadline(asking(1)))
	early := q.Offer(testStart.Add(time.Second), withDeadline(asking(1)))
	is.True(!early.Accepted)
	is.Equal(early.RetryAfter, first.RetryAfter-time.Second)
}

// Symptom: urgent work that would end in time is refused at an idle engine. Cause:
// the part kept for appointments was taken from the work's own duration too.
func TestOnlyWaitingIsKeptForAppointments(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	job := Job{ID: 1, Account: "a", PromptTokens: 1000, OutputTokens: 2000, Deadline: testStart.Add(time.Minute)}
	is.True(q.duration(testStart, &job) > 40*time.Second)
	is.True(q.Offer(testStart, job).Accepted)
}

func TestAppointmentsCountAsAheadUntilTheyLapse(t *testing.T) {
	is := is.New(t)
	q := fullQueue(25 * time.Second)
	verdict := q.Offer(testStart, withDeadline(asking(1)))
	newer := withDeadline(asking(2))
	is.Equal(q.refused.ahead(testStart, &newer), int(1000*firstKeptShare))
	urgent := Job{Account: "b", Class: Urgent, PromptTokens: 1000}
	is.Equal(q.refused.ahead(testStart, &urgent), 0)
	late := testStart.Add(verdict.RetryAfter + appointmentGrace + time.Millisecond)
	is.Equal(q.refused.ahead(late, &newer), 0)
	is.True(q.refused.kept < firstKeptShare)
	is.Equal(len(q.refused.byAccount), 0)
}

// Symptom: one account's flood of refused requests puts all others off.
func TestAppointmentsOfAnAccountAreBounded(t *testing.T) {
	is := is.New(t)
	q := fullQueue(25 * time.Second)
	for key := range uint64(2 * maxAccountAppointments) {
		q.Offer(testStart, withDeadline(asking(key+1)))
	}
	is.Equal(q.refused.byAccount["a"], maxAccountAppointments)
	for key := range uint64(2 * maxAppointments) {
		job := withDeadline(asking(1_000_000 + key))
		job.Account = fmt.Sprint(key)
		q.Offer(testStart, job)
	}
	is.Equal(len(q.refused.byKey), maxAppointments)
}
