package entry

import (
	"context"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"aspenyard.example/result"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// reserveTimeout bounds a reservation: a silent agent costs this much before
// another is tried. A late answer is harmless, because the reservation lapses.
const reserveTimeout = time.Second

// reserve asks an endpoint's agent for a place. Its errors all mean that nothing
// ran: no order was sent.
func (e *Entry) reserve(ctx context.Context, c *call, endpoint *routing.Endpoint, r *routing.Request) (*wire.Reservation, *result.Error) {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := e.clients.Agent(endpoint.Addr).Reserve(callCtx, connect.NewRequest(&wire.ReserveRequest{
		RequestId: c.id, Attempt: c.attempts, Account: c.account.ID, Kind: c.kind.ID, Class: uint32(r.Class),
		PromptTokens: uint64(r.PromptTokens), OutputTokens: uint64(r.OutputTokens),
		RemainingMs: c.remaining().Milliseconds(), Repeatable: c.kind.Work.Repeatable, SpanPart: r.SpanPart, Key: r.Key,
	}))
	if err != nil {
		if ctx.Err() == nil {
			e.control.avoidEndpoint(endpoint.Name)
		}
		return nil, result.Refuse(result.NoEndpoint, time.Second, "%s did not answer a reservation", endpoint.Name)
	}
	answer := response.Msg
	e.control.recordAgentLoad(endpoint.Name, answer.Reservation.GetIncarnation(), answer.Load)
	if !answer.Accepted {
		wait := time.Duration(answer.RetryAfterMs) * time.Millisecond
		refusal := result.Refuse(result.Code(answer.Code), wait, "refused by %s", endpoint.Name)
		refusal.Deferral = answer.Deferral
		return nil, refusal
	}
	return answer.Reservation, nil
}

// runStream is one order's stream, checked as it comes in.
type runStream struct {
	stream      *connect.ServerStreamForClient[wire.RunEvent]
	reservation *wire.Reservation
	// nextToken is the next token expected; firstToken the one the order asked from.
	nextToken, firstToken uint64
	digest                *xxhash.Digest
	started               bool
}

// startRun sends the startRun for a reservation.
func (e *Entry) startRun(ctx context.Context, addr string, request *wire.RunRequest) (*runStream, error) {
	stream, err := e.clients.Agent(addr).Run(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return &runStream{
		stream: stream, reservation: request.Reservation, digest: xxhash.New(),
		nextToken: request.DeliveredTokens, firstToken: request.DeliveredTokens,
	}, nil
}

// streamError says that the stream ended without its end marker. Work that was seen
// to start did run; of other work nobody knows until the agent is asked.
func (r *runStream) streamError(cause error) error {
	ran := result.RanUnknown
	if r.started {
		ran = result.RanYes
	}
	return result.Fail(result.EndpointFailed, ran, "the stream broke: %v", cause)
}

// receive returns the receive event: a chunk, a held mark or the end. Each is checked
// against what must come: a late or crossed answer, a lost or doubled token and
// a cut stream all give an error and never reach the caller.
func (r *runStream) receive() (*wire.RunEvent, error) {
	for r.stream.Receive() {
		event := r.stream.Msg()
		switch body := event.Event.(type) {
		case *wire.RunEvent_Started:
			if got := body.Started.Reservation; got.GetNumber() != r.reservation.Number || got.GetIncarnation() != r.reservation.Incarnation {
				return nil, result.Fail(result.EndpointFailed, result.RanUnknown, "an answer to reservation %d came", got.GetNumber())
			}
			r.started = true
			continue
		case *wire.RunEvent_Chunk:
			if body.Chunk.Offset != r.nextToken {
				return nil, result.Fail(result.EndpointFailed, result.RanYes, "token %d came in place of %d", body.Chunk.Offset, r.nextToken)
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

func (r *runStream) verifyEnd(end *wire.End) error {
	if end.Code != int32(result.OK) || end.ServiceStatus != 0 {
		return nil
	}
	if end.Tokens != r.nextToken-r.firstToken || (end.Tokens > 0 && end.Checksum != r.digest.Sum64()) {
		return result.Fail(result.EndpointFailed, result.RanYes, "the answer does not match its count and checksum")
	}
	return nil
}

func (r *runStream) close() { _ = r.stream.Close() }

// endError turns a failed end into its error; nil for a good one.
func endError(end *wire.End) *result.Error {
	if end.Code == int32(result.OK) {
		return nil
	}
	return &result.Error{
		Code: result.Code(end.Code), Ran: result.Ran(end.Ran), Detail: end.Detail,
		RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
	}
}

// withdrawTimeout bounds one question to an agent.
const withdrawTimeout = time.Second

// withdraw asks an agent to cancel a reservation that has not started, or to
// tell its state; peek only asks.
func (e *Entry) withdraw(ctx context.Context, addr string, reservation *wire.Reservation, peek bool) (*wire.WithdrawResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	response, err := e.clients.Agent(addr).Withdraw(ctx, connect.NewRequest(&wire.WithdrawRequest{Reservation: reservation, Peek: peek}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
