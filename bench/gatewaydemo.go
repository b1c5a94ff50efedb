package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	standinplatform "aspenyard.example/standin/platform"
)

// GatewayDemoResult is the result of a gateway demonstration.
type GatewayDemoResult struct {
	Workers  int `json:"workers"`
	Requests int `json:"requests"`
	// Complete counts the streams whose text equals that of the workers.
	Complete int `json:"whole"`
	// CutByWorkers counts the responses that workers aborted within an event.
	CutByWorkers int `json:"cut_by_workers"`
}

const (
	demoWorkers         = 5
	demoEvents          = 20
	demoEventInterval   = 10 * time.Millisecond
	demoRequestInterval = 20 * time.Millisecond
	// For every demoCutEvery-th request a worker aborts a response within an event.
	demoCutEvery = 8
)

// GatewayDemo runs a gateway with a stand-in of the users' platform and five workers. It sends
// requests for streams, of which the workers abort some within an event, and checks that callers
// still get the workers' complete text.
func GatewayDemo(ctx context.Context, requests int) (GatewayDemoResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := GatewayDemoResult{Workers: demoWorkers, Requests: requests}
	var workers []*standinplatform.Worker
	for i := range demoWorkers {
		w := &standinplatform.Worker{ID: fmt.Sprint("w", i+1), Service: "model", EventCount: demoEvents, EventInterval: demoEventInterval}
		if err := w.Start(); err != nil {
			return result, errors.WithStack(err)
		}
		defer w.Stop()
		workers = append(workers, w)
	}
	g, err := startGateway(ctx, workers...)
	if err != nil {
		return result, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: requests}}
	var sending sync.WaitGroup
	var mu sync.Mutex
	for i := range requests {
		if i%demoCutEvery == 0 {
			workers[i%demoWorkers].QueueFaults(standinplatform.FaultTruncated)
			result.CutByWorkers++
		}
		sending.Go(func() {
			id := fmt.Sprint("q", i)
			complete := streamIsComplete(ctx, client, g.CallersAddr(), id)
			mu.Lock()
			defer mu.Unlock()
			if complete {
				result.Complete++
			}
		})
		time.Sleep(demoRequestInterval)
	}
	sending.Wait()
	return result, nil
}

// streamIsComplete sends a request and reports whether its stream is complete.
func streamIsComplete(ctx context.Context, client *http.Client, addr, id string) bool {
	response, err := client.Do(standinplatform.CallerRequest(addr, id, id).WithContext(ctx))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return err == nil && string(text) == standinplatform.StreamText(id, demoEvents)
}
