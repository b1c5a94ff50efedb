package routing

import "slices"

// CanServe keeps live endpoints that have the model or service, and drops those that are
// suspect, leaving, or have failed this request before.
type CanServe struct{}

// Keep implements Filter.
func (CanServe) Keep(r *Request, e *Endpoint) bool {
	if e.Suspect || e.Leaving || r.Tried[e.Name] {
		return false
	}
	if r.Service != "" {
		return slices.Contains(e.Services, r.Service)
	}
	return slices.Contains(e.Models, r.Model)
}
