package direct

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/directory"
)

// Request describes a request for placement.
type Request struct {
	// Service is the service that must serve the request. Its Engine is set for
	// language-model services only.
	Service *directory.Service
	// PromptTokens and OutputTokens are upper bounds of the request's size.
	PromptTokens, OutputTokens int
	// DataCentre is the entry's own data centre.
	DataCentre string
	// Priority is the urgency of the request, 0 for the most urgent.
	Priority int
	// MaxPause is the longest pause between events that the request's route allows; 0: any.
	MaxPause time.Duration
	// PassedOver is set for a long prompt that may delay more streams, see Policy.PassedOver.
	PassedOver bool
	// SpreadMemory is set for services whose routes differ in priority: where the cheapest engine
	// has memory for few such prompts that are not long, a random one with memory holds it. Otherwise the
	// cheapest engine for short prompts holds it, as events come later from engines for long prompts.
	SpreadMemory bool
	// Tried holds the endpoints that the request was already sent to.
	Tried map[directory.Incarnation]bool
}

// maxDelayed returns how many streams the request's parts may delay.
func (r *Request) maxDelayed() int {
	if r.PassedOver {
		return maxDelayedByPassedOver
	}
	return maxDelayed
}

// Plan is the placement of a request.
type Plan struct {
	Endpoint *directory.EndpointState
	// Helpers prefill parts of the prompt for Endpoint.
	Helpers []*directory.EndpointState
	// PartPrefill is the estimated prefill time of each part.
	PartPrefill time.Duration
	// Long is set for a long prompt, see IsLongPrompt.
	Long bool
	// MemoryTokens is the KV cache that the request needs, in tokens. Of it,
	// EndpointMemoryTokens may be at the endpoint. Where that is less, HelperMemoryTokens
	// must be reserved at each of the first ReservingHelpers of Helpers.
	MemoryTokens, EndpointMemoryTokens, HelperMemoryTokens, ReservingHelpers int
	// Overloaded is set when the request must not be sent now: of the InFlight requests on
	// the engines, Delayed would be late by the pause that its parts cause, and that is too
	// many. For parts up to longestPart, none are counted as delayed.
	Overloaded        bool
	InFlight, Delayed int
	// RateLimited is set when the request must not be sent now because of the limits that the
	// endpoints state. It may be sent after RetryAfter.
	RateLimited bool
	// InBackoff is set when the request must not be sent now because all endpoints that are left
	// are in backoff. It may be sent after RetryAfter.
	InBackoff  bool
	RetryAfter time.Duration
	// WarmingUp is set when the request must not be sent now because all endpoints that are left are
	// cold and this entry's shares of what they tolerate are used up. It may be sent after RetryAfter.
	WarmingUp bool
	// ExpectedFirstToken is the estimated time from the start of the plan to the first
	// token.
	ExpectedFirstToken time.Duration
	// Cost is the estimated cost by which Endpoint was picked.
	Cost time.Duration
	// Candidates is the number of endpoints that Endpoint was picked from.
	Candidates int
	// pauseClass is the class of the pause that the request's route allows, see PauseClass.
	pauseClass int
	// arrivalTime is the engine time that a short prompt adds to the demand when it is sent; 0 for
	// one that was sent before.
	arrivalTime time.Duration
}

// Refused reports whether the request must not be sent now.
func (plan *Plan) Refused() bool {
	return plan.Overloaded || plan.RateLimited || plan.InBackoff || plan.WarmingUp
}

// HelperIDs returns the IDs of the helpers.
func (plan *Plan) HelperIDs() []string {
	ids := make([]string, 0, len(plan.Helpers))
	for _, e := range plan.Helpers {
		ids = append(ids, e.ID)
	}
	return ids
}

// Rand is the source of randomness for placement.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Policy decides on which endpoints requests are placed.
type Policy struct {
	tracker *LoadTracker
	rand    Rand
	// refusals, and those because endpoints warm up, are used under the tracker's lock.
	refusals, coldRefusals refusals
}

