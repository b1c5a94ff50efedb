package direct

import (
	"math"
	"time"

	"aspenyard.example/directory"
)

// demand is how much of the engines' time one entry's requests ask for, by whether
// their prefill is long. Engines are divided between the two kinds by it.
type demand struct {
	// arrivals holds the prefill that was asked for by long prompts in the last
	// demandWindow.
	arrivals []arrival
	total    time.Duration
}

type arrival struct {
	at      time.Time
	prefill time.Duration
}

const (
	// demandWindow is how far back demand is counted: the users' mix changes threefold
	// within ten seconds, and a second or two of it tells which way.
	demandWindow = 3 * time.Second
)

func (d *demand) add(now time.Time, prefill time.Duration) {
	d.expire(now)
	d.arrivals = append(d.arrivals, arrival{now, prefill})
	d.total += prefill
}

func (d *demand) expire(now time.Time) {
	for len(d.arrivals) > 0 && now.Sub(d.arrivals[0].at) > demandWindow {
		d.total -= d.arrivals[0].prefill
		d.arrivals = d.arrivals[1:]
	}
}

const (
	// maxLongUtilization is the part of an engine's time that long prompts may take.
	maxLongUtilization = 0.85
	// contendedSlotShare is the part of an engine's slots that short requests take where both kinds ask
	// for all engines: more of them meet in one pass and lengthen it.
	contendedSlotShare = 0.5
	// fillSlotShare is the part of an engine's slots that short requests fill before they take
	// another engine: one more lengthens a pass by little, and an engine on which nobody
	// decodes reads parts of long prompts without making anybody late.
	fillSlotShare = 0.67
	// spareShortEngines is how many engines short requests have beyond those that they fill: more
	// of them begin before the other entries hear of it.
	spareShortEngines = 1
	// perEntryShare is the part of the engines that short requests take, however few are open, for
	// each entry to have one of its own.
	perEntryShare = 0.125
	// minLongShare and minShortShare are the parts of the engines that each kind may always take.
	minLongShare, minShortShare = 0.35, 0.1
)

// Demand is what the requests of one entry, or of several, ask of a service's engines.
type Demand struct {
	Service string
	// LongPrefill is the prefill of the long prompts that came in demandWindow, and
	// OpenShort how many requests with short ones are under way.
	LongPrefill   time.Duration
	ShortInFlight int
	// PendingPrefill is the prefill of long prompts that was sent to engines and is not done,
	// QueuedPrefill that of those that are held back.
	PendingPrefill, QueuedPrefill time.Duration
}

// shortShare is the part of a service's engines that short prompts may take.
func shortShare(d Demand, engine *directory.Engine) float64 {
	long := d.LongPrefill.Seconds() / demandWindow.Seconds() / maxLongUtilization
	short := float64(d.ShortInFlight) / (float64(max(engine.Slots, 1)) * contendedSlotShare)
	if long+short == 0 {
		return 1 - minLongShare
	}
	return min(max(short/(long+short), minShortShare), 1-minLongShare)
}

// maxShortEngines is how many of a service's engines short prompts may take.
func maxShortEngines(d Demand, engine *directory.Engine, engines int) int {
	return int(shortShare(d, engine)*float64(engines) + 0.5)
}

// enginesForShort is how many of a service's engines short prompts have to themselves: as few
// as those that are open fill, or one for each entry where engines abound, on which its prompts
// meet no others; within their share.
func enginesForShort(d Demand, engine *directory.Engine, engines, entries int) int {
	share := maxShortEngines(d, engine, engines)
	filled := math.Ceil(float64(d.ShortInFlight) / (float64(max(engine.Slots, 1)) * fillSlotShare))
	own := min(entries, int(perEntryShare*float64(engines)))
	return max(min(max(int(filled)+spareShortEngines, own), share), 1)
}
