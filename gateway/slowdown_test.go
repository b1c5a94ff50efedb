package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// reportCount returns how often the endpoints were queried for their load reports.
func (s *fixture) reportCount() int {
	n := 0
	for _, w := range s.workers {
		n += w.ReportCount()
	}
	return n
}

// Guards against giving parts of every long prompt to an engine that has become slow: its streams pause
// for longer than a full pass while it has nothing to prefill, and the gateway must query its slowdown.
func TestASlowEngineIsDetectedAndAvoided(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 4)
	s.sendPrompt("q0", 1000)
	is.Equal(s.reportCount(), 0) // no queries without delays
	for _, w := range s.workers {
		w.SetDefaultFault(standin.FaultSlow)
	}
	go s.sendPrompt("h0", 1000)
	var slow *standin.Worker
	s.waitFor("an engine streams", func() bool {
		for _, w := range s.workers {
			if runs := w.Runs(); len(runs) > 0 && runs[len(runs)-1].ID == "h0" {
				slow = w
			}
		}
		return slow != nil
	})
	slow.SetSlowdown(5)
	s.waitFor("the slow engine is detected", func() bool { return strings.Contains(s.log.String(), `"endpoint":"`+slow.ID+`","pace":5`) })
	for _, w := range s.workers {
		w.SetDefaultFault("")
	}
	for i := range 6 {
		id := fmt.Sprint("l", i)
		is.Equal(s.sendPrompt(id, 150_000).body, standin.StreamText(id, 5))
		is.True(s.findRun(id).Helpers != "" && !strings.Contains(s.findRun(id).Helpers, slow.Addr()))
	}
	is.Equal(strings.Count(s.log.String(), "endpoint_pace"), 1) // the others are not slow
	slow.SetSlowdown(1)
	s.waitFor("the engine has recovered", func() bool { return strings.Contains(s.log.String(), `"endpoint":"`+slow.ID+`","pace":1`) })
}

// Guards against querying a slow engine more and more often: callers see it pause repeatedly while it is
// already polled each second, and each pause would start another poll.
func TestASlowEngineIsQueriedOncePerSecond(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 1)
	worker := s.workers[0]
	worker.SetSlowdown(5)
	worker.EventInterval = 400 * time.Millisecond
	start := time.Now()
	for i := range 3 {
		is.Equal(s.sendPrompt(fmt.Sprint("q", i), 1000).body, standin.StreamText(fmt.Sprint("q", i), 5))
	}
	maxReports := int(time.Since(start)/time.Second) + 2
	is.True(worker.ReportCount() >= 2)
	is.True(worker.ReportCount() <= maxReports)
}

// An engine that does not report its slowdown stays in use.
func TestAnEngineWithUnknownSlowdownStaysInUse(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 1)
	worker := s.workers[0]
	worker.SetSlowdown(0)
	worker.EventInterval = 250 * time.Millisecond
	is.Equal(s.sendPrompt("q1", 1000).body, standin.StreamText("q1", 5))
	s.waitFor("the engine was queried", func() bool { return strings.Contains(s.log.String(), "pace_unknown") })
	is.Equal(s.sendPrompt("q2", 1000).body, standin.StreamText("q2", 5))
}

// Guards against queries to a slow engine that wants no requests for a time.
func TestAnEngineInBackoffIsNotQueried(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 1)
	slow := s.workers[0]
	slow.SetSlowdown(5)
	slow.SetDefaultFault(standin.FaultSlow)
	go s.sendPrompt("h0", 1000)
	s.waitFor("the engine is polled", func() bool { return slow.ReportCount() > 0 })
	slow.SetBackoff("3600")
	slow.SetDefaultFault(standin.FaultShed)
	s.waitFor("the engine is in backoff", func() bool {
		s.sendPrompt("q", 1000)
		return s.sumMetric(backoffEndpoints) == 1
	})
	before := slow.ReportCount()
	time.Sleep(2500 * time.Millisecond)     // two intervals of the poll
	is.True(slow.ReportCount() <= before+1) // one may have been under way
}
