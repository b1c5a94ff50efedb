package admission

import "time"

const (
	// returnSlot is the length of a slot of the schedule. Returns are spread evenly within it.
	returnSlot = 50 * time.Millisecond
	// returnSlots is the number of slots. Times beyond them would be guesses.
	returnSlots = 200
	// returnHorizon is the latest time to which a return is scheduled.
	returnHorizon = returnSlots * returnSlot
	// bookingRounding absorbs the rounding of sums, in seconds of capacity.
	bookingRounding = 1e-9
)

// returnSlotList holds what returns have booked in each slot of the near future, in seconds of the
// service's capacity. Times are durations since a fixed start.
type returnSlotList struct {
	first  int64 // number of the first slot; earlier ones have passed
	booked [returnSlots]float64
}

// start is the time at which a slot begins.
func (l *returnSlotList) start(slot int64) time.Duration { return time.Duration(slot) * returnSlot }

func (l *returnSlotList) at(slot int64) *float64 { return &l.booked[slot%returnSlots] }

// advance drops the slots before a time.
func (l *returnSlotList) advance(now time.Duration) {
	current := int64(now / returnSlot)
	if current-l.first >= returnSlots {
		clear(l.booked[:])
		l.first = current
	}
	for ; l.first < current; l.first++ {
		*l.at(l.first) = 0
	}
}

// find returns the first slot, not before a time, in which less than limit is booked. If there is
// none, it returns the one with the least bookings in the last second of the schedule.
func (l *returnSlotList) find(earliest time.Duration, limit float64) int64 {
	end := l.first + returnSlots
	from := min(max(int64(earliest/returnSlot), l.first), end-1)
	for slot := from; slot < end; slot++ {
		if *l.at(slot) < limit-bookingRounding {
			return slot
		}
	}
	least := max(from, end-int64(time.Second/returnSlot))
	for slot := least; slot < end; slot++ {
		if *l.at(slot) < *l.at(least) {
			least = slot
		}
	}
	return least
}

// book books a cost from a slot on, at most limit in each slot as far as the schedule reaches, and
// returns when the request should return: after the requests that are booked in the slot before it.
func (l *returnSlotList) book(slot int64, earliest time.Duration, cost, limit float64) time.Duration {
	at := l.start(slot) + time.Duration(min(*l.at(slot)/limit, 1)*float64(returnSlot))
	end := l.first + returnSlots
	for next := slot; next < end && cost > 0; next++ {
		taken := min(cost, max(limit-*l.at(next), 0))
		*l.at(next) += taken
		cost -= taken
	}
	return max(at, earliest)
}
