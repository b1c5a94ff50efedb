package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// serviceState is what a controller knows of one service.
type serviceState struct {
	tiers map[Tier]*tierWindow
	kinds map[string]*kindState
	// shares are those computed at computedAt, given is the capacity that they divide, demand the
	// load of all tiers, and resource what demand exceeds most.
	shares        map[Tier]*tierShare
	given, demand Load
	resource      EngineResource
	computedAt    time.Time
	feedback      feedback
	// admitted is the number of requests that were admitted since then, and refreshAfter the one at
	// which the shares are computed again.
	admitted, refreshAfter int
	// reported is the load in the last report, in milliseconds a second.
	reported float64
	// interval is the time until the shares are computed again.
	interval time.Duration
	// scarce is set while shares are applied. exceededSince is since when demand exceeds the capacity,
	// sufficientSince since when it is within it; zero while it is not.
	scarce                         bool
	exceededSince, sufficientSince time.Time
}

// kindState describes the requests of one kind.
type kindState struct {
	// events is the mean number of events of its streams; 0 if none has ended.
	events float64
}

// tierShare is the share of one tier's requests that is admitted.
type tierShare struct {
	// offered is the load of this tier and the more urgent ones, own that of this tier.
	offered, own Load
	// mean is the share of the tier's load. level is the load that one client account may have,
	// accounts what the listed ones offer, and restEach what each of the others counts for.
	mean, level, restEach float64
	accounts              map[uint32]float64
	// startable is the share that engines can start in time, 0 to 1.
	startable float64
}

// of returns the share of a client account's requests that is admitted.
func (t *tierShare) of(account uint32) float64 {
	if t.mean >= 1 {
		return t.startable
	}
	offers, listed := t.accounts[account]
	if !listed {
		offers = t.restEach
	}
	if offers <= t.level {
		return t.startable
	}
	return t.startable * t.level / offers
}

func newServiceState() *serviceState {
	return &serviceState{resource: EngineTime, tiers: map[Tier]*tierWindow{}, kinds: map[string]*kindState{}, shares: map[Tier]*tierShare{}}
}

func (s *serviceState) status() ServiceStatus {
	return ServiceStatus{s.scarce, s.resource, s.resource.of(s.demand), s.resource.of(s.given)}
}

func (s *serviceState) tier(tier Tier) *tierWindow {
	w := s.tiers[tier]
	if w == nil {
		w = newTierWindow()
		s.tiers[tier] = w
	}
	return w
}

func (s *serviceState) kind(name string) *kindState {
	k := s.kinds[name]
	if k == nil {
		k = &kindState{}
		s.kinds[name] = k
	}
	return k
}

// reports returns the loads of all tiers that offer anything, with client accounts only while
// capacity is scarce.
func (s *serviceState) reports(now time.Time, name string) []TierLoad {
	var list []TierLoad
	for _, tier := range slices.Sorted(maps.Keys(s.tiers)) {
		if load := s.tiers[tier].report(now, name, tier, s.scarce); load.Offered >= negligibleLoad || load.Started >= negligibleLoad {
			list = append(list, load)
		}
	}
	return list
}

const (
	// nearDemand is the demand, as a fraction of what is given out, from which on each report has a
	// service's loads.
	nearDemand = 0.5
	// reportedChange is the change of what is offered to this entry, as a fraction of that, which is
	// reported at once.
	reportedChange = 0.25
)

// reportDue reports whether the loads are part of a report that is not full.
func (s *serviceState) reportDue(loads []TierLoad) bool {
	offered := totalOffered(loads)
	return s.scarce || s.demand.Time > nearDemand*s.given.Time || s.demand.Memory > nearDemand*s.given.Memory || math.Abs(offered-s.reported) > reportedChange*offered
}

func totalOffered(loads []TierLoad) float64 {
	sum := 0.0
	for i := range loads {
		sum += loads[i].Offered
	}
	return sum
}

