package routing

import "aspenyard.example/admission"

// Sample leaves a few endpoints, drawn at random, for a request to be weighed
// against; an entry's other requests draw others.
//
// Reports are seconds old and entries do not know of each other's choices: if each
// weighed all endpoints, they would all send to the one that was idle at the last
// report, and one would see short prompts wait longer the more entries there are.
// Drawn apart, they spread, and a few are enough to pass over the busy ones.
type Sample struct {
	// Count is how many are drawn. Fewer spread more; more find the idle ones and
	// the prefix caches.
	Count int
	// MaxTokens is the longest prompt for which it is done: a long one is worth
	// the best of all endpoints, and too few arrive to crowd it.
	MaxTokens int
	Rand      Rand
}

const (
	// sampleCount: with 2, long prompts start a fifth later; with 6, short ones are
	// slowed by a third with 16 entries (bench policy, load 0.8).
	sampleCount = 4
	// sampleMaxTokens: drawing for prompts up to 16,000 tokens too makes long ones
	// start a twentieth later.
	sampleMaxTokens = admission.ShortTokens
)

// draw returns the endpoints to weigh; it reorders the kept ones.
func (s Sample) draw(r *Request, kept []*Endpoint) []*Endpoint {
	if s.Count == 0 || len(kept) <= s.Count || r.PromptTokens > s.MaxTokens {
		return kept
	}
	for i := range s.Count {
		j := i + s.Rand.IntN(len(kept)-i)
		kept[i], kept[j] = kept[j], kept[i]
	}
	return kept[:s.Count]
}
