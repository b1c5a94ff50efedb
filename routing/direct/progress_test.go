package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against engines that look busy until the first token of a prompt that they are nearly done with.
func TestWhatIsLeftToPrefillCountsDown(t *testing.T) {
	is := is.New(t)
	p := policy(1)
	plan := p.Place(testNow, prompt(150_000), endpoints(20))
	charge := p.ledger.Begin(testNow, plan)
	whole := p.ledger.Demands(testNow)[0].PendingPrefill
	is.Equal(whole, plan.PartPrefill*time.Duration(1+len(plan.Helpers)))
	half := p.ledger.Demands(testNow.Add(plan.ExpectedFirstToken / 2))[0].PendingPrefill
	is.True(half > whole*4/10 && half < whole*6/10)
	late := testNow.Add(time.Minute)
	is.True(p.ledger.Demands(late)[0].PendingPrefill > 0) // its first token has not come
	for _, o := range p.ledger.Loads(late) {
		is.True(o.PendingPrefill > 0 && o.PendingPrefill < plan.PartPrefill)
	}
	charge.FinishPrefill()
	is.Equal(p.ledger.Demands(late)[0].PendingPrefill, time.Duration(0))
	for _, o := range p.ledger.Loads(late) {
		is.Equal(o.PendingPrefill, time.Duration(0))
	}
}

// Whatever begins and ends when, what is left is that of the parts, and nothing in the end.
func TestWhatIsLeftIsThatOfTheParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, list, now := policy(rapid.Uint64().Draw(t, "seed")), endpoints(20), testNow
		var open []*RequestLoad
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch {
			case len(open) > 0 && rapid.Bool().Draw(t, "ends"):
				last := len(open) - 1
				open[last].End()
				open = open[:last]
			default:
				tokens := rapid.IntRange(1000, 400_000).Draw(t, "tokens")
				open = append(open, p.ledger.Begin(now, p.Place(now, prompt(tokens), list)))
			}
			checkLeft(t, p.ledger, now, open)
		}
		for _, c := range open {
			c.End()
		}
		checkLeft(t, p.ledger, now, nil)
	})
}

// checkLeft compares what a ledger says with the parts of what is open.
func checkLeft(t *rapid.T, l *LoadTracker, now time.Time, open []*RequestLoad) {
	var told, parts, reading time.Duration
	for _, o := range l.Loads(now) {
		told += o.PendingPrefill
	}
	for _, c := range open {
		for _, p := range c.parts {
			parts += p.prefill
			if c.long {
				reading += p.prefill
			}
		}
	}
	if told != parts || l.reading["m"] != reading {
		t.Fatalf("left: %v told, %v of long prompts, parts %v and %v", told, l.reading["m"], parts, reading)
	}
}
