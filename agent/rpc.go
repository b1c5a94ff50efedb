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
	"aspenyard.example/result"
	"aspenyard.example/wire"
)

// Reserve implements wireconnect.AgentHandler.
func (a *Agent) Reserve(ctx context.Context, request *connect.Request[wire.ReserveRequest]) (*connect.Response[wire.ReserveResponse], error) {
	var response *wire.ReserveResponse
	err := a.loop.Do(ctx, func() {
		now := time.Now()
		reservation, verdict := a.control.reserve(now, request.Msg)
		response = &wire.ReserveResponse{
			Accepted: verdict.Accepted, EstimatedStartMs: verdict.Wait.Milliseconds(),
			Code: int32(verdict.Code), RetryAfterMs: verdict.RetryAfter.Milliseconds(), Load: a.control.loadReport(now),
			Deferral:    verdict.Deferred,
			Reservation: &wire.Reservation{Incarnation: reservation.Incarnation, Number: reservation.Number},
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// Withdraw implements wireconnect.AgentHandler.
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

// Grant implements wireconnect.AgentHandler.
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

// eventSender is what Run writes to.
type eventSender interface {
	Send(*wire.RunEvent) error
}

// Run implements wireconnect.AgentHandler.
func (a *Agent) Run(ctx context.Context, request *connect.Request[wire.RunRequest], stream *connect.ServerStream[wire.RunEvent]) error {
	a.activeRuns.Add(1)
	defer a.activeRuns.Done()
	deadline := time.Now().Add(time.Duration(request.Msg.RemainingMs) * time.Millisecond)
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, result.Fail(result.DeadlineExceeded, result.RanYes, "the deadline passed"))
	defer cancel()
	o, refusal := a.awaitStart(ctx, reservationFromWire(request.Msg.Reservation))
	if refusal != nil {
		return stream.Send(endEvent(errorEnd(refusal)))
	}
	started := &wire.Started{Reservation: request.Msg.Reservation}
	if err := stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Started{Started: started}}); err != nil {
		a.log.Debug("entry gone at start", zap.Error(err))
	}
	end := a.execute(ctx, o, request.Msg, stream)
	_ = a.loop.Do(context.Background(), func() { a.control.table.Finish(time.Now(), o.reservation, end) })
	a.log.Info("attempt ended", zap.String("request", request.Msg.RequestId), zap.Uint32("attempt", request.Msg.Attempt),
		zap.Uint64("reservation", o.reservation.Number), zap.Int32("code", end.Code), zap.String("ran", end.Ran))
	err := stream.Send(endEvent(end))
	if request.Msg.ServiceKind == "" && (end.Code != int32(result.OK) || request.Msg.Hold) {
		a.cancelSequence(sequenceID(o.reservation))
	}
	_ = a.loop.Do(context.Background(), func() { a.control.remove(o) })
	return err
}

func errorEnd(e *result.Error) *wire.End {
	return &wire.End{Code: int32(e.Code), Ran: string(e.Ran), Detail: e.Detail, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

func endEvent(end *wire.End) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_End{End: end}}
}

// awaitStart queues the order until it may start. An error means that it never will.
func (a *Agent) awaitStart(ctx context.Context, reservation attempt.Reservation) (*job, *result.Error) {
	var o *job
	if ctx.Err() != nil {
		// The order came too late, as after a pause of its sender.
		_ = a.loop.Do(context.Background(), func() { a.control.withdraw(time.Now(), reservation, false) })
		return nil, result.Refuse(result.DeadlineExceeded, 0, "the deadline had passed when the order came")
	}
	err := a.loop.Do(context.Background(), func() { o = a.control.accept(time.Now(), reservation) })
	if err != nil || o == nil {
		return nil, result.Refuse(result.NoReservation, 0, "reservation %d of %d is not open", reservation.Number, reservation.Incarnation)
	}
	select {
	case verdict := <-o.decision:
		return o, verdict
	case <-ctx.Done():
	}
	// The caller is gone or late. Unless the work started just now, it never will.
	state := attempt.Running
	_ = a.loop.Do(context.Background(), func() { state, _ = a.control.withdraw(time.Now(), reservation, false) })
	if state == attempt.DidNotRun {
		return nil, result.Refuse(result.DeadlineExceeded, 0, "the deadline passed in the queue")
	}
	return o, <-o.decision
}

// execute runs started work to its end.
func (a *Agent) execute(ctx context.Context, o *job, request *wire.RunRequest, stream eventSender) *wire.End {
	if request.ServiceKind != "" {
		return a.callService(o, request)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	_ = a.loop.Do(context.Background(), func() { o.cancel = cancel })
	g := &generation{agent: a, job: o, request: request, stream: stream, digest: xxhash.New()}
	return g.run(ctx)
}

// cancelRetryInterval is the wait between tries to cancel at the engine.
const cancelRetryInterval = 200 * time.Millisecond

// cancelSequence cancels a sequence and returns only when the engine has let go of it. The
// order stays counted until then, in memory and in watts, because the engine may
// still be working on it.
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

// serviceGrace is how much longer than the caller's deadline a service's call
// may take: it has started, and its outcome is worth knowing.
const serviceGrace = time.Minute

// callService carries out one call. It goes on when the caller is gone: the call
// may not be repeated, so its outcome must be there for whoever asks.
func (a *Agent) callService(o *job, request *wire.RunRequest) *wire.End {
	wait := time.Duration(request.RemainingMs)*time.Millisecond + serviceGrace
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	reply, err := a.engine.Call(ctx, request.ServiceKind, request.RequestId, request.ServiceBody)
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return errorEnd(result.Refuse(result.NoEndpoint, time.Second, "the service cannot be reached"))
	case errors.Is(err, engine.ErrRefused):
		return errorEnd(result.Refuse(result.NoEndpoint, time.Second, "the service refused the order: %v", err))
	case err != nil:
		return errorEnd(result.Fail(result.OutcomeUnknown, result.RanUnknown, "the service's answer was lost: %v", err))
	}
	end := &wire.End{Code: int32(result.OK), Ran: string(result.RanYes), ServiceStatus: int32(reply.Status), ServiceBody: reply.Body}
	if reply.Status >= 400 {
		end.Code = int32(result.ServiceFailed)
		end.Detail = "the service answered with an error status"
	}
	return end
}

// generation is one sequence on its way from the engine to the entry.
type generation struct {
	agent       *Agent
	job         *job
	request     *wire.RunRequest
	stream      eventSender
	digest      *xxhash.Digest
	sentTokens  uint64 // sent in this attempt
	prefillDone bool
	// bufferedText and collected are the chunk in the making.
	bufferedText   strings.Builder
	bufferedTokens uint32
}

// maxResumes bounds how often one sequence is resumed at the engine.
const maxResumes = 3

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

// stopReason gives the reason for which running work was stopped.
func stopReason(ctx context.Context) *result.Error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.Canceled):
		return result.Fail(result.Cancelled, result.RanYes, "the entry closed the stream")
	case errors.Is(cause, context.DeadlineExceeded):
		// The RPC's own deadline ended a moment before the one kept here.
		return result.Fail(result.DeadlineExceeded, result.RanYes, "the deadline passed")
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

