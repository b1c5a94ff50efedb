package power

// Limit is an agent's side of the ledger: what its endpoint may draw. It belongs
// to the agent's control loop.
type Limit struct {
	incarnation uint64
	floor, max  uint64
	slots       int
	revision    uint64
	granted     uint64
	capped      bool
}

// NewLimit makes the limit of a new agent. slots is the batch size at which the
// endpoint draws max watts.
func NewLimit(incarnation, floor, max uint64, slots int) *Limit {
	return &Limit{incarnation: incarnation, floor: floor, max: max, slots: slots, granted: floor}
}

// SetCapped tells whether the site has a cap. Without one, all slots are open.
func (l *Limit) SetCapped(capped bool) { l.capped = capped }

// Apply takes a grant in and tells whether it is in force. A grant for another
// life of the agent, or of an older revision, is refused: it may have been
// delayed, or come from a keeper that was paused, and the watts it speaks of may
// since have been given to another endpoint.
func (l *Limit) Apply(incarnation, revision, watts uint64) bool {
	if incarnation != l.incarnation || revision < l.revision {
		return false
	}
	l.revision, l.granted = revision, max(watts, l.floor)
	return true
}

// Revision is that of the last grant applied.
func (l *Limit) Revision() uint64 { return l.revision }

// Slots is how many sequences may run at once.
func (l *Limit) Slots() int {
	if !l.capped || l.max <= l.floor {
		return l.slots
	}
	return min(l.slots, int((l.granted-l.floor)*uint64(l.slots)/(l.max-l.floor)))
}

// Draw is the worst-case draw with this many sequences running, in watts.
func (l *Limit) Draw(running int) uint64 {
	if l.slots == 0 {
		return l.floor
	}
	running = min(running, l.slots)
	return l.floor + ceilDiv((l.max-l.floor)*uint64(running), uint64(l.slots))
}

// Keeping is the worst-case draw that the agent can now promise: its grant, or
// more while more work than that still runs.
func (l *Limit) Keeping(running int) uint64 {
	if !l.capped {
		return l.max
	}
	return max(l.granted, l.Draw(running))
}

func ceilDiv(a, b uint64) uint64 { return (a + b - 1) / b }
