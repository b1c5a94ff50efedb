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
	q.running = 1 // with no slots and no running job, offers would be refused with NoPower
	offer(q, 1, Job{Account: "a", Class: Bulk, PromptTokens: 50_000})
	offer(q, 2, Job{Account: "b", Class: Urgent, PromptTokens: 1000})
	q.running = 0
	q.MarkReady(1)
	q.MarkReady(2)
	q.SetSlots(1)
	is.Equal(startAll(q), []uint64{2})
}

// Guards against an order by class alone, in which a long prompt never starts while more
// urgent, shorter ones keep arriving.
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
			decision := offer(q, 1000, c.job)
			is.True(!decision.Accepted)
			is.Equal(decision.Code, c.code)
			is.True(decision.RetryAfter > 0 || c.code == result.PromptTooLong) // a refusal says when to retry
		})
	}
}

func addUrgentJobs(q *Queue, jobs int) {
	for i := range jobs {
		offer(q, uint64(i+1), Job{Account: "a", Class: Urgent, PromptTokens: 4000})
	}
}

// Guards against an order of arrival over all accounts, in which one account's flood of
// jobs delays the other accounts.
func TestAccountFloodDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	q := testQueue()
	for i := range 20 {
		offer(q, uint64(i+1), Job{Account: "large", Class: Normal, PromptTokens: 10_000})
	}
	offer(q, 100, Job{Account: "small", Class: Normal, PromptTokens: 10_000})
	position := 0
	for i, id := range q.Waiting() {
		if id == 100 {
			position = i
		}
	}
	is.True(position <= 2) // the small account's first job goes before most of the flood
}

// Guards against urgent requests that miss their deadline without a first token because a
// long prompt that waits for KV cache holds back all but short prompts.
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

// TestAccountingAgainstModel runs random offers, starts, ends and power limits. KV cache
// and slots are never overcommitted, and the backlog is 0 without jobs.
func TestAccountingAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := testQueue()
		running := map[uint64]int{} // KV cache of the running jobs
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
			"mark ready": func(t *rapid.T) { q.MarkReady(rapid.Uint64Range(0, next+1).Draw(t, "id")) },
			"start": func(t *rapid.T) {
				if id, found := q.StartNext(); found {
					if _, known := waiting[id]; !known {
						t.Fatalf("started job %d, which is not waiting", id)
					}
					running[id] = waiting[id]
					delete(waiting, id)
					if len(running) > slots {
						t.Fatalf("%d jobs run with %d slots", len(running), slots)
					}
				}
			},
			"prefilled": func(t *rapid.T) { q.MarkPrefilled(rapid.Uint64Range(0, next+1).Draw(t, "id")) },
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(0, next+1).Draw(t, "id")
				q.Remove(id)
				delete(running, id)
				delete(waiting, id)
			},
			"slots": func(t *rapid.T) {
				slots = rapid.IntRange(len(running), 8).Draw(t, "slots")
				q.SetSlots(slots)
			},
			"": func(t *rapid.T) {
				held := 0
				for _, tokens := range running {
					held += tokens
				}
				report := q.Report()
				if held > 400_000 || report.FreeMemoryTokens != 400_000-held || report.Running != len(running) || report.Queued != len(waiting) {
					t.Fatalf("%d tokens held, %d jobs running, %d waiting, but the queue reports %+v", held, len(running), len(waiting), report)
				}
				if len(running)+len(waiting) == 0 && report.Backlog.Total() != 0 {
					t.Fatalf("a backlog of %d tokens without jobs", report.Backlog.Total())
				}
			},
		})
	})
}
