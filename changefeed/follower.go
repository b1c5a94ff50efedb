package changefeed

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/directory"
)

// Config configures a Follower. All entries of a deployment should use the same values.
type Config struct {
	// Name is this entry's name, DataCentre the data centre that it is in.
	Name, DataCentre string
	// Bound is the time within which a change in the store must be known here. A longer one costs the
	// store fewer calls.
	Bound time.Duration
	// SoloWait is how long a call waits for changes while this entry knows no other.
	SoloWait time.Duration
	// FollowersPerWatcher is how many followers a watcher has on average; default 64. With fewer, the
	// store gets more calls; with more, a watcher answers more often.
	FollowersPerWatcher int
	// CheckpointInterval is the time between two checkpoints of the state; 0 stands for none. It must be
	// well below the time for which the store keeps changes.
	CheckpointInterval time.Duration
}

const defaultFollowersPerWatcher = 64

// Shares of Bound. A call proves the time at which it began, so that a watcher's proof is up to twice
// watchWaitShare old before the next call returns. A follower's is askShare older. That leaves time to ask
// another entry before callShare, and from then on to call the store before Bound.
const (
	watchWaitShare = 0.18
	askShare       = 0.1
	// batchShare is how long a watcher collects more changes after one.
	batchShare = 0.06
	// freshShare is the age up to which a proof is sufficient. An entry that gives an older one counts
	// as unable to follow the store.
	freshShare = 0.5
	// callShare is the age of its proof at which a follower calls the store. callJitterShare spreads
	// the calls of followers that lost the same watcher.
	callShare       = 0.56
	callJitterShare = 0.06
	// responseShare is how long an entry waits for a response before it asks another one.
	responseShare = 0.05
	// readSpreadShare is the time over which followers spread the full reads after a loss.
	readSpreadShare = 0.2
	// minAvoidShare is how long an entry that did not respond, or with no sufficient proof, is not
	// asked. It doubles with each failure in a row, up to maxAvoidShare.
	minAvoidShare, maxAvoidShare = 0.2, 2.0
)

// maxAsks is how many entries are asked one after the other, until the next interval.
const maxAsks = 3

// Member is an entry that is registered.
type Member struct{ Name, DataCentre string }

// Random is the source of random numbers.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// candidate is a member with its rank in the order in which members are to watch, which is the same at
// all entries.
type candidate struct {
	Member
	rank uint64
}

// failure is how often in a row an entry failed to give a sufficient proof, and until when it is not
// asked.
type failure struct {
	count int
	until time.Duration
}

// ask is a request to another entry.
type ask struct {
	peer   string
	nonce  uint64
	sentAt time.Duration
}

// rememberedAsks is how many of the last requests are remembered, so that late responses still count.
const rememberedAsks = 8

// Follower decides when to ask which entry for changes and when to call the store. It is not safe for
// concurrent use. Times are those since boot.
type Follower struct {
	config  Config
	random  Random
	members []Member
	// ranked are all members and this entry in the order in which they are to watch; self is this
	// entry's index.
	ranked   []candidate
	self     int
	failures map[string]failure
	asks     []ask
	nonce    uint64
	// awaited is the request whose response is awaited until responseDueAt; nil if there is none.
	awaited       *ask
	responseDueAt time.Duration
	// asked counts the requests since the interval began, nextAskAt is when the next one may be sent.
	asked     int
	nextAskAt time.Duration
	// provenAt is the time as of which this entry has all changes; 0 if there is no proof.
	provenAt time.Duration
	// jitter is the random part of the age at which the store is called.
	jitter float64
	// nextCheckpointAt is when the next checkpoint may be written.
	nextCheckpointAt time.Duration
	// behind is set while the entries that were asked do not have the changes any more.
	behind bool
}

// NewFollower returns a follower that knows no other entry.
func NewFollower(config Config, random Random) *Follower {
	if config.FollowersPerWatcher == 0 {
		config.FollowersPerWatcher = defaultFollowersPerWatcher
	}
	return &Follower{
		config: config, random: random, failures: map[string]failure{}, jitter: random.Float64(),
		// A response to a former process of this entry must not be taken for one to this process.
		nonce: uint64(random.IntN(math.MaxInt)),
	}
}

func (f *Follower) share(of float64) time.Duration {
	return time.Duration(of * float64(f.config.Bound))
}

// BatchPause returns how long to collect more changes after a change before the next call.
func (f *Follower) BatchPause() time.Duration { return f.share(batchShare) }

