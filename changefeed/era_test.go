package changefeed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/directory"
)

// Guards against entries that all read the state at once after a loss, and against calls that grow faster than
// the entries. The reads that the users' store grants a second are the bound.
func TestALossCostsFewCalls(t *testing.T) {
	const readsPerSecond, callsPerEntry = 2000, 3
	for _, entries := range []int{4, 68, 341} {
		w := newWorld(1, entries)
		w.change()
		w.run(time.Minute)
		before := w.totalCalls()
		for range 5 {
			w.change()
		}
		w.restore(7)
		most := 0
		for range 5 {
			second := w.totalCalls()
			w.run(w.Now() + time.Second)
			most = max(most, w.totalCalls()-second)
		}
		w.checkBound()
		w.failOn(t)
		if calls := w.totalCalls() - before; calls > callsPerEntry*entries+readsPerSecond/100 || most > readsPerSecond {
			t.Errorf("%d entries made %d calls in 5 s, up to %d in a second: %v", entries, calls, most, w.calls)
		}
		t.Logf("%d entries: %d calls in 5 s, up to %d in a second", entries, w.totalCalls()-before, most)
		for _, e := range w.entries {
			if e.at != w.storeAt() {
				t.Errorf("%s is at %v, the store at %v", e.name, e.at, w.storeAt())
			}
		}
	}
}

// totalCalls returns the number of calls to the store so far.
func (w *world) totalCalls() int {
	total := 0
	for _, n := range w.calls {
		total += n
	}
	return total
}

// Guards against proofs between entries of two versions, one of which does not know of eras: revisions are enough
// for those that ask without an era until a loss, and prove nothing to those that know one.
func TestEntriesThatDoNotKnowOfEras(t *testing.T) {
	is := is.New(t)
	era := directory.StatedEra(2)
	l := &Log{}
	l.Reset(directory.At(era, 5))
	l.Append([]directory.Item{{Key: "a", At: directory.At(era, 6)}}, directory.At(era, 6))
	l.Prove(time.Second)
	chunks := l.Respond(2*time.Second, directory.At(0, 5))
	is.Equal(len(chunks[0].Items), 1)
	is.True(chunks[0].Complete)
	is.True(l.Respond(2*time.Second, directory.At(directory.StatedEra(1), 5))[0].TooOld)
	l.Reset(directory.At(directory.StatedEra(3), 4))
	l.Prove(3 * time.Second)
	is.True(l.Respond(4*time.Second, directory.At(0, 4))[0].TooOld)

	f := NewFollower(Config{Name: "a", Bound: bound}, rand.New(rand.NewPCG(1, 1)))
	f.SetMembers([]Member{{"a", ""}, {"b", ""}, {"c", ""}})
	now := 10 * time.Second
	peer, nonce, ok := f.Ask(now)
	is.True(ok)
	old := Chunk{From: directory.At(0, 5), To: directory.At(0, 9), Last: true, Complete: true}
	_, proves := f.Hear(now, peer, nonce, era, &old)
	is.True(!proves)
	next, _, ok := f.Ask(now)
	is.True(ok)
	is.True(next != peer)
}
