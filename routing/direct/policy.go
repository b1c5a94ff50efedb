package direct

import (
	"cmp"
	"math"
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
	// Tried holds the IDs of endpoints that it was sent to already.
	Tried map[string]bool
}

// Plan says where a request goes.
type Plan struct {
	Endpoint *directory.Listed
	// Helpers prefill parts of the prompt.
	Helpers []*directory.Listed
	// Prefill is the estimated time of each part.
	Prefill time.Duration
	// Long is set when the whole prompt's prefill is long.
	Long bool
	// Memory is the KV cache that the request needs, in tokens. Of it, FirstMemory may
	// be at the endpoint; where that is less, HelperMemory is to be reserved at each
	// helper.
	Memory, FirstMemory, HelperMemory int
	// Crowded is set when the request must not be sent now: its parts would hold up the
	// Open requests on the engines for too long.
	Crowded bool
	Open    int
	// Cost is the estimate by which the endpoint was picked.
	Cost time.Duration
	// Candidates is how many endpoints it was picked from.
	Candidates int
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
	ledger *Ledger
	rand   Rand
}

// NewPolicy makes a policy over a ledger.
func NewPolicy(ledger *Ledger, rand Rand) *Policy {
	return &Policy{ledger: ledger, rand: rand}
}

const (
	// openCost is what each open request at an endpoint adds to the estimated delay: it
	// decodes there and lengthens every pass, or others like it follow.
	openCost = 5 * time.Millisecond
	// slotCost is what each request adds that is open beyond the endpoint's slots: one
	// of them must end first.
	slotCost = 150 * time.Millisecond
	// distanceCost is the way to another data centre and back.
	distanceCost = 2 * time.Millisecond
	// foreignCost is what an engine of the other kind costs a short prompt: a part of a
	// long one that is prefilled there makes it late.
	foreignCost = 60 * time.Millisecond
	// partTarget is the prefill of one part of a prompt: short beside the pause that
	// those who decode on the same engine allow.
	partTarget = 60 * time.Millisecond
	// maxParts is on how many engines a prompt is prefilled: the one that it is sent to
	// and the helpers that it may name.
	maxParts = 17
	// memoryCost is what a full KV cache of one's own requests costs: an engine that
	// runs out of memory starts its newest request anew.
	memoryCost = 300 * time.Millisecond
)

// Place picks where a request goes; nil when no endpoint may be sent it.
func (p *Policy) Place(now time.Time, r *Request, endpoints []*directory.Listed) *Plan {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	kept := p.eligible(now, r, endpoints)
	if len(kept) == 0 {
		return nil
	}
	if r.Service.Engine == nil {
		return p.placePlain(now, r, kept)
	}
	return p.placeEngine(now, r, kept)
}

// placePlain picks the endpoint of a plain service with the least to do.
func (p *Policy) placePlain(now time.Time, r *Request, kept []*directory.Listed) *Plan {
	best := pick(p.rand, p.score(now, r, kept, nil))
	return &Plan{Endpoint: best.endpoint, Cost: best.cost, Candidates: len(kept)}
}

// placeEngine picks an engine, and helpers where the prompt is prefilled in parts.
// Endpoints come in the same order at every entry: short prompts have the engines at
// its beginning, long ones those at its end, and the boundary follows the demand.
func (p *Policy) placeEngine(now time.Time, r *Request, kept []*directory.Listed) *Plan {
	engine := r.Service.Engine
	prefill := Prefill(engine, r.PromptTokens)
	plan := &Plan{Long: isLong(prefill), Memory: r.PromptTokens + r.OutputTokens, Candidates: len(kept)}
	boundary := p.boundary(now, r.Service, len(kept))
	var list []scored
	if plan.Long {
		list = p.score(now, r, kept[min(boundary, len(kept)-1):], engine)
	} else {
		list = p.score(now, r, kept, engine)
		for i := boundary; i < len(list); i++ {
			list[i].cost += foreignCost
		}
	}
	parts := max(1, min(int((prefill+partTarget-1)/partTarget), maxParts, len(list)))
	if !plan.Long && prefill < 2*partTarget {
		parts = 1
	}
	if plan.Memory > aloneMemory(engine) {
		list, parts = p.spread(now, r, kept, list)
	}
	plan.Prefill = prefill / time.Duration(parts)
	p.choose(plan, list, parts)
	plan.divideMemory(engine)
	plan.Open = p.open(now, plan)
	plan.Crowded = plan.Prefill > longestPart && plan.Open > quietOpen
	return plan
}

const (
	// longestPart is the prefill of a part that may be placed on engines in use. A
	// longer one stops everyone who decodes on up to 17 engines for longer than callers
	// of the users' sites allow (1 s between events of the most patient): on a played
	// day each such prompt made about ten others late, of the same worth together as
	// three of it, and callers who gave up and came back doubled the load.
	longestPart = 700 * time.Millisecond
	// quietOpen is how many requests may be open on all engines of a plan whose parts
	// are longer.
	quietOpen = 4
)

// open estimates how many requests are open on a plan's engines.
func (p *Policy) open(now time.Time, plan *Plan) int {
	open := 0
	for _, e := range append([]*directory.Listed{plan.Endpoint}, plan.Helpers...) {
		there, _ := p.ledger.busy(now, e.ID)
		open += there
	}
	return open
}

const (
	// aloneShare is the part of an engine's memory that one request may need; the rest
	// is for those that decode there.
	aloneShare = 0.85
	// firstShare is the part of its memory that the first engine of a request gives
	// that needs more than one engine's.
	firstShare = 0.3
	// reserveSpare lets a quarter of the helpers refuse.
	reserveSpare = 1.34
)

