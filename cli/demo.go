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
	Requests int     `arg:"--requests" default:"60" help:"short and middling requests to send"`
	Scale    float64 `arg:"--time-scale" default:"10" help:"how much faster than real the engines run"`
	Gateway  bool    `arg:"--gateway" help:"run a gateway before the stand-in of the users' platform"`
	Verbose  bool    `arg:"--verbose" help:"show the nodes' logs"`
}

// demoPromptLength is one row of the demo's load.
type demoPromptLength struct {
	tokens       int
	requestShare float64 // of the requests
}

// demoPromptLengths mixes the lengths of both users' workloads; one request of each of
// the last two is always sent.
var demoPromptLengths = []demoPromptLength{{1_000, 0.5}, {4_000, 0.3}, {16_000, 0.18}, {100_000, 0.02}, {1_000_000, 0}}

// demoRow is one line of the result.
type demoRow struct {
	PromptTokens int   `json:"prompt_tokens"`
	Requests     int   `json:"requests"`
	Complete     int   `json:"whole"`
	P50MS        int64 `json:"first_token_p50_ms"`
	P95MS        int64 `json:"first_token_p95_ms"`
	MaxMS        int64 `json:"first_token_max_ms"`
}

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
		return t.failf("not every answer came back whole")
	case heldErr != nil:
		return t.failf("memory is still held: %v", heldErr)
	}
	fmt.Fprintln(t.err, "every answer was whole, as the engines' own text has it, and no memory is held")
	return exitOK
}

// runGateway demonstrates a gateway on the stand-in of the users' platform.
func (c *demoCommand) runGateway(ctx context.Context, t terminal) int {
	fmt.Fprintln(t.err, "starting a store, 5 workers that now and then break off, and a gateway in this process ...")
	result, err := bench.GatewayDemo(ctx, c.Requests)
	if err != nil {
		return t.failf("%v", err)
	}
	if c.JSON {
		t.json(result)
	} else {
		fmt.Fprintf(t.out, "%d streams through the gateway, %d answers cut by workers, %d streams whole\n", result.Requests, result.CutByWorkers, result.Complete)
	}
	if result.Complete != result.Requests {
		return t.failf("not every answer came back whole")
	}
	return exitOK
}

type demoResult struct {
	tokens     int
	firstToken time.Duration
	complete   bool
	detail     string
}

// sendLoad sends the mix and returns what came back.
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
			fmt.Fprintf(t.err, "\r%d of %d answers", done, len(lengths))
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

func sendDemoRequest(ctx context.Context, fleet *bench.Fleet, i, tokens int) demoResult {
	prompt := bench.Prompt(uint64(i), tokens)
	answer, err := fleet.Complete(ctx, bench.Completion{
		Entry: i, Kind: bench.KindFor(tokens), Prompt: prompt, MaxTokens: demoOutputTokens, Deadline: demoDeadline,
	})
	r := demoResult{tokens: tokens, firstToken: answer.FirstToken}
	switch {
	case err != nil:
		r.detail = err.Error()
	case answer.Text != standin.Answer(prompt, demoOutputTokens):
		r.detail = "the answer differs from the engine's text"
	default:
		r.complete = true
	}
	return r
}

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
	fmt.Fprintf(t.out, "%14s %9s %6s   %s\n", "prompt tokens", "requests", "whole", "time to first token: p50, p95, max (ms)")
	fmt.Fprintln(t.out, strings.Repeat("-", 74))
	for _, row := range rows {
		fmt.Fprintf(t.out, "%14d %9d %6d   %8d %8d %8d\n", row.PromptTokens, row.Requests, row.Complete, row.P50MS, row.P95MS, row.MaxMS)
	}
}
