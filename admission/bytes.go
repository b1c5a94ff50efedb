package admission

import "sync/atomic"

// BytePurpose says what bytes are held for.
type BytePurpose int

const (
	// BodyBytes are those of a request's body, announced or read, and of the response that is expected. The
	// request has not run yet.
	BodyBytes BytePurpose = iota
	// ResponseBytes are those of a response that has been read and not written. The request has run,
	// so that dropping them wastes an endpoint's work.
	ResponseBytes
	// BacklogBytes are those of a stream that its caller reads too slowly.
	BacklogBytes
	// HeadBytes are those of the head of a request with very many fields.
	HeadBytes
)

// SmallBody is the size in bytes up to which a body, a response or a backlog counts as small. Prompts up to 16,000 tokens have
// fewer bytes.
const SmallBody = 64 << 10

// The parts of the bound up to which bytes are taken. What is small keeps a reserve that nothing large can
// fill, so that a few callers with large bodies or responses do not keep out the many others. Of what is
// large, responses keep a reserve that new requests cannot fill, and new requests one that backlogs cannot.
const (
	largeBodyShare     = 0.6
	largeResponseShare = 0.8
	smallBodyShare     = 0.95
	headShare          = 0.3
	// largeRankShare and smallRankShare are by how much less the least urgent requests may fill with large
	// and small bodies.
	largeRankShare = 0.35
	smallRankShare = 0.1
	// minRoomShare is the part of the bound that requests leave at least for bytes that are held.
	minRoomShare = 0.25
	// backlogShare is the part of the bound that the backlog of a single stream may have.
	backlogShare = 0.125
)

// ByteAccount counts the bytes that an entry holds for its callers, and keeps them within a bound. It
// is safe for concurrent use.
type ByteAccount struct {
	bound int64
	held  atomic.Int64
	// reserved is what Reserve has taken.
	reserved atomic.Int64
}

// NewByteAccount returns an empty account with a bound in bytes.
func NewByteAccount(bound int64) *ByteAccount { return &ByteAccount{bound: bound} }

// Bound returns the largest number of bytes that are held at once.
func (a *ByteAccount) Bound() int64 { return a.bound }

// Reserve takes n bytes of the bound for what each request needs, however little of it is held; they are given back by a negative
// n. It is never refused, but leaves less for bytes that are held.
func (a *ByteAccount) Reserve(n int64) { a.reserved.Add(n) }

// Reserved returns the number of bytes that Reserve has taken.
func (a *ByteAccount) Reserved() int64 { return a.reserved.Load() }

// room returns how many bytes may be held.
func (a *ByteAccount) room() float64 {
	return max(float64(a.bound-a.reserved.Load()), minRoomShare*float64(a.bound))
}

// Held returns the number of bytes that are held now.
func (a *ByteAccount) Held() int64 { return a.held.Load() }

// limit is the number of held bytes that must not be exceeded by bytes for a purpose. total is the
// size of what they belong to. rank is 0 for the most urgent requests and 1 for the least urgent.
func (a *ByteAccount) limit(purpose BytePurpose, rank float64, total int64) int64 {
	large := total > SmallBody
	rank = min(max(rank, 0), 1)
	share := 1.0
	switch {
	case purpose == BodyBytes && large:
		share = largeBodyShare - largeRankShare*rank
	case purpose == BodyBytes:
		share = smallBodyShare - smallRankShare*rank
	case purpose == HeadBytes:
		share = headShare
	case purpose == BacklogBytes && large:
		share = largeBodyShare
	case purpose == BacklogBytes || large:
		share = largeResponseShare
	}
	return int64(share * a.room())
}

// Open returns a holding for bytes of one purpose. Release must be called at its end.
func (a *ByteAccount) Open(purpose BytePurpose, rank float64) Holding {
	return Holding{account: a, purpose: purpose, rank: rank}
}

// Holding is the part of an account that one request, or the backlog of one connection, holds. Only
// Bytes may be called concurrently with other methods.
type Holding struct {
	account *ByteAccount
	purpose BytePurpose
	rank    float64
	bytes   atomic.Int64
}

// Bytes returns the number of bytes that are held.
func (h *Holding) Bytes() int64 { return h.bytes.Load() }

// Grow adds n bytes, or returns false and adds none if the account does not allow them. A body that is
// larger than its limit is taken while nothing else is held, as it could never be taken otherwise.
func (h *Holding) Grow(n int64) bool {
	a, total := h.account, h.bytes.Load()+n
	if h.purpose == BacklogBytes && total > int64(backlogShare*float64(a.bound)) {
		return false
	}
	limit := a.limit(h.purpose, h.rank, total)
	for {
		held := a.held.Load()
		if held+n > limit && (held > h.bytes.Load() || held+n > a.bound) {
			return false
		}
		if a.held.CompareAndSwap(held, held+n) {
			h.bytes.Add(n)
			return true
		}
	}
}

// MoveTo moves n of the held bytes to another holding of the same account.
func (h *Holding) MoveTo(other *Holding, n int64) {
	h.bytes.Add(-n)
	other.bytes.Add(n)
}

// Shrink gives n of the held bytes back.
func (h *Holding) Shrink(n int64) {
	h.bytes.Add(-n)
	h.account.held.Add(-n)
}

// Release gives all bytes back. It may be called repeatedly.
func (h *Holding) Release() {
	if n := h.bytes.Swap(0); n != 0 {
		h.account.held.Add(-n)
	}
}
