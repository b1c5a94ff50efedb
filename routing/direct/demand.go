package direct

import (
	"math"
	"time"

	"aspenyard.example/directory"
)

// demand records the prompts that one entry recently received. It determines how the engines are
// divided between short and long prompts.
type demand struct {
	// since is when the record was begun, at its first arrival.
	since time.Time
	// long holds the prefill of the long prompts, short the engine time of the short ones.
	long, short arrivalWindow
}

// demandWindow is the period over which demand is summed. The mix at the users' sites changes
// threefold within ten seconds, and one or two seconds of it show the direction.
const demandWindow = 3 * time.Second

func (d *demand) addLong(now time.Time, prefill time.Duration) {
	d.begin(now)
	d.long.add(now, prefill, 0)
}

func (d *demand) addShort(now time.Time, engineTime time.Duration) {
	d.begin(now)
	d.short.add(now, engineTime, shortArrivalInterval)
}

func (d *demand) begin(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
}

// sums returns the sums of the arrivals of long and short prompts. Until the record spans the whole
// window they count as steady, because all arrivals of an entry that has just started are recent.
func (d *demand) sums(now time.Time) (long, short Arrivals) {
	d.long.expire(now)
	d.short.expire(now)
	long, short = d.long.sums(now), d.short.sums(now)
	if now.Sub(d.since) < demandWindow {
		return long.steady(), short.steady()
	}
	return long, short
}

const (
	// maxLongUtilization is the fraction of an engine's time that long prompts may take.
	maxLongUtilization = 0.85
	// contendedSlotShare is the fraction of an engine's slots that short requests use where
	// short and long prompts together ask for all engines. With more of them, several are
	// prefilled in one pass and lengthen it.
	contendedSlotShare = 0.5
	// fillSlotShare is the fraction of an engine's slots that short requests fill before
	// they take another engine. One more request lengthens a pass only a little, and on an
	// engine where nothing decodes, parts of long prompts are prefilled without delaying
	// anyone.
	fillSlotShare = 0.67
	// spareShortEngines is the number of engines for short requests beyond those that they
	// fill, because more short requests start before the other entries learn of them.
	spareShortEngines = 1
	// perEntryShare is the fraction of the engines that short requests may take, however
	// few are in flight, so that each entry has an engine of its own.
	perEntryShare = 0.125
	// minLongShare and minShortShare are the fractions of the engines that long and short
	// prompts may always take.
	minLongShare, minShortShare = 0.35, 0.1
)

// Demand is what the requests of one entry, or of several, ask of a service's engines.
type Demand struct {
	Service string
	// LongPrefill is the prefill time of the long prompts that arrived in the last
	// demandWindow, and ShortInFlight the number of requests with short prompts in flight.
	LongPrefill   time.Duration
	ShortInFlight int
	// Long describes the arrivals of the long prompts of which LongPrefill is the sum, Short those
	// of the short ones.
	Long, Short Arrivals
	// PendingPrefill is the prefill time of long prompts that was sent to engines and is
	// not done, QueuedPrefill that of queued long prompts.
	PendingPrefill, QueuedPrefill time.Duration
	// maxShortShare is the fraction of the engines that short prompts may take; 0: all but
	// minLongShare.
	maxShortShare float64
}

// shortShare is the fraction of a service's engines that short prompts may take.
func shortShare(d Demand, engine *directory.Engine) float64 {
	long := d.LongPrefill.Seconds() / demandWindow.Seconds() / maxLongUtilization
	short := float64(d.ShortInFlight) / (float64(max(engine.Slots, 1)) * contendedSlotShare)
	highest := 1 - minLongShare
	if d.maxShortShare > 0 {
		highest = d.maxShortShare
	}
	if long+short == 0 {
		return highest
	}
	return min(max(short/(long+short), minShortShare), highest)
}

// maxShortEngines is the number of a service's engines that short prompts may take.
func maxShortEngines(d Demand, engine *directory.Engine, engines int) int {
	return int(shortShare(d, engine)*float64(engines) + 0.5)
}

// enginesForShort returns the number of a service's engines reserved for short prompts.
// It is the number that the short prompts in flight fill, plus spareShortEngines. Where there
// are many engines, it is at least one for each entry, so that an entry's prompts share a
// pass with no others. It is at most maxShortEngines and at least 1.
func enginesForShort(d Demand, engine *directory.Engine, engines, entries int) int {
	share := maxShortEngines(d, engine, engines)
	filled := math.Ceil(float64(d.ShortInFlight) / (float64(max(engine.Slots, 1)) * fillSlotShare))
	own := min(entries, int(perEntryShare*float64(engines)))
	return max(min(max(int(filled)+spareShortEngines, own), share), 1)
}
