package entry

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"aspenyard.example/admission"
	"aspenyard.example/result"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// tokenWriter writes a generation's output to the caller.
type tokenWriter interface {
	// writeTokens writes the text of the given number of tokens. An error means that
	// the caller has disconnected.
	writeTokens(text string, tokens int) error
}

const (
	// noEndpointRetryAfter is the Retry-After of a request for which there is no
	// endpoint: about the time until the heartbeat of a new one arrives.
	noEndpointRetryAfter = 2 * time.Second
)

// generation is one request to a model, which is repeatable, with all its attempts. Each
// further attempt resumes after the tokens that were already delivered to the caller.
type generation struct {
	entry     *Entry
	call      *call
	prompt    string
	maxTokens int
	output    tokenWriter
	routing   routing.Request

	delivered       strings.Builder
	deliveredTokens uint64
	ran             result.Ran
	retryState      routing.RetryState
	bestRefusal     *result.Error // the refusal to return: the last deferral, else the one with the shortest wait
}

func (e *Entry) newGeneration(c *call, prompt string, maxTokens int, output tokenWriter) *generation {
	return &generation{
		entry: e, call: c, prompt: prompt, maxTokens: maxTokens, output: output, ran: result.RanNo,
		routing: routing.Request{
			Model: c.kind.Work.Model, Class: c.class(), PromptTokens: c.promptTokens, OutputTokens: maxTokens,
			Prefix: routing.PrefixHashes(prompt, admission.BytesPerToken), DataCentre: e.settings.DataCentre, Tried: map[string]bool{},
		},
	}
}

// run makes attempts until one succeeds, a failure may not be retried or the deadline
// passes. It returns nil on success.
func (g *generation) run(ctx context.Context) *result.Error {
	ctx, cancel := g.call.withDeadline(ctx)
	defer cancel()
	for {
		failure := g.attempt(ctx)
		if failure == nil {
			g.entry.budgets[g.call.class()].RecordSuccess()
			return nil
		}
		g.ran = combineRan(g.ran, failure.Ran)
		if ctx.Err() != nil {
			return contextError(ctx, g.ran)
		}
		if !g.entry.canServe(0) || g.ran == result.RanNo && !g.entry.canServe(shortestTime(&g.routing, nil)) {
			return stopError(g.ran)
		}
		if final := g.decideRetry(failure); final != nil {
			return g.finalError(final)
		}
	}
}

// attempt makes one attempt, at one endpoint or, for a prompt that no endpoint holds
// alone, at several.
func (g *generation) attempt(ctx context.Context) *result.Error {
	g.call.attempts++
	endpoints := *g.entry.control.endpoints.Load()
	if endpoint := g.retryState.Pick(time.Now(), g.entry.policy, &g.routing, g.deferralKey, endpoints); endpoint != nil {
		return g.runOnEndpoint(ctx, endpoint)
	}
	chosen, refusal := planSplit(&g.routing, endpoints)
	if refusal != nil {
		return refusal
	}
	return g.runSplit(ctx, chosen)
}

