package direct

import (
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
	// Cost is the estimate by which the endpoint was picked.
	Cost time.Duration
	// Candidates is how many endpoints it was picked from.
	Candidates int
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
	// openCost is what each of one's own open requests at an engine adds to the
	// estimated delay: it decodes there and lengthens every pass.
	openCost = 20 * time.Millisecond
	// distanceCost is the way to another data centre and back.
	distanceCost = 2 * time.Millisecond
)

// Place picks where a request goes; nil when no endpoint may be sent it.
func (p *Policy) Place(now time.Time, r *Request, endpoints []*directory.Listed) *Plan {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	kept := p.eligible(r, endpoints)
	if len(kept) == 0 {
		return nil
	}
	scored := p.score(now, r, kept)
	best := pick(p.rand, scored)
	plan := &Plan{Endpoint: best.endpoint, Cost: best.cost, Candidates: len(kept)}
	plan.Prefill = Prefill(r.Service.Engine, r.PromptTokens)
	return plan
}

// eligible drops endpoints that were tried, and, as long as there are others, those
// that accept no connections or whose registration has lapsed.
func (p *Policy) eligible(r *Request, endpoints []*directory.Listed) []*directory.Listed {
	untried := make([]*directory.Listed, 0, len(endpoints))
	var doubtful []*directory.Listed
	for _, e := range endpoints {
		known := p.ledger.loads[e.ID]
		switch {
		case r.Tried[e.ID]:
		case !e.Missing.IsZero() || known != nil && known.dark:
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
}

func (p *Policy) score(_ time.Time, r *Request, kept []*directory.Listed) []scored {
	list := make([]scored, 0, len(kept))
	for _, e := range kept {
		cost := time.Duration(0)
		if known := p.ledger.loads[e.ID]; known != nil {
			cost = known.prefill + time.Duration(known.open)*openCost
		}
		if e.DataCentre != r.DataCentre {
			cost += distanceCost
		}
		list = append(list, scored{e, cost})
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
