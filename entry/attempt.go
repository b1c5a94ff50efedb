package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"aspenyard.example/result"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// reserve asks an endpoint's agent to reserve a place for the call. All its errors mean
// that nothing ran, because no run request was sent. A late response is harmless, because an
// unused reservation expires.
func (e *Entry) reserve(ctx context.Context, c *call, endpoint *routing.Endpoint, r *routing.Request) (*wire.Reservation, *result.Error) {
	callCtx, cancel := context.WithTimeout(ctx, e.settings.PeerTimeout.D())
	defer cancel()
	started := time.Now()
	response, err := e.clients.Agent(endpoint.Addr).Reserve(callCtx, connect.NewRequest(&wire.ReserveRequest{
		RequestId: c.id, Attempt: c.attempts, Account: c.account.ID, Kind: c.kind.ID, Class: uint32(r.Class),
		PromptTokens: uint64(r.PromptTokens), OutputTokens: uint64(r.OutputTokens),
		RemainingMs: c.remaining().Milliseconds(), Repeatable: c.kind.Work.Repeatable, SpanPart: r.PrefillPart, Key: r.Key,
	}))
	if err != nil {
		if ctx.Err() == nil {
			e.control.avoidEndpoint(endpoint.Name, started)
		}
		return nil, result.Refuse(result.NoEndpoint, time.Second, "the agent of %s did not answer the reservation request", endpoint.Name)
	}
	msg := response.Msg
	e.control.recordAgentLoad(endpoint.Name, msg.Reservation.GetIncarnation(), msg.Load)
	if !msg.Accepted {
		wait := time.Duration(msg.RetryAfterMs) * time.Millisecond
		refusal := result.Refuse(result.Code(msg.Code), wait, "the agent of %s refused the request", endpoint.Name)
		refusal.Deferral = msg.Deferral
		return nil, refusal
	}
	return msg.Reservation, nil
}

// runStream is the event stream of one run request. Each event is verified as it is
// received.
type runStream struct {
	stream      *connect.ServerStreamForClient[wire.RunEvent]
	reservation *wire.Reservation
	// nextToken is the offset of the next token expected, firstToken the offset from
	// which the run was requested.
	nextToken, firstToken uint64
	digest                *xxhash.Digest
	started               bool // the agent has confirmed that the run started
	watch                 *attemptWatch
	// connected is set once the transport has a connection for the run request.
	connected *atomic.Bool
}

// startRun sends the run request for a reservation to the agent at addr and returns the
// stream of its events.
func (e *Entry) startRun(ctx context.Context, addr string, request *wire.RunRequest) (*runStream, error) {
	run := &runStream{
		reservation: request.Reservation, digest: xxhash.New(), connected: &atomic.Bool{},
		nextToken: request.DeliveredTokens, firstToken: request.DeliveredTokens,
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { run.connected.Store(true) }})
	var err error
	if run.stream, err = e.clients.Agent(addr).Run(ctx, connect.NewRequest(request)); err != nil {
		return nil, run.streamError(err)
	}
	return run, nil
}

// streamError returns the error of a stream that broke before its end event. Without a
// connection the request was not sent. Work whose start was confirmed did run; whether other work ran is unknown until the agent is
// queried.
func (r *runStream) streamError(cause error) error {
	var dialError *net.OpError
	if errors.As(cause, &dialError) && dialError.Op == "dial" && !r.connected.Load() {
		return result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "the run request was not sent: %v", cause)
	}
	ran := result.RanUnknown
	if r.started {
		ran = result.RanYes
	}
	return result.Fail(result.EndpointFailed, ran, "the stream from the agent broke: %v", cause)
}

// receive returns the next event: a chunk of output, the notice that a prefill part is
// held, or the end. It verifies each event: a late or misrouted response, which names
// another reservation, a lost or duplicated token and a truncated stream give an error,
// and their output never reaches the caller.
func (r *runStream) receive() (*wire.RunEvent, error) {
	for r.stream.Receive() {
		r.watch.heard()
		event := r.stream.Msg()
		switch body := event.Event.(type) {
		case *wire.RunEvent_Started:
			if got := body.Started.Reservation; got.GetNumber() != r.reservation.Number || got.GetIncarnation() != r.reservation.Incarnation {
				return nil, result.Fail(result.EndpointFailed, result.RanUnknown, "the stream belongs to another reservation, %d", got.GetNumber())
			}
			r.started = true
			continue
		case *wire.RunEvent_Chunk:
			if body.Chunk.Offset != r.nextToken {
				return nil, result.Fail(result.EndpointFailed, result.RanYes, "received token offset %d instead of %d", body.Chunk.Offset, r.nextToken)
			}
			r.nextToken += uint64(body.Chunk.Tokens)
			_, _ = r.digest.WriteString(body.Chunk.Text)
		case *wire.RunEvent_End:
			return event, r.verifyEnd(body.End)
		}
		return event, nil
	}
	if err := r.stream.Err(); err != nil {
		return nil, r.streamError(err)
	}
	return nil, r.streamError(io.ErrUnexpectedEOF)
}

// verifyEnd checks the token count and the checksum of a run that ended well.
func (r *runStream) verifyEnd(end *wire.End) error {
	if end.Code != int32(result.OK) || end.ServiceStatus != 0 {
		return nil
	}
	if end.Tokens != r.nextToken-r.firstToken || (end.Tokens > 0 && end.Checksum != r.digest.Sum64()) {
		return result.Fail(result.EndpointFailed, result.RanYes, "the output does not match its token count or checksum")
	}
	return nil
}

func (r *runStream) close() { _ = r.stream.Close() }

// endError returns the error that an end event reports, or nil when the run succeeded.
func (e *Entry) endError(end *wire.End) *result.Error {
	if end.Code == int32(result.OK) {
		return nil
	}
	if end.Code == int32(result.Withdrawn) && e.draining.Load() {
		return refuseLeaving() // withdrawn by attemptWatch
	}
	return &result.Error{
		Code: result.Code(end.Code), Ran: result.Ran(end.Ran), Detail: end.Detail,
		RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
	}
}

// withdrawTimeout bounds one Withdraw call to an agent.
const withdrawTimeout = time.Second

// withdraw asks an agent to cancel a reservation whose run has not started and to
// report the reservation's state. With peek set it only reports the state.
func (e *Entry) withdraw(ctx context.Context, addr string, reservation *wire.Reservation, peek bool) (*wire.WithdrawResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	response, err := e.clients.Agent(addr).Withdraw(ctx, connect.NewRequest(&wire.WithdrawRequest{Reservation: reservation, Peek: peek}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
