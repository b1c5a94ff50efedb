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

// booking is a place in the schedule for one return.
type booking struct {
	list *returnSlotList
	slot int64
	// cost is what the return needs, limit what each slot may hold, in seconds of capacity.
	cost, limit float64
	// start is when the request should return.
	start time.Duration
}

// find returns the first booking, not before a time, for a cost: in what is left of a slot and in the
// next ones, in which nothing is booked yet. Otherwise costs that start in one slot would overlap
// those of the next. If there is none, it is in the slot with the least bookings of the last second.
func (l *returnSlotList) find(earliest time.Duration, cost, limit float64) booking {
	end := l.first + returnSlots
	from := min(max(int64(earliest/returnSlot), l.first), end-1)
	start, missing := int64(-1), 0.0
	for slot := from; slot < end; slot++ {
		booked := *l.at(slot)
		switch {
		case start >= 0 && booked == 0:
			missing -= limit
		case booked < limit-bookingRounding:
			start, missing = slot, cost-(limit-booked)
		default:
			start = -1
		}
		if start >= 0 && (missing <= bookingRounding || slot == end-1) {
			return l.booking(start, earliest, cost, limit)
		}
	}
	least := max(from, end-int64(time.Second/returnSlot))
	for slot := least; slot < end; slot++ {
		if *l.at(slot) < *l.at(least) {
			least = slot
		}
	}
	return l.booking(least, earliest, cost, limit)
}

// booking returns a booking from a slot on. Its request returns after those that are booked in the
// slot before it.
func (l *returnSlotList) booking(slot int64, earliest time.Duration, cost, limit float64) booking {
	start := l.start(slot) + time.Duration(min(*l.at(slot)/limit, 1)*float64(returnSlot))
	return booking{list: l, slot: slot, cost: cost, limit: limit, start: max(start, earliest)}
}

// book enters the booking, as far as the schedule reaches. In a slot that is full, more than its
// limit is booked.
func (b *booking) book() {
	end, cost := b.list.first+returnSlots, b.cost
	for slot := b.slot; slot < end && cost > 0; slot++ {
		taken := min(cost, max(b.limit-*b.list.at(slot), 0))
		if taken == 0 {
			taken = cost
		}
		*b.list.at(slot) += taken
		cost -= taken
	}
}
