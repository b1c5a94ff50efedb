package routing

import "math"

// QueueDelay is the time that the endpoint's backlog ahead of the request takes, corrected
// by what this entry has sent there since the load report.
//
// Load reports lag. Without the correction, every request that arrives between two reports
// would go to the endpoint that was idle in the first report and is the busiest by then.
type QueueDelay struct {
	Sent *RecentDispatches
}

// defaultPrefillRate is used for an endpoint that has not reported its prefill rate, in
// tokens a second.
const defaultPrefillRate = 10_000

// Cost implements Scorer.
func (s QueueDelay) Cost(r *Request, e *Endpoint) float64 {
	tokens := e.Backlog.UpTo(r.Level())
	if s.Sent != nil {
		tokens += s.Sent.BacklogSince(e.Name, e.Reported).UpTo(r.Level())
	}
	return float64(tokens) / prefillRate(e)
}

func prefillRate(e *Endpoint) float64 {
	if e.PrefillRate == 0 {
		return defaultPrefillRate
	}
	return float64(e.PrefillRate)
}

// CapacityWait is the expected wait for a place in the batch and for memory.
type CapacityWait struct {
	Sent *RecentDispatches
}

// slotFreeTime is how long a full batch takes to free a place, in seconds.
const slotFreeTime = 0.25

// Cost implements Scorer.
func (s CapacityWait) Cost(r *Request, e *Endpoint) float64 {
	running := e.Running + e.Queued
	memory := e.FreeMemory
	if s.Sent != nil {
		count, tokens := s.Sent.CountSince(e.Name, e.Reported)
		running += count
		memory -= tokens
	}
	cost := 0.0
	if over := running + 1 - e.MaxRunning; over > 0 {
		cost += slotFreeTime * float64(over)
	}
	if e.MemoryTokens > 0 {
		missing := r.PromptTokens + r.OutputTokens - memory
		cost += math.Max(0, float64(missing)) / prefillRate(e)
	}
	return cost
}
