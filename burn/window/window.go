// Package window counts the good and bad events of service-level objectives by minute, so
// that a node's metrics can report them over recent windows. A plain counter only gives the
// number of events since the process started.
package window

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// The windows over which events are reported, in minutes.
const (
	ShortMinutes = 5
	LongMinutes  = 60
)

// Counter counts events by their labels, over the last LongMinutes. It is safe for
// concurrent use.
type Counter struct {
	mu     sync.Mutex
	series map[string]*minuteCounts
}

// minuteCounts is a ring buffer with a slot for each minute.
type minuteCounts struct {
	counts  [LongMinutes][2]uint64 // by slot and outcomeIndex
	minutes [LongMinutes]int64     // the minute that a slot counts, since the Unix epoch
}

// New returns an empty counter.
func New() *Counter { return &Counter{series: map[string]*minuteCounts{}} }

// Add counts one event and reports whether it is the first with these labels.
func (c *Counter) Add(now time.Time, labels string, good bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	series := c.series[labels]
	isNew := series == nil
	if isNew {
		series = &minuteCounts{}
		c.series[labels] = series
	}
	minute := now.Unix() / 60
	slot := minute % LongMinutes
	if series.minutes[slot] != minute {
		series.minutes[slot], series.counts[slot] = minute, [2]uint64{}
	}
	series.counts[slot][outcomeIndex(good)]++
	return isNew
}

// outcomeIndex returns the index in minuteCounts.counts of an outcome.
func outcomeIndex(good bool) int {
	if good {
		return 1
	}
	return 0
}

// Count returns the number of good or bad events in the last span minutes, including
// the current one.
func (c *Counter) Count(now time.Time, labels string, good bool, span int64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	series := c.series[labels]
	if series == nil {
		return 0
	}
	minute, sum := now.Unix()/60, uint64(0)
	for slot, slotMinute := range series.minutes {
		if slotMinute > minute-span && slotMinute <= minute {
			sum += series.counts[slot][outcomeIndex(good)]
		}
	}
	return float64(sum)
}

// Record counts an event. With the first event of its labels, it adds gauges named name
// to the set of metrics, one for each outcome and window.
func (c *Counter) Record(set *metrics.Set, name, labels string, good bool) {
	if !c.Add(time.Now(), labels, good) {
		return
	}
	for _, outcome := range []string{"good", "bad"} {
		for _, span := range []int64{ShortMinutes, LongMinutes} {
			set.NewGauge(fmt.Sprintf(`%s{%s,outcome=%q,window="%dm"}`, name, labels, outcome, span), func() float64 {
				return c.Count(time.Now(), labels, outcome == "good", span)
			})
		}
	}
}
