package attempt

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A request runs at most once unless it may be repeated, reaches no more endpoints than
// it may, and is refused only while it certainly has not run; whatever endpoints do.
func TestRetrierInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Retrier{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxArrivals: rapid.IntRange(1, 4).Draw(t, "arrivals")}
		reached, ran, sends := 0, false, 0
		for {
			sends++
			outcome := rapid.SampledFrom([]SendOutcome{NotSent, NotExecuted, HelperFailed, Broken, Failed}).Draw(t, "outcome")
			if outcome >= Broken {
				if ran && !c.Repeatable {
					t.Fatal("ran twice")
				}
				ran = true
			}
			if outcome != NotSent && outcome != HelperFailed {
				reached++
			}
			asked := false
			budget := rapid.Bool().Draw(t, "budget")
			next := c.Decide(outcome, func() bool { asked = true; return budget })
			if next == Retry {
				if reached >= c.MaxArrivals {
					t.Fatal("reached more endpoints than it may")
				}
				if asked && !budget {
					t.Fatal("sent again without budget")
				}
				if sends > 20 {
					t.Fatal("does not end")
				}
				continue
			}
			if next == Refuse && ran {
				t.Fatal("refused, and it may have run")
			}
			if next != Refuse && !ran {
				t.Fatal("failed, and it has not run")
			}
			return
		}
	})
}

func TestRetryBudgetIsAskedOnlyOnRetries(t *testing.T) {
	is := is.New(t)
	never := func() bool { t.Fatal("asked"); return false }
	c := Retrier{Repeatable: true, MaxArrivals: 2}
	is.Equal(c.Decide(NotSent, never), Retry) // no endpoint has seen it
	is.Equal(c.Decide(Broken, func() bool { return false }), Fail)
	once := Retrier{MaxArrivals: 2}
	is.Equal(once.Decide(Broken, never), Fail) // it must not run again, budget or not
}
