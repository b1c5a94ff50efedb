package verdict

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"aspenyard.example/randomtest"
)

func TestMain(m *testing.M) { randomtest.Main(m) }

func stands(crashes []Crash) bool { return len(crashes) >= 2 }

func drawVerdict(t *rapid.T) Verdict {
	v := Verdict{Position: rapid.Uint8Range(0, 3).Draw(t, "position"), Trials: rapid.IntRange(0, 3).Draw(t, "trials"), Confirmed: rapid.Bool().Draw(t, "confirmed")}
	for range rapid.IntRange(0, 4).Draw(t, "crashes") {
		v.Crashes = append(v.Crashes, Crash{Endpoint: rapid.Uint32Range(1, 6).Draw(t, "endpoint"), Request: rapid.Uint32Range(1, 3).Draw(t, "request"), Age: time.Duration(rapid.IntRange(0, 5).Draw(t, "age"))})
	}
	for range rapid.IntRange(0, 3).Draw(t, "cancellations") {
		v.Cancelled = MergeCancelled(v.Cancelled, []uint32{rapid.Uint32Range(1, 6).Draw(t, "cancelled")})
	}
	return Merge(v, Verdict{}, stands) // in the form in which verdicts are stored
}

// Guards against verdicts that depend on the order or the number of writes, and against one that stands by a crash that
// was cancelled.
func TestVerdictsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawVerdict(t), drawVerdict(t)
		merged, reversed := Merge(a, b, stands), Merge(b, a, stands)
		slices.Sort(merged.Cancelled)
		slices.Sort(reversed.Cancelled)
		if !reflect.DeepEqual(merged, reversed) {
			t.Fatalf("%+v merged with %+v: %+v or %+v", a, b, merged, reversed)
		}
		if again := Merge(merged, a, stands); !reflect.DeepEqual(again, merged) {
			t.Fatalf("merged again: %+v, before %+v", again, merged)
		}
		for _, c := range merged.Crashes {
			if slices.Contains(a.Cancelled, c.Endpoint) || slices.Contains(b.Cancelled, c.Endpoint) {
				t.Fatalf("endpoint %d counts and is cancelled", c.Endpoint)
			}
		}
		if !stands(merged.Crashes) && (merged.Trials > 0 || merged.Confirmed) {
			t.Fatalf("trials of a verdict that does not stand: %+v", merged)
		}
	})
}
