package admission

import "time"

// A client account's limits hold over all entries. A small part of them is shared
// out equally and is every entry's own; the rest is lent, for a short time, to the
// entries where the account's traffic appears. The account's home, an
// entry that all derive from its name, is the one that lends.
//
// The parts never sum to more than the whole: what is lent stays counted until
// its lease has ended by the home's clock, which begins later than the
// borrower's. A new home lends nothing for as long as a lease of the old one may
// last. Without a home, an entry is left with its own part.
const (
	// StaticShare of the limits is shared equally among the entries.
	StaticShare = 0.2
	// LendingLease is how long a loan lasts. Longer survives more lost answers;
	// shorter follows moving traffic sooner.
	LendingLease = 2 * time.Second
	// BorrowInterval is the time between a borrower's requests.
	BorrowInterval = 500 * time.Millisecond
	// demandWeight is the weight of the newest demand in its average: a share that
	// follows each chance fluctuation is lowered and raised all the time, and what
	// is lowered stays counted for a lease.
	demandWeight = 0.2
)

// Lender is the home's side. It belongs to one thread.
type Lender struct {
	started  time.Time
	accounts map[string]map[string]*loan
}

// loan is what one entry has of one account. counted is the largest share whose
// lease may still run, until countedUntil.
type loan struct {
	demand                  float64
	share, committed        float64
	expires, committedUntil time.Time
}

// NewLender makes a home that began now.
func NewLender(now time.Time) *Lender {
	return &Lender{started: now, accounts: map[string]map[string]*loan{}}
}

// Lend lends an entry a share of an account, 0 to 1-OwnPart, for LendingLease.
// demand is the requests a second that arrive there.
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
	target := 0.0
	if total > 0 {
		target = (1 - StaticShare) * own.demand / total
	}
	own.grant(now, max(0, min(target, free)))
	return own.share
}

func (o *loan) grant(now time.Time, share float64) {
	o.share, o.expires = share, now.Add(LendingLease)
	if share >= o.committed {
		o.committed, o.committedUntil = share, o.expires
	}
}

// expireLoans ends the leases that are over. A lowered share stops being counted at
// its old value once the lease of that value has ended.
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

// Sweep forgets accounts without a loan.
func (l *Lender) Sweep(now time.Time) {
	for account, loans := range l.accounts {
		expireLoans(now, loans)
		if len(loans) == 0 {
			delete(l.accounts, account)
		}
	}
}

// Borrower is the borrower's side. It belongs to one thread.
type Borrower struct {
	loans map[string]borrowedShare
}

type borrowedShare struct {
	share   float64
	expires time.Time
}

// NewBorrower makes a borrower without loans.
func NewBorrower() *Borrower { return &Borrower{loans: map[string]borrowedShare{}} }

// SetLoan takes in a loan. asked is when it was asked for: the lease is reckoned from
// there, so that it ends here before it ends at the home.
func (s *Borrower) SetLoan(asked time.Time, account string, share float64) {
	s.loans[account] = borrowedShare{share: share, expires: asked.Add(LendingLease)}
}

// Share is this entry's part of an account's limits with this many entries.
func (s *Borrower) Share(now time.Time, account string, entries int) float64 {
	own := StaticShare / float64(max(1, entries))
	lent, found := s.loans[account]
	if !found {
		return own
	}
	if now.After(lent.expires) {
		delete(s.loans, account)
		return own
	}
	return own + lent.share
}