// aloneMemory is the largest need of memory, in tokens, that one engine takes.
func aloneMemory(engine *directory.Engine) int {
	if engine.MemoryTokens == 0 {
		return math.MaxInt
	}
	return int(aloneShare * float64(engine.MemoryTokens))
}

// spread takes all engines for a request that needs more memory than one has.
func (p *Policy) spread(now time.Time, r *Request, kept []*directory.Listed, list []scored) ([]scored, int) {
	if len(list) < maxParts {
		list = p.score(now, r, kept, r.Service.Engine)
	}
	return list, min(maxParts, len(list))
}

// divideMemory sets what each engine of a plan has to hold.
func (plan *Plan) divideMemory(engine *directory.Engine) {
	plan.FirstMemory = plan.Memory
	if plan.Memory <= aloneMemory(engine) || len(plan.Helpers) == 0 {
		return
	}
	plan.FirstMemory = int(firstShare * float64(engine.MemoryTokens))
	plan.HelperMemory = int(reserveSpare * float64(plan.Memory-plan.FirstMemory) / float64(len(plan.Helpers)))
}

// boundary is how many of a service's engines short prompts have to themselves.
func (p *Policy) boundary(now time.Time, service *directory.Service, engines int) int {
	return int(shortShare(p.ledger.total(now, service.Name), service.Engine)*float64(engines) + 0.5)
}

// readingLimit is how much prefill of long prompts may be under way for each engine
// that takes them. Engines prefill all parts that they have before the next event of
// those who decode there, and the most patient of those allow a second. Of 400, 600 to
// 700, 1200 and no limit, the second served most (24 days played on two sites).
const readingLimit = 600 * time.Millisecond

// Crowded tells whether the engines for long prompts have enough to prefill, so that
// another long prompt had better wait.
func (p *Policy) Crowded(now time.Time, service *directory.Service, engines int) bool {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	free := max(engines-p.boundary(now, service, engines), 1)
	return p.ledger.total(now, service.Name).Reading > time.Duration(free)*readingLimit
}

// Expect notes that a long prompt has come, which moves the boundary at once, and
// estimates when its first token would come: after the long prompts that all entries
// have sent and hold back, at the rate of the engines for long prompts.
func (p *Policy) Expect(now time.Time, service *directory.Service, engines, promptTokens int) time.Duration {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	prefill := Prefill(service.Engine, promptTokens)
	p.ledger.demand(service.Name).add(now, prefill)
	free := max(engines-p.boundary(now, service, engines), 1)
	total := p.ledger.total(now, service.Name)
	wait := (total.Reading + total.Waiting).Seconds() / (float64(free) * fullUse)
	return time.Duration(wait*float64(time.Second)) + prefill/time.Duration(min(free, maxParts))
}

// Hold notes that a long prompt waits; the function that it returns ends that.
func (p *Policy) Hold(service *directory.Service, promptTokens int) func() {
	prefill := Prefill(service.Engine, promptTokens)
	p.ledger.hold(service.Name, prefill)
	return func() { p.ledger.hold(service.Name, -prefill) }
}

// choose takes the engines with the least cost; the one that the request is sent to
// is that, of them, whose memory is least used.
func (p *Policy) choose(plan *Plan, list []scored, parts int) {
	for i := range list { // random among equals
		j := i + p.rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	first := 0
	for i := 1; i < parts; i++ {
		if list[i].memory < list[first].memory {
			first = i
		}
	}
	plan.Endpoint, plan.Cost = list[first].endpoint, list[first].cost
	for i := range parts {
		if i != first {
			plan.Helpers = append(plan.Helpers, list[i].endpoint)
		}
	}
}

// eligible drops endpoints that were tried, and, as long as there are others, those
// that accept no connections, refused work lately or whose registration has lapsed.
func (p *Policy) eligible(now time.Time, r *Request, endpoints []*directory.Listed) []*directory.Listed {
	untried := make([]*directory.Listed, 0, len(endpoints))
	var doubtful []*directory.Listed
	for _, e := range endpoints {
		known := p.ledger.loads[e.ID]
		switch {
		case r.Tried[e.ID]:
		case !e.Missing.IsZero() || known != nil && known.doubtful(now):
			doubtful = append(doubtful, e)
		default:
			untried = append(untried, e)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	return doubtful
}

type scored struct {
	endpoint *directory.Listed
	cost     time.Duration
	memory   int
}

// score estimates what each endpoint would cost the request.
func (p *Policy) score(now time.Time, r *Request, kept []*directory.Listed, engine *directory.Engine) []scored {
	list := make([]scored, 0, len(kept))
	for _, e := range kept {
		s := scored{endpoint: e}
		open, reading := p.ledger.busy(now, e.ID)
		s.cost = reading + time.Duration(open)*openCost + time.Duration(max(open+1-e.Slots, 0))*slotCost
		if known := p.ledger.loads[e.ID]; known != nil {
			s.memory = known.memory
			if engine != nil && engine.MemoryTokens > 0 {
				s.cost += time.Duration(float64(memoryCost) * float64(known.memory) / float64(engine.MemoryTokens))
			}
		}
		if e.DataCentre != r.DataCentre {
			s.cost += distanceCost
		}
		list = append(list, s)
	}
	return list
}

// pick takes the lowest cost, one at random among equals, so that entries with the
// same view do not all take the same.
func pick(rand Rand, list []scored) scored {
	best, equal := list[0], 1
	for _, s := range list[1:] {
		switch {
		case s.cost < best.cost:
			best, equal = s, 1
		case s.cost == best.cost:
			equal++
			if rand.IntN(equal) == 0 {
				best = s
			}
		}
	}
	return best
}
