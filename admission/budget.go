package admission

import "sync"

// Retry budget: each success earns a part of a retry, up to a store. So retries
// add at most budgetShare to the load, also when everything fails at once.
const (
	budgetShare = 0.1
	budgetStore = 10.0
)

// Budget bounds the retries of one class of work. Safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	level float64
	// Spent and Denied count retries made and refused.
	spent, denied uint64
}

// NewBudget makes a full budget.
func NewBudget() *Budget { return &Budget{level: budgetStore} }

// Success earns a part of a retry.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(budgetStore, b.level+budgetShare)
}

// Take spends one retry and tells whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		b.denied++
		return false
	}
	b.level--
	b.spent++
	return true
}

// Counts tells how many retries were made and refused.
func (b *Budget) Counts() (spent, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}
