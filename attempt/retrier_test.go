package attempt

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Whatever the endpoints do, a request runs at most once unless it is idempotent, reaches
// at most MaxArrivals endpoints, and is refused only if it certainly has not run.
func TestRetrierInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Retrier{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxArrivals: rapid.IntRange(1, 4).Draw(t, "arrivals")}
		reached, ran, sends := 0, false, 0
		for {
			sends++
			outcome := rapid.SampledFrom([]SendOutcome{NotSent, NotExecuted, HelperFailed, Broken, Failed}).Draw(t, "outcome")
			if outcome >= Broken {
				if ran && !r.Repeatable {
					t.Fatal("a request that is not repeatable ran twice")
				}
				ran = true
			}
			if outcome != NotSent && outcome != HelperFailed {
				reached++
			}
			budgetTaken := false
			budget := rapid.Bool().Draw(t, "budget")
			action := r.Decide(outcome, func() bool { budgetTaken = true; return budget })
			if action == Retry {
				if reached >= r.MaxArrivals {
					t.Fatal("reached more than MaxArrivals endpoints")
				}
				if budgetTaken && !budget {
					t.Fatal("retried without budget")
				}
				if sends > 20 {
					t.Fatal("retried without end")
				}
				continue
			}
			if action == Refuse && ran {
				t.Fatal("refused a request that may have run")
			}
			if action != Refuse && !ran {
				t.Fatal("failed a request that has not run instead of refusing it")
			}
			return
		}
	})
}

func TestRetryBudgetIsTakenOnlyForRetries(t *testing.T) {
	is := is.New(t)
	never := func() bool { t.Fatal("a retry was taken from the budget"); return false }
	r := Retrier{Repeatable: true, MaxArrivals: 2}
	is.Equal(r.Decide(NotSent, never), Retry) // no endpoint has received the request
	is.Equal(r.Decide(Broken, func() bool { return false }), Fail)
	notRepeatable := Retrier{MaxArrivals: 2}
	is.Equal(notRepeatable.Decide(Broken, never), Fail) // it must not run again, whatever the budget is
}
