package routing

import "aspenyard.example/admission"

// Interference adds a cost for the delay that a request causes to the work that it would
// overtake at the engine. Without it, urgent short prompts spread over all engines and
// starve the long prompts that are being prefilled there, although engines without any
// serve them as fast.
type Interference struct {
	Sent *RecentDispatches
	// Weight is the cost of one second by which the overtaken work is delayed, in seconds
	// of the request's own delay.
	Weight float64
}

// Cost implements Scorer.
func (s Interference) Cost(r *Request, e *Endpoint) float64 {
	overtaken := e.Backlog.Total() - e.Backlog.UpTo(r.Level())
	if s.Sent != nil {
		sent := s.Sent.BacklogSince(e.Name, e.Reported)
		overtaken += sent.Total() - sent.UpTo(r.Level())
	}
	if overtaken < admission.MediumTokens {
		return 0
	}
	return s.Weight * float64(r.PromptTokens) / prefillRate(e)
}
