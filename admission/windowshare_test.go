package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against shares that add up to more than the bound, also where each entry divides it by a list of
// its own that has further entries, as lists do that are a moment behind.
func TestSharesOfABoundAddUpToNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound, senders := rapid.Float64Range(0, 200).Draw(t, "bound"), rapid.IntRange(1, 60).Draw(t, "senders")
		key, sum := rapid.Uint64().Draw(t, "key"), 0
		var names []string
		for i := range 2 * senders {
			names = append(names, fmt.Sprint("n", i))
		}
		extra := rapid.SliceOfN(rapid.IntRange(0, senders), senders, senders).Draw(t, "extra")
		for i, self := range names[:senders] {
			list := names[:senders+extra[i]]
			others := slices.DeleteFunc(slices.Clone(list), func(name string) bool { return name == self })
			share := DivideBound(bound, HolderRank(key, others, self), len(list))
			if share.Slots > 0 && float64(share.Slots)*float64(windowLength)/float64(share.Window) > max(bound, 1) {
				t.Fatalf("share %+v of %v", share, bound)
			}
			sum += share.Slots
		}
		if float64(sum) > max(bound, 1) {
			t.Fatalf("%d slots of %v", sum, bound)
		}
	})
}

// Guards against shares that leave most of the bound unused.
func TestSharesOfABoundAddUpToIt(t *testing.T) {
	is := is.New(t)
	for _, entries := range []int{1, 4, 25, 32, 33, 68, 300} {
		sum := 0
		for rank := range entries {
			sum += DivideBound(32.86, rank, entries).Slots
		}
		is.Equal(sum, 32)
	}
	is.Equal(DivideBound(0.5, 0, 4), Share{Slots: 1, Window: 2 * windowLength})
	is.Equal(DivideBound(0.5, 1, 4).Slots, 0)
	is.Equal(DivideBound(0, 0, 4).Slots, 0)
}

// Guards against requests beyond a share in any window, against requests that count twice or for ever,
// and against a time to come back at which there is still no share.
func TestSentLogKeepsAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		start := time.Now()
		share := Share{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Window: time.Duration(rapid.IntRange(200, 3000).Draw(t, "window")) * time.Millisecond, From: start.Add(time.Second)}
		if rapid.Bool().Draw(t, "opens") {
			share.Open = share.Window / 4
		}
		var log SentLog
		var sent []time.Time
		now := start
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if !log.Available(now, share) {
				wait, ok := log.Until(now, share)
				is.True(ok && wait > 0)
				is.True(log.Available(now.Add(wait), share))
				is.True(!log.Available(now.Add(wait-1), share))
				continue
			}
			log.Begin()
			switch rapid.IntRange(0, 4).Draw(t, "outcome") {
			case 0:
				log.Drop()
			case 1:
				log.Forget(log.Sent(now, start))
			default:
				sent = append(sent, log.Sent(now, start))
			}
		}
		for i := range sent {
			is.True(share.Open == 0 || !sent[i].Before(share.From) && sent[i].Sub(share.From)%share.Window < share.Open)
			if i >= share.Slots {
				is.True(sent[i].Sub(sent[i-share.Slots]) >= share.Window)
			}
		}
	})
}
