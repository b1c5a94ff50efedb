package routing

import "aspenyard.example/admission"

// FitsMemory drops endpoints whose whole memory is too small for the request, so that no
// caller waits in a queue for a place that can never become free.
type FitsMemory struct{}

// Keep implements Filter.
func (FitsMemory) Keep(r *Request, e *Endpoint) bool {
	if e.MemoryTokens == 0 {
		return true
	}
	return r.PromptTokens+r.OutputTokens <= MaxPromptTokens(e)
}

// MaxPromptTokens returns the largest prompt, including its output, that an endpoint takes
// alone, in tokens.
func MaxPromptTokens(e *Endpoint) int {
	config := admission.Config{MemoryTokens: e.MemoryTokens}.WithDefaults()
	return config.MaxJobTokens()
}