// NewPolicy returns a policy that places requests by the loads of a tracker.
func NewPolicy(tracker *LoadTracker, rand Rand) *Policy {
	return &Policy{tracker: tracker, rand: rand, refusals: refusals{}, coldRefusals: refusals{}}
}

const (
	// inFlightCost is what each request in flight at an endpoint adds to the estimated
	// delay: it decodes there and lengthens every pass, or others like it follow it there.
	inFlightCost = 5 * time.Millisecond
	// overSlotsCost is added for each request in flight beyond the endpoint's slots: one of
	// the others must end first.
	overSlotsCost = 150 * time.Millisecond
	// distanceCost is the round trip to another data centre.
	distanceCost = 2 * time.Millisecond
	// otherPoolCost is added for engines of the other kind. For a short prompt those are
	// the engines for long prompts, where a part of a long prompt would delay it. For a
	// part of a short prompt they are the engines for short prompts, where the part would
	// delay the streams. This cost equals the cost of 40 requests in flight, so that short
	// prompts fill the slots of their own engines first.
	otherPoolCost = 200 * time.Millisecond
	// delayCost is added to an engine's cost for each request that a part over longestPart
	// would delay. It exceeds the pending prefill of most engines.
	delayCost = time.Second
	// minInterruptedPrefill is the pending prefill of an engine above which a part counts
	// as delaying the prompt that is being prefilled there, because it interrupts it.
	minInterruptedPrefill = 200 * time.Millisecond
	// maxParts is the number of engines on which a prompt may be prefilled: the one that it
	// is sent to and the helpers that it may name.
	maxParts = 17
	// memoryCost is the cost of a KV cache that is full by the estimated needs of requests.
	// An engine that runs out of memory restarts its newest request.
	memoryCost = 300 * time.Millisecond
)

// Place picks the endpoints for a request, or refuses it, see Plan.Refused. It returns nil when
// no endpoint is eligible.
func (p *Policy) Place(now time.Time, r *Request, endpoints []*directory.EndpointState) *Plan {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.tracker.updatePendingPrefill(now)
	c := p.eligible(now, r, endpoints)
	switch {
	case c.count() == 0 && len(c.cold)+len(c.coldUsedUp) > 0:
		return p.placeOnlyCold(now, r, c)
	case len(c.unlimited) == 0 && len(c.limited)+len(c.exhausted) > 0:
		return p.placeOnlyLimited(now, r, c)
	case len(c.unlimited) == 0 && len(c.inBackoff) > 0 && !c.tried:
		return p.refuseInBackoff(now, r, c.inBackoff)
	case len(c.unlimited) == 0:
		return nil
	case r.Service.Engine == nil:
		return p.placePlain(now, r, c)
	}
	return p.placeEngine(now, r, c)
}

// placePlain picks the endpoint of a plain service with the lowest cost.
func (p *Policy) placePlain(now time.Time, r *Request, c candidates) *Plan {
	list := p.score(now, r, c.unlimited, nil)
	if len(c.limited) > 0 {
		list = append(list, p.scoreLimited(now, r, c.limited)...)
	}
	if len(c.cold) > 0 {
		list = append(list, p.scoreCold(now, r, c.cold)...)
	}
	best := pickCheapest(p.rand, list)
	return &Plan{Endpoint: best.endpoint, Cost: best.cost, Candidates: c.count()}
}

