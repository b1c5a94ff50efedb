package emulator

import (
	"time"

	"aspenyard.example/admission"
)

const (
	// thresholdStep is by how much the threshold falls in a second in which all requests are late,
	// thresholdRise by how much it rises while none are; both in tiers.
	thresholdStep, thresholdRise = 6.0, 0.5
	// thresholdTolerance is the share of late requests at which the threshold stays.
	thresholdTolerance = 0.1
	// thresholdSlots divide the requests of a tier by their client account: those of one account
	// are admitted together.
	thresholdSlots = 16
	// thresholdInterval is the time between two changes.
	thresholdInterval = 50 * time.Millisecond
)

// Threshold admits requests up to a level over tiers and client accounts, which it moves by the
// lateness that all entries report. It is the alternative that admission.Controller is compared
// with: it needs no estimate of what requests cost or what engines can do.
type Threshold struct {
	// level is the tier, and within it the account slot, up to which requests are admitted.
	level     float64
	changedAt time.Time
	own       *admission.Controller
	loads     map[string][]admission.TierLoad
	tiers     map[admission.Tier]bool
}

// NewThreshold returns the threshold of an entry.
func NewThreshold(entry string) *Threshold {
	return &Threshold{own: admission.NewController(admission.DefaultControllerConfig(), entry), level: 3, loads: map[string][]admission.TierLoad{}, tiers: map[admission.Tier]bool{}}
}

// Admit implements Admission.
func (t *Threshold) Admit(now time.Time, a *admission.Arrival, engines func() []admission.EngineState) admission.ArrivalDecision {
	t.own.Admit(now, a, func() []admission.EngineState { return nil }) // records the arrival
	t.tiers[a.Tier] = true
	if now.Sub(t.changedAt) >= thresholdInterval {
		t.move(now)
	}
	rank := 0.0
	for tier := range t.tiers {
		if tier < a.Tier {
			rank++
		}
	}
	rank += float64(admission.HashAccount(a.Account)%thresholdSlots) / thresholdSlots
	return admission.ArrivalDecision{Admitted: rank < t.level, Tier: a.Tier, ServiceStatus: admission.ServiceStatus{Scarce: t.level < float64(len(t.tiers))}}
}

// move changes the level by the lateness of all entries' requests.
func (t *Threshold) move(now time.Time) {
	elapsed := min(now.Sub(t.changedAt), 2*thresholdInterval).Seconds()
	t.changedAt = now
	started, late := 0.0, 0.0
	add := func(loads []admission.TierLoad) {
		for _, l := range loads {
			started += l.Started
			late += l.Late
		}
	}
	add(t.own.Reports(now, true))
	for _, loads := range t.loads {
		add(loads)
	}
	share := late / max(started, 1)
	change := thresholdRise * elapsed
	if share > thresholdTolerance {
		change = -thresholdStep * (share - thresholdTolerance) * elapsed
	}
	t.level = min(max(t.level+change, 0.5), float64(max(len(t.tiers), 1)))
}

// Started implements Admission.
func (t *Threshold) Started(now time.Time, service string, tier admission.Tier, late bool) {
	t.own.Started(now, service, tier, late)
}

// Late implements Admission.
func (t *Threshold) Late(now time.Time, service string, tier admission.Tier) {
	t.own.Late(now, service, tier)
}

// Reports implements Admission.
func (t *Threshold) Reports(now time.Time, _ bool) []admission.TierLoad {
	return t.own.Reports(now, true)
}

// Merge implements Admission.
func (t *Threshold) Merge(_ time.Time, entry string, loads []admission.TierLoad, _ bool) {
	t.loads[entry] = loads
}

// SetEntries implements Admission.
func (t *Threshold) SetEntries(n int) { t.own.SetEntries(n) }
