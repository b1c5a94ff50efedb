package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// slowThreshold is from which pace on an engine counts as slow: how many times as long as
	// described its work takes. Engines that are only loaded differ by less.
	slowThreshold = 1.3
	// slowdownTTL is how long a pace is believed that is not told again.
	slowdownTTL = 3 * time.Second
	// peerSlowdownTTL is how long another entry's word of a pace is used: entries tell it with
	// each heartbeat, and a few of these may be lost.
	peerSlowdownTTL = 500 * time.Millisecond
	// passesPerSlowdown is how many passes longer a short prompt on a slow engine is expected to
	// take for each time as long: it waits for the rest of one and has one of its own.
	passesPerSlowdown = 2
)

// SetSlowdown notes how many times as long as described an endpoint's work takes. It tells
// whether the endpoint has turned slow or has recovered.
func (l *LoadTracker) SetSlowdown(now time.Time, endpoint directory.Incarnation, slowdown float64) (slow, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.endpoint(endpoint)
	before := tracked.isSlow(now)
	tracked.slowdown, tracked.slowdownAt = slowdown, now
	slow = tracked.isSlow(now)
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
	for incarnation, tracked := range l.endpoints {
		if tracked.isSlow(now) {
			list = append(list, SlowEndpoint{HashEndpoint(incarnation), tracked.slowdown})
		}
	}
	return list
}

// peerSlowdown is what another entry told of an endpoint, and when.
type peerSlowdown struct {
	slowdown   float64
	receivedAt time.Time
}

// RecordPeerSlowEndpoints notes which endpoints told another entry that they are slow.
func (l *LoadTracker) RecordPeerSlowEndpoints(now time.Time, list []SlowEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		l.peerSlowdowns[s.Endpoint] = peerSlowdown{s.Slowdown, now}
	}
	for endpoint, reported := range l.peerSlowdowns {
		if now.Sub(reported.receivedAt) > peerSlowdownTTL {
			delete(l.peerSlowdowns, endpoint)
		}
	}
}

// isSlow tells whether the endpoint's work takes longer than described.
func (t *trackedEndpoint) isSlow(now time.Time) bool {
	return t.slowdown >= slowThreshold && now.Sub(t.slowdownAt) <= slowdownTTL
}

// slowdown is how many times as long as described the work of an endpoint takes of which this
// entry knows a load: its own word, or what another entry was told.
func (l *LoadTracker) slowdown(now time.Time, tracked *trackedEndpoint, hash EndpointHash) float64 {
	if tracked.isSlow(now) {
		return tracked.slowdown
	}
	if reported, found := l.peerSlowdowns[hash]; found && now.Sub(reported.receivedAt) <= peerSlowdownTTL {
		return reported.slowdown
	}
	return 1
}

// PendingPrefill estimates what all entries have given an endpoint to prefill.
func (l *LoadTracker) PendingPrefill(now time.Time, endpoint directory.Incarnation) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(now, endpoint).pendingPrefill
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
	step := e.StepTime + time.Duration(requests)*e.StepTimePerRequest + time.Duration(tokens/contextUnit)*e.StepTimePerContext
	return time.Duration(e.Stride) * step
}

// contextUnit is the number of tokens of context that directory.Engine.StepPerContext speaks
// of.
const contextUnit = 1000

// dropSlowUnlessAll drops slow engines, as long as there are others: the first token of a prompt that
// is prefilled in parts comes with the slowest of them, so that a few slow engines would make every such prompt
// late.
func dropSlowUnlessAll(list []scored) []scored {
	if kept := dropSlow(list); len(kept) > 0 {
		return kept
	}
	return list
}

// dropSlow drops slow engines.
func dropSlow(list []scored) []scored {
	kept := make([]scored, 0, len(list))
	for _, s := range list {
		if s.slowdown < slowThreshold {
			kept = append(kept, s)
		}
	}
	return kept
}