// refresh computes the shares of a service from the reports of all entries and the state of the
// engines.
func (c *Controller) refresh(now time.Time, name string, s *serviceState, engines []EngineState) {
	own := s.reports(now, name)
	reports := c.scaledReports(now, own)
	sums := sumReports(name, reports)
	order := slices.Sorted(maps.Keys(sums))
	tiers, needed, demand := make([]*demandSum, len(order)), make([]Load, len(order)), Load{}
	for i, tier := range order {
		tiers[i], needed[i] = sums[tier], sums[tier].needed
		demand = demand.plus(needed[i])
	}
	capacity := SumEngines(engines)
	usable := c.config.Utilization * s.feedback.update(now, urgentLateness(tiers))
	s.given = Load{capacity.Rate * usable * unusedFactor(capacity.Use), capacity.MemoryRate * usable * unusedFactor(capacity.MemoryUse)}
	shares := GrantShares(s.given, c.config.Minimum, needed, tierLimits(tiers))
	s.shares, s.computedAt = make(map[Tier]*tierShare, len(order)), now
	above, unstartable, leastPlaces := Load{}, false, math.Inf(1)
	for i, tier := range order {
		above = above.plus(needed[i])
		t := newTierShare(shares[i], tiers[i].offered, func() map[uint32]float64 { return sumAccounts(name, tier, reports) })
		t.offered, t.own = above, needed[i]
		places, expected := startable(engines, s.tier(tier).typical, shares[i]*needed[i].Time)
		if expected > 0 {
			t.startable = min(places/expected, 1)
			leastPlaces = min(leastPlaces, places)
		}
		unstartable = unstartable || t.startable < 1
		s.shares[tier] = t
	}
	s.demand, s.admitted, s.resource = demand, 0, EngineTime
	if demand.Memory*s.given.Time > demand.Time*s.given.Memory {
		s.resource = EngineMemory
	}
	s.interval = c.config.RefreshInterval + time.Duration(len(engines))*refreshPerEngine + time.Duration(len(c.peers))*refreshPerReport
	s.refreshAfter = max(int(min(refreshShare*leastPlaces, math.MaxInt32)), minRefreshAfter)
	if len(engines) == 0 {
		s.scarce = false // placement refuses, with the reason
		return
	}
	s.updateScarcity(now, capacity.Use, unstartable, allOnTime(tiers))
}

// unusedFactor raises the capacity that is given out while engines are not fully used: then the
// estimates are too low, or the load has just begun.
func unusedFactor(use float64) float64 {
	if use >= fullUse {
		return 1
	}
	return min(fullUse/max(use, fullUse/maxUnusedFactor), maxUnusedFactor)
}

// newTierShare divides the share of a tier's load that is granted among its client accounts. An account
// counts by the resource of which its requests need most. accounts returns what the listed ones offer;
// it is called only if the tier is not granted all that it offers.
func newTierShare(share, offered float64, accounts func() map[uint32]float64) *tierShare {
	t := &tierShare{mean: 1, startable: 1}
	if share >= 1 {
		return t
	}
	t.mean, t.accounts = share, accounts()
	listed, sum := slices.Sorted(maps.Values(t.accounts)), 0.0
	for _, o := range listed {
		sum += o
	}
	t.level, t.restEach = FairLevel(share*offered, listed, max(offered-sum, 0))
	return t
}

// startable returns how many of a tier's requests engines can start in time, and how many are
// expected, as far as they are granted, until entries learn of each other's requests; 0 if that does
// not bind. The rates lag a burst, and the requests in flight show it.
func startable(engines []EngineState, typical typicalRequest, granted float64) (places, expected float64) {
	if typical.slack <= 0 || typical.cost <= 0 {
		return 0, 0 // without a target
	}
	places, able := Places(engines, typical.slack, typical.cost, typical.prefill)
	if !able {
		return 0, 0 // prefilled in parts, or late in any case: refusing all would leave engines idle
	}
	return places, granted / milliseconds(typical.cost) * reportLag.Seconds()
}

// updateScarcity begins and ends the refusal of requests. It begins at once where engines cannot start the
// requests that arrive, else when demand has exceeded the capacity for as long as the most urgent requests may
// wait: until then none is late, and the estimates of a moment would begin and end it in turns. While all
// requests are on time and engines are not fully used, the estimates are too low.
func (s *serviceState) updateScarcity(now time.Time, use float64, unstartable, onTime bool) {
	demand, given := s.resource.of(s.demand), s.resource.of(s.given)
	free := use < scarceUse || onTime && use < fullUse
	if free || demand <= given {
		s.exceededSince = time.Time{}
	} else if s.exceededSince.IsZero() {
		s.exceededSince = now
	}
	exceeded := !s.exceededSince.IsZero() && now.Sub(s.exceededSince) >= s.urgentTarget()
	switch {
	case unstartable, exceeded:
		s.scarce, s.sufficientSince = true, time.Time{}
	case !s.scarce:
	case !free && demand > sufficientDemand*given:
		s.sufficientSince = time.Time{}
	case s.sufficientSince.IsZero():
		s.sufficientSince = now
	case now.Sub(s.sufficientSince) >= sufficientFor:
		s.scarce, s.sufficientSince = false, time.Time{}
	}
}

// urgentTarget is how long the most urgent requests with a target may wait.
func (s *serviceState) urgentTarget() time.Duration {
	for _, tier := range slices.Sorted(maps.Keys(s.tiers)) {
		if target := s.tiers[tier].typical.target; target > 0 {
			return target
		}
	}
	return defaultUrgentTarget
}
