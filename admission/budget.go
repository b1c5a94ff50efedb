package admission

import "sync"

// The retry budget is a token bucket: each success adds a tenth of a retry, up to
// ten retries. In the long run retries add at most a tenth to the load, also when
// every request fails. Balances are counted in tenths of a retry.
const (
	creditPerSuccess = 1
	retryCost        = 10
	budgetCapacity   = 10 * retryCost
)

// RetryBudget bounds the retries of one class of requests in proportion to their
// successes. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	balance int
	// spent counts the retries that were allowed, denied those that were not.
	spent, denied uint64
}

// NewRetryBudget returns a full budget, which allows ten retries at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: budgetCapacity} }

// RecordSuccess adds a tenth of a retry to the budget after a request succeeded.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(budgetCapacity, b.balance+creditPerSuccess)
}

// Take spends one retry. It returns false if the budget does not hold a whole one.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < retryCost {
		b.denied++
		return false
	}
	b.balance -= retryCost
	b.spent++
	return true
}

// Counts returns how many calls of Take were allowed and denied so far.
func (b *RetryBudget) Counts() (spent, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}
