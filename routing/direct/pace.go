package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// slowPace is from which pace on an engine counts as slow: how many times as long as
	// described its work takes. Engines that are only loaded differ by less.
	slowPace = 1.3
	// paceValid is how long a pace is believed that is not told again.
	paceValid = 3 * time.Second
	// peerPaceValid is how long another entry's word of a pace is used: entries tell it with
	// each heartbeat, and a few of these may be lost.
	peerPaceValid = 500 * time.Millisecond
	// slowPassShare is how many passes longer a short prompt on a slow engine is expected to
	// take for each time as long: it waits for the rest of one and has one of its own.
	slowPassShare = 2
)

// SetSlowdown notes how many times as long as described an endpoint's work takes. It tells
// whether the endpoint has turned slow or has recovered.
func (l *LoadTracker) SetSlowdown(now time.Time, endpoint directory.Incarnation, pace float64) (slow, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.load(endpoint)
	before := known.slow(now)
	known.pace, known.paceAt = pace, now
	slow = known.slow(now)
	return slow, slow != before
}

// SlowEndpoint is an endpoint that told an entry that its work takes Pace times as long as
// described.
type SlowEndpoint struct {
	Endpoint EndpointHash
	Slowdown float64
}

// SlowEndpoints lists the endpoints that told this entry that they are slow.
func (l *LoadTracker) SlowEndpoints(now time.Time) []SlowEndpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []SlowEndpoint
	for life, known := range l.loads {
		if known.slow(now) {
			list = append(list, SlowEndpoint{HashEndpoint(life), known.pace})
		}
	}
	return list
}

// peerPace is what another entry told of an endpoint, and when.
type peerPace struct {
	pace float64
	at   time.Time
}

// RecordPeerSlowEndpoints notes which endpoints told another entry that they are slow.
func (l *LoadTracker) RecordPeerSlowEndpoints(now time.Time, list []SlowEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		l.peerPaces[s.Endpoint] = peerPace{s.Slowdown, now}
	}
	for endpoint, told := range l.peerPaces {
		if now.Sub(told.at) > peerPaceValid {
			delete(l.peerPaces, endpoint)
		}
	}
}

// slow tells whether the endpoint's work takes longer than described.
func (l *load) slow(now time.Time) bool {
	return l.pace >= slowPace && now.Sub(l.paceAt) <= paceValid
}

// pace is how many times as long as described the work of an endpoint takes of which this
// entry knows a load: its own word, or what another entry was told.
func (l *LoadTracker) pace(now time.Time, known *load, hash EndpointHash) float64 {
	if known.slow(now) {
		return known.pace
	}
	if told, found := l.peerPaces[hash]; found && now.Sub(told.at) <= peerPaceValid {
		return told.pace
	}
	return 1
}

// PendingPrefill estimates what all entries have given an endpoint to prefill.
func (l *LoadTracker) PendingPrefill(now time.Time, endpoint directory.Incarnation) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(now, endpoint).reading
}

// PassTime is the time of a pass on an engine that is full and prefills nothing: the
// longest pause between two events of those who decode there.
func PassTime(e *directory.Engine) time.Duration {
	if e == nil {
		return 0
	}
	return DecodeTime(e, e.Slots, e.KVCacheTokens)
}

// DecodeTime is that of the steps of one pass in which so many requests decode, with so many
// tokens of context.
func DecodeTime(e *directory.Engine, requests, tokens int) time.Duration {
	step := e.StepTime + time.Duration(requests)*e.StepTimePerRequest + time.Duration(tokens/thousand)*e.StepTimePerContext
	return time.Duration(e.Stride) * step
}

// thousand is the number of tokens of context that directory.Engine.StepPerContext speaks
// of.
const thousand = 1000

// steady drops slow engines, as long as there are others: the first token of a prompt that
// is prefilled in parts comes with the slowest of them, so that a few slow engines would make every such prompt
// late.
func steady(list []scored) []scored {
	if kept := steadyOnly(list); len(kept) > 0 {
		return kept
	}
	return list
}

// steadyOnly drops slow engines.
func steadyOnly(list []scored) []scored {
	kept := make([]scored, 0, len(list))
	for _, s := range list {
		if s.pace < slowPace {
			kept = append(kept, s)
		}
	}
	return kept
}
