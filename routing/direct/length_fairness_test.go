package direct

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lengthLoad records outcomes of 100 prompts of 1,000 to 100,000 tokens; of the longest tenth,
// largestAdmitted are admitted, of the others all.
func lengthLoad(l *LoadTracker, largestAdmitted int) {
	for i := range 100 {
		l.RecordOutcome(testNow, LengthOutcome{Route: 7, Tokens: 1000 * (i + 1), Admitted: i < 90+largestAdmitted})
	}
}

// Guards against longest prompts that are hardly ever served under high load, because shorter ones
// keep the backlog above what they can wait for.
func TestTheLongestPromptsArePreferredWhileTheyArePassedOver(t *testing.T) {
	for _, c := range []struct {
		largestAdmitted, tokens int
		want                    bool
	}{
		{0, 91_000, true},
		{4, 91_000, true},
		{4, 97_000, true},
		{4, 100_000, false}, // the shorter ones first
		{0, 90_000, false},  // not among the longest
		{6, 91_000, true},   // 0.63 of the rate of all
		{7, 91_000, false},
		{10, 91_000, false},
	} {
		is := is.New(t)
		p := newPolicy(1)
		lengthLoad(p.tracker, c.largestAdmitted)
		is.Equal(p.PassedOver(testNow, 7, c.tokens), c.want)
		is.Equal(p.PassedOver(testNow, 8, c.tokens), false)                      // another route
		is.Equal(p.PassedOver(testNow.Add(outcomeWindow+1), 7, c.tokens), false) // too long ago
	}
	preferred, other := Request{PassedOver: true}, Request{}
	is.New(t).True(preferred.maxDelayed() > other.maxDelayed())
}

// Guards against entries that each see too few long prompts to notice that the longest are refused.
func TestOutcomesAreReportedOnceAndMerged(t *testing.T) {
	is := is.New(t)
	reporting, receiving := NewLoadTracker(), newPolicy(1)
	lengthLoad(reporting, 0)
	reports := 0
	for reported := reporting.TakeOutcomes(64); len(reported) > 0; reported = reporting.TakeOutcomes(64) {
		reports += len(reported)
		receiving.tracker.MergeOutcomes(testNow, reported)
	}
	is.Equal(reports, 100)
	is.True(receiving.PassedOver(testNow, 7, 95_000))
	is.Equal(len(receiving.tracker.TakeOutcomes(64)), 0) // what others reported is not passed on
}

// Guards against prompts that count as refused several times because their callers return.
func TestARefusedPromptThatReturnsCountsOnce(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker()
	for range 3 {
		l.RecordOutcome(testNow, LengthOutcome{Route: 7, Tokens: 50_001})
	}
	l.RecordOutcome(testNow, LengthOutcome{Route: 7, Tokens: 50_001, Admitted: true})
	is.Equal(len(*l.outcomes[7]), 1)
	is.True((*l.outcomes[7])[0].Admitted)
}

// Guards against an outcome that is lost because it updates one of the same length that has expired.
func TestAnExpiredOutcomeIsNotUpdated(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker()
	l.RecordOutcome(testNow, LengthOutcome{Route: 7, Tokens: 50_001})
	later := testNow.Add(outcomeWindow + time.Second)
	l.RecordOutcome(later, LengthOutcome{Route: 7, Tokens: 50_001})
	is.Equal(*l.outcomes[7], routeOutcomes{{later, LengthOutcome{Route: 7, Tokens: 50_001}}})
}

// Guards against unbounded memory when routes change and many prompts arrive.
func TestOutcomesAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker()
	for i := range 3 * maxOutcomeRoutes {
		l.RecordOutcome(testNow.Add(time.Duration(i)*time.Millisecond), LengthOutcome{Route: RouteHash(i), Tokens: 1})
		l.RecordOutcome(testNow, LengthOutcome{Route: 1, Tokens: i})
	}
	is.True(len(l.outcomes) <= maxOutcomeRoutes)
	is.True(len(*l.outcomes[1]) <= maxOutcomes)
	is.True(len(l.unreportedOutcomes) <= maxUnreportedOutcomes)
}

// A decision of a route with a full window of outcomes.
func BenchmarkPassedOver(b *testing.B) {
	p := newPolicy(1)
	lengthLoad(p.tracker, 4)
	for b.Loop() {
		p.PassedOver(testNow, 7, 95_000)
	}
}
