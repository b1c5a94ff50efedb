package direct

import (
	"math"
	"time"
)

const (
	// recentWindow is the last part of demandWindow. A mix of lengths that has changed shows in
	// it before it shows in the whole window.
	recentWindow = time.Second
	// minDeviation is the number of standard deviations by which the arrivals in recentWindow must
	// differ from the earlier ones to count as a change. Without it the division follows the noise
	// of a steady mix: with a handful of long prompts a second it moves by several engines.
	minDeviation = 2.5
	// backlogHorizon is the time in which the engines for long prompts must be able to work off
	// what is pending and queued. Engines are kept for it after long prompts have ceased to arrive.
	backlogHorizon = time.Second
	// shortArrivalInterval is the time over which arrivals of short prompts are summed. There may
	// be hundreds a second, and each decision adds up all of a window.
	shortArrivalInterval = 100 * time.Millisecond
)

// arrival is one arrival, or the sum of several that follow each other closely.
type arrival struct {
	at time.Time
	// engineTime is the engine time, squares the sum of the squares of each arrival's, in seconds
	// squared.
	engineTime time.Duration
	squares    float64
}

// arrivalWindow holds the arrivals of one kind of prompt in the last demandWindow.
type arrivalWindow struct {
	arrivals []arrival
	total    time.Duration
}

// add adds an arrival. Those that follow the first by less than the interval are summed with it.
func (w *arrivalWindow) add(now time.Time, engineTime, interval time.Duration) {
	w.expire(now)
	w.total += engineTime
	squares := engineTime.Seconds() * engineTime.Seconds()
	if n := len(w.arrivals); n > 0 && now.Sub(w.arrivals[n-1].at) < interval {
		last := &w.arrivals[n-1]
		last.engineTime += engineTime
		last.squares += squares
		return
	}
	w.arrivals = append(w.arrivals, arrival{now, engineTime, squares})
}

func (w *arrivalWindow) expire(now time.Time) {
	for len(w.arrivals) > 0 && now.Sub(w.arrivals[0].at) > demandWindow {
		w.total -= w.arrivals[0].engineTime
		w.arrivals = w.arrivals[1:]
	}
}

// sums returns the sums over the window.
func (w *arrivalWindow) sums(now time.Time) Arrivals {
	s := Arrivals{EngineTime: w.total}
	for _, a := range w.arrivals {
		s.Squares += a.squares
		if now.Sub(a.at) <= recentWindow {
			s.Recent += a.engineTime
			s.RecentSquares += a.squares
		}
	}
	return s
}

// Arrivals describes the arrivals of one kind of prompt, long or short.
type Arrivals struct {
	// EngineTime is the engine time of the arrivals in the last demandWindow, and Recent that of
	// those in the last recentWindow.
	EngineTime, Recent time.Duration
	// Squares and RecentSquares are the sums of the squares of these engine times, in seconds
	// squared. Squares is 0 where it is not known how the arrivals are distributed over the window.
	Squares, RecentSquares float64
}

// steady returns the arrivals as if they were distributed evenly over the window.
func (a Arrivals) steady() Arrivals {
	share := recentWindow.Seconds() / demandWindow.Seconds()
	a.Recent, a.RecentSquares = time.Duration(share*float64(a.EngineTime)), share*a.Squares
	return a
}

// larger returns the arrivals of more engine time.
func (a Arrivals) larger(other Arrivals) Arrivals {
	if other.EngineTime > a.EngineTime {
		return other
	}
	return a
}

// add adds the arrivals of another entry.
func (a *Arrivals) add(other Arrivals) {
	if other.Squares == 0 {
		other = other.steady()
	}
	a.EngineTime += other.EngineTime
	a.Recent += other.Recent
	a.Squares += other.Squares
	a.RecentSquares += other.RecentSquares
}

// change returns the recent rate of arrivals divided by their mean rate over demandWindow. It is 1
// unless the recent rate differs significantly from that of the earlier part of the window.
//
// The variance of a sum of independent arrivals is the sum of their squares. It is estimated from each
// part of the window by itself and, as if the rate had not changed, from the whole; the larger
// estimate counts. By the first, a few prompts that arrive at once are no rise; by the second, a
// pause in a few arrivals is no fall.
func (a Arrivals) change() float64 {
	if a.EngineTime <= 0 || a.Squares <= 0 {
		return 1
	}
	recent, window := recentWindow.Seconds(), demandWindow.Seconds()
	rate := a.Recent.Seconds() / recent
	earlierRate := (a.EngineTime - a.Recent).Seconds() / (window - recent)
	parts := a.RecentSquares/(recent*recent) + (a.Squares-a.RecentSquares)/((window-recent)*(window-recent))
	whole := a.Squares / window * (1/recent + 1/(window-recent))
	variance := max(parts, whole)
	if math.Abs(rate-earlierRate) <= minDeviation*math.Sqrt(variance) {
		return 1
	}
	return rate / (a.EngineTime.Seconds() / window)
}

// followChange adjusts the demand to a change of the mix of lengths.
//
// The demand of long prompts becomes that of the recent ones, but not less than is needed for those
// that wait. The number of short prompts in flight is raised to what it will be at their recent rate.
// It is not lowered after their rate has fallen: streams of the earlier mix still occupy slots, and
// without them more short streams paused for too long (docs/design/uneven-load.md).
func (d *Demand) followChange() {
	change := d.Long.change()
	if change < 1 {
		backlog := (d.PendingPrefill + d.QueuedPrefill).Seconds() / backlogHorizon.Seconds() * demandWindow.Seconds()
		change = max(change, min(backlog/d.LongPrefill.Seconds(), 1))
	}
	d.LongPrefill = time.Duration(change * float64(d.LongPrefill))
	d.ShortInFlight = int(max(d.Short.change(), 1)*float64(d.ShortInFlight) + 0.5)
}
