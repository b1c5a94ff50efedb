package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"aspenyard.example/result"
)

var testStart = time.Unix(1_780_000_000, 0)

func testQueue() *Queue {
	return NewQueue(Config{MaxRunning: 8, MemoryTokens: 400_000, PrefillRate: 20_000})
}

func offer(q *Queue, id uint64, job Job) Decision {
	job.ID = id
	if job.Deadline.IsZero() {
		job.Deadline = testStart.Add(time.Hour)
	}
	return q.Offer(testStart, job)
}

func startAll(q *Queue) []uint64 {
	var started []uint64
	for {
		id, found := q.StartNext()
		if !found {
			return started
		}
		started = append(started, id)
	}
}

func TestJobWaitsForItsRunRequest(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	is.True(offer(q, 1, Job{Account: "a", PromptTokens: 1000}).Accepted)
	is.Equal(len(startAll(q)), 0)
	q.MarkReady(1)
	is.Equal(startAll(q), []uint64{1})
}

func TestUrgentShortJobGoesBeforeEarlierBulkJob(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	q.SetSlots(0)
	q.running = 1 // busy, so that offers are not refused for want of power
	offer(q, 1, Job{Account: "a", Class: Bulk, PromptTokens: 50_000})
	offer(q, 2, Job{Account: "b", Class: Urgent, PromptTokens: 1000})
	q.running = 0
	q.MarkReady(1)
	q.MarkReady(2)
	q.SetSlots(1)
	is.Equal(startAll(q), []uint64{2})
}

// Symptom: a long prompt never starts. Sequence: shorter prompts keep arriving,
// each more urgent than it. Cause, were it there: ordering by class alone.
func TestAgedBulkJobGoesBeforeNewUrgentJob(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	bulk := Job{ID: 1, Account: "a", Class: Bulk, PromptTokens: 20_000, Deadline: testStart.Add(time.Hour)}
	is.True(q.Offer(testStart, bulk).Accepted)
	later := testStart.Add(time.Minute)
	is.True(q.Offer(later, Job{ID: 2, Account: "b", PromptTokens: 1000, Deadline: later.Add(time.Minute)}).Accepted)
	q.MarkReady(1)
	q.MarkReady(2)
	is.Equal(startAll(q), []uint64{1, 2})
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*Queue)
		job     Job
		code    result.Code
	}{
		{"leaving", func(q *Queue) { q.SetClosed(true) }, Job{PromptTokens: 1000}, result.Leaving},
		{"no power", func(q *Queue) { q.SetSlots(0) }, Job{PromptTokens: 1000}, result.NoPower},
		{"too long", func(*Queue) {}, Job{PromptTokens: 350_000}, result.PromptTooLong},
		{"too late", func(*Queue) {}, Job{PromptTokens: 100_000, Deadline: testStart.Add(time.Second)}, result.DeadlineUnmeetable},
		{"overloaded", func(q *Queue) { addUrgentJobs(q, 200) }, Job{Class: Urgent, PromptTokens: 1000}, result.Overloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := testQueue()
			c.prepare(q)
			verdict := offer(q, 1000, c.job)
			is.True(!verdict.Accepted)
			is.Equal(verdict.Code, c.code)
			is.True(verdict.RetryAfter > 0 || c.code == result.PromptTooLong) // a refusal says when to come back
		})
	}
}

func addUrgentJobs(q *Queue, jobs int) {
	for i := range jobs {
		offer(q, uint64(i+1), Job{Account: "a", Class: Urgent, PromptTokens: 4000})
	}
}

// Symptom: one account's flood makes the others wait. Cause, were it there: first
// come first served over all accounts.
func TestAccountFloodDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	for i := range 20 {
		offer(q, uint64(i+1), Job{Account: "large", Class: Normal, PromptTokens: 10_000})
	}
	offer(q, 100, Job{Account: "small", Class: Normal, PromptTokens: 10_000})
	place := 0
	for i, id := range q.Waiting() {
		if id == 100 {
			place = i
		}
	}
	is.True(place <= 2) // the small account's first job goes before the flood's tail
}

// Symptom: urgent requests late without a first token, while a long prompt waits
// for memory. Cause: the long prompt held back all but short work.
func TestUrgentJobPassesLongPromptThatWaitsForMemory(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	for i := range uint64(3) {
		offer(q, i+1, Job{Account: "a", Class: Bulk, PromptTokens: 150_000})
		q.MarkReady(i + 1)
	}
	is.Equal(startAll(q), []uint64{1, 2}) // the third does not fit
	offer(q, 10, Job{Account: "b", Class: Urgent, PromptTokens: 10_000})
	offer(q, 11, Job{Account: "b", Class: Normal, PromptTokens: 10_000})
	q.MarkReady(10)
	q.MarkReady(11)
	started := startAll(q)
	is.True(len(started) > 0 && started[0] == 10)
}

// TestAccountingAgainstModel drives offers, starts, ends and power limits at
// random: memory and slots are never over-committed, and all is free at the end.
func TestAccountingAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := testQueue()
		live := map[uint64]int{} // running jobs' memory
		waiting := map[uint64]int{}
		next, slots := uint64(0), 8
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				tokens := rapid.SampledFrom([]int{1, 1000, 10_000, 90_000, 200_000, 320_000, 400_000}).Draw(t, "tokens")
				class := Class(rapid.IntRange(0, 2).Draw(t, "class"))
				account := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
				if offer(q, next, Job{Account: account, Class: class, PromptTokens: tokens}).Accepted {
					waiting[next] = tokens
				}
			},
			"arm": func(t *rapid.T) { q.MarkReady(rapid.Uint64Range(0, next+1).Draw(t, "id")) },
			"start": func(t *rapid.T) {
				if id, found := q.StartNext(); found {
					if _, known := waiting[id]; !known {
						t.Fatalf("started %d, which does not wait", id)
					}
					live[id] = waiting[id]
					delete(waiting, id)
					if len(live) > slots {
						t.Fatalf("%d run with %d slots", len(live), slots)
					}
				}
			},
			"prefilled": func(t *rapid.T) { q.MarkPrefilled(rapid.Uint64Range(0, next+1).Draw(t, "id")) },
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(0, next+1).Draw(t, "id")
				q.Remove(id)
				delete(live, id)
				delete(waiting, id)
			},
			"slots": func(t *rapid.T) {
				slots = rapid.IntRange(len(live), 8).Draw(t, "slots")
				q.SetSlots(slots)
			},
			"": func(t *rapid.T) {
				held := 0
				for _, tokens := range live {
					held += tokens
				}
				report := q.Report()
				if held > 400_000 || report.FreeMemoryTokens != 400_000-held || report.Running != len(live) || report.Queued != len(waiting) {
					t.Fatalf("held %d, %d running, %d waiting; the queue says %+v", held, len(live), len(waiting), report)
				}
				if len(live)+len(waiting) == 0 && report.Backlog.Total() != 0 {
					t.Fatalf("a backlog of %d without work", report.Backlog.Total())
				}
			},
		})
	})
}
