package routing

import "aspenyard.example/admission"

// Sample reduces the endpoints that are scored for a request to a few, drawn at random for
// each request.
//
// Load reports are seconds old, and entries do not know each other's picks. If every entry
// scored all endpoints, all would send to the one that was idle in the last report, and
// short prompts would wait longer the more entries there are. Random samples spread the
// requests, and a few endpoints are enough to avoid the busy ones.
type Sample struct {
	// Count is the number of endpoints drawn. Fewer spread requests more; more find the
	// idle endpoints and the prefix caches.
	Count int
	// MaxTokens is the longest prompt for which endpoints are sampled. A long prompt is
	// worth the best of all endpoints, and too few arrive to overload it.
	MaxTokens int
	Rand      Rand
}

const (
	// sampleCount is 4: with 2, long prompts start a fifth later; with 6, short ones are
	// slowed by a third with 16 entries (bench policy, load 0.8).
	sampleCount = 4
	// sampleMaxTokens excludes longer prompts: sampling for prompts up to 16,000 tokens too
	// makes long ones start a twentieth later.
	sampleMaxTokens = admission.ShortTokens
)

// draw returns the endpoints to score. It reorders kept.
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
