package cli

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"aspenyard.example/bench"
)

type benchCapacity struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

type benchPolicy struct {
	Seed      uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds     int           `arg:"--seeds" default:"5" help:"number of seeds, counting up from the first"`
	Engines   int           `arg:"--engines" default:"12" help:"number of engines"`
	Entries   int           `arg:"--entries" default:"3" help:"number of entries, each with its own view of the engines"`
	Load      []float64     `arg:"--load" help:"offered load as a fraction of capacity; several allowed [default: 0.5 0.8 0.95 1.3]"`
	LongShare float64       `arg:"--long-share" default:"0.02" help:"fraction of prompts above 100,000 tokens"`
	Longest   int           `arg:"--longest" default:"300000" help:"longest prompt in tokens; the engines are sized to hold it"`
	Burst     float64       `arg:"--burst" default:"2" help:"request rate in a burst as a multiple of the mean; 1 for no bursts"`
	Policy    string        `arg:"--policy" default:"all" help:"name of a policy, or all"`
	Profile   string        `arg:"--profile" help:"citara (25 engines) or keelung (15 engines)"`
	Lag       time.Duration `arg:"--lag" default:"2s" help:"age of the load reports"`
	Length    time.Duration `arg:"--length" default:"5m" help:"virtual time during which requests arrive"`
	Kill      float64       `arg:"--kill" help:"fraction of the engines that fail half way through"`
	Obey      float64       `arg:"--obey" default:"0.2" help:"fraction of the refused callers that retry after the advised time"`
	JSON      bool          `arg:"--json" help:"print JSON"`
	Plot      string        `arg:"--plot" placeholder:"FILE" help:"write an SVG or PNG plot"`
}

type benchLimits struct {
	Seed    uint64 `arg:"--seed" default:"1" help:"seed of the arrivals"`
	Entries []int  `arg:"--entries" help:"numbers of entries to measure [default: 2 8 32]"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

type benchPower struct {
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the demand"`
	JSON bool   `arg:"--json" help:"print JSON"`
}

type benchPath struct {
	Pairs int           `arg:"--pairs" default:"300" help:"number of pairs of calls, one direct and one through entry and agent"`
	Rate  time.Duration `arg:"--rate" default:"4s" help:"time over which each rate is measured"`
	JSON  bool          `arg:"--json" help:"print JSON"`
}

type benchRefusals struct {
	Count  int   `arg:"--count" default:"200" help:"number of refused calls of each length"`
	Tokens []int `arg:"--tokens" help:"prompt lengths in tokens [default: 1000 100000]"`
	JSON   bool  `arg:"--json" help:"print JSON"`
}

type benchIdle struct {
	Addrs []string      `arg:"positional,required" placeholder:"IP:PORT" help:"operators' addresses of running processes"`
	For   time.Duration `arg:"--for" default:"20s" help:"time between the two readings"`
	JSON  bool          `arg:"--json" help:"print JSON"`
}

type benchCommand struct {
	Idle     *benchIdle     `arg:"subcommand:idle" help:"measure CPU time, memory and control traffic of running processes"`
	Path     *benchPath     `arg:"subcommand:path" help:"measure the latency that entry and agent, or a gateway, add"`
	Refusals *benchRefusals `arg:"subcommand:refusals" help:"measure how quickly callers are refused"`
	Power    *benchPower    `arg:"subcommand:power" help:"measure how much of a site's power cap stays unused"`
	Limits   *benchLimits   `arg:"subcommand:limits" help:"measure how well several entries keep client accounts' limits"`
	Policy   *benchPolicy   `arg:"subcommand:policy" help:"measure routing and admission under load, in virtual time"`
	Capacity *benchCapacity `arg:"subcommand:capacity" help:"measure the cost figures of docs/CAPACITY.md"`
}

