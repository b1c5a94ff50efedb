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
	is.True(l.Admit(testStart.Add(refusal.RetryAfter), "a", limits, 1, 100) == nil) // a caller that obeys Retry-After succeeds
	is.True(l.Admit(testStart, "b", limits, 1, 100) == nil)                         // another account has its own limits
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

// Guards against refusing a prompt of more tokens than the burst size forever, because
// the bucket can never hold the whole amount.
func TestLargePromptPassesAndLeavesADebt(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	limits := Limits{TokensPerSecond: 1000}
	is.True(l.Admit(testStart, "a", limits, 1, 10_000) == nil)
	refusal := l.Admit(testStart, "a", limits, 1, 1)
	is.Equal(refusal.Code, result.TokenLimited)
	is.True(refusal.RetryAfter >= 9*time.Second) // the bucket has to refill from below zero first
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
	is.Equal(retries, 10) // without a success, only the initial budget
	for range 100 {
		b.RecordSuccess()
	}
	for range 1000 {
		if b.Take() {
			retries++
		}
	}
	is.Equal(retries, 20) // and a tenth of the successes
}
