// Package window counts the good and bad events of objectives by minute, so that metrics
// can tell what has happened lately. A counter alone only tells what has happened since
// the start.
package window

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// The windows over which objectives are counted, in minutes.
const (
	ShortMinutes = 5
	LongMinutes  = 60
)

// Counter counts events by their labels. Safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	series map[string]*minuteCounts
}

type minuteCounts struct {
	counts  [LongMinutes][2]uint64 // by minute, bad and good
	minutes [LongMinutes]int64     // the minute that a slot holds
}

// New makes an empty counter.
func New() *Counter { return &Counter{series: map[string]*minuteCounts{}} }

// Add counts one event; it tells whether the labels are new.
func (w *Counter) Add(now time.Time, labels string, good bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	series := w.series[labels]
	isNew := series == nil
	if isNew {
		series = &minuteCounts{}
		w.series[labels] = series
	}
	minute := now.Unix() / 60
	slot := minute % LongMinutes
	if series.minutes[slot] != minute {
		series.minutes[slot], series.counts[slot] = minute, [2]uint64{}
	}
	series.counts[slot][outcomeIndex(good)]++
	return isNew
}

func outcomeIndex(good bool) int {
	if good {
		return 1
	}
	return 0
}

// Count sums the events of the last span minutes, the present one included.
func (w *Counter) Count(now time.Time, labels string, good bool, span int64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	series := w.series[labels]
	if series == nil {
		return 0
	}
	minute, sum := now.Unix()/60, uint64(0)
	for slot, stamp := range series.minutes {
		if stamp > minute-span && stamp <= minute {
			sum += series.counts[slot][outcomeIndex(good)]
		}
	}
	return float64(sum)
}

// Record counts an event and exposes its series in a set of metrics under a name, once
// for each outcome and span.
func (w *Counter) Record(set *metrics.Set, name, labels string, good bool) {
	if !w.Add(time.Now(), labels, good) {
		return
	}
	for _, outcome := range []string{"good", "bad"} {
		for _, span := range []int64{ShortMinutes, LongMinutes} {
			set.NewGauge(fmt.Sprintf(`%s{%s,outcome=%q,window="%dm"}`, name, labels, outcome, span), func() float64 {
				return w.Count(time.Now(), labels, outcome == "good", span)
			})
		}
	}
}