func (c *benchCommand) run(t terminal) int {
	switch {
	case c.Capacity != nil:
		return c.Capacity.run(t)
	case c.Policy != nil:
		return c.Policy.run(t)
	case c.Limits != nil:
		return c.Limits.run(t)
	case c.Power != nil:
		return c.Power.run(t)
	case c.Path != nil:
		return c.Path.run(t)
	case c.Refusals != nil:
		return c.Refusals.run(t)
	case c.Idle != nil:
		return c.Idle.run(t)
	}
	return t.failf("bench: missing subcommand: policy, limits, power, path, refusals, idle or capacity")
}

func (c *benchIdle) run(t terminal) int {
	results, err := bench.Idle(c.Addrs, c.For)
	if err != nil {
		return t.failf("%v", err)
	}
	if c.JSON {
		return t.json(results)
	}
	fmt.Fprintf(t.out, "%-22s %9s %12s %12s %12s %14s\n", "process", "% core", "resident MB", "anonymous MB", "sent B/s", "received B/s")
	for _, r := range results {
		fmt.Fprintf(t.out, "%-22s %9.2f %12.1f %12.1f %12.0f %14.0f\n", r.Addr, r.CorePercent, r.ResidentBytes/1e6, r.AnonymousBytes/1e6, r.SentPerSecond, r.ReceivedPerSecond)
	}
	return exitOK
}

func (c *benchPath) run(t terminal) int {
	viaAgent, err := bench.Path(context.Background(), c.Pairs, c.Rate)
	if err != nil {
		return t.failf("%v", err)
	}
	viaGateway, err := bench.GatewayPath(context.Background(), c.Pairs)
	if err != nil {
		return t.failf("%v", err)
	}
	if c.JSON {
		return t.json(map[string]any{"entry_and_agent": viaAgent, "gateway": viaGateway})
	}
	fmt.Fprintf(t.out, "entry and agent, %d pairs: first token p50 %d µs direct, %d µs through them; added p50 %d µs, p95 %d µs\n",
		viaAgent.Pairs, viaAgent.DirectP50, viaAgent.ThroughP50, viaAgent.AddedP50, viaAgent.AddedP95)
	fmt.Fprintf(t.out, "gateway, %d pairs: first event p50 %d µs direct, %d µs through it; added p50 %d µs, p95 %d µs\n",
		viaGateway.Pairs, viaGateway.DirectP50, viaGateway.ThroughP50, viaGateway.AddedP50, viaGateway.AddedP95)
	fmt.Fprintf(t.out, "throughput on one processor, including the stand-in engine and the caller: %.0f requests/s of 8 tokens, %.0f tokens/s\n",
		viaAgent.RequestsPerSecond, viaAgent.TokensPerSecond)
	return exitOK
}

func (c *benchRefusals) run(t terminal) int {
	if len(c.Tokens) == 0 {
		c.Tokens = []int{1_000, 100_000}
	}
	results, err := bench.Refusals(context.Background(), c.Count, c.Tokens)
	if err != nil {
		return t.failf("%v", err)
	}
	if c.JSON {
		return t.json(results)
	}
	for _, r := range results {
		fmt.Fprintf(t.out, "%d prompts of %d tokens refused: p50 %d µs, p95 %d µs, max %d µs\n", r.Count, r.PromptTokens, r.P50, r.P95, r.Max)
	}
	return exitOK
}

func (c *benchPower) run(t terminal) int {
	results, err := bench.Power(c.Seed)
	if err != nil {
		return t.failf("%v", err)
	}
	if c.JSON {
		return t.json(results)
	}
	fmt.Fprintf(t.out, "%-18s %8s %20s %15s %9s\n", "demand", "idle", "idle by equal split", "writes per round", "exceeded")
	for _, r := range results {
		fmt.Fprintf(t.out, "%-18s %8.3f %20.3f %15.3f %9d\n", r.Case, r.Unused, r.EqualUnused, r.Writes, r.Exceeded)
	}
	return exitOK
}

