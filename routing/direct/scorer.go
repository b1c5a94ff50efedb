package direct

import (
	"time"

	"aspenyard.example/directory"
)

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

// chargeOtherPool makes engines for long prompts dearer for short ones.
func chargeOtherPool(list []scored) {
	for i := range list {
		list[i].cost += otherPoolCost
	}
}
