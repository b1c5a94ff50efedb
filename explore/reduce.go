package explore

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"aspenyard.example/explore/oracle"
	"aspenyard.example/explore/plan"
	"aspenyard.example/explore/world"
)

// player plays a case and returns the findings, and the record of it.
type player func(ctx context.Context, c *plan.Case) ([]oracle.Finding, *oracle.Record)

func play(ctx context.Context, c *plan.Case) ([]oracle.Finding, *oracle.Record) {
	record, err := world.Play(ctx, c, io.Discard)
	if err != nil {
		return nil, nil
	}
	return oracle.Judge(record), record
}

// reducer looks for a smaller case that breaks the same rule. A case whose outcome depends on the moment may need several
// plays to fail; triesPerCase bounds them.
type reducer struct {
	ctx      context.Context
	play     player
	parallel int
	rule     string
	best     *Failure
}

const triesPerCase = 2

// Reduce returns the smallest failure found within a time that breaks the first rule that f breaks. Candidates are played
// side by side.
func Reduce(ctx context.Context, f *Failure, within time.Duration, parallel int) *Failure {
	return reduce(ctx, f, within, parallel, play)
}

func reduce(ctx context.Context, f *Failure, within time.Duration, parallel int, p player) *Failure {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r := &reducer{ctx: ctx, play: p, parallel: parallel, rule: f.Findings[0].Rule, best: f}
	for parts := 2; len(r.best.Case.Events) > 1 && ctx.Err() == nil; {
		switch {
		case r.improve(withoutParts(r.best.Case, parts)):
			parts = max(parts-1, 2)
		case parts >= len(r.best.Case.Events):
			r.simplify()
			return r.best
		default:
			parts = min(2*parts, len(r.best.Case.Events))
		}
	}
	r.simplify()
	return r.best
}

// simplify makes what is left smaller, as long as that succeeds.
func (r *reducer) simplify() {
	for r.ctx.Err() == nil && r.improve(simpler(r.best.Case)) {
	}
}

// withoutParts returns the cases that lack one of n parts of the events.
func withoutParts(c *plan.Case, n int) []*plan.Case {
	var cases []*plan.Case
	for i := range n {
		from, to := i*len(c.Events)/n, (i+1)*len(c.Events)/n
		if from == to || to-from == len(c.Events) {
			continue
		}
		next := *c
		next.Events = slices.Concat(c.Events[:from], c.Events[to:])
		cases = append(cases, &next)
	}
	return cases
}

// simpler returns cases that differ in one number, which is smaller.
func simpler(c *plan.Case) []*plan.Case {
	var cases []*plan.Case
	change := func(do func(next *plan.Case)) {
		next := *c
		next.Events = slices.Clone(c.Events)
		for i, e := range next.Events {
			if e.Call != nil {
				call := *e.Call
				next.Events[i].Call = &call
			}
		}
		do(&next)
		if next.Validate() == nil {
			cases = append(cases, &next)
		}
	}
	for _, target := range []func(*plan.Case) *int{
		func(c *plan.Case) *int { return &c.Setting.Gateways }, func(c *plan.Case) *int { return &c.Setting.Plain },
		func(c *plan.Case) *int { return &c.Setting.Streams }, func(c *plan.Case) *int { return &c.Setting.Engines },
	} {
		if n := *target(c); n > 1 {
			change(func(next *plan.Case) { *target(next) = n / 2 })
		}
		change(func(next *plan.Case) { *target(next) = 0 })
	}
	for i, e := range c.Events {
		if e.Call == nil {
			continue
		}
		if e.Call.Count > 1 {
			change(func(next *plan.Case) { next.Events[i].Call.Count = 1 })
			change(func(next *plan.Case) { next.Events[i].Call.Count /= 2 })
		}
		if e.Call.HTTP10 || e.Call.Kept {
			change(func(next *plan.Case) { next.Events[i].Call.HTTP10, next.Events[i].Call.Kept = false, false })
		}
		if e.Call.Reading != plan.ReadsAtOnce || e.Call.Sending != plan.SendsAtOnce {
			change(func(next *plan.Case) {
				next.Events[i].Call.Reading, next.Events[i].Call.Sending = plan.ReadsAtOnce, plan.SendsAtOnce
			})
		}
	}
	return cases
}

// improve plays the candidates, some at once, and takes the smallest one that fails. It reports whether there is one.
func (r *reducer) improve(candidates []*plan.Case) bool {
	var mu sync.Mutex
	var plays sync.WaitGroup
	var smallest *Failure
	slots := make(chan struct{}, r.parallel)
	for _, c := range candidates {
		for range triesPerCase {
			plays.Add(1)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots; plays.Done() }()
				findings, record := r.play(r.ctx, c)
				findings = slices.DeleteFunc(findings, func(f oracle.Finding) bool { return f.Rule != r.rule })
				mu.Lock()
				defer mu.Unlock()
				if len(findings) > 0 && (smallest == nil || size(c) < size(smallest.Case)) {
					smallest = &Failure{c, record, findings, r.best.Found}
				}
			}()
		}
	}
	plays.Wait()
	if smallest == nil || size(smallest.Case) >= size(r.best.Case) {
		return false
	}
	r.best = smallest
	return true
}

// eventWeight makes an event count for more than anything else in a case.
const eventWeight = 10_000

// size returns a measure of a case: the number of events first, then the numbers in them.
func size(c *plan.Case) int {
	s := &c.Setting
	n := eventWeight*len(c.Events) + s.Gateways + s.Plain + s.Streams + s.Engines
	for _, e := range c.Events {
		if call := e.Call; call != nil {
			n += 2 * call.Count
			for _, special := range []bool{call.HTTP10, call.Kept, call.Reading != plan.ReadsAtOnce, call.Sending != plan.SendsAtOnce} {
				if special {
					n++
				}
			}
		}
	}
	return n
}
