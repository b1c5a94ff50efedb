package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A rate limit that all entries keep together is divided among a few of them, its holders.
// Each holder may use an equal part of the rate, from a token bucket of its own; the other
// entries may use none. Entries agree on the holders by rendezvous hashing over their names,
// so that they need not tell each other what they use.
//
// Equal parts for all entries would let a burst grow with the number of entries, and would
// leave each of them less than one request in a window. A single holder would refuse callers
// that arrive at other entries while most of the limit is unused.

// extraHolders is the number of holders beyond one for each request per second. A window then
// has at most what the rate allows in it and a full bucket of each holder. That leaves room, below
// what endpoints tolerate, for entries that briefly disagree about the holders.
const extraHolders = 3

// Holders returns how many of the given number of entries share a rate limit.
func Holders(perSecond float64, entries int) int {
	if perSecond >= float64(entries) {
		return max(entries, 1)
	}
	return max(min(int(perSecond)+extraHolders, entries), 1)
}

// HolderRank returns the number of entries that precede self in the order in which entries
// become holders of the limit with the given key. self need not be among the entries.
func HolderRank(key uint64, entries []string, self string) int {
	own, rank := holderWeight(key, self), 0
	for _, entry := range entries {
		if entry == self {
			continue
		}
		if w := holderWeight(key, entry); w > own || w == own && entry < self {
			rank++
		}
	}
	return rank
}

// holderWeight returns the weight of an entry by which holders are ranked.
func holderWeight(key uint64, entry string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(key)
	_, _ = digest.WriteString(entry)
	return digest.Sum64()
}

// HolderPhase returns a number in [0, 1) by which entries that do not know of each other spread what
// they do at the same intervals.
func HolderPhase(key uint64, self string) float64 {
	return float64(holderWeight(key, self)>>11) / (1 << 53)
}

// burstTime is the time for which an idle bucket collects tokens beyond the first one.
const burstTime = 250 * time.Millisecond

// RateShare is a token bucket for one holder's part of a rate limit. The zero value has a
// rate of 0 and no tokens. It is not safe for concurrent use.
type RateShare struct {
	rate, tokens float64
	updatedAt    time.Time
}

// NewRateShare returns the share of the holder with the given rank among count holders of a
// limit. The first tokens of the holders are spread over time.
func NewRateShare(now time.Time, perSecond float64, rank, count int) RateShare {
	return RateShare{rate: perSecond / float64(count), tokens: float64(rank) / float64(count), updatedAt: now}
}

// Rate returns the rate, in requests per second.
func (s *RateShare) Rate() float64 { return s.rate }

// SetRate changes the rate, in requests per second, and keeps the tokens up to the new
// bucket's size.
func (s *RateShare) SetRate(now time.Time, perSecond float64) {
	s.refill(now)
	s.rate = perSecond
	s.tokens = min(s.tokens, s.size())
}

// size returns the largest number of tokens; it is at least 1, as a request needs a whole
// token.
func (s *RateShare) size() float64 {
	if s.rate <= 0 {
		return 0
	}
	return 1 + s.rate*burstTime.Seconds()
}

// refill adds the tokens for the time since the last call. Callers may pass times that are
// slightly out of order.
func (s *RateShare) refill(now time.Time) {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		s.tokens = min(s.tokens+s.rate*elapsed.Seconds(), s.size())
		s.updatedAt = now
	}
}

// Available reports whether Take would succeed.
func (s *RateShare) Available(now time.Time) bool {
	s.refill(now)
	return s.tokens >= 1
}

// Take uses the token of one request. It returns false if there is none.
func (s *RateShare) Take(now time.Time) bool {
	if !s.Available(now) {
		return false
	}
	s.tokens--
	return true
}

// GiveBack returns the token of a request that was not sent.
func (s *RateShare) GiveBack(now time.Time) {
	s.refill(now)
	s.tokens = min(s.tokens+1, s.size())
}

// UntilAvailable returns the time until a token is available, and false if there will be
// none.
func (s *RateShare) UntilAvailable(now time.Time) (time.Duration, bool) {
	s.refill(now)
	if s.rate <= 0 {
		return 0, false
	}
	return time.Duration(max(1-s.tokens, 0) / s.rate * float64(time.Second)), true
}
