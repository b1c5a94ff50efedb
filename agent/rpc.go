package agent

import (
	"context"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/admission"
	"aspenyard.example/attempt"
	"aspenyard.example/engine"
	"aspenyard.example/graceful"
	"aspenyard.example/result"
	"aspenyard.example/wire"
)

// Reserve implements wireconnect.AgentHandler: it offers a request to the queue. The response
// holds the reservation or the refusal, and the endpoint's load report.
func (a *Agent) Reserve(ctx context.Context, request *connect.Request[wire.ReserveRequest]) (*connect.Response[wire.ReserveResponse], error) {
	var response *wire.ReserveResponse
	err := a.loop.Do(ctx, func() {
		now := time.Now()
		reservation, decision := a.control.reserve(now, request.Msg)
		response = &wire.ReserveResponse{
			Accepted: decision.Accepted, EstimatedStartMs: decision.Wait.Milliseconds(),
			Code: int32(decision.Code), RetryAfterMs: decision.RetryAfter.Milliseconds(), Load: a.control.loadReport(now),
			Deferral:    decision.Deferred,
			Reservation: &wire.Reservation{Incarnation: reservation.Incarnation, Number: reservation.Number},
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// Withdraw implements wireconnect.AgentHandler: it cancels a reservation that has not
// started. The response holds the reservation's state and, after its end, the outcome. With
// peek set, nothing is cancelled.
func (a *Agent) Withdraw(ctx context.Context, request *connect.Request[wire.WithdrawRequest]) (*connect.Response[wire.WithdrawResponse], error) {
	response := &wire.WithdrawResponse{}
	err := a.loop.Do(ctx, func() {
		state, outcome := a.control.withdraw(time.Now(), reservationFromWire(request.Msg.Reservation), request.Msg.Peek)
		response.State = stateToWire(state)
		response.End, _ = outcome.(*wire.End)
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// Grant implements wireconnect.AgentHandler: it applies a power grant. The response tells
// whether the grant was applied and which limit, in watts, is now in force.
func (a *Agent) Grant(ctx context.Context, request *connect.Request[wire.GrantRequest]) (*connect.Response[wire.GrantResponse], error) {
	var response *wire.GrantResponse
	err := a.loop.Do(ctx, func() { response = a.control.applyGrant(request.Msg) })
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

func reservationFromWire(r *wire.Reservation) attempt.Reservation {
	return attempt.Reservation{Incarnation: r.GetIncarnation(), Number: r.GetNumber()}
}

func stateToWire(state attempt.State) wire.AttemptState {
	switch state {
	case attempt.DidNotRun:
		return wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN
	case attempt.Reserved:
		return wire.AttemptState_ATTEMPT_STATE_RESERVED
	case attempt.Running:
		return wire.AttemptState_ATTEMPT_STATE_RUNNING
	case attempt.Finished:
		return wire.AttemptState_ATTEMPT_STATE_FINISHED
	}
	return wire.AttemptState_ATTEMPT_STATE_FORGOTTEN
}

// eventSender is the part of Run's stream that a generation uses.
type eventSender interface {
	Send(*wire.RunEvent) error
}

// Run implements wireconnect.AgentHandler: it waits until the reservation's job may start,
// runs it and sends its events to the entry. The last event is the End, which the agent has
// recorded as the attempt's outcome before it sends it.
func (a *Agent) Run(ctx context.Context, request *connect.Request[wire.RunRequest], stream *connect.ServerStream[wire.RunEvent]) error {
	a.activeRuns.Add(1)
	defer a.activeRuns.Add(-1)
	deadline := time.Now().Add(time.Duration(request.Msg.RemainingMs) * time.Millisecond)
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, result.Fail(result.DeadlineExceeded, result.RanYes, "the deadline passed before the request ended"))
	defer cancel()
	j, refusal := a.awaitStart(ctx, reservationFromWire(request.Msg.Reservation))
	if refusal != nil {
		return stream.Send(endEvent(errorEnd(refusal)))
	}
	started := &wire.Started{Reservation: request.Msg.Reservation}
	if err := stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Started{Started: started}}); err != nil {
		a.log.Debug("cannot send the started event to the entry", zap.Error(err))
	}
	end := a.execute(ctx, j, request.Msg, stream)
	_ = a.loop.Do(context.Background(), func() { a.control.table.Finish(time.Now(), j.reservation, end) })
	a.log.Info("attempt ended", zap.String("request", request.Msg.RequestId), zap.Uint32("attempt", request.Msg.Attempt),
		zap.Uint64("reservation", j.reservation.Number), zap.Int32("code", end.Code), zap.String("ran", end.Ran))
	err := stream.Send(endEvent(end))
	if request.Msg.ServiceKind == "" && (end.Code != int32(result.OK) || request.Msg.Hold) {
		a.cancelSequence(sequenceID(j.reservation))
	}
	_ = a.loop.Do(context.Background(), func() { a.control.remove(j) })
	return err
}

// errorEnd returns the End of an attempt that ended with e.
func errorEnd(e *result.Error) *wire.End {
	return &wire.End{Code: int32(e.Code), Ran: string(e.Ran), Detail: e.Detail, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

func endEvent(end *wire.End) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_End{End: end}}
}

// awaitStart accepts the run request of a reservation and waits until its job may start. If
// it returns an error, the job has not started and never will.
func (a *Agent) awaitStart(ctx context.Context, reservation attempt.Reservation) (*job, *result.Error) {
	var j *job
	if ctx.Err() != nil {
		// The run request arrived late, for example because its sender was suspended.
		_ = a.loop.Do(context.Background(), func() { a.control.withdraw(time.Now(), reservation, false) })
		return nil, result.Refuse(result.DeadlineExceeded, 0, "the deadline had passed when the run request arrived")
	}
	err := a.loop.Do(context.Background(), func() { j = a.control.accept(time.Now(), reservation) })
	if err != nil || j == nil {
		return nil, result.Refuse(result.NoReservation, 0, "reservation %d of incarnation %d is unknown, expired or already used", reservation.Number, reservation.Incarnation)
	}
	select {
	case decision := <-j.decision:
		return j, decision
	case <-ctx.Done():
	}
	// The entry closed the stream or the deadline passed. If the job has not started
	// meanwhile, it is withdrawn and never starts.
	state := attempt.Running
	_ = a.loop.Do(context.Background(), func() { state, _ = a.control.withdraw(time.Now(), reservation, false) })
	if state == attempt.DidNotRun {
		return nil, result.Refuse(result.DeadlineExceeded, 0, "the deadline passed while the request was queued")
	}
	return j, <-j.decision
}

// execute runs a started job and returns its outcome.
func (a *Agent) execute(ctx context.Context, j *job, request *wire.RunRequest, stream eventSender) *wire.End {
	if request.ServiceKind != "" {
		return a.callService(j, request)
	}
	ctx, stop := a.shutdown.Context(ctx, 0)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	_ = a.loop.Do(context.Background(), func() { j.cancel = cancel })
	g := &generation{agent: a, job: j, request: request, stream: stream, digest: xxhash.New()}
	return g.run(ctx)
}

// cancelRetryInterval is the wait between attempts to cancel a sequence at the engine.
const cancelRetryInterval = 200 * time.Millisecond

// cancelSequence cancels a sequence and returns when the engine has confirmed it. Until then
// the job's memory and watts stay counted, because the engine may still be running the
// sequence.
func (a *Agent) cancelSequence(id string) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := a.engine.Cancel(ctx, id)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(cancelRetryInterval)
	}
}

// serviceGrace is how long a call of a plain service may go on after the caller's deadline.
// The call has started, so it is better to wait for its outcome than to leave it unknown.
const serviceGrace = time.Minute

// callService calls the plain service and returns the outcome. Unless the agent stops, the call goes on when the
// entry closes the stream: it is not repeatable, so entries that ask for its outcome later
// must find it.
func (a *Agent) callService(j *job, request *wire.RunRequest) *wire.End {
	wait := time.Duration(request.RemainingMs)*time.Millisecond + serviceGrace
	ctx, stop := a.shutdown.Context(context.Background(), 0)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	response, err := a.engine.Call(ctx, request.ServiceKind, request.RequestId, request.ServiceBody)
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return errorEnd(result.Refuse(result.NoEndpoint, time.Second, "cannot connect to the service"))
	case errors.Is(err, engine.ErrRefused):
		return errorEnd(result.Refuse(result.NoEndpoint, time.Second, "the service refused the call: %v", err))
	case errors.Is(err, engine.ErrTooLong):
		return errorEnd(result.Fail(result.ServiceFailed, result.RanYes, "%v", err))
	case err != nil && errors.Is(context.Cause(ctx), graceful.ErrShutdown):
		return errorEnd(result.Fail(result.OutcomeUnknown, result.RanUnknown, "the call was sent, and the agent stops before the service has responded"))
	case err != nil:
		return errorEnd(result.Fail(result.OutcomeUnknown, result.RanUnknown, "the call was sent, but the service's response could not be read: %v", err))
	}
	end := &wire.End{Code: int32(result.OK), Ran: string(result.RanYes), ServiceStatus: int32(response.Status), ServiceBody: response.Body}
	if response.Status >= 400 {
		end.Code = int32(result.ServiceFailed)
		end.Detail = "the service answered with HTTP status 400 or above"
	}
	return end
}

// generation relays one sequence from the engine to the entry.
type generation struct {
	agent       *Agent
	job         *job
	request     *wire.RunRequest
	stream      eventSender
	digest      *xxhash.Digest
	sentTokens  uint64 // tokens sent to the entry in this attempt
	prefillDone bool
	// bufferedText and bufferedTokens are the chunk that the next flush sends.
	bufferedText   strings.Builder
	bufferedTokens uint32
}

// maxResumes bounds how often the stream of one sequence is resumed at the engine.
const maxResumes = 3

// run starts the sequence at the engine, relays it and returns the outcome. If the stream
// breaks, run resumes it at the token after the last one sent to the entry.
func (g *generation) run(ctx context.Context) *wire.End {
	source, err := g.start(ctx)
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = g.relay(ctx, source)
			source.Close()
		}
		if err == nil {
			return g.successEnd()
		}
		if ctx.Err() != nil {
			return errorEnd(stopReason(ctx))
		}
		if errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrNotSent) {
			return errorEnd(result.Refuse(result.NoEndpoint, time.Second, "%v", err))
		}
		if resumes == maxResumes {
			return errorEnd(result.Fail(result.EndpointFailed, result.RanYes, "%v", err))
		}
		source, err = g.agent.engine.Resume(ctx, sequenceID(g.job.reservation), g.request.DeliveredTokens+g.sentTokens)
		if err != nil {
			return errorEnd(result.Fail(result.EndpointFailed, result.RanYes, "%v", err))
		}
	}
}

