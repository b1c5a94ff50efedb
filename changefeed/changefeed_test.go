package changefeed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// staleCost is what a read that may be stale costs, as a share of a call.
const staleCost = 0.1

// cost is what a play cost an entry on average in a second.
type cost struct{ calls, bytes float64 }

// playRelease plays a release at a fleet of a size: ten changes a second, one in two seconds of which has a
// long value. It returns the cost, and the longest time until all entries knew a change.
func playRelease(t *testing.T, entries, seconds int) (cost, time.Duration) {
	t.Helper()
	w := newWorld(1, entries)
	w.change()
	const start = 4 * time.Second
	w.run(start)
	w.calls, w.bytes = map[CallReason]int{}, 0
	longest := time.Duration(0)
	for w.Now() < start+time.Duration(seconds)*time.Second {
		w.change()
		w.run(w.Now() + 100*time.Millisecond)
		w.checkBound()
		for _, e := range w.entries {
			if e.at.Revision() < w.storeAt().Revision() {
				longest = max(longest, w.Now()-w.changedAt[e.at.Revision()])
			}
		}
	}
	w.failOn(t)
	calls := 0.0
	for reason, n := range w.calls {
		if reason == callForValue {
			calls += staleCost * float64(n)
			continue
		}
		calls += float64(n)
	}
	return cost{calls / float64(seconds*entries), float64(w.bytes) / float64(seconds*entries)}, longest
}

// Guards against calls to the store that grow with the number of entries: each change used to answer the
// watch of every entry, 2 calls a second and entry during a release.
func TestCallsAndBytesOfAnEntryDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, play := range []struct{ entries, seconds int }{{20, 30}, {341, 30}, {1000, 8}, {3800, 3}} {
		c, longest := playRelease(t, play.entries, play.seconds)
		t.Logf("%d entries: %.3f calls/s and %.0f B/s an entry; all know a change after %v", play.entries, c.calls, c.bytes, longest)
		is.True(c.calls < 0.25)   // a quarter of the calls of one watch with waits of a second
		is.True(c.bytes < 10_000) // the budget of a node for control
		is.True(longest < bound)
	}
}

// Guards against followers that call the store while nothing changes, since what the watchers' waiting calls
// prove is older than what the followers need.
func TestOnlyWatchersCallAQuietStore(t *testing.T) {
	is := is.New(t)
	for _, entries := range []int{4, 68, 341} {
		w := newWorld(5, entries)
		w.change()
		w.run(5 * time.Second)
		w.calls = map[CallReason]int{}
		w.run(25 * time.Second)
		t.Logf("%d entries: %v", entries, w.calls)
		is.Equal(w.calls[CallStale], 0)
	}
}

// Guards against changes that come late at the followers of watchers that end, hang, are slow to follow
// or are cut off from the store, all at the same moment.
func TestChangesAreKnownInTimeWhateverHappensToTheWatchers(t *testing.T) {
	for name, disturb := range map[string]func(w *world, e *entry){
		"killed":   func(w *world, e *entry) { w.remove(e) },
		"frozen":   func(w *world, e *entry) { w.freeze(e, w.Now()+8*time.Second) },
		"cut":      func(_ *world, e *entry) { e.cut = true },
		"deafened": func(_ *world, e *entry) { e.log = &Log{} }, // responds to nobody
	} {
		for _, entries := range []int{4, 68, 341} {
			w := newWorld(7, entries)
			w.change()
			w.run(10 * time.Second)
			for _, e := range w.entries {
				if e.follower.Watching(e.clock()) {
					disturb(w, e)
				}
			}
			w.calls = map[CallReason]int{}
			for w.Now() < 40*time.Second {
				if w.random.IntN(10) == 0 {
					w.change()
				}
				w.run(w.Now() + 100*time.Millisecond)
				w.checkBound()
			}
			t.Logf("%s, %d entries: %v", name, entries, w.calls)
			w.failOn(t)
		}
	}
}

