package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

const (
	// crashingPart is the part of prompts that crashes the workers of these tests, commonPart the first part
	// of all prompts, and crashInterval the time between two requests with the crashing part.
	crashingPart, commonPart = "5c1e07a2", "91bd3f06"
	crashInterval            = 120 * time.Millisecond
	// The users' rule: once crashesToRefuse endpoints have crashed, at most maxSendsAfter further requests
	// may reach endpoints.
	crashesToRefuse, maxSendsAfter = 5, 3
)

// partWorkers returns n workers that crash when they begin to answer a prompt with crashingPart.
func partWorkers(n int) []*standin.Worker {
	workers := make([]*standin.Worker, n)
	for i := range workers {
		workers[i] = &standin.Worker{CrashPart: crashingPart}
	}
	return workers
}

// promptWith returns a request whose prompt has the given shared parts and a last part of its own.
func (s *fixture) promptWith(path, id string, parts ...string) *http.Request {
	s.t.Helper()
	r := s.request(http.MethodPost, path, id, "body of "+id)
	header := ""
	for _, part := range parts {
		header += part + ":100,"
	}
	r.Header.Set("X-Aspenyard-Prefix-Hash", fmt.Sprintf("%s%x:100", header, []byte(id)))
	return r
}

// Guards against requests that differ in all but one part of their prompts and crash one endpoint after the
// other.
func TestAPromptPartThatCrashesEndpointsIsSentToFewOfThem(t *testing.T) {
	is := is.New(t)
	first, second := twoGateways(t, partWorkers(40)...)
	crashed := func() int {
		n := 0
		for _, w := range first.workers {
			for _, run := range w.Runs() {
				if run.Parts != "" && run.Ran && run.ID[0] == 'p' {
					n++
				}
			}
		}
		return n
	}
	for i := range 6 {
		for n, s := range []*fixture{first, second} {
			s.do(s.promptWith("/again/a", fmt.Sprintf("p%d-%d", i, n), commonPart, crashingPart))
			is.Equal(s.do(s.promptWith("/again/a", fmt.Sprintf("s%d-%d", i, n), commonPart)).status, http.StatusOK)
			time.Sleep(crashInterval)
		}
	}
	t.Logf("%d endpoints crashed", crashed())
	is.True(crashed() <= crashesToRefuse+maxSendsAfter)
	for _, s := range []*fixture{first, second} {
		is.Equal(s.do(s.promptWith("/again/a", "sound", commonPart)).status, http.StatusOK)
	}
}