func (c *benchLimits) run(t terminal) int {
	if len(c.Entries) == 0 {
		c.Entries = []int{2, 8, 32}
	}
	results := bench.Limits(c.Seed, c.Entries)
	if c.JSON {
		return t.json(results)
	}
	fmt.Fprintf(t.out, "%8s  %-10s %10s %8s %22s\n", "entries", "traffic", "overshoot", "unused", "unused by equal split")
	for _, r := range results {
		fmt.Fprintf(t.out, "%8d  %-10s %10.3f %8.3f %22.3f\n", r.Entries, r.Case, r.Overshoot, r.Unused, r.EqualUnused)
	}
	return exitOK
}

func (c *benchPolicy) run(t terminal) int {
	switch c.Profile {
	case "":
	case "citara":
		c.Engines, c.Entries = 25, 3
	case "keelung":
		c.Engines, c.Entries = 15, 3
	default:
		return t.failf("bench policy: unknown profile %q; profiles are citara and keelung", c.Profile)
	}
	if c.Longest < bench.MinLongestPrompt || c.Longest > bench.MaxLongestPrompt {
		return t.failf("bench policy: --longest is %d, must be from %d to %d", c.Longest, bench.MinLongestPrompt, bench.MaxLongestPrompt)
	}
	if len(c.Load) == 0 {
		c.Load = []float64{0.5, 0.8, 0.95, 1.3}
	}
	names := bench.PolicyNames()
	if c.Policy != "all" {
		names = strings.Split(c.Policy, ",")
	}
	results, err := c.measure(names)
	if err != nil {
		return t.failf("%v", err)
	}
	if c.Plot != "" {
		if err := bench.PlotPolicies(results, c.Plot); err != nil {
			return t.failf("%v", err)
		}
	}
	if c.JSON {
		return t.json(results)
	}
	fmt.Fprintf(t.out, "%d engines, %d entries, seeds %d to %d, load reports %s old, %.0f%% long prompts, burst %g, %s of arrivals; means over seeds\n",
		c.Engines, c.Entries, c.Seed, c.Seed+uint64(c.Seeds)-1, c.Lag, 100*c.LongShare, c.Burst, c.Length)
	fmt.Fprint(t.out, bench.PolicyTable(results))
	return exitOK
}

// measure runs each policy at each load, with its seeds in parallel, and returns the
// means over the seeds.
func (c *benchPolicy) measure(names []string) ([]bench.PolicyResult, error) {
	var means []bench.PolicyResult
	for _, load := range c.Load {
		for _, name := range names {
			results := make([]bench.PolicyResult, c.Seeds)
			var group errgroup.Group
			for i := range c.Seeds {
				group.Go(func() error {
					var err error
					results[i], err = bench.RunPolicy(name, bench.Workload{
						Seed: c.Seed + uint64(i), Engines: c.Engines, Load: load, LongShare: c.LongShare, Burst: c.Burst, Duration: c.Length,
						LongestPrompt: c.Longest, Engine: bench.EngineFor(c.Longest),
					}, bench.Conditions{
						Entries: c.Entries, ReportInterval: 500 * time.Millisecond, ReportDelay: c.Lag, KillShare: c.Kill, RetryShare: c.Obey,
					})
					return err
				})
			}
			if err := group.Wait(); err != nil {
				return nil, err
			}
			means = append(means, bench.MeanResult(results))
		}
	}
	return means, nil
}

func (c *benchCapacity) run(t terminal) int {
	costs, err := bench.Capacity()
	if err != nil {
		return t.failf("%v", err)
	}
	if c.JSON {
		return t.json(costs)
	}
	fmt.Fprintf(t.out, "%s, %d processors\n", runtime.Version(), runtime.NumCPU())
	fmt.Fprintf(t.out, "%-58s %-18s %12s %10s %12s\n", "what", "size", "µs", "bytes", "heap bytes")
	fmt.Fprintln(t.out, strings.Repeat("-", 114))
	for _, cost := range costs {
		fmt.Fprintf(t.out, "%-58s %-18s %12.2f %10d %12d  %s\n", cost.Name, cost.Size, cost.Microseconds, cost.Bytes, cost.HeapBytes, cost.Note)
	}
	return exitOK
}
