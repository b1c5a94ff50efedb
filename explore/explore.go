// Package explore looks for orders of events in which gateways break the users' rules: it draws cases, plays them, has
// the oracle judge what was seen, and reduces what fails to few events.
package explore

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/explore/oracle"
	"aspenyard.example/explore/plan"
	"aspenyard.example/explore/world"
)

// Settings are the settings of a search.
type Settings struct {
	// Seed is that of the first case; the next ones follow.
	Seed uint64
	// Duration bounds the drawing of cases; those that have begun are ended, and findings reduced.
	Duration time.Duration
	// Cases bounds their number; 0 means no bound.
	Cases int
	// Parallel is the number of cases that are played at once. They mostly wait. Default 16.
	Parallel int
	// MemoryBytes bounds the heap: no case begins above it.
	MemoryBytes uint64
	// Kinds restricts the kinds of events besides requests; empty means all.
	Kinds []plan.Kind
	// ReduceFor bounds the time for reducing one finding.
	ReduceFor time.Duration
	// StopAfter ends the search after that many failures; 0 means never.
	StopAfter int
	// Rules restricts the rules that count; empty means all.
	Rules []string
	// Progress receives a line every ProgressEvery.
	Progress io.Writer
}

// Defaults and bounds of settings.
const (
	DefaultParallel  = 16
	maxParallel      = 200
	minDuration      = time.Second
	maxDuration      = 24 * time.Hour
	progressInterval = 10 * time.Second
	minMemoryBytes   = 64 << 20
	memoryPoll       = 100 * time.Millisecond
)

// Rules are the names of the rules that the oracle judges.
var Rules = []string{"MIXED", "ORDER", "UNASKED", "TWICE", "REFUSED", "DENIED", "ROUTE", "BUDGET", "LOST", "ANSWER", "DRAIN", "GONE", "CONFIG", "LEAK"}

// Validate returns an error that names the first invalid setting.
func (s *Settings) Validate() error {
	switch {
	case s.Duration < minDuration || s.Duration > maxDuration:
		return errors.Errorf("for: %v is not between %v and %v", s.Duration, minDuration, maxDuration)
	case s.Cases < 0:
		return errors.Errorf("cases: %d is negative", s.Cases)
	case s.Parallel < 1 || s.Parallel > maxParallel:
		return errors.Errorf("parallel: %d is not between 1 and %d", s.Parallel, maxParallel)
	case s.MemoryBytes < minMemoryBytes:
		return errors.Errorf("memory: %d bytes are less than %d", s.MemoryBytes, minMemoryBytes)
	case s.ReduceFor < 0 || s.ReduceFor > maxDuration:
		return errors.Errorf("reduce: %v is not between 0 and %v", s.ReduceFor, maxDuration)
	case s.StopAfter < 0:
		return errors.Errorf("stop-after: %d is negative", s.StopAfter)
	}
	for _, kind := range s.Kinds {
		if kind == plan.Request || !slices.Contains(plan.Kinds, kind) {
			return errors.Errorf("kinds: %q is unknown", kind)
		}
	}
	for _, rule := range s.Rules {
		if !slices.Contains(Rules, rule) {
			return errors.Errorf("rules: %q is unknown", rule)
		}
	}
	return nil
}

// Failure is a case in which a rule was broken, with what was seen. Found is how long the search had run.
type Failure struct {
	Case     *plan.Case
	Record   *oracle.Record
	Findings []oracle.Finding
	Found    time.Duration
}