// placeEngine picks an engine, and helpers where the prompt is prefilled in parts. Engines that
// state a limit take short prompts only, unless all engines do.
func (p *Policy) placeEngine(now time.Time, r *Request, c candidates) *Plan {
	engine := r.Service.Engine
	prefill := PrefillTime(engine, r.PromptTokens)
	plan := &Plan{Long: isLong(r.Service, prefill), MemoryTokens: r.PromptTokens + r.OutputTokens, Candidates: c.count(), pauseClass: PauseClass(r.MaxPause)}
	if !plan.Long && len(r.Tried) == 0 {
		plan.arrivalTime = RequestCost(r.Service, r.PromptTokens, r.OutputTokens)
	}
	var list []scored
	var parts int
	switch {
	case len(c.unlimited) == 0:
		list, parts = p.scoreLimited(now, r, c.limited), 1
	case plan.Long:
		list, parts = p.longEngines(now, r, c.unlimited, prefill)
	default:
		list, parts = p.shortEngines(now, r, c.unlimited, prefill)
		if parts == 1 && len(c.limited) > 0 {
			list = append(list, p.scoreLimited(now, r, c.limited)...)
		}
		if parts == 1 && len(c.cold) > 0 {
			list = append(list, p.scoreCold(now, r, c.cold)...)
		}
	}
	plan.PartPrefill = prefill / time.Duration(parts)
	if plan.PartPrefill <= p.countedPart(r.Service) {
		p.assign(plan, list, parts, engine)
		return plan
	}
	p.countDelayed(list, partPause(engine, plan.PartPrefill))
	sparing, interrupting := *plan, *plan
	p.assign(&sparing, addDelayCost(list, true), parts, engine)
	if sparing.Delayed <= maxDelayed {
		return &sparing
	}
	// Interrupting the prefill of other prompts is better than refusing this one.
	p.assign(&interrupting, addDelayCost(list, false), parts, engine)
	if interrupting.Overloaded = interrupting.Delayed > r.maxDelayed(); interrupting.Overloaded && plan.Long {
		if whole := p.placeWhole(now, r, c); whole != nil {
			return whole
		}
	}
	return &interrupting
}

// assign distributes the parts over the engines of a list and completes the plan.
func (p *Policy) assign(plan *Plan, list []scored, parts int, engine *directory.Engine) {
	pending := p.chooseEngines(plan, list, parts, maxSingleEngineMemory(engine))
	plan.ExpectedFirstToken = pending + plan.PartPrefill + 2*PassTime(engine)
	plan.splitMemory(engine)
}

// partPause is the pause that a part causes for the streams that decode on its engine.
func partPause(engine *directory.Engine, part time.Duration) time.Duration {
	return DecodeTime(engine, engine.Slots/2, engine.KVCacheTokens/2) + part
}

// countDelayed sets, for each engine, how many of its requests in flight would be late by
// the pause.
func (p *Policy) countDelayed(list []scored, pause time.Duration) {
	for i := range list {
		list[i].delayed = p.tracker.streamCounts(list[i].endpoint.Incarnation).delayedBy(pause)
	}
}

// addDelayCost returns a copy of the list with the cost of the requests that a part would
// delay on each engine: streams that would be late by the pause and, with sparePrefill, the
// prompt that is being prefilled. If engines were chosen by pending prefill alone, a plan
// could be refused because of the streams on engines with little to prefill, while other
// engines have no streams.
func addDelayCost(list []scored, sparePrefill bool) []scored {
	list = slices.Clone(list)
	for i := range list {
		s := &list[i]
		delayed := s.delayed
		if sparePrefill && s.pendingPrefill > minInterruptedPrefill {
			delayed++
		}
		s.cost += time.Duration(delayed) * delayCost
	}
	return list
}

// shortEngines returns the engines for a prompt that is not long, and the number of its
// parts. All entries see endpoints in the same order: short prompts have the engines at the
// start of the list, long ones those at the end, and the boundary follows the demand. A
// prompt in several parts is sent to an engine for short prompts, and its other parts are
// prefilled on the engines for long ones. On the engines for short prompts, three or four
// such parts would share a pass, which would exceed the pause that short streams allow.
func (p *Policy) shortEngines(now time.Time, r *Request, candidates []*directory.EndpointState, prefill time.Duration) ([]scored, int) {
	target := partTarget(r.Service)
	boundary := min(p.boundary(now, r.Service, len(candidates)), len(candidates))
	if prefill < 2*target {
		return p.scoreSample(now, r, p.sampleEngines(candidates[:boundary], candidates[boundary:])), 1
	}
	list := p.score(now, r, candidates, r.Service.Engine)
	p.markPreferred(list, boundary, r.SpreadMemory)
	addCost(list[:boundary], p.shortPoolCost(r.Service.Name))
	list = dropSlowUnlessAll(list)
	return list, partCount(prefill, target, len(list))
}

