package entry

import (
	"context"
	"slices"
	"sort"
	"time"
	"unicode/utf8"

	"aspenyard.example/admission"
	"aspenyard.example/result"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// planSplit chooses the endpoints that hold a prompt together when none can
// alone, in the order in which they are taken.
//
// All spans take their endpoints in the order of the names. Two spans that each
// hold what the other waits for, each until its deadline, cannot happen: the one
// that holds the later name does not wait for an earlier one.
func planSplit(r *routing.Request, endpoints []routing.Endpoint) ([]*routing.Endpoint, *result.Error) {
	need := r.PromptTokens + r.OutputTokens
	total := 0
	var usable []*routing.Endpoint
	for i := range endpoints {
		e := &endpoints[i]
		if e.MemoryTokens == 0 || !mightServe(r, e) {
			continue
		}
		total += routing.MaxPromptTokens(e)
		if (routing.CanServe{}).Keep(r, e) {
			usable = append(usable, e)
		}
	}
	if total > 0 && total < need {
		return nil, result.Refuse(result.PromptTooLong, 0, "%d tokens of memory are needed, all endpoints together offer %d", need, total)
	}
	if !fitsSingleEndpoint(r, endpoints) {
		if chosen := leastBusy(r, usable, need); chosen != nil {
			return chosen, nil
		}
	}
	return nil, result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "no live endpoints serve %d tokens of %q", need, r.Model)
}

// mightServe tells whether an endpoint serves the model, or might when it is back:
// one that is silent, or whose engine does not answer just now, offers nothing.
// A prompt is only called too long if it would not fit with all of them.
func mightServe(r *routing.Request, e *routing.Endpoint) bool {
	return len(e.Models) == 0 || slices.Contains(e.Models, r.Model)
}

// fitsSingleEndpoint tells whether some endpoint could hold the request alone, tried or not.
func fitsSingleEndpoint(r *routing.Request, endpoints []routing.Endpoint) bool {
	for i := range endpoints {
		e := &endpoints[i]
		if e.MemoryTokens > 0 && (routing.FitsMemory{}).Keep(r, e) {
			return true
		}
	}
	return false
}

// leastBusy takes the least busy endpoints until they hold the need, sorted by name.
func leastBusy(r *routing.Request, usable []*routing.Endpoint, need int) []*routing.Endpoint {
	level := r.Level()
	sort.SliceStable(usable, func(i, j int) bool {
		return usable[i].Backlog.UpTo(level) < usable[j].Backlog.UpTo(level)
	})
	held := 0
	for n, e := range usable {
		held += routing.MaxPromptTokens(e)
		if held >= need {
			chosen := append([]*routing.Endpoint(nil), usable[:n+1]...)
			sort.Slice(chosen, func(i, j int) bool { return chosen[i].Name < chosen[j].Name })
			return chosen
		}
	}
	return nil
}

// runSplit runs the request over several endpoints: each but the last prefills and
// holds its part of the prompt, the last imports their KV cache and generates.
// Whatever ends the attempt ends its context, and with it every part's hold.
func (g *generation) runSplit(ctx context.Context, endpoints []*routing.Endpoint) *result.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var imports []*wire.Import
	rest := g.prompt
	for i, helper := range endpoints[:len(endpoints)-1] {
		after := len(endpoints) - 1 - i
		size := min(routing.MaxPromptTokens(helper), admission.EstimateTokens(rest)-after)
		var part string
		part, rest = splitText(rest, size*admission.BytesPerToken)
		held, failure := g.prefillPart(ctx, cancel, helper, part, imports)
		if failure != nil {
			g.routing.Tried[helper.Name] = true
			return markRanAfterParts(failure, len(imports))
		}
		imports = append(imports, held)
	}
	return markRanAfterParts(g.generateOnLast(ctx, endpoints[len(endpoints)-1], imports, admission.EstimateTokens(rest)), len(imports))
}

// markRanAfterParts says of a failed span whose first parts were prefilled that it ran: a
// later member's refusal speaks of that member alone.
func markRanAfterParts(failure *result.Error, parts int) *result.Error {
	if failure == nil || parts == 0 {
		return failure
	}
	failure.Ran = result.RanYes
	return failure
}

// splitText splits a text at or just before a number of bytes, never within a character:
// half a character is not valid text and would not come through a message whole.
func splitText(text string, size int) (before, after string) {
	if size >= len(text) {
		return text, ""
	}
	for size > 0 && !utf8.RuneStart(text[size]) {
		size--
	}
	return text[:size], text[size:]
}

// prefillPart prefills one part and returns where its KV cache is held until ctx ends.
func (g *generation) prefillPart(ctx context.Context, cancel context.CancelFunc, helper *routing.Endpoint, part string, imports []*wire.Import) (*wire.Import, *result.Error) {
	r := g.routing
	r.PromptTokens, r.OutputTokens, r.SpanPart = admission.EstimateTokens(part), 0, true
	reservation, refusal := g.entry.reserve(ctx, g.call, helper, &r)
	if refusal != nil {
		return nil, refusal
	}
	run, err := g.entry.startRun(ctx, helper.Addr, &wire.RunRequest{
		Reservation: reservation, RequestId: g.call.id, Attempt: g.call.attempts, Model: g.routing.Model,
		RemainingMs: g.call.remaining().Milliseconds(), Prompt: part, Hold: true, Imports: imports,
	})
	if err != nil {
		return nil, g.resolveBrokenStream(helper, reservation, err)
	}
	event, err := run.receive()
	if err != nil {
		run.close()
		return nil, g.resolveBrokenStream(helper, reservation, err)
	}
	if held := event.GetHeld(); held != nil {
		go watchHeldPart(run, cancel)
		return held.Import, nil
	}
	run.close()
	if failure := endError(event.GetEnd()); failure != nil {
		return nil, failure
	}
	return nil, result.Fail(result.EndpointFailed, result.RanYes, "%s did not hold its part", helper.Name)
}

// watchHeldPart follows a held part. Its KV cache stays as long as the stream, which
// ends with the span's context. A member that fails ends the whole span, whose
// lead would otherwise decode from a cache that is gone.
func watchHeldPart(run *runStream, cancel context.CancelFunc) {
	defer run.close()
	defer cancel()
	for {
		event, err := run.receive()
		if err != nil || event.GetEnd() != nil {
			return
		}
	}
}

// generateOnLast generates the answer on the last member, which prefills the last tokens.
func (g *generation) generateOnLast(ctx context.Context, endpoint *routing.Endpoint, imports []*wire.Import, tokens int) *result.Error {
	r := g.routing
	r.PromptTokens, r.SpanPart = tokens, true
	reservation, refusal := g.entry.reserve(ctx, g.call, endpoint, &r)
	if refusal != nil {
		g.routing.Tried[endpoint.Name] = true
		return refusal
	}
	request := g.runRequest(reservation)
	request.Imports = imports
	request.RemainingMs = time.Until(g.call.deadline).Milliseconds()
	failure := g.relayRun(ctx, endpoint, request)
	if failure != nil {
		g.routing.Tried[endpoint.Name] = true
	}
	return failure
}
