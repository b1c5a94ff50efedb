package admission

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ControllerConfig holds the parameters of a Controller.
type ControllerConfig struct {
	// Utilization is the fraction of the engines' time that is given out, 0 to 1. With a higher
	// value more requests are admitted, and more of those find all slots of an engine taken.
	Utilization float64
	// Minimum is the fraction of the capacity that each less urgent tier keeps as long as it
	// offers load, 0 to 1. A higher value serves more of the less urgent requests and refuses more of
	// the urgent ones.
	Minimum float64
	// RefreshInterval is the time for which shares are used before they are computed again. Reports
	// of other entries arrive every 100 to 300 ms. Many engines and entries lengthen it, see
	// refreshPerEngine.
	RefreshInterval time.Duration
}

// DefaultControllerConfig returns the parameters that the gateway uses; docs/design/admission.md
// has the measurements.
func DefaultControllerConfig() ControllerConfig {
	return ControllerConfig{Utilization: 0.85, Minimum: 0.03, RefreshInterval: 50 * time.Millisecond}
}

const (
	// scarceUse is the use of engines below which capacity is never scarce, whatever load is
	// estimated: no engine may be idle while requests are refused.
	scarceUse = 0.6
	// fullUse is the use of engines up to which more is given out than the estimate of the capacity,
	// in proportion to what is unused.
	fullUse = 0.75
	// maxUnusedFactor bounds that proportion.
	maxUnusedFactor = 1.5
	// sufficientDemand is the demand, as a fraction of what is given out, below which scarcity
	// ends, and sufficientFor how long it must have been below. Without the difference a load near
	// the capacity would be refused and admitted in turns.
	sufficientDemand = 0.9
	sufficientFor    = 2500 * time.Millisecond
	// defaultUrgentTarget takes the place of the most urgent target while no request with one has come.
	defaultUrgentTarget = 250 * time.Millisecond
	// refreshPerEngine and refreshPerReport are by how much each engine and each report in use lengthen
	// the time until the shares are computed again: a hundred times what they cost, so that this takes
	// about a hundredth of a core.
	refreshPerEngine = 15 * time.Microsecond
	refreshPerReport = 500 * time.Microsecond
	// refreshShare is the fraction of the requests that engines can start in time after which the
	// shares are computed again, in a burst that is shorter than RefreshInterval; but not before
	// minRefreshAfter requests.
	refreshShare    = 0.1
	minRefreshAfter = 8
	// reportLag is the time in which entries admit requests before they learn of each other's.
	reportLag = 150 * time.Millisecond
)

// Arrival describes a request that asks to be admitted.
type Arrival struct {
	Service string
	Tier    Tier
	// Account is the client account's name, Kind the route's.
	Account, Kind string
	// Cost is the engine time that the request needs, Prefill the part of it that is spent on its
	// prompt, and Memory the time of an engine whose whole KV cache is held that corresponds to what
	// the request holds.
	Cost, Prefill, Memory time.Duration
	// Slack is the time from now until the first token is late, less that of the passes of an
	// engine which it takes in any case; 0: the route has no target.
	Slack time.Duration
	// Target is the time until the first token is late; 0: the route has none.
	Target time.Duration
	// Exempt requests are admitted in any case, and counted.
	Exempt bool
	// Returning requests go before others of their tier: their callers were refused and return when
	// they were told to.
	Returning bool
	// Early requests return before their time. While capacity is scarce they are not admitted, as each
	// further attempt would have another chance, and they do not count as offered load.
	Early bool
}

// ArrivalDecision says whether a request is admitted.
type ArrivalDecision struct {
	Admitted bool
	// Tier is the request's tier, and Share the share of such requests that is admitted.
	Tier  Tier
	Share float64
	// Offered is the load of the tier and of the more urgent ones in the resource that demand exceeds
	// most, in milliseconds a second over all entries.
	Offered float64
	ServiceStatus
}

// largestCost is what the request needs of the resource of which it needs most, in milliseconds.
func (a *Arrival) largestCost() float64 { return milliseconds(max(a.Cost, a.Memory)) }

// EngineResource is what requests need of engines.
type EngineResource string

// The resources of engines.
const (
	EngineTime   EngineResource = "time"
	EngineMemory EngineResource = "memory"
)

// of returns the load of one resource.
func (r EngineResource) of(l Load) float64 {
	if r == EngineMemory {
		return l.Memory
	}
	return l.Time
}

// Controller decides which requests are admitted while the engines of a service have too little
// capacity for all. Each entry has one. Entries report what callers offered them to each other and
// compute the same shares from all reports. It is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	config   ControllerConfig
	entries  int
	services map[string]*serviceState
	peers    map[string]*peerReport
	diffuser *diffuser
}

// NewController returns a controller for the entry with the given name.
func NewController(config ControllerConfig, entry string) *Controller {
	return &Controller{config: config, entries: 1, services: map[string]*serviceState{}, peers: map[string]*peerReport{}, diffuser: newDiffuser(xxhash.Sum64String(entry))}
}

