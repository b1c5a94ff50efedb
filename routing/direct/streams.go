package direct

import (
	"math"
	"slices"
	"time"
)

// pauseLimits are the pauses between events that define the classes in which requests in
// flight are counted. A request counts in the class of the longest limit that its route
// allows. The first class holds requests of which nothing is known, the last those whose
// routes allow any pause.
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

// StreamCounts counts the requests in flight at an endpoint by the class of the pause that
// they allow, see PauseClass.
type StreamCounts [pauseClasses]int16

// PauseClass returns the class of the longest pause that a route allows between two events;
// 0: any pause.
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

// plus returns the sum of two counts.
func (s StreamCounts) plus(other StreamCounts) StreamCounts {
	for i := range s {
		s[i] += other[i]
	}
	return s
}

// minus returns the difference of two counts.
func (s StreamCounts) minus(other StreamCounts) StreamCounts {
	for i := range s {
		s[i] -= other[i]
	}
	return s
}

// times returns the counts multiplied by a factor, each rounded.
func (s StreamCounts) times(factor float64) StreamCounts {
	for i := range s {
		s[i] = int16(math.Round(float64(s[i]) * factor))
	}
	return s
}

// delayedBy returns the number of requests whose routes do not allow the pause.
func (s StreamCounts) delayedBy(pause time.Duration) int {
	sum := 0
	for i, n := range s {
		if pauseLimits[i] < pause {
			sum += int(n)
		}
	}
	return sum
}
