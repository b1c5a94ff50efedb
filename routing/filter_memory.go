package routing

import "aspenyard.example/admission"

// FitsMemory drops endpoints whose whole memory could not hold the request, so that
// no caller waits in a queue for a place that can never be.
type FitsMemory struct{}

// Keep implements Filter.
func (FitsMemory) Keep(r *Request, e *Endpoint) bool {
	if e.MemoryTokens == 0 {
		return true
	}
	return r.PromptTokens+r.OutputTokens <= MaxPromptTokens(e)
}

// MaxPromptTokens is the largest prompt with its output that an endpoint takes
// alone, in tokens.
func MaxPromptTokens(e *Endpoint) int {
	config := admission.Config{MemoryTokens: e.MemoryTokens}.WithDefaults()
	return config.MaxPromptTokens()
}
