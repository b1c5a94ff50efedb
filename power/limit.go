package power

// Limit is an agent's record of the power that its endpoint may draw. It is not safe for
// concurrent use; it belongs to the agent's control thread.
type Limit struct {
	incarnation          uint64
	floorWatts, maxWatts uint64
	slots                int
	revision             uint64
	grantedWatts         uint64
	capped               bool
}

// NewLimit returns the limit of an agent without a grant. floorWatts and maxWatts are the
// endpoint's draw when it is idle and with a full batch, which has slots sequences.
func NewLimit(incarnation, floorWatts, maxWatts uint64, slots int) *Limit {
	return &Limit{incarnation: incarnation, floorWatts: floorWatts, maxWatts: maxWatts, slots: slots, grantedWatts: floorWatts}
}

// SetCapped sets whether the site has a power cap. Without one, all slots may be used.
func (l *Limit) SetCapped(capped bool) { l.capped = capped }

// Apply applies a grant and returns whether it is now in force. A grant for another
// incarnation of the agent or of an older revision is refused: it may have been delayed, or
// sent by a coordinator that was suspended, and its watts may have been granted to another
// endpoint since.
func (l *Limit) Apply(incarnation, revision, watts uint64) bool {
	if incarnation != l.incarnation || revision < l.revision {
		return false
	}
	l.revision, l.grantedWatts = revision, max(watts, l.floorWatts)
	return true
}

// Revision returns the ledger revision of the last grant applied, and 0 before the first.
func (l *Limit) Revision() uint64 { return l.revision }

// Slots returns how many sequences may run at once within the limit.
func (l *Limit) Slots() int {
	if !l.capped || l.maxWatts <= l.floorWatts {
		return l.slots
	}
	return min(l.slots, int((l.grantedWatts-l.floorWatts)*uint64(l.slots)/(l.maxWatts-l.floorWatts)))
}

// WorstCaseDraw returns the most that the endpoint draws in watts while running sequences run.
// It rises linearly from the idle draw to the draw with a full batch.
func (l *Limit) WorstCaseDraw(running int) uint64 {
	if l.slots == 0 {
		return l.floorWatts
	}
	running = min(running, l.slots)
	return l.floorWatts + ceilDiv((l.maxWatts-l.floorWatts)*uint64(running), uint64(l.slots))
}

// EnforcedWatts returns the worst-case draw that the agent can currently guarantee, in watts:
// its grant, or more while more sequences run than the grant allows. Without a cap it is the
// maximum draw.
func (l *Limit) EnforcedWatts(running int) uint64 {
	if !l.capped {
		return l.maxWatts
	}
	return max(l.grantedWatts, l.WorstCaseDraw(running))
}

// ceilDiv returns a/b rounded up.
func ceilDiv(a, b uint64) uint64 { return (a + b - 1) / b }
