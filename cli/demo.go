package cli

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"aspenyard.example/bench"
	standin "aspenyard.example/standin/engine"
)

type demoCommand struct {
	JSON     bool    `arg:"--json" help:"print the table as JSON"`
	Requests int     `arg:"--requests" default:"60" help:"number of requests to send, besides one of a million tokens"`
	Scale    float64 `arg:"--time-scale" default:"10" help:"factor by which the engines run faster than real time"`
	Gateway  bool    `arg:"--gateway" help:"run a gateway in front of a stand-in for the users' platform"`
	Verbose  bool    `arg:"--verbose" help:"show the nodes' logs"`
}

// demoPromptLength is a prompt length in the demo's load.
type demoPromptLength struct {
	tokens       int
	requestShare float64 // fraction of the requests with this length
}

// demoPromptLengths mixes the prompt lengths of both users' workloads. At least one
// request of each length is sent, so also one of a million tokens.
var demoPromptLengths = []demoPromptLength{{1_000, 0.5}, {4_000, 0.3}, {16_000, 0.18}, {100_000, 0.02}, {1_000_000, 0}}

// demoRow is the result for one prompt length.
type demoRow struct {
	PromptTokens int   `json:"prompt_tokens"`
	Requests     int   `json:"requests"`
	Complete     int   `json:"whole"`
	P50MS        int64 `json:"first_token_p50_ms"`
	P95MS        int64 `json:"first_token_p95_ms"`
	MaxMS        int64 `json:"first_token_max_ms"`
}

// Parameters of the demo's load.
const (
	demoOutputTokens = 32
	demoStagger      = 20 * time.Millisecond
	demoDeadline     = 5 * time.Minute
)

func (c *demoCommand) run(t terminal) int {
	log := zap.NewNop()
	if c.Verbose {
		log, _ = zap.NewDevelopment()
	}
	ctx, ch, cancel := notifySignals()
	defer cancel()
	go func() {
		<-ch
		cancel()
	}()
	if c.Gateway {
		return c.runGateway(ctx, t)
	}
	fmt.Fprintln(t.err, "starting a platform, 5 engines, a plain service, 6 agents and 2 entries in this process ...")
	fleet, err := bench.StartFleet(ctx, bench.FleetConfig{Entries: 2, Engines: 5, Services: 1, TimeScale: c.Scale}, log)
	if err != nil {
		return t.failf("%v", err)
	}
	results := c.sendLoad(ctx, t, fleet)
	rows, complete := tabulate(results)
	held, heldErr := fleet.AwaitNoHeldTokens(ctx)
	if c.JSON {
		t.json(map[string]any{"rows": rows, "whole": complete, "held_tokens": held})
	} else {
		printDemo(t, rows)
	}
	switch {
	case !complete:
		return t.failf("some responses are incomplete or wrong")
	case heldErr != nil:
		return t.failf("KV cache is still reserved after the last response: %v", heldErr)
	}
	fmt.Fprintln(t.err, "all responses are complete and match the engines' text; no KV cache is reserved any more")
	return exitOK
}

// runGateway runs the demo of a gateway in front of a stand-in for the users' platform.
func (c *demoCommand) runGateway(ctx context.Context, t terminal) int {
	fmt.Fprintln(t.err, "starting a store, 5 workers that sometimes break off a response, and a gateway in this process ...")
	result, err := bench.GatewayDemo(ctx, c.Requests)
	if err != nil {
		return t.failf("%v", err)
	}
	if c.JSON {
		t.json(result)
	} else {
		fmt.Fprintf(t.out, "%d streams through the gateway, %d responses broken off by workers, %d streams complete\n", result.Requests, result.CutByWorkers, result.Complete)
	}
	if result.Complete != result.Requests {
		return t.failf("some responses are incomplete or wrong")
	}
	return exitOK
}

// demoResult is the outcome of one request.
type demoResult struct {
	tokens     int
	firstToken time.Duration
	complete   bool
	detail     string
}

// sendLoad sends the requests, longest prompts first, and returns their results.
func (c *demoCommand) sendLoad(ctx context.Context, t terminal, fleet *bench.Fleet) []demoResult {
	var lengths []int
	for _, l := range demoPromptLengths {
		for range max(1, int(l.requestShare*float64(c.Requests))) {
			lengths = append(lengths, l.tokens)
		}
	}
	sort.Sort(sort.Reverse(sort.IntSlice(lengths)))
	results := make([]demoResult, len(lengths))
	var senders sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, tokens := range lengths {
		senders.Go(func() {
			results[i] = sendDemoRequest(ctx, fleet, i, tokens)
			mu.Lock()
			defer mu.Unlock()
			done++
			fmt.Fprintf(t.err, "\r%d of %d responses", done, len(lengths))
			if !results[i].complete {
				fmt.Fprintf(t.err, "; request %d (%d tokens): %s\n", i, tokens, results[i].detail)
			}
		})
		time.Sleep(demoStagger)
	}
	senders.Wait()
	fmt.Fprintln(t.err)
	return results
}

// sendDemoRequest sends one request and compares the response with the engine's text.
func sendDemoRequest(ctx context.Context, fleet *bench.Fleet, i, tokens int) demoResult {
	prompt := bench.Prompt(uint64(i), tokens)
	completion, err := fleet.Complete(ctx, bench.Completion{
		Entry: i, Kind: bench.KindFor(tokens), Prompt: prompt, MaxTokens: demoOutputTokens, Deadline: demoDeadline,
	})
	r := demoResult{tokens: tokens, firstToken: completion.FirstToken}
	switch {
	case err != nil:
		r.detail = err.Error()
	case completion.Text != standin.Completion(prompt, demoOutputTokens):
		r.detail = "response differs from the engine's text"
	default:
		r.complete = true
	}
	return r
}

// tabulate returns a row for each prompt length and whether all responses were complete.
func tabulate(results []demoResult) ([]demoRow, bool) {
	complete := true
	var rows []demoRow
	for _, l := range demoPromptLengths {
		histogram := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		row := demoRow{PromptTokens: l.tokens}
		for _, r := range results {
			if r.tokens != l.tokens {
				continue
			}
			row.Requests++
			if !r.complete {
				complete = false
				continue
			}
			row.Complete++
			_ = histogram.RecordValue(r.firstToken.Microseconds())
		}
		ms := func(quantile float64) int64 { return histogram.ValueAtQuantile(quantile) / 1000 }
		row.P50MS, row.P95MS, row.MaxMS = ms(50), ms(95), histogram.Max()/1000
		rows = append(rows, row)
	}
	return rows, complete
}

func printDemo(t terminal, rows []demoRow) {
	fmt.Fprintf(t.out, "%14s %9s %8s   %s\n", "prompt tokens", "requests", "complete", "time to first token: p50, p95, max (ms)")
	fmt.Fprintln(t.out, strings.Repeat("-", 74))
	for _, row := range rows {
		fmt.Fprintf(t.out, "%14d %9d %8d   %8d %8d %8d\n", row.PromptTokens, row.Requests, row.Complete, row.P50MS, row.P95MS, row.MaxMS)
	}
}
