package direct

import (
	"slices"
	"time"

	"aspenyard.example/admission"
	"aspenyard.example/directory"
)

// EngineTime returns the time of an engine that a request needs: that of its prefill, and its part
// of the decode passes, in which a full engine decodes for as many requests as it has slots. events
// is the number of passes that it decodes in.
func EngineTime(e *directory.Engine, promptTokens int, events float64) time.Duration {
	if e == nil {
		return 0
	}
	prefill := PrefillTime(e, promptTokens)
	slots := max(e.Slots, 1)
	decode := time.Duration(events * float64(DecodeTime(e, slots, promptTokens)))
	return prefill + decode/time.Duration(slots)
}

// EngineMemory returns the time for which a request holds its part of an engine's KV cache, as the time
// of a whole one; 0 where the size of the KV cache is not known. tokens is the memory that is reserved for
// the request, prompt and output. Where one engine has too little for it, its helpers reserve more than
// they need, see splitMemory.
func EngineMemory(e *directory.Engine, promptTokens, tokens int, events float64) time.Duration {
	if e == nil || e.KVCacheTokens == 0 {
		return 0
	}
	slots := max(e.Slots, 1)
	held := PrefillTime(e, promptTokens)/maxParts + time.Duration(events*float64(DecodeTime(e, slots, promptTokens)))
	endpoint := endpointMemory(e, tokens)
	reserved := float64(endpoint) + reserveFactor*float64(tokens-endpoint)
	return time.Duration(float64(held) * reserved / float64(e.KVCacheTokens))
}

// firstTokenSlack returns how much of a target is left for the prefill of prompts, after the pass
// that an engine is in and the one that decodes the first token; 0 if there is no target.
func firstTokenSlack(e *directory.Engine, target time.Duration) time.Duration {
	if target <= 0 {
		return 0
	}
	return max(target-2*PassTime(e), target/4)
}

// SetPromptCost sets what a request needs of an engine: its time and its memory, and the part of its
// target that is left for the prefill of prompts. outputTokens is the bound for which memory is reserved,
// events the expected number of events.
func SetPromptCost(a *admission.Arrival, e *directory.Engine, promptTokens, outputTokens int, events float64, target time.Duration) {
	a.Cost, a.Prefill = EngineTime(e, promptTokens, events), PrefillTime(e, promptTokens)
	a.Memory = EngineMemory(e, promptTokens, promptTokens+outputTokens, events)
	a.Slack, a.Target = firstTokenSlack(e, target), target
}

// EngineStates returns the states of the engines that requests may be sent to. It leaves out those
// that accept no connections, have lost their registration, refused work lately, or are in backoff.
func (p *Policy) EngineStates(now time.Time, service *directory.Service, endpoints []*directory.EndpointState) []admission.EngineState {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.tracker.updatePendingPrefill(now)
	c := p.eligible(now, &Request{Service: service}, endpoints)
	// Cold engines work at their usual speed. Without them, nearly all requests would be refused by priority
	// after an outage of all engines, although the engines are idle.
	candidates := slices.Concat(c.unlimited, c.cold)
	states := make([]admission.EngineState, 0, len(candidates))
	kvCacheTokens := 0
	if service.Engine != nil {
		kvCacheTokens = service.Engine.KVCacheTokens
	}
	for _, e := range candidates {
		load := p.tracker.estimate(now, e.Incarnation)
		states = append(states, admission.EngineState{
			Slowdown: load.slowdown, Slots: e.Slots, InFlight: load.inFlight, PendingPrefill: load.pendingPrefill,
			KVCacheTokens: kvCacheTokens, MemoryTokens: load.memoryTokens,
		})
	}
	return states
}

// scarceLongMargin is the factor by which the engines that are kept for long prompts exceed those
// that the long prompts which were admitted need.
const scarceLongMargin = 1.5

// SetScarce sets whether requests of a service are refused by priority. Meanwhile engines are kept
// for long prompts only as far as long prompts are admitted.
func (l *LoadTracker) SetScarce(service string, scarce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !scarce:
		delete(l.scarce, service)
	case l.scarce[service] == nil:
		l.scarce[service] = &scarcity{}
		l.demands[service] = &demand{} // arrivals before do not tell what is admitted from now on
	}
}

// scarcity is the state of a service whose requests are refused by priority.
type scarcity struct {
	// shortInFlight is the largest number of requests with short prompts in flight since heldSince.
	shortInFlight int
	heldSince     time.Time
}

// shortHold is for how long engines for short prompts are kept while capacity is scarce: about as
// long as a short stream takes. Otherwise long prompts would be prefilled on engines on which short
// streams still decode, each time that a few of them have ended.
const shortHold = 1500 * time.Millisecond

// holdShort returns the number of requests with short prompts in flight for which engines are kept.
func (l *LoadTracker) holdShort(now time.Time, service string, inFlight int) int {
	s := l.scarce[service]
	if s == nil {
		return inFlight
	}
	if inFlight >= s.shortInFlight || now.Sub(s.heldSince) > shortHold {
		s.shortInFlight, s.heldSince = inFlight, now
	}
	return s.shortInFlight
}

// maxShortShare is the fraction of a service's engines that short prompts may take, however few
// long ones there are.
func (l *LoadTracker) maxShortShare(d *Demand, engines int) float64 {
	if l.scarce[d.Service] == nil {
		return 1 - minLongShare
	}
	needed := scarceLongMargin * d.LongPrefill.Seconds() / demandWindow.Seconds() / maxLongUtilization
	return 1 - min(needed/float64(max(engines, 1)), minLongShare)
}

// scarceShortPoolCost takes the place of otherPoolCost for parts of prompts at engines for short
// prompts while capacity is scarce: the engines for long prompts have more to prefill then, and
// parts that avoid them would pause the streams of more urgent requests.
const scarceShortPoolCost = 600 * time.Millisecond

// shortPoolCost is added to the cost of engines for short prompts for a part of a prompt.
func (p *Policy) shortPoolCost(service string) time.Duration {
	if p.tracker.scarce[service] != nil {
		return scarceShortPoolCost
	}
	return otherPoolCost
}

// countedPart is the prefill time from which on the requests that a part would delay are counted.
// While capacity is scarce, each part that lengthens a pass beyond what short streams allow counts:
// a prompt that was admitted as one of few must not make a hundred more urgent ones late.
func (p *Policy) countedPart(s *directory.Service) time.Duration {
	if p.tracker.scarce[s.Name] != nil {
		return partTarget(s)
	}
	return longestPart(s)
}

// memoryEngines returns the engines for a prompt for whose memory those for long prompts are too
// few, and the number of its parts. While capacity is scarce it has as few parts as its memory
// allows, so that it shares engines with few other requests.
func (p *Policy) memoryEngines(service string, all []scored, needed int) ([]scored, int) {
	list := dropSlowUnlessAll(all)
	if len(list) < needed {
		list = all
	}
	if p.tracker.scarce[service] != nil {
		return list, min(needed, maxParts, len(list))
	}
	return list, min(maxParts, len(list))
}
