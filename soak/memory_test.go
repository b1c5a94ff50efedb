package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/standin/platform"
)

// ordinaryRequest sends a request of ordinary size on a new connection and reports whether it got the whole response.
func ordinaryRequest(g *gateway, id string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.addrs["callers"]+"/again/"+id, strings.NewReader(strings.Repeat("x", 20_000)))
	if err != nil {
		return false
	}
	request.Host, request.Close = host, true
	call := platform.CallHeaders{ID: id, APIKey: keyPlain, Deadline: shortDeadline}
	call.SetHeaders(request.Header)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == platform.PlainResponse(id)
}

// Guards against a gateway on a machine with little memory that is killed because of slow callers and endpoints, or
// that serves nobody else beside them: bodies of 4 MB that are sent slowly, and responses and streams of 4 MB that
// are read or sent slowly, 60 times as many bytes as the gateway may hold.
func TestSlowCallersDoNotExhaustTheMemory(t *testing.T) {
	is := is.New(t)
	self, err := os.Executable()
	is.NoErr(err)
	config := Config{Seed: 1, Gateways: 1, Engines: 1, PlainEndpoints: 1, Dir: t.TempDir(), Command: []string{self, productArgument, "gateway", "--settings"}}
	is.NoErr(config.setDefaults())
	h, err := newHarness(config)
	is.NoErr(err)
	defer h.close()
	h.bodyLimit = 4 << 20
	h.writeConfig()
	is.NoErr(h.awaitReady(context.Background(), startTimeout))
	g := h.gateways[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slow := make(chan struct{})
	go func() {
		defer close(slow)
		h.runSlowCallers(ctx, g, 100, h.bodyLimit)
	}()
	served, sent := 0, 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); sent++ {
		if ordinaryRequest(g, fmt.Sprint("ordinary-", sent)) {
			served++
		}
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-slow
	t.Logf("served %d of %d; largest resident memory %d; endpoint: %d complete, %d cut off, %d cancelled", served, sent, h.record.MaxResident, h.bulk.Complete.Load(), h.bulk.CutOff.Load(), h.bulk.Cancelled.Load())
	is.True(h.record.MaxResident < memoryLimit)
	is.True(served > sent/2)
	is.Equal(g.currentIncarnation(), 1)
	is.Equal(len(h.record.violations), 0)
}
