package gateway

import (
	"cmp"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
	"aspenyard.example/settings"
	"aspenyard.example/wire"
)

// admissionControl admits requests by priority while a service's engines have too little capacity
// for all.
type admissionControl struct {
	controller *admission.Controller
	mode       string
	// services caches, for one configuration, the services whose routes differ in priority.
	services atomic.Pointer[admissionServices]
	mu       sync.Mutex
	// scarce holds the services of which requests are refused, to log changes.
	scarce map[string]bool
	// metered holds the tiers whose metrics are registered.
	metered map[meteredTier]bool
}

// meteredTier identifies the metrics of a tier.
type meteredTier struct {
	service string
	tier    admission.Tier
}

// admissionServices are the services whose routes differ in priority in one configuration.
type admissionServices struct {
	config  *directory.Config
	enabled map[string]bool
}

func newAdmissionControl(s *settings.Gateway) *admissionControl {
	return &admissionControl{controller: admission.NewController(admission.DefaultControllerConfig(), s.Name), mode: s.Admission, scarce: map[string]bool{}, metered: map[meteredTier]bool{}}
}

// applies reports whether requests of a service are admitted by priority.
func (a *admissionControl) applies(config *directory.Config, service *directory.Service) bool {
	switch {
	case service.Engine == nil || a.mode == settings.AdmissionOff:
		return false
	case a.mode == settings.AdmissionOn:
		return true
	}
	return a.routesDiffer(config, service)
}

// routesDiffer reports whether the routes of a service differ in priority.
func (a *admissionControl) routesDiffer(config *directory.Config, service *directory.Service) bool {
	cached := a.services.Load()
	if cached == nil || cached.config != config {
		cached = &admissionServices{config, config.ServicesWithPriorities()}
		a.services.Store(cached)
	}
	return cached.enabled[service.Name]
}

