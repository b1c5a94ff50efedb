package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/result"
)

// RefusalResult holds the times to refuse requests of one prompt length.
type RefusalResult struct {
	PromptTokens int `json:"prompt_tokens"`
	Count        int `json:"count"`
	// P50, P95 and Max are the times from sending the request to the end of the response, in
	// microseconds.
	P50 int64 `json:"p50_us"`
	P95 int64 `json:"p95_us"`
	Max int64 `json:"max_us"`
}

const (
	refusalEngines = 4
	// refusalOutputTokens is the requested output in tokens. It would take about 50 s, longer than
	// refusalDeadline, so that every endpoint refuses and the entry asks as many agents as
	// it may.
	refusalOutputTokens = 2000
	refusalDeadline     = 10 * time.Second
)

// Refusals measures the times of count refusals for each prompt length, one after the other.
func Refusals(ctx context.Context, count int, lengths []int) ([]RefusalResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := StartFleet(ctx, FleetConfig{Entries: 1, Engines: refusalEngines, TimeScale: 1, Engine: quickEngine}, zap.NewNop())
	if err != nil {
		return nil, err
	}
	var results []RefusalResult
	for _, tokens := range lengths {
		histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for i := range count {
			took, err := fleet.measureRefusal(ctx, Prompt(uint64(i), tokens))
			if err != nil {
				return nil, err
			}
			_ = histogram.RecordValue(took.Microseconds())
		}
		results = append(results, RefusalResult{
			PromptTokens: tokens, Count: count,
			P50: histogram.ValueAtQuantile(50), P95: histogram.ValueAtQuantile(95), Max: histogram.Max(),
		})
	}
	return results, nil
}

// measureRefusal sends a request that must be refused and returns the time until the response ended.
func (f *Fleet) measureRefusal(ctx context.Context, prompt string) (time.Duration, error) {
	body, err := json.Marshal(map[string]any{"model": "excuse-draft", "prompt": prompt, "max_tokens": refusalOutputTokens, "stream": true})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Callers[0]+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	request.Header = http.Header{"Authorization": {"Bearer " + fleetKey}, "X-Request-Deadline": {refusalDeadline.String()}}
	sentAt := time.Now()
	response, err := f.client.Do(request)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var responseBody bytes.Buffer
	_, err = responseBody.ReadFrom(response.Body)
	took := time.Since(sentAt)
	_ = response.Body.Close()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	code := response.Header.Get("X-Result-Code")
	if code != strconv.Itoa(int(result.DeadlineUnmeetable)) || response.Header.Get("Retry-After") == "" {
		return 0, errors.Errorf("the request was not refused as expected: result code %s, Retry-After %q: %.200s", code, response.Header.Get("Retry-After"), responseBody.String())
	}
	return took, nil
}
