package admission

import "time"

// A client account's limits hold over all entries together. A small share of them is
// divided equally among the entries; the rest is lent for a short time to the entries
// that receive the account's requests. The lender is the account's home entry, which
// every entry derives from the account's name.
//
// The shares must never sum to more than 1. A loan stays counted until its lease has
// ended by the home entry's clock; the lease starts later there than at the borrower. A
// new home entry lends nothing for as long as a lease of the previous one may last.
// Without a home entry, an entry is left with its part of StaticShare.
const (
	// StaticShare is the fraction of each limit that is divided equally among the
	// entries.
	StaticShare = 0.2
	// LendingLease is how long a loan lasts. A longer lease tolerates more lost
	// responses; a shorter one follows moving traffic sooner.
	LendingLease = 2 * time.Second
	// BorrowInterval is the time between two requests of a borrower to a home entry.
	BorrowInterval = 500 * time.Millisecond
	// demandWeight is the weight of the newest demand in the moving average. A share
	// that follows every random fluctuation is lowered and raised all the time, and the
	// difference stays counted for a lease each time it is lowered.
	demandWeight = 0.2
)

// Lender is the home entry's side of lending. It is not safe for concurrent use.
type Lender struct {
	started  time.Time
	accounts map[string]map[string]*loan
}

// loan is the share of one account's limits that one entry borrows. committed is the
// share that is counted as lent until committedUntil; it can be larger than share while
// the lease of a larger, earlier share may still run.
type loan struct {
	demand                  float64
	share, committed        float64
	expires, committedUntil time.Time
}

// NewLender returns the lender of an entry that starts at now. It lends nothing in the
// first LendingLease.
func NewLender(now time.Time) *Lender {
	return &Lender{started: now, accounts: map[string]map[string]*loan{}}
}

// Lend lends an entry a share of an account's limits for LendingLease and returns the
// share, 0 to 1-StaticShare. demand is the rate, in requests per second, at which the
// account's requests arrive at that entry.
func (l *Lender) Lend(now time.Time, account, entry string, demand float64) float64 {
	if now.Sub(l.started) < LendingLease {
		return 0
	}
	loans := l.accounts[account]
	if loans == nil {
		loans = map[string]*loan{}
		l.accounts[account] = loans
	}
	expireLoans(now, loans)
	own := loans[entry]
	if own == nil {
		own = &loan{demand: demand}
		loans[entry] = own
	}
	own.demand += demandWeight * (demand - own.demand)
	free, total := 1-StaticShare, 0.0
	for name, other := range loans {
		total += other.demand
		if name != entry {
			free -= other.committed
		}
	}
	fair := 0.0
	if total > 0 {
		fair = (1 - StaticShare) * own.demand / total
	}
	own.grant(now, max(0, min(fair, free)))
	return own.share
}

// grant sets the share and starts its lease.
func (o *loan) grant(now time.Time, share float64) {
	o.share, o.expires = share, now.Add(LendingLease)
	if share >= o.committed {
		o.committed, o.committedUntil = share, o.expires
	}
}

// expireLoans removes the loans whose lease has ended. A share that was lowered is
// counted at its old value until the lease of that value has ended.
func expireLoans(now time.Time, loans map[string]*loan) {
	for name, o := range loans {
		if now.After(o.expires) {
			delete(loans, name)
			continue
		}
		if now.After(o.committedUntil) {
			o.committed, o.committedUntil = o.share, o.expires
		}
	}
}

// Sweep removes expired loans, and the accounts that have none left.
func (l *Lender) Sweep(now time.Time) {
	for account, loans := range l.accounts {
		expireLoans(now, loans)
		if len(loans) == 0 {
			delete(l.accounts, account)
		}
	}
}

// Borrower is the borrower's side of lending: the shares that one entry has borrowed, by
// account. It is not safe for concurrent use.
type Borrower struct {
	loans map[string]borrowedShare
}

// borrowedShare is a share whose lease ends at expires.
type borrowedShare struct {
	share   float64
	expires time.Time
}

// NewBorrower returns a borrower without loans.
func NewBorrower() *Borrower { return &Borrower{loans: map[string]borrowedShare{}} }

// SetLoan records the share that a home entry has lent. asked is when the request was sent:
// the lease counts from there, so that it ends here before it ends at the home entry.
func (b *Borrower) SetLoan(asked time.Time, account string, share float64) {
	b.loans[account] = borrowedShare{share: share, expires: asked.Add(LendingLease)}
}

// Share returns the share of an account's limits, 0 to 1, that this entry may use when
// there are the given number of entries: its part of StaticShare and the borrowed share.
func (b *Borrower) Share(now time.Time, account string, entries int) float64 {
	own := StaticShare / float64(max(1, entries))
	lent, found := b.loans[account]
	if !found {
		return own
	}
	if now.After(lent.expires) {
		delete(b.loans, account)
		return own
	}
	return own + lent.share
}