// stopReason returns the error for a running job whose context ended.
func stopReason(ctx context.Context) *result.Error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, graceful.ErrShutdown):
		return result.Fail(result.EndpointFailed, result.RanYes, "the endpoint's agent stops before the request has ended")
	case errors.Is(cause, context.Canceled):
		return result.Fail(result.Cancelled, result.RanYes, "the entry closed the stream")
	case errors.Is(cause, context.DeadlineExceeded):
		// The RPC's own deadline passed shortly before the deadline that Run set, whose cause
		// is a result.Error.
		return result.Fail(result.DeadlineExceeded, result.RanYes, "the deadline passed before the request ended")
	}
	return result.FromError(cause)
}

func (g *generation) start(ctx context.Context) (*engine.Stream, error) {
	r := g.request
	level := admission.LevelOf(g.job.class, admission.EstimateTokens(r.Prompt))
	imports := make([]engine.Import, 0, len(r.Imports))
	for _, i := range r.Imports {
		imports = append(imports, engine.Import{Engine: i.EngineAddr, Sequence: i.Sequence, Tokens: i.Tokens})
	}
	return g.agent.engine.Start(ctx, engine.Request{
		RequestID: sequenceID(g.job.reservation), Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Priority: int(level),
		Delivered: r.Delivered, DeliveredTokens: r.DeliveredTokens, Hold: r.Hold, Imports: imports,
	})
}

