package experiment

import (
	"context"
	"runtime"
	"sync"

	"aspenyard.example/bench/emulator"
)

// lateWorth is the share of its worth that a late response earns, as on the users' sites.
const lateWorth = 0.25

// RunResult is the result of one simulated run.
type RunResult struct {
	Site   string `json:"site"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Worth is the earned share of the worth of all requests, 0 to 1.
	Worth float64           `json:"worth"`
	Kinds []emulator.Result `json:"kinds"`
}

// task describes one run of an experiment.
type task struct {
	site   *Site
	policy *Policy
	seed   uint64
}

// tasks returns all runs. Those that are compared with each other are adjacent, so that an
// interrupted experiment has complete pairs.
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

// allSites returns the given and the generated sites.
func (f *File) allSites() []Site {
	sites := f.Sites
	if f.Random != nil {
		sites = append(sites[:len(sites):len(sites)], f.Random.generate()...)
	}
	return sites
}

// Run executes the runs of an experiment on all cores. It calls done with each result and the
// total number of runs, in any order but never concurrently. When ctx ends, it returns the
// context's error and drops the runs that have not finished.
func (f *File) Run(ctx context.Context, done func(result *RunResult, total int)) error {
	tasks := f.tasks()
	next := make(chan task, len(tasks))
	for _, t := range tasks {
		next <- t
	}
	close(next)
	results := make(chan *RunResult)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for t := range next {
				select {
				case results <- t.run():
				case <-ctx.Done():
					return
				}
			}
		})
	}
	go func() {
		workers.Wait()
		close(results)
	}()
	for {
		select {
		case result, open := <-results:
			if !open {
				return ctx.Err()
			}
			done(result, len(tasks))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *task) run() *RunResult {
	result := &RunResult{Site: t.site.Name, Policy: t.policy.Name, Seed: t.seed, Kinds: emulator.Simulate(t.site.emulatorConfig(t.policy, t.seed))}
	result.Worth = t.site.worth(result.Kinds)
	return result
}

// worth is the earned share of the worth of all requests, 0 to 1.
func (s *Site) worth(results []emulator.Result) float64 {
	total, earned := 0.0, 0.0
	for i, r := range results {
		worth := s.Kinds[i].Worth
		if worth == 0 {
			worth = 1
		}
		total += worth * float64(r.Requests)
		earned += worth * (float64(r.OnTime) + lateWorth*float64(r.LateFirst+r.LatePause))
	}
	if total == 0 {
		return 0
	}
	return earned / total
}
