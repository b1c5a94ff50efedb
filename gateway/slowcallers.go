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
		if state.Announced > admission.SmallBody {
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

// cutForConnection cuts off a caller to make room for another connection, of which callers may have limit. It returns false if
// none may be cut off.
func (s *slowCallers) cutForConnection(now time.Time, limit int64) bool {
	callers := s.list()
	i := admission.PickForConnection(now, limit, slowStates(callers))
	if i < 0 {
		return false
	}
	callers[i].cut(cutForOthers)
	return true
}

// logCut logs and counts a caller that was cut off with unwritten bytes of its backlog.
func (g *Gateway) logCut(request string, reason cutReason, unwritten int64) {
	g.log.Info("caller_cut", zap.String("request", request), zap.String("reason", string(reason)), zap.Int64("unwritten_bytes", unwritten), zap.Int64("held_bytes", g.bytes.Held()))
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_callers_cut_total{reason=%q}`, reason)).Inc()
}

// sendingCaller is a caller that sends a body.
type sendingCaller struct {
	call *call
	// announced is the size of the body, negative if it is not known.
	announced int64
	received  atomic.Int64
	// progress is when the last bytes were received, in nanoseconds since the call started.
	progress atomic.Int64
	mu       sync.Mutex
	ended    bool
}

// beginReceiving returns the caller of a body of the announced size, negative if it is not known. Small bodies and those of
// unknown size, most of which arrive at once, count as slow only after slowBodyTime.
func (c *call) beginReceiving(announced int64) (s *sendingCaller, end func()) {
	s = &sendingCaller{call: c, announced: announced}
	s.progress.Store(int64(time.Since(c.started)))
	known := &c.gateway.slowCallers
	if announced > admission.SmallBody {
		known.add(s)
		return s, func() { s.end(); known.remove(s) }
	}
	timer := time.AfterFunc(slowBodyTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.ended {
			known.add(s)
		}
	})
	return s, func() { timer.Stop(); s.end(); known.remove(s) }
}

// slowBodyTime is after how long the sender of a small body is a slow caller.
const slowBodyTime = 500 * time.Millisecond

// add records that n bytes have been received.
func (s *sendingCaller) add(n int) {
	if n > 0 {
		s.received.Add(int64(n))
		s.progress.Store(int64(time.Since(s.call.started)))
	}
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
	return admission.SlowCaller{
		Held: c.held.Bytes(), Since: c.started, Deadline: c.deadline, Rank: c.rank,
		Sends: true, Announced: s.announced, Received: s.received.Load(), Progress: c.started.Add(time.Duration(s.progress.Load())),
	}
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
