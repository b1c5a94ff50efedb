package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/result"
)

func TestLimits(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	limits := Limits{RequestsPerSecond: 2, Concurrent: 10}
	is.True(l.Admit(testStart, "a", limits, 1, 100) == nil)
	is.True(l.Admit(testStart, "a", limits, 1, 100) == nil)
	refusal := l.Admit(testStart, "a", limits, 1, 100)
	is.Equal(refusal.Code, result.RateLimited)
	is.Equal(refusal.Ran, result.RanNo)
	is.True(l.Admit(testStart.Add(refusal.RetryAfter), "a", limits, 1, 100) == nil) // obeyed, it succeeds
	is.True(l.Admit(testStart, "b", limits, 1, 100) == nil)                         // another account is not touched
}

func TestConcurrentLimitIsFreedByDone(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	limits := Limits{Concurrent: 1}
	is.True(l.Admit(testStart, "a", limits, 1, 100) == nil)
	is.Equal(l.Admit(testStart, "a", limits, 1, 100).Code, result.TooManyConcurrent)
	l.Done("a")
	is.True(l.Admit(testStart, "a", limits, 1, 100) == nil)
}

// Symptom: a prompt larger than a second's tokens is refused for ever. Cause, were
// it there: a bucket that must hold the whole amount.
func TestLargePromptPassesAndLeavesADebt(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	limits := Limits{TokensPerSecond: 1000}
	is.True(l.Admit(testStart, "a", limits, 1, 10_000) == nil)
	refusal := l.Admit(testStart, "a", limits, 1, 1)
	is.Equal(refusal.Code, result.TokenLimited)
	is.True(refusal.RetryAfter >= 9*time.Second) // the debt is paid first
}

func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		if b.Take() {
			retries++
		}
	}
	is.Equal(retries, 10) // nothing succeeds: the store only
	for range 100 {
		b.RecordSuccess()
	}
	for range 1000 {
		if b.Take() {
			retries++
		}
	}
	is.Equal(retries, 20) // a tenth of the successes
}
