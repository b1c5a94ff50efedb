package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
)

var limitStart = time.Unix(1000, 0)

// at returns the time a number of seconds after limitStart.
func at(seconds float64) time.Time {
	return limitStart.Add(time.Duration(seconds * float64(time.Second)))
}

// limitsOf returns the limits of the only entry.
func limitsOf(name string, others ...string) *EndpointLimits {
	l := NewEndpointLimits()
	l.SetEntries(at(0), name, append(others, name))
	return l
}

// takeFor takes all that the limits allow at an endpoint from one time to another, and returns when.
func takeFor(l *EndpointLimits, endpoint EndpointHash, from, to float64) []time.Time {
	var taken []time.Time
	for now := at(from); now.Before(at(to)); now = now.Add(10 * time.Millisecond) {
		for l.Take(now, endpoint) {
			taken = append(taken, now)
		}
	}
	return taken
}

// Guards against responses that overtake each other: a response that was under way before the limit
// was named must not end it, and a higher limit must not replace a lower one that is perhaps newer.
func TestOnlyANewerResponseLoosensALimit(t *testing.T) {
	is := is.New(t)
	l := limitsOf("a")
	_, changed := l.Observe(at(10), 1, at(9), true, 2)
	is.True(changed)
	_, changed = l.Observe(at(11), 1, at(8.5), false, 0) // sent before the limit was known
	is.True(!changed)
	_, changed = l.Observe(at(11.5), 1, at(9.5), true, 5)
	is.True(!changed)
	change, changed := l.Observe(at(12), 1, at(9.5), true, 1) // stricter
	is.True(changed)
	is.Equal(change, LimitChange{1, true, 1})
	_, changed = l.Observe(at(14), 1, at(13), true, 3)
	is.True(changed)
	change, changed = l.Observe(at(16), 1, at(15), false, 0)
	is.True(changed)
	is.Equal(change, LimitChange{1, false, 3})
	is.True(!l.Limited(at(16), 1))
	is.Equal(l.Merge(at(17), 0, []LimitReport{{1, true, 3, 4 * time.Second, 3 * time.Second}}), nil) // from before its end
	is.Equal(len(l.Merge(at(17), 0, []LimitReport{{1, true, 4, 800 * time.Millisecond, 500 * time.Millisecond}})), 1)
}

// Guards against an entry that learns of a limit only from the endpoint's own response.
func TestLimitsAreReportedToOtherEntries(t *testing.T) {
	is := is.New(t)
	a, b, c := limitsOf("a", "b", "c"), limitsOf("b", "a", "c"), limitsOf("c", "a", "b")
	a.Observe(at(0), 1, at(-1), true, 1.3)
	reports := a.Reports(at(0.1), false, 64) // a change is part of partial heartbeats
	is.Equal(len(b.Merge(at(0.1), 0, reports)), 1)
	is.True(b.Limited(at(0.1), 1))
	is.Equal(len(b.Merge(at(0.2), 0, a.Reports(at(0.2), true, 64))), 0) // known already
	is.Equal(len(b.Reports(at(2), false, 64)), 0)
	is.Equal(len(c.Merge(at(2), 0, b.Reports(at(2), true, 64))), 1) // a has ended; b passes it on
	is.Equal(c.Totals(at(2)).PerSecond, 1.3)
	a.Observe(at(3), 1, at(2.5), false, 0)
	is.Equal(len(c.Merge(at(3), 0, a.Reports(at(3), false, 64))), 1)
	is.True(!c.Limited(at(3), 1))
}

// Guards against a limit that comes back after its end from an entry that was cut off meanwhile.
func TestAnEndedLimitIsNotRevivedByOldReports(t *testing.T) {
	is := is.New(t)
	a, b := limitsOf("a", "b"), limitsOf("b", "a")
	a.Observe(at(0), 1, at(-1), true, 1)
	b.Merge(at(0), 0, a.Reports(at(0), true, 64))
	a.Observe(at(5), 1, at(4), false, 0)
	is.Equal(len(a.Merge(at(20), 0, b.Reports(at(20), true, 64))), 0)
	is.Equal(len(a.Merge(at(70), 0, []LimitReport{{2, true, 1, 62 * time.Second, 61 * time.Second}})), 0) // its end may be forgotten
	a.Prune(at(80), func(EndpointHash) bool { return true })
	is.True(a.Empty())
	is.Equal(len(a.Merge(at(80), 0, b.Reports(at(80), true, 64))), 0) // too old to be told or used
}

// Guards against reports that wait while the receiver is suspended and then seem to be newer than
// what it knows.
func TestLateReportsCountFromWhenTheyWereSent(t *testing.T) {
	is := is.New(t)
	l := limitsOf("a", "b")
	l.Observe(at(0), 1, at(-1), true, 1)
	ended := []LimitReport{{1, false, 0, 200 * time.Millisecond, 100 * time.Millisecond}} // sent at -3
	is.Equal(len(l.Merge(at(7), 10*time.Second, ended)), 0)
	is.True(l.Limited(at(7), 1))
}

// Guards against a statement that seems to be newer each time that entries pass it on, so that its
// end is taken for older.
func TestAStatementAgesWhileEntriesPassItOn(t *testing.T) {
	is := is.New(t)
	a, b := limitsOf("a", "b"), limitsOf("b", "a")
	a.Observe(at(0), 1, at(-1), true, 1)
	for round := range 60 {
		now := float64(round) / 5
		b.Merge(at(now+0.1), 0, a.Reports(at(now), true, 64)) // 100 ms under way
		a.Merge(at(now+0.2), 0, b.Reports(at(now+0.1), true, 64))
	}
	_, changed := a.Observe(at(12), 1, at(1), false, 0)
	is.True(changed)
}

