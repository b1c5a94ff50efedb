package admission

import (
	"sync"
	"time"

	"aspenyard.example/result"
)

// Limits bound one client account over all entries; 0: no bound.
type Limits struct {
	RequestsPerSecond, TokensPerSecond float64
	Concurrent                         int
}

// burstSeconds is how many seconds of its rate an account may use at once.
const burstSeconds = 1.0

// Limiter keeps one entry's part of every account's limits. Safe for concurrent
// use.
type Limiter struct {
	mu       sync.Mutex
	accounts map[string]*accountUsage
}

type accountUsage struct {
	requests, tokens bucket
	concurrent       int
	lastRequest      time.Time
	arrived          float64 // requests since the last call of Demand
}

type bucket struct {
	available float64
	updatedAt time.Time
}

// NewLimiter makes a limiter without any use.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[string]*accountUsage{}}
}

// Admit counts a request of an account against this entry's share of the limits,
// 0 to 1, or refuses it. Every admitted request ends with Done.
func (l *Limiter) Admit(now time.Time, account string, limits Limits, share float64, tokens int) *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.accounts[account]
	if u == nil {
		u = &accountUsage{}
		l.accounts[account] = u
	}
	u.lastRequest = now
	u.arrived++
	if limits.Concurrent > 0 && u.concurrent >= max(1, int(float64(limits.Concurrent)*share)) {
		return result.Refuse(result.TooManyConcurrent, time.Second, "%d requests at once", u.concurrent)
	}
	if wait := u.requests.wait(now, limits.RequestsPerSecond*share, 1); wait > 0 {
		return result.Refuse(result.RateLimited, wait, "over %g requests a second", limits.RequestsPerSecond)
	}
	if wait := u.tokens.wait(now, limits.TokensPerSecond*share, float64(tokens)); wait > 0 {
		return result.Refuse(result.TokenLimited, wait, "over %g tokens a second", limits.TokensPerSecond)
	}
	u.requests.take(limits.RequestsPerSecond, 1)
	u.tokens.take(limits.TokensPerSecond, float64(tokens))
	u.concurrent++
	return nil
}

// Done ends an admitted request.
func (l *Limiter) Done(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.accounts[account]; u != nil {
		u.concurrent--
	}
}

// TakeDemand gives the requests that each account sent since the last call, and
// forgets accounts that have been idle for longer than idle.
func (l *Limiter) TakeDemand(now time.Time, idle time.Duration) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[string]float64, len(l.accounts))
	for name, u := range l.accounts {
		if u.concurrent == 0 && now.Sub(u.lastRequest) > idle {
			delete(l.accounts, name)
			continue
		}
		demand[name] = u.arrived
		u.arrived = 0
	}
	return demand
}

// wait fills the bucket and tells how long until it holds the amount. An amount
// over the bucket's size passes once it is full and leaves it in debt, so that a
// prompt larger than a second's tokens is not refused for ever.
func (b *bucket) wait(now time.Time, rate, amount float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	size := max(rate*burstSeconds, 1)
	if b.updatedAt.IsZero() {
		b.available = size
	} else {
		b.available = min(size, b.available+rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	missing := min(amount, size) - b.available
	if missing <= 0 {
		return 0
	}
	return max(time.Millisecond, seconds(missing/rate))
}

func (b *bucket) take(rate, amount float64) {
	if rate > 0 {
		b.available -= amount
	}
}
