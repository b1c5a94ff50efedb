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

// planSplit chooses the endpoints that together hold a prompt that no endpoint holds
// alone, in the order in which their places are reserved.
//
// Every split request reserves its endpoints in the order of their names. This prevents
// a deadlock in which two requests each hold an endpoint that the other waits for until
// its deadline: a request that holds an endpoint never waits for one with an earlier
// name.
func planSplit(r *routing.Request, endpoints []routing.Endpoint) ([]*routing.Endpoint, *result.Error) {
	neededTokens := r.PromptTokens + r.OutputTokens
	totalTokens := 0
	var usable []*routing.Endpoint
	for i := range endpoints {
		e := &endpoints[i]
		if e.MemoryTokens == 0 || !mightServe(r, e) {
			continue
		}
		totalTokens += routing.MaxPromptTokens(e)
		if (routing.CanServe{}).Keep(r, e) {
			usable = append(usable, e)
		}
	}
	if totalTokens > 0 && totalTokens < neededTokens {
		return nil, result.Refuse(result.PromptTooLong, 0, "the request needs %d tokens of KV cache, all endpoints together have %d", neededTokens, totalTokens)
	}
	if !fitsSingleEndpoint(r, endpoints) {
		if chosen := leastBusy(r, usable, neededTokens); chosen != nil {
			return chosen, nil
		}
	}
	return nil, result.Refuse(result.NoEndpoint, noEndpointRetryAfter, "the live endpoints cannot serve a request of %d tokens to %q now", neededTokens, r.Model)
}

// mightServe reports whether an endpoint serves the model or might do so later: an
// endpoint that is silent, or whose engine does not answer at the moment, lists no
// models. A prompt is refused as too long only if it would not fit with these counted in.
func mightServe(r *routing.Request, e *routing.Endpoint) bool {
	return len(e.Models) == 0 || slices.Contains(e.Models, r.Model)
}

// fitsSingleEndpoint reports whether some endpoint has the memory for the whole request,
// including endpoints that were already tried.
func fitsSingleEndpoint(r *routing.Request, endpoints []routing.Endpoint) bool {
	for i := range endpoints {
		e := &endpoints[i]
		if e.MemoryTokens > 0 && (routing.FitsMemory{}).Keep(r, e) {
			return true
		}
	}
	return false
}

// leastBusy takes the endpoints with the smallest backlog until together they hold the
// needed tokens, and returns them sorted by name; nil if all of them do not suffice.
func leastBusy(r *routing.Request, usable []*routing.Endpoint, neededTokens int) []*routing.Endpoint {
	level := r.Level()
	sort.SliceStable(usable, func(i, j int) bool {
		return usable[i].Backlog.UpTo(level) < usable[j].Backlog.UpTo(level)
	})
	capacityTokens := 0
	for n, e := range usable {
		capacityTokens += routing.MaxPromptTokens(e)
		if capacityTokens >= neededTokens {
			chosen := append([]*routing.Endpoint(nil), usable[:n+1]...)
			sort.Slice(chosen, func(i, j int) bool { return chosen[i].Name < chosen[j].Name })
			return chosen
		}
	}
	return nil
}

// runSplit runs the request on several endpoints. All but the last are helpers: each
// prefills one part of the prompt and holds its KV cache. The last endpoint imports
// these caches, prefills the rest and generates. The end of the attempt ends its
// context, and with it every helper's hold.
func (g *generation) runSplit(ctx context.Context, endpoints []*routing.Endpoint) *result.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var imports []*wire.Import
	rest := g.prompt
	for i, helper := range endpoints[:len(endpoints)-1] {
		laterEndpoints := len(endpoints) - 1 - i
		partTokens := min(routing.MaxPromptTokens(helper), admission.EstimateTokens(rest)-laterEndpoints)
		var part string
		part, rest = splitText(rest, partTokens*admission.BytesPerToken)
		held, failure := g.prefillPart(ctx, cancel, helper, part, imports)
		if failure != nil {
			g.routing.Tried[helper.Name] = true
			return markRanAfterParts(failure, len(imports))
		}
		imports = append(imports, held)
	}
	return markRanAfterParts(g.generateOnLast(ctx, endpoints[len(endpoints)-1], imports, admission.EstimateTokens(rest)), len(imports))
}

// markRanAfterParts marks a failure as one after the request ran if at least one part
// was prefilled: the refusal of a later endpoint only says that nothing ran there.
func markRanAfterParts(failure *result.Error, parts int) *result.Error {
	if failure == nil || parts == 0 {
		return failure
	}
	failure.Ran = result.RanYes
	return failure
}

// splitText splits a text at the given number of bytes, or before it so as not to split
// a character: half a character is not valid UTF-8, which a protobuf string must be.
func splitText(text string, size int) (before, after string) {
	if size >= len(text) {
		return text, ""
	}
	for size > 0 && !utf8.RuneStart(text[size]) {
		size--
	}
	return text[:size], text[size:]
}

// prefillPart has a helper prefill one part of the prompt, after the parts in imports,
// and returns where its KV cache can be imported from until ctx ends. cancel is called
// when the helper stops holding the cache.
func (g *generation) prefillPart(ctx context.Context, cancel context.CancelFunc, helper *routing.Endpoint, part string, imports []*wire.Import) (*wire.Import, *result.Error) {
	r := g.routing
	r.PromptTokens, r.OutputTokens, r.PrefillPart = admission.EstimateTokens(part), 0, true
	reservation, refusal := g.entry.reserve(ctx, g.call, helper, &r)
	if refusal != nil {
		return nil, refusal
	}
	run, err := g.entry.startRun(ctx, helper.Addr, &wire.RunRequest{
		Reservation: reservation, RequestId: g.call.id, Attempt: g.call.attempts, Model: g.routing.Model,
		RemainingMs: g.call.remaining().Milliseconds(), Prompt: part, Hold: true, Imports: imports,
	})
	if err != nil {
		return nil, g.entry.resolveBrokenStream(g.call, helper, reservation, err)
	}
	event, err := run.receive()
	if err != nil {
		run.close()
		return nil, g.entry.resolveBrokenStream(g.call, helper, reservation, err)
	}
	if held := event.GetHeld(); held != nil {
		go watchHeldPart(run, cancel)
		return held.Import, nil
	}
	run.close()
	if failure := g.entry.endError(event.GetEnd()); failure != nil {
		return nil, failure
	}
	return nil, result.Fail(result.EndpointFailed, result.RanYes, "%s ended without holding its prefill part", helper.Name)
}

// watchHeldPart waits for the end of a helper's stream and then cancels the split
// request. The helper holds its KV cache as long as the stream is open, which is until
// the request's context ends. If the helper fails earlier, the last endpoint would
// otherwise decode from a cache that is gone.
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

// generateOnLast runs the request on the last endpoint, which imports the helpers' KV
// caches, prefills the last tokens of the prompt and generates the output.
func (g *generation) generateOnLast(ctx context.Context, endpoint *routing.Endpoint, imports []*wire.Import, tokens int) *result.Error {
	r := g.routing
	r.PromptTokens, r.PrefillPart = tokens, true
	reservation, refusal := g.entry.reserve(ctx, g.call, endpoint, &r)
	if refusal != nil {
		g.routing.Tried[endpoint.Name] = true
		return refusal
	}
	request := g.runRequest(reservation)
	request.Imports = imports
	request.RemainingMs = time.Until(g.call.deadline).Milliseconds()
	failure := g.relayRun(ctx, endpoint, request, nil)
	if failure != nil {
		g.routing.Tried[endpoint.Name] = true
	}
	return failure
}