// Guards against reports that do not fit a heartbeat, and against limits that are never told because
// others come first.
func TestManyLimitsAreReportedInTurns(t *testing.T) {
	is := is.New(t)
	a, b := limitsOf("a", "b"), limitsOf("b", "a")
	for e := range EndpointHash(100) {
		a.Observe(at(0), e, at(-1), true, 1)
	}
	for second := range 10 {
		now := at(1 + float64(second)/10)
		reports := a.Reports(now, true, 16)
		is.Equal(len(reports), 16)
		b.Merge(now, 0, reports)
	}
	is.Equal(b.Totals(at(2)).Endpoints, 100)
}

// Guards against a total that grows with the number of entries, also where each entry's part is far
// below one request in a window, and against a limit of which little can be used.
func TestEntriesTogetherUseALimitAndKeepIt(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		entries   int
	}{{1, 4}, {2, 68}, {5, 300}, {0.2, 4}, {0, 4}, {30, 4}, {1000, 68}, {0.9, 1}, {3, 3800}} {
		t.Run(fmt.Sprint(c.perSecond, " over ", c.entries), func(t *testing.T) {
			is := is.New(t)
			names := make([]string, c.entries)
			for i := range names {
				names[i] = fmt.Sprint("n", i)
			}
			var taken, afterIdle []time.Time
			for _, name := range names {
				l := limitsOf(name, names...)
				l.Observe(at(0), 7, at(-1), true, c.perSecond)
				if l.Totals(at(0)).SharePerSecond == 0 {
					is.True(!l.Take(at(30), 7))
					continue
				}
				takeFor(l, 7, 0, 1) // the first second shows no steady use
				taken = append(taken, takeFor(l, 7, 1, 61)...)
				afterIdle = append(afterIdle, takeFor(l, 7, 161, 165)...)
			}
			allowed := 1.5*4*c.perSecond + 5
			is.True(float64(maxWithin(taken, 4*time.Second)) <= allowed)
			is.True(float64(maxWithin(afterIdle, 4*time.Second)) <= allowed)
			rate := float64(len(taken)) / 60
			is.True(rate <= max(c.perSecond, minLimitRate)*1.1)
			is.True(rate >= max(c.perSecond, minLimitRate)*0.8)
		})
	}
}

// maxWithin returns the largest number of times within any span of the given length.
func maxWithin(times []time.Time, span time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a burst after an idle spell, after all entries were restarted at once, and as the
// holders change with the entries.
func TestBurstsStayWithinALimit(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d"}
	var taken []time.Time
	for _, name := range names {
		l := limitsOf(name, names...)
		l.Observe(at(0), 7, at(-1), true, 1)
		taken = append(taken, takeFor(l, 7, 60, 64)...) // idle for a minute
		restarted := limitsOf(name, names...)
		restarted.Observe(at(64), 7, at(63.9), true, 1)
		taken = append(taken, takeFor(restarted, 7, 64, 68)...)
		restarted.SetEntries(at(68), name, []string{"a", "b"})
		if name == "a" || name == "b" {
			taken = append(taken, takeFor(restarted, 7, 68, 80)...)
			restarted.SetEntries(at(80), name, []string{"a", "b"})
			taken = append(taken, takeFor(restarted, 7, 80, 100)...)
		}
	}
	is.True(maxWithin(taken, 4*time.Second) <= 11)
}

// The allowance of a request that was not sent can be used by another one.
func TestAnUnsentRequestGivesItsAllowanceBack(t *testing.T) {
	is := is.New(t)
	l := limitsOf("a")
	l.Observe(at(0), 1, at(-1), true, 1)
	is.True(l.Take(at(1), 1))
	is.True(!l.Take(at(1), 1))
	l.GiveBack(at(1), 1)
	is.True(l.Take(at(1), 1))
	is.True(l.Take(at(1), 2)) // an endpoint without a limit
}

// Guards against limits that outlive their endpoint, and against a new incarnation that inherits one.
func TestLimitsEndWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	l := limitsOf("a")
	old, next := HashEndpoint(directory.Incarnation{ID: "e", StartUnixMilli: 1}), HashEndpoint(directory.Incarnation{ID: "e", StartUnixMilli: 2})
	l.Observe(at(0), old, at(-1), true, 1)
	is.True(!l.Limited(at(1), next))
	l.Prune(at(1), func(h EndpointHash) bool { return h == next })
	is.True(!l.Empty()) // perhaps the list is behind
	l.Prune(at(10), func(h EndpointHash) bool { return h == next })
	is.True(l.Empty())
}

// The number of holders never exceeds what the tolerated window allows, and every entry holds a share
// of a limit above the number of entries.
func TestHolders(t *testing.T) {
	is := is.New(t)
	is.Equal(admission.Holders(1, 4), 4)
	is.Equal(admission.Holders(1, 68), 4)
	is.Equal(admission.Holders(0, 68), 3)
	is.Equal(admission.Holders(5, 300), 8)
	is.Equal(admission.Holders(1e9, 300), 300)
	is.Equal(admission.Holders(1, 1), 1)
	is.Equal(admission.Holders(1, 0), 1)
}
