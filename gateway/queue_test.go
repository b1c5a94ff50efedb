package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against sending a long prompt to busy engines when its first token can only be late.
func TestALongPromptThatGetsNoCapacityInTimeIsRefused(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 12)
	s.routes[len(s.routes)-1]["target_latency_ms"] = 2000
	s.start()
	is.Equal(s.sendPrompt("first", 150_000).status, http.StatusOK)
	got := make(chan callerResponse, 1)
	s.gateway.ReportPeerPrefill("model", peerPrefill)
	go func() { got <- s.sendPrompt("late", 150_000) }()
	for len(got) == 0 { // a peer's report is used for one second
		s.gateway.ReportPeerPrefill("model", peerPrefill)
		time.Sleep(10 * time.Millisecond)
	}
	refused := <-got
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(s.runCount("late"), 0)
	s.waitFor("the refusal is logged", func() bool { return strings.Contains(s.log.String(), `"event":"queue_refused"`) })
}

// peerPrefill is more prefill than twelve engines may have pending before another long prompt starts,
// and less than they complete in two seconds.
const peerPrefill = 10500 * time.Millisecond
