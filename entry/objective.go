package entry

import (
	"fmt"
	"sync"
	"time"
)

// The windows over which objectives are counted, in minutes.
const (
	shortWindow = 5
	longWindow  = 60
)

// windows counts good and bad events by minute, so that a report can tell what has
// happened lately. A counter alone only tells what has happened since the start.
type windows struct {
	mu     sync.Mutex
	series map[string]*minutes
}

type minutes struct {
	counts [longWindow][2]uint64 // by minute, bad and good
	stamps [longWindow]int64     // the minute that a slot holds
}

func newWindows() *windows { return &windows{series: map[string]*minutes{}} }

// add counts one event; it tells whether the labels are new.
func (w *windows) add(now time.Time, labels string, good bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	series := w.series[labels]
	isNew := series == nil
	if isNew {
		series = &minutes{}
		w.series[labels] = series
	}
	minute := now.Unix() / 60
	slot := minute % longWindow
	if series.stamps[slot] != minute {
		series.stamps[slot], series.counts[slot] = minute, [2]uint64{}
	}
	series.counts[slot][index(good)]++
	return isNew
}

func index(good bool) int {
	if good {
		return 1
	}
	return 0
}

// count sums the events of the last span minutes, the present one included.
func (w *windows) count(now time.Time, labels string, good bool, span int64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	series := w.series[labels]
	if series == nil {
		return 0
	}
	minute, sum := now.Unix()/60, uint64(0)
	for slot, stamp := range series.stamps {
		if stamp > minute-span && stamp <= minute {
			sum += series.counts[slot][index(good)]
		}
	}
	return float64(sum)
}

// judge counts one event of a kind of work with an objective.
func (e *Entry) judge(labels string, good bool) {
	if !e.objectives.add(time.Now(), labels, good) {
		return
	}
	for _, outcome := range []string{"good", "bad"} {
		for _, span := range []int64{shortWindow, longWindow} {
			name := fmt.Sprintf(`aspenyard_entry_objective_events{%s,outcome=%q,window="%dm"}`, labels, outcome, span)
			e.metrics.NewGauge(name, func() float64 {
				return e.objectives.count(time.Now(), labels, outcome == "good", span)
			})
		}
	}
}