// admit decides whether the request may start. It returns the refusal of one that may not.
func (f *forwarding) admit() *result.Error {
	a := f.gateway.admission
	if !a.applies(f.config, f.service) {
		return nil
	}
	now := time.Now()
	endpoints := f.gateway.endpoints(f.gateway.snapshot.Load(), f.service.Name)
	arrival := &admission.Arrival{Service: f.service.Name, Tier: f.tier(), Account: f.accountName(), Kind: f.route.Name, Exempt: f.LastEventID != "", Returning: f.returning(), Early: f.returnStatus.State == admission.ReturnEarly}
	direct.SetPromptCost(arrival, f.service.Engine, f.PromptTokens, f.OutputTokens, f.expectedEvents(), f.route.Target)
	decision := a.controller.Admit(now, arrival, func() []admission.EngineState {
		return f.gateway.policy.EngineStates(now, f.service, endpoints)
	})
	f.gateway.applyDecision(f.service.Name, decision)
	if decision.Admitted {
		f.admittedTier, f.admitted = decision.Tier, true
		return nil
	}
	f.log.Add("not_admitted", zap.String("service", f.service.Name), zap.Int("tier", int(decision.Tier)), zap.Float64("share", decision.Share), zap.String("resource", string(decision.Resource)),
		zap.Float64("offered", decision.Offered), zap.Float64("capacity", decision.Capacity))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_not_admitted_total{service=%q,tier="%d"}`, f.service.Name, decision.Tier)).Inc()
	return result.Refuse(result.NotAdmitted, notAdmittedRetryAfter(&decision), "capacity is scarce and %.0f%% of the requests of tier %d are admitted", 100*decision.Share, decision.Tier)
}

// tier returns the request's tier.
func (c *call) tier() admission.Tier { return admission.TierOf(c.priority(), c.route.Priority) }

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// expectedEvents estimates the number of events of the response: the mean of the route's streams,
// but no more than the caller's bound on the output.
func (f *forwarding) expectedEvents() float64 {
	stride := max(f.service.Engine.Stride, 1)
	bound := float64((f.OutputTokens + stride - 1) / stride)
	mean := f.gateway.admission.controller.MeanEvents(f.service.Name, f.route.Name)
	switch {
	case mean == 0:
		return bound
	case bound == 0:
		return mean
	}
	return min(mean, bound)
}

// recordFirstResponse records the first response to a request that was admitted by priority.
func (f *forwarding) recordFirstResponse() {
	if !f.admitted {
		return
	}
	f.admitted = false
	now := time.Now()
	late := f.route.Target > 0 && now.Sub(f.started) > f.route.Target
	f.startedInTime = !late
	f.gateway.admission.controller.Started(now, f.service.Name, f.admittedTier, late && !f.atSlowEndpoint(now))
}

// atSlowEndpoint reports whether the endpoint of the last attempt is known to be slow. Requests there are late
// however few are admitted, and refusing less urgent ones because of it would leave the other engines idle.
func (f *forwarding) atSlowEndpoint(now time.Time) bool {
	return f.gateway.loadTracker.IsSlow(now, f.lastEndpoint)
}

// endAdmission records the response to a request that was not streamed, and the pauses and the length
// of a stream.
func (f *forwarding) endAdmission() {
	if !f.firstByteAt.IsZero() {
		f.recordFirstResponse()
	}
	if f.startedInTime && f.route.TargetPause > 0 && f.longestPause > f.route.TargetPause && !f.atSlowEndpoint(time.Now()) {
		f.gateway.admission.controller.Late(time.Now(), f.service.Name, f.admittedTier)
	}
	if f.service.Engine != nil && f.eventsSent > 0 && f.gateway.admission.applies(f.config, f.service) {
		f.gateway.admission.controller.Ended(f.service.Name, f.route.Name, f.eventsSent)
	}
}

// notAdmittedRetryAfter is the Retry-After value of a request that is not admitted: in time for
// part of the load to have ended, and longer the fewer such requests are admitted.
func notAdmittedRetryAfter(d *admission.ArrivalDecision) time.Duration {
	const shortest, longest = time.Second, 3 * time.Second
	return shortest + time.Duration((1-d.Share)*float64(longest-shortest))
}

// applyDecision divides the engines according to whether a service's requests are refused by
// priority, and logs changes.
func (g *Gateway) applyDecision(service string, d admission.ArrivalDecision) {
	a := g.admission
	a.mu.Lock()
	unmetered := !a.metered[meteredTier{service, d.Tier}]
	a.metered[meteredTier{service, d.Tier}] = true
	a.mu.Unlock()
	if unmetered {
		g.registerTierMetrics(service, d.Tier)
	}
	g.setScarce(service, d.Scarce, d.Resource, d.Demand, d.Capacity)
}

// setScarce records whether a service's requests are refused by priority.
func (g *Gateway) setScarce(service string, scarce bool, resource admission.EngineResource, demand, capacity float64) {
	a := g.admission
	a.mu.Lock()
	changed := a.scarce[service] != scarce
	a.scarce[service] = scarce
	a.mu.Unlock()
	if !changed {
		return
	}
	g.loadTracker.SetScarce(service, scarce)
	if !scarce {
		g.log.Info("capacity_sufficient", zap.String("service", service), zap.String("resource", string(resource)), zap.Float64("capacity", capacity), zap.Float64("demand", demand))
		return
	}
	g.log.Warn("capacity_scarce", zap.String("service", service), zap.String("resource", string(resource)), zap.Float64("capacity", capacity), zap.Float64("demand", demand))
}

// refreshScarce computes the shares of services with scarce capacity again, also if no requests
// arrive at this entry.
func (g *Gateway) refreshScarce(now time.Time) {
	snapshot := g.snapshot.Load()
	if snapshot.Config == nil {
		return
	}
	g.admission.mu.Lock()
	var services []string
	for service, scarce := range g.admission.scarce {
		if scarce {
			services = append(services, service)
		}
	}
	g.admission.mu.Unlock()
	for _, name := range services {
		engines := g.policy.EngineStates(now, snapshot.Config.Service(name), snapshot.Endpoints(name))
		d := g.admission.controller.Refresh(now, name, engines)
		g.setScarce(name, d.Scarce, d.Resource, d.Demand, d.Capacity)
	}
}

// appendOfferedLoads adds to a heartbeat what callers offered to this entry.
func appendOfferedLoads(h *wire.Heartbeat, loads []admission.TierLoad) {
	for i := range loads {
		l := &loads[i]
		offered := &wire.OfferedLoad{Service: l.Service, Tier: uint32(l.Tier), OfferedMs: roundLoad(l.Offered), AdmittedMs: roundLoad(l.Admitted), Started: roundLoad(l.Started), Late: roundLoad(l.Late), MemoryMs: roundLoad(l.Needed.Memory)}
		if time := roundLoad(l.Needed.Time); time != offered.OfferedMs {
			offered.TimeMs = time
		}
		for _, a := range l.Accounts {
			offered.Accounts = append(offered.Accounts, a.Account)
			offered.AccountMs = append(offered.AccountMs, roundLoad(a.Offered))
		}
		h.OfferedLoads = append(h.OfferedLoads, offered)
	}
}

// roundLoad rounds a load, or a number of requests, to the unit of heartbeats.
func roundLoad(x float64) uint32 { return uint32(max(x, 0) + 0.5) }

// decodeOfferedLoads returns what a heartbeat says that callers offered to its sender.
func decodeOfferedLoads(h *wire.Heartbeat) []admission.TierLoad {
	loads := make([]admission.TierLoad, 0, len(h.OfferedLoads))
	for _, o := range h.OfferedLoads {
		if o.Tier > maxTier {
			continue // from a later version
		}
		l := admission.TierLoad{Service: o.Service, Tier: admission.Tier(o.Tier), Offered: float64(o.OfferedMs), Admitted: float64(o.AdmittedMs), Started: float64(o.Started), Late: float64(o.Late), Needed: admission.Load{Time: float64(cmp.Or(o.TimeMs, o.OfferedMs)), Memory: float64(o.MemoryMs)}}
		for i := range min(len(o.Accounts), len(o.AccountMs)) {
			l.Accounts = append(l.Accounts, admission.AccountLoad{Account: o.Accounts[i], Offered: float64(o.AccountMs[i])})
		}
		loads = append(loads, l)
	}
	return loads
}

const maxTier = 255

// registerTierMetrics registers the gauges of a tier when it first offers load.
func (g *Gateway) registerTierMetrics(service string, tier admission.Tier) {
	status := func(value func(s *admission.TierStatus) float64) func() float64 {
		return func() float64 {
			s := g.admission.controller.Status(service, tier)
			return value(&s)
		}
	}
	labels := "{service=" + strconv.Quote(service) + ",tier=\"" + strconv.Itoa(int(tier)) + "\"}"
	g.metrics.GetOrCreateGauge("aspenyard_gateway_admitted_share"+labels, status(func(s *admission.TierStatus) float64 { return s.Share }))
	g.metrics.GetOrCreateGauge("aspenyard_gateway_offered_load"+labels, status(func(s *admission.TierStatus) float64 { return s.Offered }))
	g.metrics.GetOrCreateGauge("aspenyard_gateway_offered_memory"+labels, status(func(s *admission.TierStatus) float64 { return s.OfferedMemory }))
	g.metrics.GetOrCreateGauge("aspenyard_gateway_given_capacity{service="+strconv.Quote(service)+"}", status(func(s *admission.TierStatus) float64 { return s.Capacity }))
	g.metrics.GetOrCreateGauge("aspenyard_gateway_given_memory{service="+strconv.Quote(service)+"}", status(func(s *admission.TierStatus) float64 { return s.MemoryCapacity }))
}
