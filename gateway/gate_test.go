package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
)

// stubCodec is a HeaderCodec that adds nothing.
type stubCodec struct{}

func (stubCodec) ReadRequest(http.Header) Request        { return Request{} }
func (stubCodec) Forward(http.Header, *Dispatch)         {}
func (stubCodec) ReadResponse(int, http.Header) Response { return Response{} }

// sendCheck is a request on its way to a plan's endpoint "a", with the helpers "b" and "c".
type sendCheck struct {
	*evacuationFixture
	sending *forwarding
	// apply makes the reason hold; it is called in the middle of the wait.
	apply func()
	// orders counts the orders to reserve KV cache.
	orders int
	// refuse lets the orders be refused.
	refuse bool
}

// Reserve implements Reserver.
func (s *sendCheck) Reserve(context.Context, Reservation, time.Duration) error {
	s.orders++
	s.apply()
	if s.refuse {
		return ErrNoMemory
	}
	return nil
}

// Renew implements Reserver.
func (s *sendCheck) Renew(context.Context, Reservation, time.Duration) error { return nil }

// Release implements Reserver.
func (s *sendCheck) Release(context.Context, Reservation) error { return nil }

// list replaces the snapshot by one in which e is changed to next, or missing if that is nil.
func (s *sendCheck) list(e, next *directory.EndpointState) {
	var listed []*directory.EndpointState
	for _, known := range append([]*directory.EndpointState{s.plan.Endpoint}, s.plan.Helpers...) {
		if known == e {
			known = next
		}
		if known != nil {
			listed = append(listed, known)
		}
	}
	s.snapshot.Store(snapshotOf(false, listed...))
}

// endpointReasons make an endpoint take no requests; requestReasons forbid the request.
var (
	endpointReasons = map[string]struct {
		reason withholdReason
		apply  func(s *sendCheck, e *directory.EndpointState)
	}{
		"draining": {withholdUnlisted, func(s *sendCheck, e *directory.EndpointState) {
			next := *e
			next.Leaving = true
			s.list(e, &next)
		}},
		"gone": {withholdUnlisted, func(s *sendCheck, e *directory.EndpointState) { s.list(e, nil) }},
		"replaced": {withholdUnlisted, func(s *sendCheck, e *directory.EndpointState) {
			next := *e
			next.StartUnixMilli++
			s.list(e, &next)
		}},
		"states that it leaves": {withholdLeaving, func(s *sendCheck, e *directory.EndpointState) { s.statedLeaving().Add(time.Now(), e.Hash()) }},
		"in backoff": {withholdBackoff, func(s *sendCheck, e *directory.EndpointState) {
			s.loadTracker.Backoffs().Observe(time.Now(), e, time.Hour)
		}},
		"evacuated": {withholdEvacuated, func(s *sendCheck, e *directory.EndpointState) {
			s.evacuations().ApplyChange(time.Now(), directory.Evacuation{DataCentre: e.DataCentre, At: directory.At(0, 1), Evacuated: true})
		}},
	}
	requestReasons = map[string]struct {
		reason withholdReason
		apply  func(s *sendCheck)
	}{
		"quarantined": {withholdQuarantined, func(s *sendCheck) {
			for endpoint := range uint32(3) {
				s.quarantine.RecordCrash(time.Now(), s.sending.fingerprint(), endpoint)
			}
		}},
		"blamed part": {withholdBlamedPart, func(s *sendCheck) { s.ReportPartCrashes("s", "a1") }},
	}
)

// sendWaits are the waits between placing and sending, each with what the request has sent when it has ended without
// being sent: orders, and connections.
var sendWaits = map[string]struct {
	prepare       func(s *sendCheck)
	orders, dials int
}{
	"reservations": {func(s *sendCheck) { s.reserving(1) }, 1, 0},
	"a further round of reservations": {func(s *sendCheck) {
		s.reserving(1)
		s.refuse = true
	}, 1, 0},
	"connecting": {func(*sendCheck) {}, 0, 1},
	"a kept connection that proves dead": {func(s *sendCheck) {
		ours, theirs := net.Pipe()
		_ = theirs.Close()
		s.pool.idle[s.plan.Endpoint.Incarnation] = []*endpointConn{{Conn: ours, idleSince: time.Now(), expiresAt: time.Now().Add(time.Hour)}}
	}, 0, 1},
}

// reserving lets the plan need KV cache of helpers, of which that many are asked first.
func (s *sendCheck) reserving(helpers int) {
	s.plan.ReservingHelpers, s.plan.HelperMemoryTokens, s.plan.MemoryTokens = helpers, 10, 10*helpers
}

// newSendCheck prepares a request that waits.
func newSendCheck(is *is.I, prepare func(s *sendCheck)) *sendCheck {
	s := &sendCheck{apply: func() {}}
	s.evacuationFixture = newEvacuationFixture(is, &recordingSource{}, nothing, func(*Gateway) { s.apply() })
	s.reserver = s
	third := *s.plan.Helpers[0]
	third.ID = "c"
	s.plan.Helpers = append(s.plan.Helpers, &third)
	s.list(nil, nil)
	s.sending = s.forwarding()
	prepare(s)
	return s
}

// Guards against a request, or an order for it, that is sent by a plan which has become invalid while memory was
// reserved or a connection made: each reason arrives during each wait.
func TestNothingIsSentByAPlanThatHasBecomeInvalid(t *testing.T) {
	check := func(t *testing.T, wait string, reason withholdReason, apply func(s *sendCheck)) {
		t.Helper()
		is := is.New(t)
		w := sendWaits[wait]
		s := newSendCheck(is, w.prepare)
		s.apply = func() { apply(s) }
		outcome, err := s.sending.sendTo(context.Background(), s.plan)
		is.Equal(outcome, attempt.NotSent)
		isWithheld(is, err, reason)
		is.Equal(s.orders, w.orders)
		is.Equal(int(s.dials.Load()), w.dials)
		if w.dials > 0 {
			<-s.received
		}
		is.Equal(s.bytes, int64(0))
		is.True(!s.sending.placementRequest.Tried[s.plan.Endpoint.Incarnation]) // it may be placed there again
	}
	for wait := range sendWaits {
		for name, r := range endpointReasons {
			t.Run(wait+", endpoint "+name, func(t *testing.T) {
				check(t, wait, r.reason, func(s *sendCheck) { r.apply(s, s.plan.Endpoint) })
			})
			t.Run(wait+", helper "+name, func(t *testing.T) {
				check(t, wait, r.reason, func(s *sendCheck) { r.apply(s, s.plan.Helpers[1]) })
			})
		}
		for name, r := range requestReasons {
			t.Run(wait+", "+name, func(t *testing.T) { check(t, wait, r.reason, r.apply) })
		}
	}
}

// Guards against a check that withholds requests without a reason: the same waits, in which nothing changes.
func TestARequestIsSentByAPlanThatStaysValid(t *testing.T) {
	for wait, w := range sendWaits {
		t.Run(wait, func(t *testing.T) {
			is := is.New(t)
			s := newSendCheck(is, w.prepare)
			s.refuse = false
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel) // nobody answers
			outcome, _ := s.sending.sendTo(ctx, s.plan)
			is.Equal(outcome, attempt.Broken)
			<-s.received
			is.True(s.bytes > 0)
		})
	}
}