// Guards against followers that keep asking a watcher which has ended, and call the store themselves.
func TestFollowersOfADeadWatcherTurnToAnother(t *testing.T) {
	is := is.New(t)
	w := newWorld(9, 341)
	w.change()
	w.run(10 * time.Second)
	for _, e := range w.entries {
		if e.follower.self == 0 {
			w.remove(e)
		}
	}
	w.calls = map[CallReason]int{}
	for w.Now() < 10*time.Second+leaseTTL {
		w.change()
		w.run(w.Now() + 500*time.Millisecond)
		w.checkBound()
	}
	w.failOn(t)
	t.Log(w.calls)
	is.True(w.calls[CallStale] < defaultFollowersPerWatcher/4) // few of its followers
}

// Guards against an upgrade in which entries of the former version, which do not answer, are asked for
// changes: the entry then follows the store itself, within the bound.
func TestAnEntryWhosePeersNeverAnswerFollowsTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 341)
	for _, e := range w.entries {
		e.dead = e.follower.self != len(w.entries)-1 // the last in rank is left
	}
	w.change()
	for w.Now() < 30*time.Second {
		if w.Now() > 10*time.Second && w.random.IntN(5) == 0 {
			w.change()
		}
		w.run(w.Now() + 100*time.Millisecond)
		w.checkBound()
	}
	w.failOn(t)
	calls := w.calls[CallStale] + w.calls[CallWatching]
	t.Logf("%d calls in 30 s", calls)
	is.True(calls > 0)
	is.True(calls < 30*2) // one watch of its own, answered twice a second
}

// Guards against a rolling upgrade in which entries of the former version, which watch for themselves and do not answer,
// make those of this version late, or let them call the store more often than the former ones did.
func TestAnUpgradeInWavesKeepsTheBound(t *testing.T) {
	is := is.New(t)
	const entries, waves, waveTime = 341, 11, 6 * time.Second
	w := newWorld(11, entries)
	for _, e := range w.entries {
		e.dead = true
	}
	w.change()
	w.run(10 * time.Second)
	upgraded := 0
	for wave := range waves {
		for range entries / waves {
			e := w.entries[w.random.IntN(entries)]
			for !e.dead {
				e = w.entries[w.random.IntN(entries)]
			}
			e.dead, e.calmSince = false, w.Now()
			e.wake()
			upgraded++
		}
		w.calls = map[CallReason]int{}
		for end := w.Now() + waveTime; w.Now() < end; {
			w.change()
			w.run(w.Now() + 500*time.Millisecond)
			w.checkBound()
		}
		calls := float64(w.calls[CallStale]+w.calls[CallWatching]) / (float64(upgraded) * waveTime.Seconds())
		t.Logf("wave %d: %d of %d entries upgraded, %.2f calls a second each", wave+1, upgraded, entries, calls)
		is.True(calls < 0.25) // as in a fleet of one version
	}
	w.failOn(t)
	is.Equal(upgraded, entries)
}

// Guards against a follower that counts the age of a proof from when the response came: a request that
// waited at a suspended responder, or a response at a suspended follower, is older by that time.
func TestAProofCountsFromTheRequest(t *testing.T) {
	is := is.New(t)
	random := newWorld(1, 1).random
	former, f := NewFollower(Config{Name: "a"}, random), NewFollower(Config{Name: "a", Bound: bound}, random)
	is.True(f.nonce != former.nonce) // of two processes
	f.SetMembers([]Member{{Name: "a"}, {Name: "b"}})
	f.ranked = []candidate{{Member: Member{Name: "b"}}, {Member: Member{Name: "a"}}}
	f.self = 1
	peer, nonce, ok := f.Ask(10 * time.Second)
	is.True(ok)
	is.Equal(peer, "b")
	provenAt, ok := f.Hear(14*time.Second, "b", nonce, 0, &Chunk{Last: true, Complete: true, Age: time.Second})
	is.True(ok)
	is.Equal(provenAt, 9*time.Second)
	_, ok = f.Hear(14*time.Second, "b", nonce+1, 0, &Chunk{Last: true, Complete: true})
	is.True(!ok) // no request of this entry
}
