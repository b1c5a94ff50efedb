package direct

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testEngines = 20

// mixOf records arrivals of both kinds at constant intervals from one time to another, and ends the
// short streams after a second and a half.
func mixOf(l *LoadTracker, from, to time.Time, longEvery, shortEvery time.Duration) {
	prefill := PrefillTime(siteEngine(), 150_000)
	for at := from; at.Before(to); at = at.Add(10 * time.Millisecond) {
		elapsed := at.Sub(from)
		if longEvery > 0 && elapsed%longEvery == 0 {
			l.demand("m").addLong(at, prefill)
		}
		if shortEvery > 0 && elapsed%shortEvery == 0 {
			l.demand("m").addShort(at, 150*time.Millisecond)
		}
	}
	l.shortInFlight["m"] = 0
	if shortEvery > 0 {
		l.shortInFlight["m"] = int(1500 * time.Millisecond / shortEvery)
	}
}

// boundaryOf is the division that an entry chooses which knows another entry's demand only.
func boundaryOf(now time.Time, l *LoadTracker) int {
	p := policyWithRank(0, 2)
	p.tracker.ReplacePeerLoad(now, "b", l.Demands(now), nil)
	return p.ShortEngines(now, service(), testEngines)
}

// Guards against a division that follows a change of the mix only after the window of three seconds:
// the long prompts of the previous mix keep engines that are idle, and a burst of short prompts is
// placed on the engines of the previous mix until its streams are in flight.
func TestTheDivisionFollowsAChangeOfTheMix(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker()
	turn := testNow.Add(10 * time.Second)
	mixOf(l, testNow, turn, 50*time.Millisecond, 100*time.Millisecond)
	is.True(boundaryOf(turn, l) <= testEngines/5)
	now := turn.Add(time.Second)
	mixOf(l, turn, now, 0, 10*time.Millisecond)
	l.shortInFlight["m"] = 60 // of 150, the others have not arrived yet
	is.True(boundaryOf(now, l) >= testEngines/2)
}

// Guards against long prompts that wait for seconds on few engines when no more of them arrive.
func TestEnginesAreKeptForTheBacklogOfLongPrompts(t *testing.T) {
	is := is.New(t)
	l := NewLoadTracker()
	turn := testNow.Add(10 * time.Second)
	mixOf(l, testNow, turn, 50*time.Millisecond, 100*time.Millisecond)
	now := turn.Add(time.Second)
	mixOf(l, turn, now, 0, 10*time.Millisecond)
	without := l.totalDemand(now, "m").LongPrefill
	l.queuedPrefill["m"] = time.Minute
	is.True(l.totalDemand(now, "m").LongPrefill > without)
	is.Equal(l.totalDemand(now, "m").LongPrefill, l.ownDemand(now, "m").LongPrefill)
}

// Guards against a division that follows the noise of a steady mix, and one that misses a change.
func TestOnlySignificantChangesOfTheArrivalsCount(t *testing.T) {
	at := func(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }
	const now = 10_000
	for _, c := range []struct {
		name     string
		arrivals []int // in ms
		changed  bool
	}{
		{"none", nil, false},
		{"five at once", []int{9900, 9900, 9900, 9900, 9900}, false},
		{"a pause of few", []int{7100, 7300, 7500, 7700, 7900, 8100, 8300, 8500, 8700}, false},
		{"an end of many", []int{7050, 7150, 7250, 7350, 7450, 7550, 7650, 7750, 7850, 7950, 8050, 8150, 8250, 8350, 8450, 8550}, true},
		{"a burst", []int{7500, 9600, 9650, 9700, 9750, 9800, 9850, 9900, 9950, 9950, 9950}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &demand{since: at(0)}
			for _, ms := range c.arrivals {
				d.addLong(at(ms), time.Second)
			}
			long, _ := d.sums(at(now))
			is.Equal(long.change() != 1, c.changed)
		})
	}
}

// Guards against counting all arrivals of an entry that has just started as a rise, and those of an
// entry of an earlier version, which reports no recent ones, as a fall.
func TestArrivalsOfUnknownDistributionCountAsSteady(t *testing.T) {
	is := is.New(t)
	started := NewLoadTracker()
	mixOf(started, testNow, testNow.Add(time.Second), 20*time.Millisecond, 10*time.Millisecond)
	now := testNow.Add(time.Second)
	own := started.ownDemand(now, "m")
	is.Equal(own.Long.change(), 1.0)
	is.Equal(own.Short.change(), 1.0)

	l := NewLoadTracker()
	l.ReplacePeerLoad(now, "earlier", []Demand{{Service: "m", LongPrefill: time.Hour, Long: Arrivals{EngineTime: time.Hour}}}, nil)
	l.ReplacePeerLoad(now, "b", []Demand{own}, nil)
	is.Equal(l.totalDemand(now, "m").LongPrefill, time.Hour+own.LongPrefill)
}

// The sums of a window are those of the arrivals in it. Those that are summed with others may leave it
// early, by at most shortArrivalInterval.
func TestTheSumsOfAWindowAreThoseOfItsArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type one struct {
			at time.Time
			d  time.Duration
		}
		var w arrivalWindow
		var all []one
		now := testNow
		interval := rapid.SampledFrom([]time.Duration{0, shortArrivalInterval}).Draw(t, "interval")
		for range rapid.IntRange(1, 60).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			a := one{now, time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond}
			all = append(all, a)
			w.add(a.at, a.d, interval)
		}
		w.expire(now)
		got := w.sums(now)
		within := func(period time.Duration) (sum time.Duration, squares float64) {
			for _, a := range all {
				if now.Sub(a.at) <= period {
					sum += a.d
					squares += a.d.Seconds() * a.d.Seconds()
				}
			}
			return sum, squares
		}
		check := func(name string, period, sum time.Duration, squares float64) {
			most, mostSquares := within(period)
			least, leastSquares := within(period - interval)
			const rounding = 1e-6
			if sum < least || sum > most || squares < leastSquares-rounding || squares > mostSquares+rounding || math.IsNaN(squares) {
				t.Fatalf("%s: %v, %v; want %v to %v, %v to %v", name, sum, squares, least, most, leastSquares, mostSquares)
			}
		}
		check("window", demandWindow, got.EngineTime, got.Squares)
		check("recent", recentWindow, got.Recent, got.RecentSquares)
	})
}

// BenchmarkDivision measures a decision on the division with 100 other entries heard, as among 3,800.
func BenchmarkDivision(b *testing.B) {
	l := NewLoadTracker()
	now := testNow.Add(10 * time.Second)
	mixOf(l, testNow, now, 200*time.Millisecond, 10*time.Millisecond)
	p := policyWithRank(0, 3800)
	for i := range 100 {
		p.tracker.ReplacePeerLoad(now, string(rune('a'+i)), l.Demands(now), nil)
	}
	s := service()
	for b.Loop() {
		p.ShortEngines(now, s, 10_000)
	}
}
