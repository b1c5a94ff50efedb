package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a drain with a short timeout that ends before its requests have been answered.
func TestTheTimesOfADrainAreInOrder(t *testing.T) {
	for _, limit := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 5 * time.Second, time.Minute} {
		t.Run(limit.String(), func(t *testing.T) {
			is := is.New(t)
			times := drainTimesFor(limit)
			is.True(0 < times.accept && times.accept < times.due)
			is.True(times.due < times.closing && times.closing < times.stop)
			is.True(times.stop < limit)
		})
	}
}
