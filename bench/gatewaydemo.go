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

// GatewayDemoResult is what callers of a demonstration got.
type GatewayDemoResult struct {
	Workers  int `json:"workers"`
	Requests int `json:"requests"`
	// Complete is how many streams came whole, as the workers' own text has it.
	Complete int `json:"whole"`
	// CutByWorkers is how many of the workers' answers broke off in the midst of an event.
	CutByWorkers int `json:"cut_by_workers"`
}

const (
	demoWorkers         = 5
	demoEvents          = 20
	demoEventInterval   = 10 * time.Millisecond
	demoRequestInterval = 20 * time.Millisecond
	// demoCutEvery makes a worker break off in the midst of an event now and then.
	demoCutEvery = 8
)

// GatewayDemo runs a gateway before the stand-in of the users' platform and five of its
// workers, which now and then break off in the midst of an event, sends streams and
// compares what comes back with the workers' own text.
func GatewayDemo(ctx context.Context, requests int) (GatewayDemoResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := GatewayDemoResult{Workers: demoWorkers, Requests: requests}
	var workers []*standinplatform.Worker
	for i := range demoWorkers {
		w := &standinplatform.Worker{ID: fmt.Sprint("w", i+1), Service: "model", Events: demoEvents, Pace: demoEventInterval}
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
			workers[i%demoWorkers].Next(standinplatform.FaultCut)
			result.CutByWorkers++
		}
		sending.Go(func() {
			id := fmt.Sprint("q", i)
			whole := streamIsComplete(ctx, client, g.CallersAddr(), id)
			mu.Lock()
			defer mu.Unlock()
			if whole {
				result.Complete++
			}
		})
		time.Sleep(demoRequestInterval)
	}
	sending.Wait()
	return result, nil
}

func streamIsComplete(ctx context.Context, client *http.Client, addr, id string) bool {
	response, err := client.Do(standinplatform.CallerRequest(addr, id, id).WithContext(ctx))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return err == nil && string(text) == standinplatform.StreamText(id, demoEvents)
}
