package routing

import "aspenyard.example/admission"

// Interference charges a request for the time by which it delays the work that it
// would overtake at the engine. Without it, urgent short prompts spread over all
// engines and starve whatever long prompt is being prefilled there, although
// engines without one are as quick for them.
type Interference struct {
	Sent *RecentDispatches
	// Weight is the cost of a second's delay to the work behind, in seconds of the
	// request's own delay.
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