// HashAccount returns the hash that stands for a client account in reports.
func HashAccount(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetEntries sets the number of entries including this one, whether or not all of them report.
func (c *Controller) SetEntries(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = n
}

// Merge records the report of another entry in place of its previous one. A report that is not full
// replaces the loads of the services that it lists.
func (c *Controller) Merge(now time.Time, entry string, loads []TierLoad, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.peers[entry]; previous != nil && !full {
		listed := func(l TierLoad) bool {
			return slices.ContainsFunc(loads, func(other TierLoad) bool { return other.Service == l.Service })
		}
		loads = append(slices.DeleteFunc(slices.Clone(previous.loads), listed), loads...)
	}
	c.peers[entry] = &peerReport{now, loads}
	maps.DeleteFunc(c.peers, func(_ string, p *peerReport) bool { return now.Sub(p.receivedAt) > reportTTL })
}

// Reports returns what callers lately offered to this entry, without tiers that offer nothing. Client
// accounts are listed only while capacity is scarce: without them entries divide a tier evenly until
// the next report. A report that is not full leaves out services whose demand is far below their
// capacity and has hardly changed.
func (c *Controller) Reports(now time.Time, full bool) []TierLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []TierLoad
	for name, s := range c.services {
		loads := s.reports(now, name)
		if full || s.reportDue(loads) {
			s.reported = totalOffered(loads)
			list = append(list, loads...)
		}
	}
	return list
}

// Admit decides on a request. engines returns the engines of its service; it is called when the
// shares must be computed again.
func (c *Controller) Admit(now time.Time, a *Arrival, engines func() []EngineState) ArrivalDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(a.Service)
	account := HashAccount(a.Account)
	window := s.tier(a.Tier)
	window.typical.observe(a)
	if !a.Early {
		window.arrive(now, account, a)
	}
	if now.Sub(s.computedAt) >= s.interval || s.shares[a.Tier] == nil || s.admitted >= s.refreshAfter {
		c.refresh(now, a.Service, s, engines())
	}
	d := ArrivalDecision{ServiceStatus: s.status(), Tier: a.Tier, Share: 1}
	if share := s.shares[a.Tier]; share != nil { // nil for requests that cost nothing
		d.Offered = s.resource.of(share.offered)
		if s.scarce {
			d.Share = share.of(account)
		}
	}
	d.Admitted = a.Exempt || d.Share >= 1 || !a.Early && d.Share > 0 && c.diffuser.admit(diffusionKey{a.Tier, account, a.Kind}, d.Share, a.Returning)
	if d.Admitted {
		s.admitted++
		window.admitted.add(now, window.window(), a.largestCost())
	}
	return d
}

// ServiceStatus is the state of a service. Scarce is set while shares are applied. Demand is the load of
// all tiers and Capacity what is given out to them, in milliseconds a second over all entries; both are of
// Resource, which is what demand exceeds most.
type ServiceStatus struct {
	Scarce           bool
	Resource         EngineResource
	Demand, Capacity float64
}

// Refresh computes the shares of a service again, and returns the service's state. It ends the scarcity of
// a service whose callers have stopped to send requests to this entry.
func (c *Controller) Refresh(now time.Time, service string, engines []EngineState) ServiceStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	c.refresh(now, service, s, engines)
	return s.status()
}

// Started records the first response to an admitted request.
func (c *Controller) Started(now time.Time, service string, tier Tier, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window := c.service(service).tier(tier)
	window.started.add(now, minWindow, 1)
	if late {
		window.late.add(now, minWindow, 1)
	}
}

// Late records that an admitted request, whose first response was in time, was late later on.
func (c *Controller) Late(now time.Time, service string, tier Tier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(service).tier(tier).late.add(now, minWindow, 1)
}

// Ended records the number of events of a stream that has ended, from which the cost of later
// requests of its kind is estimated.
func (c *Controller) Ended(service, kind string, events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.service(service).kind(kind)
	if k.events == 0 {
		k.events = float64(events)
		return
	}
	k.events += typicalWeight * (float64(events) - k.events)
}

// MeanEvents returns the mean number of events of the streams of a kind; 0 if none has ended.
func (c *Controller) MeanEvents(service, kind string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(service).kind(kind).events
}

// TierStatus is the state of one tier, for metrics.
type TierStatus struct {
	// Share is the share of the tier's load that is admitted, Offered its load over all entries and
	// Capacity what is given out to all tiers of the service, in milliseconds a second.
	Share, Offered, Capacity float64
	// OfferedMemory and MemoryCapacity are Offered and Capacity of the memory.
	OfferedMemory, MemoryCapacity float64
}

// Status returns the state of a tier as of the last decision on a request of its service. A tier
// that offers nothing has a share of 1.
func (c *Controller) Status(service string, tier Tier) TierStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	status := TierStatus{Share: 1, Capacity: s.given.Time, MemoryCapacity: s.given.Memory}
	if share := s.shares[tier]; share != nil {
		status.Offered, status.OfferedMemory = share.own.Time, share.own.Memory
		if s.scarce {
			status.Share = share.mean * share.startable
		}
	}
	return status
}

func (c *Controller) service(name string) *serviceState {
	s := c.services[name]
	if s == nil {
		s = newServiceState()
		c.services[name] = s
	}
	return s
}