// SetMembers sets the registered entries, which may include this one.
func (f *Follower) SetMembers(members []Member) {
	if slices.Equal(members, f.members) {
		return
	}
	f.members = slices.Clone(members)
	self := Member{f.config.Name, f.config.DataCentre}
	f.ranked = f.ranked[:0]
	for _, m := range members {
		if m.Name != self.Name {
			f.ranked = append(f.ranked, candidate{m, xxhash.Sum64String(m.Name)})
		}
	}
	f.ranked = append(f.ranked, candidate{self, xxhash.Sum64String(self.Name)})
	slices.SortFunc(f.ranked, func(a, b candidate) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		return cmp.Compare(a.Name, b.Name)
	})
	f.self = slices.IndexFunc(f.ranked, func(c candidate) bool { return c.Name == self.Name })
	maps.DeleteFunc(f.failures, func(name string, _ failure) bool {
		return !slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
	})
}

// preference orders the entries that this one asks: those of its data centre come first.
func (f *Follower) preference(m *candidate) uint64 {
	preference := xxhash.Sum64String(f.config.Name+"\x00"+m.Name) >> 1
	if m.DataCentre == f.config.DataCentre {
		preference |= 1 << 63
	}
	return preference
}

// alone reports whether no other entry is known.
func (f *Follower) alone() bool { return len(f.ranked) <= 1 }

// avoided reports whether an entry is not asked at present.
func (f *Follower) avoided(now time.Duration, name string) bool { return now < f.failures[name].until }

// watchers returns the entries that watch the store as this one sees it: the first in rank of those that
// it has no reason to avoid.
func (f *Follower) watchers(now time.Duration) iter.Seq[*candidate] {
	return func(yield func(*candidate) bool) {
		left := (len(f.ranked) + f.config.FollowersPerWatcher - 1) / f.config.FollowersPerWatcher
		for i := 0; i < len(f.ranked) && left > 0; i++ {
			if i != f.self && f.avoided(now, f.ranked[i].Name) {
				continue
			}
			left--
			if !yield(&f.ranked[i]) {
				return
			}
		}
	}
}

// Watching reports whether this entry is to watch the store.
func (f *Follower) Watching(now time.Duration) bool {
	if f.alone() {
		return true
	}
	for w := range f.watchers(now) {
		if w == &f.ranked[f.self] {
			return true
		}
	}
	return false
}

// Age returns the age of this entry's proof; ok is false if there is none.
func (f *Follower) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - f.provenAt, f.provenAt > 0
}

// fresh reports whether the proof is sufficient.
func (f *Follower) fresh(now time.Duration) bool {
	age, ok := f.Age(now)
	return ok && age <= f.share(freshShare)
}

// Ask returns the entry to ask now, with the number by which its response is recognised. ok is false if
// none is to be asked.
func (f *Follower) Ask(now time.Duration) (peer string, nonce uint64, ok bool) {
	if f.awaited != nil {
		if now < f.responseDueAt {
			return "", 0, false
		}
		f.fail(now, f.awaited.peer)
	}
	if f.alone() || now < f.nextAskAt || f.Watching(now) && f.fresh(now) {
		return "", 0, false
	}
	peer = f.choose(now)
	if f.asked++; f.asked >= maxAsks || peer == "" {
		f.asked, f.nextAskAt = 0, now+f.share(askShare)
	}
	if peer == "" {
		return "", 0, false
	}
	f.nonce++
	f.asks = append(f.asks, ask{peer, f.nonce, now})
	if len(f.asks) > rememberedAsks {
		f.asks = slices.Delete(f.asks, 0, 1)
	}
	f.awaited, f.responseDueAt = &ask{peer, f.nonce, now}, now+f.share(responseShare)
	return peer, f.nonce, true
}

// choose returns the entry to ask: a watcher, one in this data centre if possible and the same at each
// call as long as it is not avoided; if all are, any other entry.
func (f *Follower) choose(now time.Duration) string {
	var best *candidate
	highest := uint64(0)
	for w := range f.watchers(now) {
		if w == &f.ranked[f.self] {
			continue
		}
		if preference := f.preference(w); best == nil || preference > highest {
			best, highest = w, preference
		}
	}
	if best != nil {
		return best.Name
	}
	for range maxAsks {
		i := f.random.IntN(len(f.ranked) - 1) // among the others; Ask is not reached without any
		if i >= f.self {
			i++
		}
		if !f.avoided(now, f.ranked[i].Name) {
			return f.ranked[i].Name
		}
	}
	return ""
}

// fail notes that an entry did not respond, or not with a sufficient proof, so that another one is asked.
func (f *Follower) fail(now time.Duration, peer string) {
	count := f.failures[peer].count + 1
	pause := min(f.share(minAvoidShare)<<min(count-1, 10), f.share(maxAvoidShare))
	f.failures[peer] = failure{count, now + pause}
	f.awaited = nil
}

// Remembers reports whether a response belongs to one of the last requests.
func (f *Follower) Remembers(peer string, nonce uint64) bool { return f.remembered(peer, nonce) >= 0 }

