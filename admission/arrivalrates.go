package admission

import (
	"math"
	"time"
)

// arrivalRateWindow is the time constant of the averaged arrival rates: long enough to
// smooth out a single prompt, short enough to follow a burst.
const arrivalRateWindow = 10 * time.Second

// arrivalRates keeps an exponentially weighted average of the prefill tokens that
// arrive per second, by level.
type arrivalRates struct {
	rates     [LevelCount]float64
	updatedAt time.Time
}

func (a *arrivalRates) add(now time.Time, level Level, tokens int) {
	a.decay(now)
	a.rates[level] += float64(tokens) / arrivalRateWindow.Seconds()
}

func (a *arrivalRates) decay(now time.Time) {
	if passed := now.Sub(a.updatedAt); passed > 0 {
		factor := math.Exp(-passed.Seconds() / arrivalRateWindow.Seconds())
		for level := range a.rates {
			a.rates[level] *= factor
		}
		a.updatedAt = now
	}
}

// moreUrgentThan returns the arrival rate, in tokens per second, of all levels that go
// before the given one, which is not included.
func (a *arrivalRates) moreUrgentThan(now time.Time, level Level) float64 {
	a.decay(now)
	sum := 0.0
	for l := Level(0); l < level; l++ {
		sum += a.rates[l]
	}
	return sum
}