// rules returns the names of the broken rules, sorted.
func (f *Failure) rules() []string {
	var names []string
	for _, finding := range f.Findings {
		names = append(names, finding.Rule)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Result is what a search found.
type Result struct {
	Cases, Events, Requests, NotPlayed, Late int
	Elapsed                                  time.Duration
	Failures                                 []*Failure
	Coverage                                 *Coverage
	// FirstError is why the first of the cases that were not played was not.
	FirstError error
}

// search is a running search.
type search struct {
	Settings
	began time.Time

	mu     sync.Mutex
	next   int
	result Result
}

// Search draws and plays cases until its time is over or ctx ends.
func Search(ctx context.Context, s Settings) (*Result, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	run := &search{Settings: s, began: time.Now(), result: Result{Coverage: NewCoverage()}}
	stopProgress := run.reportProgress()
	var workers sync.WaitGroup
	for range s.Parallel {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for run.playNext(ctx) {
			}
		}()
	}
	workers.Wait()
	stopProgress()
	run.result.Elapsed = time.Since(run.began)
	slices.SortFunc(run.result.Failures, func(a, b *Failure) int { return int(a.Found - b.Found) })
	return &run.result, nil
}

// playNext plays the next case; it returns false when the search is over.
func (s *search) playNext(ctx context.Context) bool {
	s.awaitMemory(ctx)
	s.mu.Lock()
	n := s.next
	s.next++
	over := ctx.Err() != nil || time.Since(s.began) > s.Duration || s.Cases > 0 && n >= s.Cases || s.StopAfter > 0 && len(s.result.Failures) >= s.StopAfter
	s.mu.Unlock()
	if over {
		return false
	}
	c := plan.Draw(s.Seed+uint64(n), s.Kinds)
	record, err := world.Play(ctx, c, io.Discard)
	if ctx.Err() != nil {
		return false
	}
	s.add(c, record, err)
	return true
}

// add adds the outcome of a case to the result.
func (s *search) add(c *plan.Case, record *oracle.Record, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.result.NotPlayed++
		if s.result.FirstError == nil {
			s.result.FirstError = errors.Wrapf(err, "seed %d", c.Seed)
		}
		return
	}
	s.result.Cases++
	s.result.Events += len(c.Events)
	s.result.Requests += len(record.Requests)
	if oracle.IsLate(record) {
		s.result.Late++
	}
	s.result.Coverage.Add(c, record)
	if findings := s.relevant(oracle.Judge(record)); len(findings) > 0 {
		s.result.Failures = append(s.result.Failures, &Failure{c, record, findings, time.Since(s.began)})
	}
}

// relevant returns the findings that count.
func (s *Settings) relevant(findings []oracle.Finding) []oracle.Finding {
	return slices.DeleteFunc(findings, func(f oracle.Finding) bool { return len(s.Rules) > 0 && !slices.Contains(s.Rules, f.Rule) })
}

// awaitMemory waits until the heap is within its bound.
func (s *search) awaitMemory(ctx context.Context) {
	var stats runtime.MemStats
	for ctx.Err() == nil {
		if runtime.ReadMemStats(&stats); stats.HeapAlloc < s.MemoryBytes {
			return
		}
		runtime.GC()
		time.Sleep(memoryPoll)
	}
}

// reportProgress writes a line now and then until it is stopped.
func (s *search) reportProgress() (stop func()) {
	if s.Progress == nil {
		return func() {}
	}
	ticker, done := time.NewTicker(progressInterval), make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				s.mu.Lock()
				fmt.Fprintf(s.Progress, "%4.0f s: %d cases, %d events, %d requests, %d failures, %d late, %d not played, %s\n",
					time.Since(s.began).Seconds(), s.result.Cases, s.result.Events, s.result.Requests, len(s.result.Failures), s.result.Late, s.result.NotPlayed, s.result.Coverage.Summary())
				s.mu.Unlock()
			case <-done:
				return
			}
		}
	}()
	return func() { ticker.Stop(); close(done) }
}

// Replay plays a case several times, one after another, and returns the plays in which a rule was broken.
func Replay(ctx context.Context, c *plan.Case, times int, log io.Writer) ([]*Failure, error) {
	var failures []*Failure
	began := time.Now()
	for range times {
		record, err := world.Play(ctx, c, log)
		if err != nil {
			return failures, err
		}
		if findings := oracle.Judge(record); len(findings) > 0 {
			failures = append(failures, &Failure{c, record, findings, time.Since(began)})
		}
	}
	return failures, nil
}

// CountRules returns in how many failures each rule is broken.
func CountRules(failures []*Failure) map[string]int {
	counts := map[string]int{}
	for _, f := range failures {
		for _, rule := range f.rules() {
			counts[rule]++
		}
	}
	return counts
}

// FirstOfEach returns up to n failures: the first of each rule that is broken first in one, then the others.
func FirstOfEach(failures []*Failure, n int) []*Failure {
	seen := map[string]bool{}
	var first, others []*Failure
	for _, f := range failures {
		if rule := f.Findings[0].Rule; !seen[rule] {
			seen[rule] = true
			first = append(first, f)
		} else {
			others = append(others, f)
		}
	}
	all := slices.Concat(first, others)
	return all[:min(n, len(all))]
}
