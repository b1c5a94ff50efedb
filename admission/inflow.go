package admission

import (
	"math"
	"time"
)

// arrivalRateWindow is the time over which the inflow is averaged: long enough to see
// past one prompt, short enough to follow a burst.
const arrivalRateWindow = 10 * time.Second

// arrivalRates averages the prefill tokens a second that arrive, by level, with
// exponentially falling weight.
type arrivalRates struct {
	rates     [LevelCount]float64
	updatedAt time.Time
}

func (f *arrivalRates) add(now time.Time, level Level, tokens int) {
	f.decay(now)
	f.rates[level] += float64(tokens) / arrivalRateWindow.Seconds()
}

func (f *arrivalRates) decay(now time.Time) {
	if passed := now.Sub(f.updatedAt); passed > 0 {
		factor := math.Exp(-passed.Seconds() / arrivalRateWindow.Seconds())
		for level := range f.rates {
			f.rates[level] *= factor
		}
		f.updatedAt = now
	}
}

// moreUrgentThan is the inflow of all levels that go moreUrgentThan a level, without its own.
func (f *arrivalRates) moreUrgentThan(now time.Time, level Level) float64 {
	f.decay(now)
	sum := 0.0
	for l := Level(0); l < level; l++ {
		sum += f.rates[l]
	}
	return sum
}