// maxChunkTokens bounds the tokens of one chunk.
const maxChunkTokens = 64

// relay sends the tokens of source to the entry and returns nil after the engine's end
// marker. Tokens that have arrived together are sent as one chunk of at most maxChunkTokens.
// relay never waits for more tokens, but under load a message carries several.
func (g *generation) relay(ctx context.Context, source *engine.Stream) error {
	for {
		token, err := source.Next()
		if err != nil {
			return g.finishRelay(err)
		}
		g.markPrefilled()
		if token.Held {
			return g.holdSequence(ctx)
		}
		if err := g.bufferToken(token); err != nil {
			return err
		}
		if g.bufferedTokens < maxChunkTokens && source.Buffered() {
			continue
		}
		if err := g.flush(); err != nil {
			return err
		}
	}
}

// finishRelay sends the tokens that were buffered when source.Next returned err. It returns
// nil if err is io.EOF, the engine's end marker.
func (g *generation) finishRelay(err error) error {
	if flushErr := g.flush(); flushErr != nil {
		return flushErr
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// bufferToken adds a token to the buffered chunk. An unexpected offset means that the stream
// lost or duplicated tokens.
func (g *generation) bufferToken(token engine.Token) error {
	expected := g.request.DeliveredTokens + g.sentTokens + uint64(g.bufferedTokens)
	if token.Offset != expected {
		return errors.Wrapf(engine.ErrStreamBroken, "got token offset %d, want %d", token.Offset, expected)
	}
	g.bufferedTokens++
	g.bufferedText.WriteString(token.Text)
	return nil
}

// flush sends the buffered chunk to the entry.
func (g *generation) flush() error {
	if g.bufferedTokens == 0 {
		return nil
	}
	chunk := &wire.Chunk{Offset: g.request.DeliveredTokens + g.sentTokens, Tokens: g.bufferedTokens, Text: g.bufferedText.String()}
	g.bufferedTokens = 0
	g.bufferedText.Reset()
	if err := g.stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: chunk}}); err != nil {
		return errors.Wrap(err, "send to the entry")
	}
	g.sentTokens += uint64(chunk.Tokens)
	_, _ = g.digest.WriteString(chunk.Text)
	return nil
}

// markPrefilled reports the end of the job's prefill to the queue at the first token.
func (g *generation) markPrefilled() {
	if g.prefillDone {
		return
	}
	g.prefillDone = true
	g.agent.loop.Post(func() { g.agent.control.markPrefilled(g.job) })
}

// holdSequence reports the finished prefill of a prefill part to the entry and keeps the
// sequence, with its KV cache, until the entry closes the stream.
func (g *generation) holdSequence(ctx context.Context) error {
	held := &wire.Held{Import: &wire.Import{
		EngineAddr: g.agent.settings.Endpoint, Sequence: sequenceID(g.job.reservation),
		Tokens: uint64(admission.EstimateTokens(g.request.Prompt)),
	}}
	if err := g.stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Held{Held: held}}); err != nil {
		return errors.Wrap(err, "send to the entry")
	}
	<-ctx.Done()
	return errors.WithStack(ctx.Err())
}

func (g *generation) successEnd() *wire.End {
	return &wire.End{Code: int32(result.OK), Ran: string(result.RanYes), Tokens: g.sentTokens, Checksum: g.digest.Sum64()}
}
