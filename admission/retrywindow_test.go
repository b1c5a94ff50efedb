package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the times of requests and wishes to repeat at several entries, in no window
// do all of them together repeat more than the limits allow.
func TestRetryWindowsOfSeveralEntriesKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := RetryLimits{Ratio: 0.2, Allowance: 20, Window: 10 * time.Second}
		start := time.Now()
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		windows := make([]*RetryWindow, entries)
		for i := range windows {
			windows[i] = NewRetryWindow(start, limits)
			windows[i].SetEntries(entries)
		}
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			w := windows[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "request") {
				w.Request(start.Add(now), "s")
				requests = append(requests, now)
				continue
			}
			if w.Take(start.Add(now), "s") {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			// The requests of a window and of half a window before it count.
			asked := count(requests, end-limits.Window-limits.Window/2, end)
			again := count(repeats, end-limits.Window, end)
			if float64(again) > limits.Ratio*float64(asked)+limits.Allowance {
				t.Fatalf("%d repeats for %d requests", again, asked)
			}
		}
	})
}

func count(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at <= to {
			n++
		}
	}
	return n
}

// Symptom: no request is repeated for hours, or all are. Sequence: the time of day
// jumps. Cause, were it there: counting by the time of day.
func TestARetryWindowForgets(t *testing.T) {
	start := time.Now()
	w := NewRetryWindow(start, RetryLimits{Ratio: 0, Allowance: 2, Window: time.Second})
	w.SetEntries(1)
	if !w.Take(start, "s") || w.Take(start.Add(100*time.Millisecond), "s") {
		t.Fatal("0.8 of 2 repeats are 1")
	}
	if !w.Take(start.Add(5*time.Second), "s") {
		t.Fatal("the window is over")
	}
}
