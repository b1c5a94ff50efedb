package direct

import (
	"time"

	"aspenyard.example/directory"
)

const (
	// slowThreshold is the slowdown from which an engine counts as slow. The slowdown is
	// the ratio of the time its work takes to the time that the configuration describes.
	// Engines that are only loaded stay below it.
	slowThreshold = 1.3
	// slowdownTTL is how long a slowdown is used when it is not reported again.
	slowdownTTL = 3 * time.Second
	// peerSlowdownTTL is how long a slowdown reported by another entry is used. Entries
	// send it with each heartbeat, and a few of these may be lost.
	peerSlowdownTTL = 500 * time.Millisecond
	// passesPerSlowdown is the number of additional passes that a short prompt is expected
	// to take on a slow engine for each unit of slowdown above 1: it waits for the rest of
	// one pass and is prefilled in another.
	passesPerSlowdown = 2
)

// SetSlowdown records the slowdown that an endpoint reported. It returns whether the
// endpoint is slow, and whether that has changed.
func (l *LoadTracker) SetSlowdown(now time.Time, endpoint directory.Incarnation, slowdown float64) (slow, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.endpoint(endpoint)
	before := tracked.isSlow(now)
	tracked.slowdown, tracked.slowdownAt = slowdown, now
	slow = tracked.isSlow(now)
	return slow, slow != before
}

// IsSlow reports whether an endpoint reported, to this entry or to another one, that it is slow.
func (l *LoadTracker) IsSlow(now time.Time, endpoint directory.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(now, endpoint).slowdown >= slowThreshold
}

// SlowEndpoint is an endpoint that reported to an entry that it is slow, and its slowdown,
// see slowThreshold.
type SlowEndpoint struct {
	Endpoint EndpointHash
	Slowdown float64
}

// SlowEndpoints returns the endpoints that reported to this entry that they are slow.
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

// peerSlowdown is a slowdown that another entry reported, and when.
type peerSlowdown struct {
	slowdown   float64
	receivedAt time.Time
}

// RecordPeerSlowEndpoints records the slow endpoints of another entry's heartbeat, and
// removes records older than peerSlowdownTTL.
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

// isSlow reports whether the last slowdown of the endpoint is at least slowThreshold and no
// older than slowdownTTL.
func (t *trackedEndpoint) isSlow(now time.Time) bool {
	return t.slowdown >= slowThreshold && now.Sub(t.slowdownAt) <= slowdownTTL
}

// slowdown returns the slowdown of an endpoint that recently reported, to this entry or
// else to another one, that it is slow; 1 for any other endpoint.
func (l *LoadTracker) slowdown(now time.Time, tracked *trackedEndpoint, hash EndpointHash) float64 {
	if tracked.isSlow(now) {
		return tracked.slowdown
	}
	if reported, found := l.peerSlowdowns[hash]; found && now.Sub(reported.receivedAt) <= peerSlowdownTTL {
		return reported.slowdown
	}
	return 1
}

// PendingPrefill estimates the pending prefill time of an endpoint, over the requests of
// all entries.
func (l *LoadTracker) PendingPrefill(now time.Time, endpoint directory.Incarnation) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(now, endpoint).pendingPrefill
}

// PassTime is the time of a pass on an engine that is full and prefills nothing: the
// longest pause between two events of the streams that decode there.
func PassTime(e *directory.Engine) time.Duration {
	if e == nil {
		return 0
	}
	return DecodeTime(e, e.Slots, e.KVCacheTokens)
}

// DecodeTime returns the time of the decode steps of one pass for the given number of
// requests and of their context tokens in total.
func DecodeTime(e *directory.Engine, requests, tokens int) time.Duration {
	step := e.StepTime + time.Duration(requests)*e.StepTimePerRequest + time.Duration(tokens/contextUnit)*e.StepTimePerContext
	return time.Duration(e.Stride) * step
}

// contextUnit is the number of context tokens to which directory.Engine.StepTimePerContext
// refers.
const contextUnit = 1000

// dropSlowUnlessAll drops slow engines unless all are slow. The first token of a prompt
// that is prefilled in parts arrives with the slowest of them, so that a few slow engines
// would delay every such prompt.
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
