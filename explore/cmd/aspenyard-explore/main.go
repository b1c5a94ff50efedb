// Command aspenyard-explore looks for orders of events in which gateways break the users' rules. It is not part of the
// product.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"aspenyard.example/explore"
	"aspenyard.example/explore/plan"
)

type args struct {
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of the first case"`
	For       time.Duration `arg:"--for" default:"60s" help:"how long cases are drawn"`
	Cases     int           `arg:"--cases" help:"draw at most that many cases"`
	Parallel  int           `arg:"--parallel" default:"16" help:"cases that are played at once; they mostly wait"`
	MemoryMB  uint64        `arg:"--memory-mb" default:"1024" help:"no case begins while the heap is larger"`
	Kinds     []string      `arg:"--kinds" placeholder:"KIND" help:"draw only these kinds of events besides requests"`
	Rules     []string      `arg:"--rules" placeholder:"RULE" help:"look only for these rules"`
	StopAfter int           `arg:"--stop-after" help:"end after that many failures"`
	Reduce    time.Duration `arg:"--reduce" default:"60s" help:"how long each of the failures that are shown is reduced; 0s for not at all"`
	Show      int           `arg:"--show" default:"3" help:"failures that are reduced and shown, one for each set of rules first"`
	Keep      string        `arg:"--keep" placeholder:"DIR" help:"write the cases that are shown to this directory"`
	Replay    []string      `arg:"--replay" placeholder:"FILE" help:"play these files instead of drawing cases"`
	Times     int           `arg:"--times" default:"3" help:"how often each file is played"`
	Log       string        `arg:"--log" placeholder:"FILE" help:"write the gateways' logs to this file (with --replay)"`
	List      bool          `arg:"--list" help:"list the kinds of events and the rules, and end"`
}

// Description implements arg.Described: it returns the first line of the help text.
func (args) Description() string {
	return "draws orders of events, plays them against gateways, and judges what callers and endpoints saw"
}

// Exit statuses: a rule was broken, and the command could not do its work.
const (
	statusFound  = 1
	statusFailed = 2
)

func main() {
	var a args
	parser := arg.MustParse(&a)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var found bool
	var err error
	switch {
	case a.List:
		fmt.Println("kinds:", plan.Kinds)
		fmt.Println("rules:", explore.Rules)
	case a.Times < 1:
		parser.Fail("times: must be 1 or more")
	case len(a.Replay) > 0:
		found, err = a.replay(ctx)
	default:
		found, err = a.search(ctx)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "explore:", err)
		os.Exit(statusFailed)
	case found:
		os.Exit(statusFound)
	}
}

// replay plays files and reports whether a rule was broken.
func (a *args) replay(ctx context.Context) (found bool, err error) {
	log := io.Discard
	if a.Log != "" {
		file, err := os.Create(a.Log)
		if err != nil {
			return false, err
		}
		defer func() { _ = file.Close() }()
		log = file
	}
	for _, path := range a.Replay {
		c, err := plan.Load(path)
		if err != nil {
			return found, err
		}
		failures, err := explore.Replay(ctx, c, a.Times, log)
		if err != nil {
			return found, err
		}
		fmt.Printf("%s: %d of %d plays break a rule\n", path, len(failures), a.Times)
		if len(failures) > 0 {
			found = true
			explore.WriteTimeline(os.Stdout, failures[0])
		}
	}
	return found, nil
}

// search draws cases and shows the failures. It reports whether there are any.
func (a *args) search(ctx context.Context) (found bool, err error) {
	settings := explore.Settings{
		Seed: a.Seed, Duration: a.For, Cases: a.Cases, Parallel: a.Parallel, MemoryBytes: a.MemoryMB << 20, ReduceFor: a.Reduce, StopAfter: a.StopAfter, Rules: a.Rules, Progress: os.Stderr,
	}
	for _, kind := range a.Kinds {
		settings.Kinds = append(settings.Kinds, plan.Kind(kind))
	}
	result, err := explore.Search(ctx, settings)
	if err != nil {
		return false, err
	}
	fmt.Printf("%d cases in %.0f s: %d events (%.1f a second), %d requests; %d failures, %d cases too late for rules with a time bound, %d not played\n",
		result.Cases, result.Elapsed.Seconds(), result.Events, float64(result.Events)/result.Elapsed.Seconds(), result.Requests, len(result.Failures), result.Late, result.NotPlayed)
	if result.FirstError != nil {
		fmt.Println("not played:", result.FirstError)
	}
	fmt.Println("coverage:", result.Coverage.Summary())
	fmt.Println("not met:", result.Coverage.Missing())
	for rule, n := range explore.CountRules(result.Failures) {
		fmt.Printf("%s: %d cases\n", rule, n)
	}
	for _, f := range explore.FirstOfEach(result.Failures, a.Show) {
		fmt.Printf("\nfound after %.1f s, seed %d, %d events\n", f.Found.Seconds(), f.Case.Seed, len(f.Case.Events))
		if a.Reduce > 0 {
			f = explore.Reduce(ctx, f, a.Reduce, a.Parallel)
			fmt.Printf("reduced to %d events\n", len(f.Case.Events))
		}
		explore.WriteTimeline(os.Stdout, f)
		if a.Keep != "" {
			path := filepath.Join(a.Keep, fmt.Sprintf("seed-%d.json", f.Case.Seed))
			if err := explore.Keep(f, path); err != nil {
				return true, err
			}
			fmt.Println("kept:", path)
		}
	}
	return len(result.Failures) > 0, nil
}
