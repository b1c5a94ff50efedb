package virtual

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Every event runs at its time, and events due at the same time run in the order in which they
// were scheduled, also when other events scheduled them. The model is a stable sort by time.
func TestEventsRunByTimeThenScheduleOrder(t *testing.T) {
	type scheduled struct {
		at time.Duration
		id int
	}
	rapid.Check(t, func(t *rapid.T) {
		var clock Clock
		var model, ran []scheduled
		delay := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(0, 5).Draw(t, "delay")) })
		left := rapid.IntRange(1, 60).Draw(t, "events")
		var schedule func()
		schedule = func() {
			if left == 0 {
				return
			}
			left--
			d := delay.Draw(t, "after")
			a := scheduled{clock.Now() + d, left}
			model = append(model, a)
			clock.AfterFunc(d, func() {
				if clock.Now() != a.at {
					t.Fatalf("event due at %d ran at %d", a.at, clock.Now())
				}
				ran = append(ran, a)
				schedule()
				schedule()
			})
		}
		for range rapid.IntRange(1, 5).Draw(t, "first") {
			schedule()
		}
		clock.RunUntil(time.Hour)
		slices.SortStableFunc(model, func(a, b scheduled) int { return int(a.at - b.at) })
		if !slices.Equal(model, ran) {
			t.Fatalf("events ran as %v, want %v", ran, model)
		}
	})
}

// RunUntil runs the events that are due up to its time and leaves the others to the next call.
func TestRunUntilStopsAtItsTime(t *testing.T) {
	is := is.New(t)
	var clock Clock
	var ran []int
	for i := range 4 {
		clock.AfterFunc(time.Duration(i)*time.Second, func() { ran = append(ran, i) })
	}
	clock.RunUntil(time.Second)
	is.Equal(ran, []int{0, 1})
	is.Equal(clock.Now(), time.Second)
	clock.RunUntil(time.Minute)
	is.Equal(ran, []int{0, 1, 2, 3})
}