// scoreSample scores the engines that were sampled for a short prompt.
func (p *Policy) scoreSample(now time.Time, r *Request, sample engineSample) []scored {
	list := p.score(now, r, sample.own, r.Service.Engine)
	otherEntries := p.score(now, r, sample.otherEntries, r.Service.Engine)
	if p.tracker.rank.count > 0 {
		addCost(otherEntries, otherEntryCost)
	}
	longEngines := p.score(now, r, sample.longEngines, r.Service.Engine)
	addCost(longEngines, otherPoolCost)
	return slices.Concat(list, otherEntries, longEngines)
}

// longEngines returns the engines for a long prompt and the number of its parts. They are
// the engines at the end of the list, and others where these are too few.
func (p *Policy) longEngines(now time.Time, r *Request, candidates []*directory.EndpointState, prefill time.Duration) ([]scored, int) {
	engine := r.Service.Engine
	boundary := min(p.boundary(now, r.Service, len(candidates)), len(candidates)-1)
	others := candidates[:boundary]
	list := dropSlowUnlessAll(p.score(now, r, candidates[boundary:], engine))
	if needed := enginesForMemory(engine, r.PromptTokens+r.OutputTokens); len(list) < needed {
		return p.memoryEngines(r.Service.Name, p.score(now, r, candidates, engine), needed)
	}
	parts := partCount(prefill, partTarget(r.Service), len(list))
	if prefill/time.Duration(parts) > longestPart(r.Service) {
		return p.widen(now, r, others, list, prefill)
	}
	return list, parts
}

// partCount returns the number of parts into which a prompt is split on the given number of
// engines.
func partCount(prefill, target time.Duration, engines int) int {
	return max(1, min(int((prefill+target-1)/target), maxParts, engines))
}

// maxDelayed is the number of streams that a plan with parts over longestPart may delay.
const maxDelayed = 4

// maxDelayedByPassedOver is that number for a prompt that is passed over, see Policy.PassedOver.
const maxDelayedByPassedOver = 4 * maxDelayed

// maxWidenInFlight is the number of requests in flight on the other engines that a long
// prompt may delay when it needs more engines than those for long prompts.
const maxWidenInFlight = 12

// widen adds the cheapest of the other engines to the list, as many as make the prompt's
// parts short enough, or as short as possible. It adds none if the added engines would have
// more than maxWidenInFlight requests in flight.
func (p *Policy) widen(now time.Time, r *Request, others []*directory.EndpointState, list []scored, prefill time.Duration) ([]scored, int) {
	parts := min(maxParts, len(list))
	longest := longestPart(r.Service)
	more := dropSlow(p.score(now, r, others, r.Service.Engine))
	needed := min(int((prefill+longest-1)/longest), maxParts, len(list)+len(more))
	extra := needed - len(list)
	if extra <= 0 {
		return list, parts
	}
	slices.SortStableFunc(more, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	inFlight := 0
	for _, s := range more[:extra] {
		inFlight += s.inFlight
	}
	if inFlight > maxWidenInFlight {
		return list, parts
	}
	return append(list, more[:extra]...), needed
}

// boundary is the number of a service's engines that are reserved for short prompts.
func (p *Policy) boundary(now time.Time, service *directory.Service, engines int) int {
	return p.boundaryFor(p.allowedDemand(now, service), service, engines)
}

// boundaryFor returns the boundary for a given demand.
func (p *Policy) boundaryFor(demand Demand, service *directory.Service, engines int) int {
	demand.maxShortShare = p.tracker.maxShortShare(&demand, engines)
	if !p.tracker.knowsOtherEntries() {
		// Entries that have all just started would each send their first requests to the
		// same few engines.
		return maxShortEngines(demand, service.Engine, engines)
	}
	return enginesForShort(demand, service.Engine, engines, p.tracker.rank.count)
}

// ShortEngines returns the number of a service's engines that are reserved for short prompts, out of
// the given number.
func (p *Policy) ShortEngines(now time.Time, service *directory.Service, engines int) int {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.tracker.updatePendingPrefill(now)
	return min(p.boundary(now, service, engines), engines)
}
