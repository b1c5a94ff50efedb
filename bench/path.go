package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	standin "aspenyard.example/standin/engine"
)

// PathResult is the latency that entry and agent add, and the throughput of the path.
type PathResult struct {
	Pairs int `json:"pairs"`
	// The times to first token, in microseconds, of calls to the engine directly and through
	// entry and agent, which alternate, and the difference within each pair.
	DirectP50  int64 `json:"direct_p50_us"`
	ThroughP50 int64 `json:"through_p50_us"`
	AddedP50   int64 `json:"added_p50_us"`
	AddedP95   int64 `json:"added_p95_us"`
	// RequestsPerSecond and TokensPerSecond are those of this whole process (entry, agent,
	// engine stand-in and caller) on one processor, a lower bound for the entry alone.
	RequestsPerSecond float64 `json:"requests_per_second_one_core"`
	TokensPerSecond   float64 `json:"tokens_per_second_one_core"`
}

// quickEngine configures engines that take almost no time, so that the path is what is measured.
var quickEngine = standin.Config{StepTime: time.Microsecond, PrefillTime: time.Nanosecond, DecodeTime: time.Nanosecond, MaxRunning: 256}

const (
	pathPromptTokens = 1000
	pathOutputTokens = 8
	pathCallers      = 16
	pathDeadline     = time.Minute
	longOutputTokens = 2000
)

// Path measures the latency over pairs of calls, and then the throughput of short and of long
// responses for rateTime each.
func Path(ctx context.Context, pairs int, rateTime time.Duration) (PathResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := StartFleet(ctx, FleetConfig{Entries: 1, Engines: 1, TimeScale: 1, Engine: quickEngine}, zap.NewNop())
	if err != nil {
		return PathResult{}, err
	}
	result := PathResult{Pairs: pairs}
	if err := fleet.measurePairs(ctx, &result); err != nil {
		return result, err
	}
	before := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(before)
	requests, _, err := fleet.measureRate(ctx, rateTime, pathOutputTokens)
	if err != nil {
		return result, err
	}
	result.RequestsPerSecond = requests
	_, tokens, err := fleet.measureRate(ctx, rateTime, longOutputTokens)
	result.TokensPerSecond = tokens
	return result, err
}

// measurePairs measures the latencies and sets them in the result.
func (f *Fleet) measurePairs(ctx context.Context, result *PathResult) error {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	direct, through, added := newHistogram(), newHistogram(), newHistogram()
	for i := range result.Pairs {
		prompt := Prompt(uint64(i), pathPromptTokens)
		directCall, err := f.completeDirect(ctx, i, prompt)
		if err != nil {
			return err
		}
		throughCall, err := f.Complete(ctx, Completion{Kind: "line-plan", Prompt: prompt, MaxTokens: pathOutputTokens, Deadline: pathDeadline})
		if err != nil {
			return err
		}
		_ = direct.RecordValue(directCall.FirstToken.Microseconds())
		_ = through.RecordValue(throughCall.FirstToken.Microseconds())
		_ = added.RecordValue(max(0, (throughCall.FirstToken - directCall.FirstToken).Microseconds()))
	}
	result.DirectP50, result.ThroughP50 = direct.ValueAtQuantile(50), through.ValueAtQuantile(50)
	result.AddedP50, result.AddedP95 = added.ValueAtQuantile(50), added.ValueAtQuantile(95)
	return nil
}

// completeDirect sends a completion request to the engine itself.
func (f *Fleet) completeDirect(ctx context.Context, i int, prompt string) (CompletionResult, error) {
	body, err := json.Marshal(standin.CompletionRequest{
		RequestID: fmt.Sprint("direct-", i), Model: fleetModel, Prompt: prompt, MaxTokens: pathOutputTokens, Stream: true,
	})
	if err != nil {
		return CompletionResult{}, errors.WithStack(err)
	}
	// The engine accepts the request because its fencing number is above any agent's.
	header := http.Header{"X-Fencing-Number": {"9000000000000000000"}}
	return Stream(ctx, f.client, "http://"+f.Engines[0]+"/v1/completions", header, body)
}

// measureRate measures requests and tokens a second with pathCallers callers at once, and returns the
// last error of any of them.
func (f *Fleet) measureRate(ctx context.Context, length time.Duration, output int) (requests, tokens float64, err error) {
	prompt := Prompt(1, pathPromptTokens)
	var mu sync.Mutex
	var calling sync.WaitGroup
	count := 0
	start := time.Now()
	for range pathCallers {
		calling.Go(func() {
			for time.Since(start) < length {
				_, failure := f.Complete(ctx, Completion{Kind: "line-plan", Prompt: prompt, MaxTokens: output, Deadline: 10 * pathDeadline})
				mu.Lock()
				count++
				if failure != nil {
					err = failure
				}
				mu.Unlock()
				if failure != nil {
					return
				}
			}
		})
	}
	calling.Wait()
	requests = float64(count) / time.Since(start).Seconds()
	return requests, requests * float64(output), err
}
