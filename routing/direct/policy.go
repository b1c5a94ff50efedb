package direct

import (
	"cmp"
	"slices"
	"time"

	"aspenyard.example/directory"
)

// Request is what placing needs to know.
type Request struct {
	// Service is what must serve it; Engine is set for language-model services.
	Service *directory.Service
	// PromptTokens and OutputTokens bound its size.
	PromptTokens, OutputTokens int
	// DataCentre is the entry's own.
	DataCentre string
	// MaxPause is the longest pause between events that its route allows; 0: any.
	MaxPause time.Duration
	// Tried holds the endpoints that it was sent to already.
	Tried map[directory.Incarnation]bool
}

// Plan says where a request goes.
type Plan struct {
	Endpoint *directory.EndpointState
	// Helpers prefill parts of the prompt.
	Helpers []*directory.EndpointState
	// PartPrefill is the estimated time of each part.
	PartPrefill time.Duration
	// Long is set when the whole prompt's prefill is long.
	Long bool
	// MemoryTokens is the KV cache that the request needs, in tokens. Of it, EndpointMemoryTokens may
	// be at the endpoint; where that is less, HelperMemoryTokens is to be reserved at each of the
	// first ReservingHelpers of the helpers.
	MemoryTokens, EndpointMemoryTokens, HelperMemoryTokens, ReservingHelpers int
	// Overloaded is set when the request must not be sent now: Harmed of the Open requests on the
	// engines would be late by the pause that its parts are for them. Parts that are short enough
	// are not counted for it.
	Overloaded        bool
	InFlight, Delayed int
	// ExpectedFirstToken is when the first token is expected.
	ExpectedFirstToken time.Duration
	// Cost is the estimate by which the endpoint was picked.
	Cost time.Duration
	// Candidates is how many endpoints it was picked from.
	Candidates int
	// pauseClass is that of the pause which the request's route allows.
	pauseClass int
}

// HelperIDs names the helpers.
func (plan *Plan) HelperIDs() []string {
	ids := make([]string, 0, len(plan.Helpers))
	for _, e := range plan.Helpers {
		ids = append(ids, e.ID)
	}
	return ids
}

// Rand is the randomness that placing needs.
type Rand interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Policy places requests.
type Policy struct {
	tracker *LoadTracker
	rand    Rand
}

// NewPolicy makes a policy over a ledger.
func NewPolicy(tracker *LoadTracker, rand Rand) *Policy {
	return &Policy{tracker: tracker, rand: rand}
}

const (
	// inFlightCost is what each open request at an endpoint adds to the estimated delay: it
	// decodes there and lengthens every pass, or others like it follow.
	inFlightCost = 5 * time.Millisecond
	// overSlotsCost is what each request adds that is open beyond the endpoint's slots: one
	// of them must end first.
	overSlotsCost = 150 * time.Millisecond
	// distanceCost is the way to another data centre and back.
	distanceCost = 2 * time.Millisecond
	// otherPoolCost is what an engine of the other kind costs a short prompt, which a part of
	// a long one that is prefilled there makes late; and what one of its own kind costs a part
	// of a short prompt, which makes those late that decode there. It is worth 40 open requests, so that
	// those for short ones fill their slots first.
	otherPoolCost = 200 * time.Millisecond
	// delayCost is what each request that a part over longestPart would make late adds to its
	// engine's cost: more than most engines have to read.
	delayCost = time.Second
	// minInterruptedPrefill is what an engine has to read at least for a part to harm the prompt that is read
	// there, which it stops.
	minInterruptedPrefill = 200 * time.Millisecond
	// maxParts is on how many engines a prompt is prefilled: the one that it is sent to
	// and the helpers that it may name.
	maxParts = 17
	// memoryCost is what a full KV cache of one's own requests costs: an engine that
	// runs out of memory starts its newest request anew.
	memoryCost = 300 * time.Millisecond
)

// Place picks where a request goes; nil when no endpoint may be sent it.
func (p *Policy) Place(now time.Time, r *Request, endpoints []*directory.EndpointState) *Plan {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.tracker.updatePendingPrefill(now)
	candidates := p.eligible(now, r, endpoints)
	if len(candidates) == 0 {
		return nil
	}
	if r.Service.Engine == nil {
		return p.placePlain(now, r, candidates)
	}
	return p.placeEngine(now, r, candidates)
}

// placePlain picks the endpoint of a plain service with the least to do.
func (p *Policy) placePlain(now time.Time, r *Request, candidates []*directory.EndpointState) *Plan {
	best := pickCheapest(p.rand, p.score(now, r, candidates, nil))
	return &Plan{Endpoint: best.endpoint, Cost: best.cost, Candidates: len(candidates)}
}

