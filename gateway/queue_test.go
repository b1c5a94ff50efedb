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

// sendWhileBusy sends a prompt and reports, until stop returns true, that another entry's prompts take all
// engines.
func (s *fixture) sendWhileBusy(id string, tokens int, stop func() bool) callerResponse {
	s.gateway.ReportRefusedLengths("model", "model")
	s.gateway.ReportPeerPrefill("model", 3*peerPrefill)
	got := make(chan callerResponse, 1)
	go func() { got <- s.sendPrompt(id, tokens) }()
	for len(got) == 0 && !stop() {
		s.gateway.ReportPeerPrefill("model", 3*peerPrefill) // a report is used for one second
		time.Sleep(10 * time.Millisecond)
	}
	return <-got
}

// Guards against long prompts that are hardly ever served, and against streams that are delayed for them:
// such a prompt waits longer than others may, but for engines that have capacity.
func TestAPassedOverPromptWaitsForCapacity(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 12)
	s.routes[len(s.routes)-1]["target_latency_ms"] = 500
	s.start()
	got := s.sendWhileBusy("long", 151_000, func() bool { return s.sumMetric("aspenyard_gateway_length_preferred_total") > 0 })
	is.Equal(got.status, http.StatusOK)
	s.waitFor("the prompt has left the queue", func() bool { return strings.Contains(s.log.String(), `"event":"queue_left"`) })
}

// Guards against a passed-over prompt that is sent to engines without capacity, or is held until its caller
// gives up.
func TestAPassedOverPromptIsRefusedWithoutCapacity(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 12)
	s.routes[len(s.routes)-1]["target_latency_ms"] = 500
	s.start()
	refused := s.sendWhileBusy("long", 151_000, func() bool { return false })
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(s.runCount("long"), 0)
}

// peerPrefill is more prefill than twelve engines may have pending before another long prompt starts,
// and less than they complete in two seconds.
const peerPrefill = 10500 * time.Millisecond
