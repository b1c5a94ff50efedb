package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/catalogue"
	"aspenyard.example/membership"
	"aspenyard.example/wire"
)

const (
	// borrowTimeout bounds a question to a home; it ends before the next is due.
	borrowTimeout = 400 * time.Millisecond
	// accountUsageTTL is how long an account's use is remembered.
	accountUsageTTL = time.Minute
	permille        = 1000
)

// limitLending is both sides of the limitLending of client accounts' limits: this entry
// lends as the home of some accounts and borrows for those whose traffic it has.
type limitLending struct {
	entry *Entry
	mu    sync.Mutex
	// lender and shares are guarded by mu: lend runs on RPC threads, share on
	// callers' threads.
	lender   *admission.Lender
	borrower *admission.Borrower
}

func newLimitLending(e *Entry) *limitLending {
	return &limitLending{entry: e, lender: admission.NewLender(time.Now()), borrower: admission.NewBorrower()}
}

// share is this entry's part of an account's limits, 0 to 1.
func (l *limitLending) share(account string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borrower.Share(time.Now(), account, int(l.entry.control.entryCount.Load()))
}

// lend answers another entry, or this one, that asks this one as a home.
func (l *limitLending) lend(request *wire.BorrowRequest) *wire.BorrowResponse {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	response := &wire.BorrowResponse{}
	for _, requested := range request.Accounts {
		share := l.lender.Lend(now, requested.Account, request.Entry, float64(requested.Demand)/permille)
		response.Accounts = append(response.Accounts, &wire.AccountShare{Account: requested.Account, Permille: uint32(share * permille)})
	}
	return response
}

// run borrows until ctx ends.
func (l *limitLending) run(ctx context.Context) {
	for ctx.Err() == nil {
		membership.Sleep(ctx, admission.BorrowInterval)
		l.borrow(ctx)
	}
}

// borrow asks the home of each limited account with traffic here for a share.
func (l *limitLending) borrow(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	l.lender.Sweep(now)
	l.mu.Unlock()
	homes := l.homeCandidates()
	requests := map[string]*wire.BorrowRequest{}
	view := l.entry.catalogue.View()
	for account, arrived := range l.entry.limiter.TakeDemand(now, accountUsageTTL) {
		record := view.Get(catalogue.TypeAccount, account)
		if record == nil || record.Account.Limits == (catalogue.Limits{}) {
			continue
		}
		home := homeEntry(account, l.entry.settings.Name, homes)
		if requests[home] == nil {
			requests[home] = &wire.BorrowRequest{Entry: l.entry.settings.Name}
		}
		demand := uint64(arrived / admission.BorrowInterval.Seconds() * permille)
		requests[home].Accounts = append(requests[home].Accounts, &wire.AccountShare{Account: account, Demand: demand})
	}
	for home, request := range requests {
		go l.borrowFrom(ctx, now, homes[home], request)
	}
}

// homeCandidates lists the entries that may be homeCandidates, by name; this one has no address.
func (l *limitLending) homeCandidates() map[string]string {
	homes := map[string]string{l.entry.settings.Name: ""}
	for name, m := range l.entry.loop.View().Members {
		if m.Role() == membership.RoleEntry && m.Alive() {
			homes[name] = m.Addr()
		}
	}
	return homes
}

func homeEntry(account, self string, homes map[string]string) string {
	home, best := self, rendezvousWeight("limits/"+account, self)
	for name := range homes {
		if w := rendezvousWeight("limits/"+account, name); w > best || (w == best && name < home) {
			home, best = name, w
		}
	}
	return home
}

// borrowFrom borrows from one home. Without an answer the shares lent before run out, and
// the entry is left with its own part.
func (l *limitLending) borrowFrom(ctx context.Context, askedAt time.Time, addr string, request *wire.BorrowRequest) {
	var response *wire.BorrowResponse
	if addr == "" {
		response = l.lend(request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		answer, err := l.entry.clients.Peer(addr).Borrow(ctx, connect.NewRequest(request))
		if err != nil {
			l.entry.log.Debug("nothing borrowed", zap.String("home", addr), zap.Error(err))
			return
		}
		response = answer.Msg
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, loan := range response.Accounts {
		l.borrower.SetLoan(askedAt, loan.Account, float64(loan.Permille)/permille)
	}
}
