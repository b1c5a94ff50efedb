package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against engines that look fully busy until the first token of a prompt whose
// prefill is nearly done.
func TestPendingPrefillDecreases(t *testing.T) {
	is := is.New(t)
	p := newPolicy(1)
	plan := p.Place(testNow, prompt(150_000), endpoints(20))
	request := p.tracker.Begin(testNow, plan)
	full := p.tracker.Demands(testNow)[0].PendingPrefill
	is.Equal(full, plan.PartPrefill*time.Duration(1+len(plan.Helpers)))
	half := p.tracker.Demands(testNow.Add(plan.ExpectedFirstToken / 2))[0].PendingPrefill
	is.True(half > full*4/10 && half < full*6/10)
	late := testNow.Add(time.Minute)
	is.True(p.tracker.Demands(late)[0].PendingPrefill > 0) // its first token has not arrived
	for _, load := range p.tracker.Loads(late) {
		is.True(load.PendingPrefill > 0 && load.PendingPrefill < plan.PartPrefill)
	}
	request.FinishPrefill()
	is.Equal(p.tracker.Demands(late)[0].PendingPrefill, time.Duration(0))
	for _, load := range p.tracker.Loads(late) {
		is.Equal(load.PendingPrefill, time.Duration(0))
	}
}

// Whichever requests start and end, and whenever they do, the pending prefill is the sum of
// their parts, and zero in the end.
func TestPendingPrefillIsTheSumOfTheParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, list, now := newPolicy(rapid.Uint64().Draw(t, "seed")), endpoints(20), testNow
		var requests []*RequestLoad
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch {
			case len(requests) > 0 && rapid.Bool().Draw(t, "ends"):
				last := len(requests) - 1
				requests[last].End()
				requests = requests[:last]
			default:
				tokens := rapid.IntRange(1000, 400_000).Draw(t, "tokens")
				requests = append(requests, p.tracker.Begin(now, p.Place(now, prompt(tokens), list)))
			}
			checkPending(t, p.tracker, now, requests)
		}
		for _, r := range requests {
			r.End()
		}
		checkPending(t, p.tracker, now, nil)
	})
}

// checkPending compares the pending prefill of a tracker with the parts of the requests in
// flight.
func checkPending(t *rapid.T, l *LoadTracker, now time.Time, requests []*RequestLoad) {
	var reported, parts, longPrefill time.Duration
	for _, load := range l.Loads(now) {
		reported += load.PendingPrefill
	}
	for _, r := range requests {
		for _, p := range r.parts {
			parts += p.prefill
			if r.long {
				longPrefill += p.prefill
			}
		}
	}
	if reported != parts || l.pendingPrefill["m"] != longPrefill {
		t.Fatalf("pending prefill: %v reported, %v of long prompts, parts %v and %v", reported, l.pendingPrefill["m"], parts, longPrefill)
	}
}
