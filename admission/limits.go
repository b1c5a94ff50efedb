package admission

import (
	"sync"
	"time"

	"aspenyard.example/result"
)

// Limits are a client account's limits over all entries together. A limit of 0 is no
// limit.
type Limits struct {
	RequestsPerSecond, TokensPerSecond float64
	Concurrent                         int
}

// burstSeconds is the burst size of the token buckets, in seconds of their rate.
const burstSeconds = 1.0

// Limiter enforces one entry's share of every client account's limits. It is safe for
// concurrent use.
type Limiter struct {
	mu       sync.Mutex
	accounts map[string]*accountUsage
}

// accountUsage is what one account uses at this entry.
type accountUsage struct {
	requests, tokens bucket
	concurrent       int
	lastRequest      time.Time
	arrived          float64 // requests since the last call of TakeDemand
}

// bucket is a token bucket, whose rate is given with each call.
type bucket struct {
	available float64
	updatedAt time.Time
}

// NewLimiter returns a limiter that has seen no requests.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[string]*accountUsage{}}
}

// Admit counts a request of an account against this entry's share of the limits, 0 to
// 1, or refuses it with TooManyConcurrent, RateLimited or TokenLimited. tokens is the
// size of the request. Done must be called once for every admitted request.
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
		return result.Refuse(result.TooManyConcurrent, time.Second, "the client account already has %d requests in flight at this entry", u.concurrent)
	}
	if wait := u.requests.wait(now, limits.RequestsPerSecond*share, 1); wait > 0 {
		return result.Refuse(result.RateLimited, wait, "the client account exceeds its limit of %g requests per second", limits.RequestsPerSecond)
	}
	if wait := u.tokens.wait(now, limits.TokensPerSecond*share, float64(tokens)); wait > 0 {
		return result.Refuse(result.TokenLimited, wait, "the client account exceeds its limit of %g tokens per second", limits.TokensPerSecond)
	}
	u.requests.take(limits.RequestsPerSecond, 1)
	u.tokens.take(limits.TokensPerSecond, float64(tokens))
	u.concurrent++
	return nil
}

// Done ends an admitted request, which no longer counts as in flight.
func (l *Limiter) Done(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.accounts[account]; u != nil {
		u.concurrent--
	}
}

// TakeDemand returns the number of requests that each account sent since the last call,
// and removes the accounts without a request for longer than idle.
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

// wait refills the bucket and returns the time until it holds the amount. An amount
// larger than the bucket passes once the bucket is full and makes it negative, so that
// a prompt of more tokens than the burst size is not refused forever.
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

// take removes an amount that wait has allowed.
func (b *bucket) take(rate, amount float64) {
	if rate > 0 {
		b.available -= amount
	}
}
