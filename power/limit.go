package power

// Limit is an agent's side of the ledger: what its endpoint may draw. It belongs
// to the agent's control loop.
type Limit struct {
	incarnation          uint64
	floorWatts, maxWatts uint64
	slots                int
	revision             uint64
	grantedWatts         uint64
	capped               bool
}

// NewLimit makes the limit of a new agent. slots is the batch size at which the
// endpoint draws max watts.
func NewLimit(incarnation, floor, max uint64, slots int) *Limit {
	return &Limit{incarnation: incarnation, floorWatts: floor, maxWatts: max, slots: slots, grantedWatts: floor}
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
	l.revision, l.grantedWatts = revision, max(watts, l.floorWatts)
	return true
}

// Revision is that of the last grant applied.
func (l *Limit) Revision() uint64 { return l.revision }

// Slots is how many sequences may run at once.
func (l *Limit) Slots() int {
	if !l.capped || l.maxWatts <= l.floorWatts {
		return l.slots
	}
	return min(l.slots, int((l.grantedWatts-l.floorWatts)*uint64(l.slots)/(l.maxWatts-l.floorWatts)))
}

// WorstCaseDraw is the worst-case draw with this many sequences running, in watts.
func (l *Limit) WorstCaseDraw(running int) uint64 {
	if l.slots == 0 {
		return l.floorWatts
	}
	running = min(running, l.slots)
	return l.floorWatts + ceilDiv((l.maxWatts-l.floorWatts)*uint64(running), uint64(l.slots))
}

// EnforcedWatts is the worst-case draw that the agent can now promise: its grant, or
// more while more work than that still runs.
func (l *Limit) EnforcedWatts(running int) uint64 {
	if !l.capped {
		return l.maxWatts
	}
	return max(l.grantedWatts, l.WorstCaseDraw(running))
}

func ceilDiv(a, b uint64) uint64 { return (a + b - 1) / b }
