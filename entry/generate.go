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

// tokenWriter takes a generation's output on its way to the caller.
type tokenWriter interface {
	// writeTokens gives the caller the text of some tokens; an error means that the caller
	// is gone.
	writeTokens(text string, tokens int) error
}

const (
	// noEndpointRetryAfter is when to come back when no endpoint is there: about the
	// time in which a new one is heard of.
	noEndpointRetryAfter = 2 * time.Second
)

// generation is one repeatable request to a model, through as many attempts as
// it takes. Each attempt goes on from the tokens that the caller already has.
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
	bestRefusal     *result.Error // the deferral, or the one with the shortest wait
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

// run carries a request out within its deadline.
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
			return g.contextError(ctx)
		}
		if final := g.decideRetry(failure); final != nil {
			return g.finalError(final)
		}
	}
}

// attempt makes one try, on one endpoint or on several for a long prompt.
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

// deferralKey is the same for every request of an account for the same work, so that a
// caller needs nothing but Retry-After to be known again.
func (g *generation) deferralKey() uint64 {
	digest := xxhash.New()
	for _, part := range []string{g.call.account.ID, g.call.kind.ID, g.prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// decideRetry decides whether a failed attempt is followed by another: nil for yes,
// or the final error. Refusals are cheap and bounded by number; failures of
// admitted work are bounded by the class's retry budget, so that a dead data
// centre does not multiply the load on the others.
func (g *generation) decideRetry(failure *result.Error) *result.Error {
	if failure.Ran == result.RanNo {
		return g.handleRefusal(failure)
	}
	if failure.Code == result.Cancelled || failure.Code == result.DeadlineExceeded {
		return failure
	}
	if !g.entry.budgets[g.call.class()].Take() {
		failure.Code, failure.RetryAfter = result.RetryBudget, noEndpointRetryAfter
		return failure
	}
	return nil
}

// handleRefusal decides whether a handleRefusal request asks another endpoint: nil for yes.
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

// isMoreUseful tells whether a refusal is of more use to the caller than the one kept.
func (g *generation) isMoreUseful(failure *result.Error) bool {
	if g.bestRefusal == nil || failure.Deferral {
		return true
	}
	return !g.bestRefusal.Deferral && failure.RetryAfter < g.bestRefusal.RetryAfter
}

// combineRan keeps what may be said of a run over several attempts: once one may have
// run, "no" is no longer true.
func combineRan(a, b result.Ran) result.Ran {
	if a == result.RanYes || b == result.RanYes {
		return result.RanYes
	}
	if a == result.RanUnknown || b == result.RanUnknown {
		return result.RanUnknown
	}
	return result.RanNo
}

func (g *generation) contextError(ctx context.Context) *result.Error {
	if ctx.Err() == context.Canceled {
		return result.Fail(result.Cancelled, g.ran, "the caller went away")
	}
	return result.Fail(result.DeadlineExceeded, g.ran, "the deadline passed")
}

// finalError makes the final error. A refusal's code says that nothing ran: it is not
// used for a request of which an earlier attempt may have.
func (g *generation) finalError(failure *result.Error) *result.Error {
	final := *failure
	final.Ran = combineRan(g.ran, failure.Ran)
	if final.Ran != result.RanNo && final.Code.Refusal() {
		final.Code = result.EndpointFailed
	}
	return &final
}

// runOnEndpoint runs the request on one endpoint.
func (g *generation) runOnEndpoint(ctx context.Context, endpoint *routing.Endpoint) *result.Error {
	reservation, refusal := g.entry.reserve(ctx, g.call, endpoint, &g.routing)
	if refusal != nil {
		g.routing.Tried[endpoint.Name] = true
		return refusal
	}
	failure := g.relayRun(ctx, endpoint, g.runRequest(reservation))
	if failure != nil {
		g.routing.Tried[endpoint.Name] = true
	}
	return failure
}

func (g *generation) runRequest(reservation *wire.Reservation) *wire.RunRequest {
	return &wire.RunRequest{
		Reservation: reservation, RequestId: g.call.id, Attempt: g.call.attempts, Model: g.routing.Model,
		RemainingMs: g.call.remaining().Milliseconds(), Prompt: g.prompt, MaxTokens: uint64(g.maxTokens),
		Delivered: g.delivered.String(), DeliveredTokens: g.deliveredTokens,
	}
}

// relayRun sends an order and passes its output on to the end.
func (g *generation) relayRun(ctx context.Context, endpoint *routing.Endpoint, request *wire.RunRequest) *result.Error {
	// Ending the context cancels the work at the agent, whatever the reason for
	// which this attempt is over.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.entry.inFlight.add(endpoint.Name, 1)
	defer g.entry.inFlight.add(endpoint.Name, -1)
	run, err := g.entry.startRun(ctx, endpoint.Addr, request)
	if err != nil {
		return g.resolveBrokenStream(endpoint, request.Reservation, err)
	}
	defer run.close()
	for {
		event, err := run.receive()
		if err != nil {
			return g.resolveBrokenStream(endpoint, request.Reservation, err)
		}
		switch body := event.Event.(type) {
		case *wire.RunEvent_Chunk:
			if err := g.deliver(body.Chunk); err != nil {
				return result.Fail(result.Cancelled, result.RanYes, "the caller went away")
			}
		case *wire.RunEvent_End:
			return endError(body.End)
		}
	}
}

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

// resolveBrokenStream says what is known after a stream broke. The agent is asked once: if
// the order had not started, it never will, and its place is free.
func (g *generation) resolveBrokenStream(endpoint *routing.Endpoint, reservation *wire.Reservation, err error) *result.Error {
	failure := result.FromError(err)
	if failure.Code == result.Internal {
		failure = result.Fail(result.EndpointFailed, result.RanUnknown, "%s: %v", endpoint.Name, err)
	}
	if failure.Ran != result.RanUnknown || g.call.remaining() <= 0 {
		return failure
	}
	state, err := g.entry.withdraw(context.Background(), endpoint.Addr, reservation, false)
	if err == nil && state.State == wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN {
		return result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "%s lost the order before it started", endpoint.Name)
	}
	return failure
}