// remembered returns the index of a request among those that are remembered, or -1.
func (f *Follower) remembered(peer string, nonce uint64) int {
	return slices.IndexFunc(f.asks, func(a ask) bool { return a.nonce == nonce && a.peer == peer })
}

// Hear handles a chunk of a response, for an entry that knows the changes of an era. If ok, the caller may
// call Prove with the time that it returns as soon as it has all changes up to the chunk's last position. A
// response to no remembered request is no proof, nor is one of another era: another entry is asked then.
func (f *Follower) Hear(now time.Duration, peer string, nonce uint64, era directory.Era, c *Chunk) (provenAt time.Duration, ok bool) {
	i := f.remembered(peer, nonce)
	if i < 0 {
		return 0, false
	}
	sentAt, awaited := f.asks[i].sentAt, f.awaited != nil && f.awaited.nonce == nonce
	switch {
	case c.Era() != era:
		if awaited {
			f.fail(now, peer)
		}
		return 0, false
	case c.TooOld:
		f.behind = true
	case !c.Last:
		return 0, false
	case c.Complete:
		provenAt, ok = sentAt-c.Age, true
	}
	if !awaited {
		return provenAt, ok
	}
	f.awaited = nil
	switch {
	case c.TooOld || ok && now-provenAt > f.share(freshShare):
		f.fail(now, peer)
	case c.Complete:
		delete(f.failures, peer)
		f.asked, f.nextAskAt = 0, now+f.share(askShare)
	default:
		f.asked = 0 // more changes follow
	}
	return provenAt, ok
}

// ReadDelay returns how long to wait before the whole state is read because the store has begun a new era.
// Watchers read it at once, so that others can ask them; the others spread their reads.
func (f *Follower) ReadDelay(now time.Duration) time.Duration {
	if f.alone() || f.Watching(now) {
		return 0
	}
	return time.Duration(f.random.Float64() * float64(f.share(readSpreadShare)))
}

// BeginEra records that the whole state was read in a new era: a checkpoint of an earlier one is worth
// nothing, and every entry may have read the new state meanwhile.
func (f *Follower) BeginEra() {
	f.nextCheckpointAt = 0
	clear(f.failures)
}

// AskAgain lets the next request be sent at once.
func (f *Follower) AskAgain(now time.Duration) { f.asked, f.nextAskAt = 0, now }

// FallBehind makes the next changes come from the store.
func (f *Follower) FallBehind() { f.behind = true }

// Prove records that this entry has all changes as of a time.
func (f *Follower) Prove(at time.Duration) {
	f.behind = false
	if at > f.provenAt {
		f.provenAt, f.jitter = at, f.random.Float64()
	}
}

// CallReason says why the store is called.
type CallReason string

// The reasons for calls to the store.
const (
	CallNone     CallReason = ""
	CallWatching CallReason = "watching" // this entry watches for others, or knows no other
	CallBehind   CallReason = "behind"   // the entries that were asked do not have the changes any more
	CallStale    CallReason = "stale"    // no other entry gave a sufficient proof in time
)

// Call returns why the store is to be called now for changes, CallNone if it is not, and how long the
// call is to wait for them.
func (f *Follower) Call(now time.Duration) (reason CallReason, wait time.Duration) {
	switch {
	case f.alone():
		return CallWatching, f.config.SoloWait
	case f.behind:
		return CallBehind, 0
	case f.Watching(now):
		return CallWatching, f.share(watchWaitShare)
	case now >= f.callAt():
		return CallStale, 0
	}
	return CallNone, 0
}

// callAt returns when the store is to be called if no other entry gives a proof.
func (f *Follower) callAt() time.Duration {
	return f.provenAt + f.share(callShare+callJitterShare*f.jitter)
}

// Next returns when Ask or Call may next have something to do.
func (f *Follower) Next(now time.Duration) time.Duration {
	next := f.callAt()
	switch {
	case f.awaited != nil:
		return min(next, f.responseDueAt)
	case f.alone():
		return next
	case f.Watching(now) && f.fresh(now):
		return min(next, f.provenAt+f.share(freshShare)+1)
	}
	return min(next, max(f.nextAskAt, now))
}

// minCheckpointEntries is the number of entries from which a checkpoint is worth its writes: so many that
// start at once delay each other by reading all items.
const minCheckpointEntries = 48

// Checkpoint reports whether this entry is to write a checkpoint of the state now: the first in rank that
// can be asked does, at intervals.
func (f *Follower) Checkpoint(now time.Duration) bool {
	if f.config.CheckpointInterval == 0 || len(f.ranked) < minCheckpointEntries || now < f.nextCheckpointAt || !f.fresh(now) {
		return false
	}
	for w := range f.watchers(now) {
		if w != &f.ranked[f.self] {
			return false
		}
		break
	}
	f.nextCheckpointAt = now + f.config.CheckpointInterval
	return true
}