// relay passes tokens on until the engine's end marker, io.EOF, which gives nil.
// Tokens that have arrived together travel together: nobody waits for more, and
// under load a message carries several.
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

// finishRelay passes on what was collected before the source finishRelay.
func (g *generation) finishRelay(err error) error {
	if failure := g.flush(); failure != nil {
		return failure
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// bufferToken adds a token to the chunk in the making. A token out of its turn shows
// that the stream lost or doubled some.
func (g *generation) bufferToken(token engine.Token) error {
	expected := g.request.DeliveredTokens + g.sentTokens + uint64(g.bufferedTokens)
	if token.Offset != expected {
		return errors.Wrapf(engine.ErrStreamBroken, "token %d came in place of %d", token.Offset, expected)
	}
	g.bufferedTokens++
	g.bufferedText.WriteString(token.Text)
	return nil
}

// flush passes the chunk in the making to the entry.
func (g *generation) flush() error {
	if g.bufferedTokens == 0 {
		return nil
	}
	chunk := &wire.Chunk{Offset: g.request.DeliveredTokens + g.sentTokens, Tokens: g.bufferedTokens, Text: g.bufferedText.String()}
	g.bufferedTokens = 0
	g.bufferedText.Reset()
	if err := g.stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: chunk}}); err != nil {
		return errors.Wrap(err, "entry gone")
	}
	g.sentTokens += uint64(chunk.Tokens)
	_, _ = g.digest.WriteString(chunk.Text)
	return nil
}

func (g *generation) markPrefilled() {
	if g.prefillDone {
		return
	}
	g.prefillDone = true
	g.agent.loop.Post(func() { g.agent.control.markPrefilled(g.job) })
}

// holdSequence reports a finished prefill and keeps its memory until the entry closes
// the stream.
func (g *generation) holdSequence(ctx context.Context) error {
	held := &wire.Held{Import: &wire.Import{
		EngineAddr: g.agent.settings.Endpoint, Sequence: sequenceID(g.job.reservation),
		Tokens: uint64(admission.EstimateTokens(g.request.Prompt)),
	}}
	if err := g.stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Held{Held: held}}); err != nil {
		return errors.Wrap(err, "entry gone")
	}
	<-ctx.Done()
	return errors.WithStack(ctx.Err())
}

func (g *generation) successEnd() *wire.End {
	return &wire.End{Code: int32(result.OK), Ran: string(result.RanYes), Tokens: g.sentTokens, Checksum: g.digest.Sum64()}
}
