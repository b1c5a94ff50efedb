package admission

import (
	"math"
	"time"
)

// inflowWindow is the time over which the inflow is averaged: long enough to see
// past one prompt, short enough to follow a burst.
const inflowWindow = 10 * time.Second

// inflow averages the prefill tokens a second that arrive, by level, with
// exponentially falling weight.
type inflow struct {
	rates [LevelCount]float64
	at    time.Time
}

func (f *inflow) add(now time.Time, level Level, tokens int) {
	f.decay(now)
	f.rates[level] += float64(tokens) / inflowWindow.Seconds()
}

func (f *inflow) decay(now time.Time) {
	if passed := now.Sub(f.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / inflowWindow.Seconds())
		for level := range f.rates {
			f.rates[level] *= factor
		}
		f.at = now
	}
}

// before is the inflow of all levels that go before a level, without its own.
func (f *inflow) before(now time.Time, level Level) float64 {
	f.decay(now)
	sum := 0.0
	for l := Level(0); l < level; l++ {
		sum += f.rates[l]
	}
	return sum
}
