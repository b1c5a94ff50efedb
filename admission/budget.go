package admission

import "sync"

// Retry budget: each success earns a tenth of a retry, up to a store of ten. So
// retries add at most a tenth to the load, also when everything fails at once.
// Levels are counted in tenths of a retry.
const (
	creditPerSuccess = 1
	retryCost        = 10
	budgetCapacity   = 10 * retryCost
)

// RetryBudget bounds the retries of one class of work. Safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	balance int
	// Spent and Denied count retries made and refused.
	spent, denied uint64
}

// NewRetryBudget makes a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: budgetCapacity} }

// RecordSuccess earns a part of a retry.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(budgetCapacity, b.balance+creditPerSuccess)
}

// Take spends one retry and tells whether there was one.
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

// Counts tells how many retries were made and refused.
func (b *RetryBudget) Counts() (spent, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}
