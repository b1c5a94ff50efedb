package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLoanFollowsTheTraffic(t *testing.T) {
	is := is.New(t)
	lender := NewLender(testStart)
	now := testStart.Add(LendingLease)
	lendable := 1 - StaticShare
	is.Equal(lender.Lend(testStart, "a", "n1", 10), 0.0)  // a new home entry lends nothing at first
	is.Equal(lender.Lend(now, "a", "n1", 10), lendable)   // all the traffic arrives at n1
	is.Equal(lender.Lend(now, "a", "n2", 10), 0.0)        // all is still lent to n1
	is.Equal(lender.Lend(now, "a", "n1", 10), lendable/2) // lowered, but still counted at the old value
	is.Equal(lender.Lend(now, "a", "n2", 10), 0.0)
	later := now.Add(LendingLease + time.Millisecond)
	lender.Lend(now.Add(LendingLease/2), "a", "n1", 10)
	is.Equal(lender.Lend(later, "a", "n2", 10), lendable/2)
}

// heldLoan is a share that a borrower holds.
type heldLoan struct {
	share   float64
	expires time.Time
}

// TestLoansNeverExceedLendableShare runs borrowers whose responses are lost or late, restarts
// of the home entry and sweeps at random times. The shares that the borrowers take to be theirs
// never sum to more than the lendable share.
func TestLoansNeverExceedLendableShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		lender := NewLender(now)
		held := map[string]heldLoan{}
		entry := func(t *rapid.T) string { return fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "entry")) }
		pass := func(ms int) { now = now.Add(time.Duration(ms) * time.Millisecond) }
		t.Repeat(map[string]func(*rapid.T){
			"borrow": func(t *rapid.T) {
				name, asked := entry(t), now
				pass(rapid.IntRange(0, 800).Draw(t, "delay there"))
				share := lender.Lend(now, "a", name, float64(rapid.IntRange(0, 100).Draw(t, "demand")))
				pass(rapid.IntRange(0, 800).Draw(t, "delay back"))
				if !rapid.Bool().Draw(t, "answer lost") {
					held[name] = heldLoan{share, asked.Add(LendingLease)}
				}
			},
			"pass":  func(t *rapid.T) { pass(rapid.IntRange(1, 3000).Draw(t, "ms")) },
			"sweep": func(*rapid.T) { lender.Sweep(now) },
			"new home": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "chance") == 0 {
					lender = NewLender(now)
				}
			},
			"": func(t *rapid.T) {
				sum := 0.0
				for _, loan := range held {
					if !now.After(loan.expires) {
						sum += loan.share
					}
				}
				if sum > 1-StaticShare+1e-9 {
					t.Fatalf("shares of %.3f in total are lent", sum)
				}
			},
		})
	})
}