// deferralKey identifies a deferred request when it comes back. It is a hash of the
// client account, the kind of work and the prompt, so that a caller has to do nothing
// but wait for Retry-After and send the same request again.
func (g *generation) deferralKey() uint64 {
	digest := xxhash.New()
	for _, part := range []string{g.call.account.ID, g.call.kind.ID, g.prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// decideRetry decides whether a failed attempt is followed by another one: it returns
// nil for a retry, or the final error. Refusals cost little and are bounded by number.
// Retries after failures of admitted work are bounded by the retry budget of the class,
// so that the loss of a data centre does not multiply the load on the others.
func (g *generation) decideRetry(failure *result.Error) *result.Error {
	if failure.Ran == result.RanNo {
		return g.handleRefusal(failure)
	}
	if failure.Code == result.Cancelled || failure.Code == result.DeadlineExceeded {
		return failure
	}
	if !g.entry.payRetry(g.call) {
		failure.Code, failure.RetryAfter = result.RetryBudget, noEndpointRetryAfter
		return failure
	}
	return nil
}

// payRetry takes a retry of the call from the budget of its class, unless that is done already. It returns false if the
// budget is spent.
func (e *Entry) payRetry(c *call) bool {
	if c.retryPaid {
		c.retryPaid = false
		return true
	}
	return e.budgets[c.class()].Take()
}

// handleRefusal decides whether a refused request tries another endpoint: it returns
// nil if so, or the refusal to return to the caller.
func (g *generation) handleRefusal(failure *result.Error) *result.Error {
	if g.isMoreUseful(failure) {
		g.bestRefusal = failure
	}
	if failure.Code == result.PromptTooLong || failure.Code == result.NoEndpoint && len(g.routing.Tried) == 0 {
		return failure
	}
	if g.retryState.RecordRefusal(&g.routing, *g.entry.control.endpoints.Load(), g.bestRefusal.Code.Busy()) {
		return nil
	}
	return g.bestRefusal
}

// isMoreUseful reports whether a refusal is to replace bestRefusal: a deferral always
// does, another refusal only if its wait is shorter and bestRefusal is no deferral.
func (g *generation) isMoreUseful(failure *result.Error) bool {
	if g.bestRefusal == nil || failure.Deferral {
		return true
	}
	return !g.bestRefusal.Deferral && failure.RetryAfter < g.bestRefusal.RetryAfter
}

// combineRan combines what is known of two attempts at one request: the request ran if
// one of them did, and did not run only if neither did.
func combineRan(a, b result.Ran) result.Ran {
	if a == result.RanYes || b == result.RanYes {
		return result.RanYes
	}
	if a == result.RanUnknown || b == result.RanUnknown {
		return result.RanUnknown
	}
	return result.RanNo
}

// finalError returns the error for the caller after the last attempt failed. The code of
// a refusal states that nothing ran; if an earlier attempt may have run, the code is
// replaced by EndpointFailed.
func (g *generation) finalError(failure *result.Error) *result.Error {
	final := *failure
	final.Ran = combineRan(g.ran, failure.Ran)
	if final.Ran != result.RanNo && final.Code.Refusal() {
		final.Code = result.EndpointFailed
	}
	return &final
}

// runOnEndpoint makes an attempt at one endpoint: it reserves a place there, sends the
// run request and relays the output.
func (g *generation) runOnEndpoint(ctx context.Context, endpoint *routing.Endpoint) *result.Error {
	reservation, refusal := g.entry.reserve(ctx, g.call, endpoint, &g.routing)
	if refusal != nil {
		g.routing.Tried[endpoint.Name] = true
		return refusal
	}
	ctx, watch := g.entry.watchAttempt(ctx, g.call, &g.routing, endpoint, reservation)
	failure := g.relayRun(ctx, endpoint, g.runRequest(reservation), watch)
	watch.end()
	if failure != nil {
		g.routing.Tried[endpoint.Name] = true
	}
	return failure
}

// runRequest returns the run request for the whole prompt, from the first token that was not
// delivered.
func (g *generation) runRequest(reservation *wire.Reservation) *wire.RunRequest {
	return &wire.RunRequest{
		Reservation: reservation, RequestId: g.call.id, Attempt: g.call.attempts, Model: g.routing.Model,
		RemainingMs: g.call.remaining().Milliseconds(), Prompt: g.prompt, MaxTokens: uint64(g.maxTokens),
		Delivered: g.delivered.String(), DeliveredTokens: g.deliveredTokens,
	}
}

// relayRun sends a run request and relays its output to the caller until it ends. watch is nil for an attempt that is not
// watched.
func (g *generation) relayRun(ctx context.Context, endpoint *routing.Endpoint, request *wire.RunRequest, watch *attemptWatch) *result.Error {
	// Cancelling the context cancels the work at the agent, for whatever reason this
	// attempt ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.entry.inFlight.add(endpoint.Name, 1)
	defer g.entry.inFlight.add(endpoint.Name, -1)
	run, err := g.entry.startRun(ctx, endpoint.Addr, request)
	if err != nil {
		return g.entry.resolveBrokenStream(g.call, endpoint, request.Reservation, err)
	}
	run.watch = watch
	defer run.close()
	for {
		event, err := run.receive()
		if err != nil {
			return g.entry.resolveBrokenStream(g.call, endpoint, request.Reservation, err)
		}
		switch body := event.Event.(type) {
		case *wire.RunEvent_Chunk:
			if err := g.deliver(body.Chunk); err != nil {
				return result.Fail(result.Cancelled, result.RanYes, "the caller disconnected")
			}
		case *wire.RunEvent_End:
			return g.entry.endError(body.End)
		}
	}
}

// deliver writes a chunk to the caller and adds it to what was delivered.
func (g *generation) deliver(chunk *wire.Chunk) error {
	if g.deliveredTokens == 0 {
		g.call.firstTokenAt = time.Now()
	}
	if err := g.output.writeTokens(chunk.Text, int(chunk.Tokens)); err != nil {
		return err
	}
	g.delivered.WriteString(chunk.Text)
	g.deliveredTokens += uint64(chunk.Tokens)
	return nil
}

// resolveBrokenStream returns the error of a run whose stream broke. If it is unknown
// whether the run started, it withdraws the reservation, with one call: a run that has
// not started by then never will, and its place is free.
func (e *Entry) resolveBrokenStream(c *call, endpoint *routing.Endpoint, reservation *wire.Reservation, err error) *result.Error {
	failure := result.FromError(err)
	if failure.Code == result.Internal {
		failure = result.Fail(result.EndpointFailed, result.RanUnknown, "the run at %s failed: %v", endpoint.Name, err)
	}
	if failure.Ran != result.RanUnknown || c.remaining() <= 0 {
		return failure
	}
	state, err := e.withdraw(context.Background(), endpoint.Addr, reservation, false)
	if err == nil && state.State == wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN {
		return result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "%s lost the run request before it started", endpoint.Name)
	}
	return failure
}
