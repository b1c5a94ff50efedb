package emulator

import (
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/routing/direct"
)

// Admission admits requests at one entry. admission.Controller is the product's.
type Admission interface {
	Admit(now time.Time, a *admission.Arrival, engines func() []admission.EngineState) admission.ArrivalDecision
	Started(now time.Time, service string, tier admission.Tier, late bool)
	Late(now time.Time, service string, tier admission.Tier)
	Reports(now time.Time, full bool) []admission.TierLoad
	Merge(now time.Time, entry string, loads []admission.TierLoad, full bool)
	SetEntries(n int)
}

// Account is a client account and its share of a kind's requests.
type Account struct {
	Name   string
	Weight float64
}

// AccountResult counts the outcomes of the requests of one client account and kind.
type AccountResult struct {
	Requests, Served, OnTime int
}

// addAccounts adds the counts of each account.
func (r *Result) addAccounts(others map[string]AccountResult) {
	for name, other := range others {
		if r.Accounts == nil {
			r.Accounts = map[string]AccountResult{}
		}
		a := r.Accounts[name]
		r.Accounts[name] = AccountResult{a.Requests + other.Requests, a.Served + other.Served, a.OnTime + other.OnTime}
	}
}

// pickAccount draws the client account of a request, by weight. It draws nothing where the kind has
// fewer than two, so that such loads are those of earlier versions.
func (k *Kind) pickAccount(sim *simulation) string {
	switch len(k.Accounts) {
	case 0:
		return ""
	case 1:
		return k.Accounts[0].Name
	}
	sum := 0.0
	for _, a := range k.Accounts {
		sum += a.Weight
	}
	left := sim.loadRand.Float64() * sum
	for _, a := range k.Accounts {
		if left -= a.Weight; left < 0 {
			return a.Name
		}
	}
	return k.Accounts[len(k.Accounts)-1].Name
}

// countAccount changes the counts of the request's client account.
func (r *request) countAccount(change func(a *AccountResult)) {
	if r.account == "" {
		return
	}
	if r.result.Accounts == nil {
		r.result.Accounts = map[string]AccountResult{}
	}
	a := r.result.Accounts[r.account]
	change(&a)
	r.result.Accounts[r.account] = a
}

// tier is the tier of a kind whose client accounts have no priorities of their own.
func (k *Kind) tier() admission.Tier { return admission.TierOf(k.Priority, k.Priority) }

// admit asks the entry's admission, and counts the refusal if it refuses.
func (r *request) admit() bool {
	if r.entry.admission == nil {
		return true
	}
	sim, now := r.sim, r.sim.wallTime()
	a := &admission.Arrival{Service: serviceName, Tier: r.kind.tier(), Account: r.account, Kind: r.kind.Name, Returning: r.status.State == admission.ReturnOnTime && r.sim.config.Callers.Advice == ScheduleAdvice, Early: r.status.State == admission.ReturnEarly && r.sim.config.Callers.Advice == ScheduleAdvice}
	direct.SetPromptCost(a, sim.service.Engine, r.promptTokens, maxOutputTokens, float64(r.kind.Events), r.kind.Target)
	d := r.entry.admission.Admit(now, a, func() []admission.EngineState {
		return r.entry.policy.EngineStates(now, sim.service, r.entry.endpoints)
	})
	r.entry.tracker.SetScarce(serviceName, d.Scarce)
	if d.Admitted {
		r.admitted = true
		return true
	}
	r.result.NotAdmitted++
	r.refuse(admission.CauseCapacity, time.Second)
	return false
}

// recordFirstResponse tells the entry's admission whether the first response was late.
func (r *request) recordFirstResponse() {
	if r.admitted {
		r.admitted = false
		r.entry.admission.Started(r.sim.wallTime(), serviceName, r.kind.tier(), r.sim.Now()-r.arrivedAt > r.kind.Target && !r.atSlowEngine())
	}
}

// atSlowEngine reports whether the entry knows that the request's engine is slow.
func (r *request) atSlowEngine() bool {
	return r.entry.tracker.IsSlow(r.sim.wallTime(), r.engine.incarnation)
}

// observePause records a pause and tells the entry's admission of the first one that is too long.
func (r *request) observePause(pause, firstEventAt time.Duration) {
	late := pause > r.kind.MaxPause && r.longestPause <= r.kind.MaxPause
	r.longestPause = max(r.longestPause, pause)
	if late && r.entry.admission != nil && !r.atSlowEngine() && firstEventAt-r.arrivedAt <= r.kind.Target {
		r.entry.admission.Late(r.sim.wallTime(), serviceName, r.kind.tier())
	}
}

// countHeldBack counts a refusal if it came late.
func (r *request) countHeldBack() {
	if r.sim.Now()-r.arrivedAt > r.kind.Target/2 {
		r.result.HeldBack++
	}
}

// countServed counts a request that was served for its client account.
func (r *request) countServed(j *job) {
	r.countAccount(func(a *AccountResult) {
		a.Served++
		if j.firstEventAt-r.arrivedAt <= r.kind.Target && r.longestPause <= r.kind.MaxPause {
			a.OnTime++
		}
	})
}

// offeredLoads returns what the entry reports of its admission.
func (e *entry) offeredLoads(now time.Time, full bool) []admission.TierLoad {
	if e.admission == nil {
		return nil
	}
	return e.admission.Reports(now, full)
}

// mergeOffered applies the report of another entry.
func (e *entry) mergeOffered(now time.Time, from string, loads []admission.TierLoad, full bool) {
	if e.admission != nil {
		e.admission.Merge(now, from, loads, full)
	}
}

var _ Admission = (*admission.Controller)(nil)
