package experiment

import (
	"context"
	"runtime"
	"sync"

	"aspenyard.example/bench/emulator"
)

// lateWorth is what a late answer earns of its worth, as on the users' sites.
const lateWorth = 0.25

// RunResult is what one site's callers got in one play.
type RunResult struct {
	Site   string `json:"site"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Worth is what was earned of what was owed.
	Worth float64           `json:"worth"`
	Kinds []emulator.Result `json:"kinds"`
}

// task is one play that is to be made.
type task struct {
	site   *Site
	policy *Policy
	seed   uint64
}

// tasks lists all plays, those that are compared with each other next to each other, so that
// an experiment which is broken off has whole pairs.
func (f *File) tasks() []task {
	sites := f.allSites()
	var list []task
	for seed := range uint64(f.Seeds) {
		for i := range sites {
			for j := range f.Policies {
				list = append(list, task{&sites[i], &f.Policies[j], seed + 1})
			}
		}
	}
	return list
}

func (f *File) allSites() []Site {
	sites := f.Sites
	if f.Random != nil {
		sites = append(sites[:len(sites):len(sites)], f.Random.generate()...)
	}
	return sites
}

// Run makes the plays of an experiment on all cores and tells each one that is done, in any
// order, from one goroutine at a time, with how many there are. It returns early when ctx
// ends; plays that are under way then are dropped.
func (f *File) Run(ctx context.Context, done func(p *RunResult, of int)) error {
	tasks := f.tasks()
	next := make(chan task, len(tasks))
	for _, t := range tasks {
		next <- t
	}
	close(next)
	plays := make(chan *RunResult)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for t := range next {
				select {
				case plays <- t.run():
				case <-ctx.Done():
					return
				}
			}
		})
	}
	go func() {
		workers.Wait()
		close(plays)
	}()
	for {
		select {
		case p, open := <-plays:
			if !open {
				return ctx.Err()
			}
			done(p, len(tasks))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *task) run() *RunResult {
	p := &RunResult{Site: t.site.Name, Policy: t.policy.Name, Seed: t.seed, Kinds: emulator.Simulate(t.site.emulatorConfig(t.policy, t.seed))}
	p.Worth = t.site.worth(p.Kinds)
	return p
}

// worth is what requests earned of what they were owed.
func (s *Site) worth(results []emulator.Result) float64 {
	owed, earned := 0.0, 0.0
	for i, r := range results {
		worth := s.Kinds[i].Worth
		if worth == 0 {
			worth = 1
		}
		owed += worth * float64(r.Asked)
		earned += worth * (float64(r.OnTime) + lateWorth*float64(r.LateFirst+r.LatePause))
	}
	if owed == 0 {
		return 0
	}
	return earned / owed
}
