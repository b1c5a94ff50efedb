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
	// borrowTimeout bounds one Borrow call. It is shorter than
	// admission.BorrowInterval, so that a call ends before the next one is due.
	borrowTimeout = 400 * time.Millisecond
	// accountUsageTTL is how long the limiter remembers an account without requests.
	accountUsageTTL = time.Minute
	// permille is the factor by which shares and demands are scaled in messages.
	permille = 1000
)

// limitLending implements both sides of the lending of client accounts' limits: this
// entry lends the limits of the accounts whose home entry it is, and borrows shares of
// the limits of the accounts whose requests it receives.
type limitLending struct {
	entry *Entry
	mu    sync.Mutex
	// lender and borrower are guarded by mu: lend is called by RPC handlers, share by
	// the handlers of callers' requests.
	lender   *admission.Lender
	borrower *admission.Borrower
}

func newLimitLending(e *Entry) *limitLending {
	return &limitLending{entry: e, lender: admission.NewLender(time.Now()), borrower: admission.NewBorrower()}
}

// share returns this entry's current share of an account's limits, from 0 to 1.
func (l *limitLending) share(account string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borrower.Share(time.Now(), account, int(l.entry.control.entryCount.Load()))
}

// lend answers a Borrow request of another entry, or of this one, to this home entry.
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

// run borrows at each admission.BorrowInterval until ctx ends.
func (l *limitLending) run(ctx context.Context) {
	for ctx.Err() == nil {
		membership.Sleep(ctx, admission.BorrowInterval)
		l.borrow(ctx)
	}
}

// borrow asks the home entry of each limited account that has requests here for a
// share of its limits. All accounts of one home entry go into one request.
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

// homeCandidates maps the names of the live entries, this one included, to their
// addresses. This entry's address is "".
func (l *limitLending) homeCandidates() map[string]string {
	homes := map[string]string{l.entry.settings.Name: ""}
	for name, m := range l.entry.loop.View().Members {
		if m.Role() == membership.RoleEntry && m.Alive() {
			homes[name] = m.Addr()
		}
	}
	return homes
}

// homeEntry names the home entry of an account: the candidate that rendezvous hashing
// ranks first, which all entries with the same view agree on.
func homeEntry(account, self string, homes map[string]string) string {
	home, best := self, rendezvousWeight("limits/"+account, self)
	for name := range homes {
		if w := rendezvousWeight("limits/"+account, name); w > best || (w == best && name < home) {
			home, best = name, w
		}
	}
	return home
}

// borrowFrom sends one Borrow request to the home entry at addr, which is "" for this
// entry. Without a response, the shares borrowed before expire and this entry is left
// with its static share.
func (l *limitLending) borrowFrom(ctx context.Context, askedAt time.Time, addr string, request *wire.BorrowRequest) {
	var response *wire.BorrowResponse
	if addr == "" {
		response = l.lend(request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		borrowed, err := l.entry.clients.Peer(addr).Borrow(ctx, connect.NewRequest(request))
		if err != nil {
			l.entry.log.Debug("no limits borrowed: the home entry did not answer", zap.String("home", addr), zap.Error(err))
			return
		}
		response = borrowed.Msg
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, loan := range response.Accounts {
		l.borrower.SetLoan(askedAt, loan.Account, float64(loan.Permille)/permille)
	}
}
