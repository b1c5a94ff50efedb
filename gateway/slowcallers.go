package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/admission"
)

// slowCaller is a caller for which the entry waits and holds bytes.
type slowCaller interface {
	// slowState returns what is known of the caller.
	slowState() admission.SlowCaller
	// cut ends the caller's connection unless the wait has ended.
	cut(reason cutReason)
}

// slowCallers are the callers that the entry waits for. A caller that reads at once, or whose body is small,
// is never among them.
type slowCallers struct {
	mu    sync.Mutex
	known map[slowCaller]struct{}
}

func (s *slowCallers) add(c slowCaller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = map[slowCaller]struct{}{}
	}
	s.known[c] = struct{}{}
}

func (s *slowCallers) remove(c slowCaller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, c)
}

// count returns the number of callers that the entry waits for.
func (s *slowCallers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.known)
}

// list returns the callers that the entry waits for.
func (s *slowCallers) list() []slowCaller {
	s.mu.Lock()
	defer s.mu.Unlock()
	callers := make([]slowCaller, 0, len(s.known))
	for c := range s.known {
		callers = append(callers, c)
	}
	return callers
}

// slowStates returns what is known of each caller. The lock of slowCallers must not be held, as callers lock
// their connection before it.
func slowStates(callers []slowCaller) []admission.SlowCaller {
	states := make([]admission.SlowCaller, 0, len(callers))
	for _, c := range callers {
		states = append(states, c.slowState())
	}
	return states
}

// states returns what is known of the callers that the entry waits for.
func (s *slowCallers) states() []admission.SlowCaller { return slowStates(s.list()) }

// incomingBodies returns the large bodies that are being received.
func (s *slowCallers) incomingBodies(now time.Time) []admission.IncomingBody {
	var bodies []admission.IncomingBody
	for _, state := range s.states() {
		if state.Announced > 0 {
			bodies = append(bodies, admission.IncomingBody{Announced: state.Announced, Received: state.Received, Sending: now.Sub(state.Since)})
		}
	}
	return bodies
}

// cutOne cuts off the caller that admission picks to make room for bytes of a purpose, unless there is none
// that may be cut off.
func (s *slowCallers) cutOne(now time.Time, purpose admission.BytePurpose, bound int64) {
	callers := s.list()
	states := slowStates(callers)
	if i := admission.PickSlowCaller(now, purpose, bound, states); i >= 0 {
		callers[i].cut(cutForOthers)
	}
}

// logCut logs and counts a caller that was cut off with unwritten bytes of its backlog.
func (g *Gateway) logCut(request string, reason cutReason, unwritten int64) {
	g.log.Info("caller_cut", zap.String("request", request), zap.String("reason", string(reason)), zap.Int64("unwritten_bytes", unwritten), zap.Int64("held_bytes", g.bytes.Held()))
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_callers_cut_total{reason=%q}`, reason)).Inc()
}

// sendingCaller is a caller that sends a large body.
type sendingCaller struct {
	call *call
	// announced is the size of the body.
	announced int64
	received  atomic.Int64
	mu        sync.Mutex
	ended     bool
}

// end is called when the body is no longer read; a cut has no effect afterwards.
func (s *sendingCaller) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// slowState implements slowCaller.
func (s *sendingCaller) slowState() admission.SlowCaller {
	c := s.call
	return admission.SlowCaller{Held: c.held.Bytes(), Since: c.started, Deadline: c.deadline, Announced: s.announced, Received: s.received.Load(), Rank: c.rank}
}

// cut implements slowCaller: it ends the read of the body.
func (s *sendingCaller) cut(reason cutReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		s.call.gateway.logCut(s.call.ID, reason, 0)
		s.call.endBodyRead()
	}
}
