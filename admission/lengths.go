package admission

import "math"

const (
	// lengthMemory is the number of requests over which the distribution of a kind's lengths is
	// averaged: enough for a stable estimate of the longest tenth, few enough to follow a change of
	// the kind's requests within minutes.
	lengthMemory = 100
	// firstLogDeviation is the standard deviation of the logarithm that is assumed before there
	// are requests to tell it.
	firstLogDeviation = 0.5
	// ninthDecile is the 0.9 quantile of the standard normal distribution.
	ninthDecile = 1.2816
)

// lengths estimates from which length on a request is in the longest tenth of its kind. It assumes
// that lengths have a log-normal distribution.
type lengths struct {
	count          float64
	mean, variance float64
}

// observe adds a request's length, in any unit that is the same for all requests of the kind.
func (l *lengths) observe(length float64) {
	x := math.Log(max(length, math.SmallestNonzeroFloat64))
	if l.count == 0 {
		l.mean, l.variance = x, firstLogDeviation*firstLogDeviation
	}
	l.count = min(l.count+1, lengthMemory)
	difference := x - l.mean
	l.mean += difference / (l.count + 1)
	l.variance += (difference*difference - l.variance) / (l.count + 1)
}

// longestTenth returns the length from which on a request is in the longest tenth; 0 while no
// request was observed.
func (l *lengths) longestTenth() float64 {
	if l.count == 0 {
		return 0
	}
	return math.Exp(l.mean + ninthDecile*math.Sqrt(l.variance))
}