// placeEngine picks an engine, and helpers where the prompt is prefilled in parts.
func (p *Policy) placeEngine(now time.Time, r *Request, candidates []*directory.EndpointState) *Plan {
	engine := r.Service.Engine
	prefill := PrefillTime(engine, r.PromptTokens)
	plan := &Plan{Long: isLong(r.Service, prefill), MemoryTokens: r.PromptTokens + r.OutputTokens, Candidates: len(candidates), pauseClass: PauseClass(r.MaxPause)}
	var list []scored
	var parts int
	if plan.Long {
		list, parts = p.longEngines(now, r, candidates, prefill)
	} else {
		list, parts = p.shortEngines(now, r, candidates, prefill)
	}
	plan.PartPrefill = prefill / time.Duration(parts)
	if plan.PartPrefill <= longestPart(r.Service) {
		p.assign(plan, list, parts, engine)
		return plan
	}
	p.countDelayed(list, partPause(engine, plan.PartPrefill))
	sparing, interrupting := *plan, *plan
	p.assign(&sparing, addDelayCost(list, true), parts, engine)
	if sparing.Delayed <= maxDelayed {
		return &sparing
	}
	// Rather than be refused, the prompt stops others that are read.
	p.assign(&interrupting, addDelayCost(list, false), parts, engine)
	interrupting.Overloaded = interrupting.Delayed > maxDelayed
	return &interrupting
}

// assign gives a plan so many parts of a list of engines.
func (p *Policy) assign(plan *Plan, list []scored, parts int, engine *directory.Engine) {
	pending := p.chooseEngines(plan, list, parts, maxSingleEngineMemory(engine))
	plan.ExpectedFirstToken = pending + plan.PartPrefill + 2*PassTime(engine)
	plan.splitMemory(engine)
}

// partPause is the pause that a part means for those who decode on its engine.
func partPause(engine *directory.Engine, part time.Duration) time.Duration {
	return DecodeTime(engine, engine.Slots/2, engine.KVCacheTokens/2) + part
}

// countDelayed notes how many of the requests that are open on each engine would be late by a pause.
func (p *Policy) countDelayed(list []scored, pause time.Duration) {
	for i := range list {
		list[i].delayed = p.tracker.streamCounts(list[i].endpoint.Incarnation).delayedBy(pause)
	}
}

// addDelayCost gives a list of engines with the cost of whom a part harms there: streams that would be
// late by the pause and, with spareRead, the prompt that is read. A plan that went by what engines
// have to read alone would be refused for the streams on engines that have little to read, while
// others have none.
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

// shortEngines gives the engines that a prompt which is not long may be sent to, and in how
// many parts. Endpoints come in the same order at every entry: short prompts have the
// engines at its beginning, long ones those at its end, and the boundary follows the demand.
// One in parts is held by an engine for short ones and prefilled on those for long ones: on
// its own kind's three or four such parts meet in one pass, over the pause that short streams
// allow.
func (p *Policy) shortEngines(now time.Time, r *Request, candidates []*directory.EndpointState, prefill time.Duration) ([]scored, int) {
	target := partTarget(r.Service)
	boundary := min(p.boundary(now, r.Service, len(candidates)), len(candidates))
	if prefill < 2*target {
		return p.scoreSample(now, r, p.sampleEngines(candidates[:boundary], candidates[boundary:])), 1
	}
	list := p.score(now, r, candidates, r.Service.Engine)
	short := list[:boundary]
	markPreferred(short)
	addCost(short, otherPoolCost)
	list = dropSlowUnlessAll(list)
	return list, partCount(prefill, target, len(list))
}

// scoreSample scores the engines drawn for a short prompt.
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

// longEngines gives the engines that a long prompt may be prefilled on, and in how many
// parts: those at the end of the list, and others where these are too few.
func (p *Policy) longEngines(now time.Time, r *Request, candidates []*directory.EndpointState, prefill time.Duration) ([]scored, int) {
	engine := r.Service.Engine
	boundary := min(p.boundary(now, r.Service, len(candidates)), len(candidates)-1)
	others := candidates[:boundary]
	list := dropSlowUnlessAll(p.score(now, r, candidates[boundary:], engine))
	if needed := enginesForMemory(engine, r.PromptTokens+r.OutputTokens); len(list) < needed {
		all := p.score(now, r, candidates, engine)
		if list = dropSlowUnlessAll(all); len(list) < needed {
			list = all
		}
		return list, min(maxParts, len(list))
	}
	parts := partCount(prefill, partTarget(r.Service), len(list))
	if prefill/time.Duration(parts) > longestPart(r.Service) {
		return p.widen(now, r, others, list, prefill)
	}
	return list, parts
}

// partCount is in how many parts a prompt is prefilled on so many engines.
func partCount(prefill, target time.Duration, engines int) int {
	return max(1, min(int((prefill+target-1)/target), maxParts, engines))
}

// maxDelayed is how many streams a plan with parts over longestPart may make late.
const maxDelayed = 4

// maxWidenInFlight is how many short requests may be held up by a long prompt that needs more
// engines than those for long prompts.
const maxWidenInFlight = 12

// widen adds to the engines for long prompts as many of the others, those with the
// least open, as make a prompt's parts short enough, or as short as they can be; none if
// too much is open there.
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

// boundary is how many of a service's engines short prompts have to themselves.
func (p *Policy) boundary(now time.Time, service *directory.Service, engines int) int {
	return p.boundaryFor(p.tracker.totalDemand(now, service.Name), service, engines)
}

// boundaryFor is the same at a demand that is known.
func (p *Policy) boundaryFor(demand Demand, service *directory.Service, engines int) int {
	if !p.tracker.knowsOtherEntries() {
		// Entries that have all just started would each send their first requests to the
		// same few engines.
		return maxShortEngines(demand, service.Engine, engines)
	}
	return enginesForShort(demand, service.Engine, engines, p.tracker.rank.count)
}
