package direct

import (
	"math"
	"slices"
	"time"
)

// pauseLimits are the pauses between events by which open requests are counted: each counts
// under the longest that its route allows at least. Under the first count those of which
// nothing is known, under the last those whose routes allow any.
var pauseLimits = [pauseClasses]time.Duration{
	0, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond,
	300 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond,
	800 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, anyPause,
}

const (
	pauseClasses = 14
	// anyPause stands for no limit: no part of a prompt takes as long.
	anyPause = time.Hour
)

// StreamCounts counts the requests that are open at an endpoint by the pause that they allow.
type StreamCounts [pauseClasses]int16

// PauseClass is the class of a pause that a route allows between two events; 0: it allows any.
func PauseClass(allowed time.Duration) int {
	if allowed <= 0 {
		return pauseClasses - 1
	}
	i, exact := slices.BinarySearch(pauseLimits[:], allowed)
	if exact {
		return i
	}
	return i - 1
}

// plus adds other counts.
func (s StreamCounts) plus(other StreamCounts) StreamCounts {
	for i := range s {
		s[i] += other[i]
	}
	return s
}

// minus takes other counts away.
func (s StreamCounts) minus(other StreamCounts) StreamCounts {
	for i := range s {
		s[i] -= other[i]
	}
	return s
}

// times scales the counts.
func (s StreamCounts) times(factor float64) StreamCounts {
	for i := range s {
		s[i] = int16(math.Round(float64(s[i]) * factor))
	}
	return s
}

// delayedBy is how many of them allow no pause of such a length.
func (s StreamCounts) delayedBy(pause time.Duration) int {
	sum := 0
	for i, n := range s {
		if pauseLimits[i] < pause {
			sum += int(n)
		}
	}
	return sum
}
