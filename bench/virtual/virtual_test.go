package virtual

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Whatever is asked for, and by whom, happens at its time and in the order in which it was
// asked for among what is due at one time; a stable sort by time is the model.
func TestEventsRunByTimeThenScheduleOrder(t *testing.T) {
	type asked struct {
		at time.Duration
		id int
	}
	rapid.Check(t, func(t *rapid.T) {
		var clock Clock
		var model, happened []asked
		delay := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(0, 5).Draw(t, "delay")) })
		left := rapid.IntRange(1, 60).Draw(t, "events")
		var ask func()
		ask = func() {
			if left == 0 {
				return
			}
			left--
			d := delay.Draw(t, "after")
			a := asked{clock.Now() + d, left}
			model = append(model, a)
			clock.AfterFunc(d, func() {
				if clock.Now() != a.at {
					t.Fatalf("due at %d, happens at %d", a.at, clock.Now())
				}
				happened = append(happened, a)
				ask()
				ask()
			})
		}
		for range rapid.IntRange(1, 5).Draw(t, "first") {
			ask()
		}
		clock.RunUntil(time.Hour)
		slices.SortStableFunc(model, func(a, b asked) int { return int(a.at - b.at) })
		if !slices.Equal(model, happened) {
			t.Fatalf("happened %v, want %v", happened, model)
		}
	})
}

// A run ends with what is due at its end; the rest happens in the next one.
func TestRunUntilStopsAtItsTime(t *testing.T) {
	is := is.New(t)
	var clock Clock
	var happened []int
	for i := range 4 {
		clock.AfterFunc(time.Duration(i)*time.Second, func() { happened = append(happened, i) })
	}
	clock.RunUntil(time.Second)
	is.Equal(happened, []int{0, 1})
	is.Equal(clock.Now(), time.Second)
	clock.RunUntil(time.Minute)
	is.Equal(happened, []int{0, 1, 2, 3})
}
