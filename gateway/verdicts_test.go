package gateway_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// loseEndpoints ends n workers, each under a prompt with commonPart that may run once, and waits until the part is
// refused and the store has the record of it.
func (s *fixture) loseEndpoints(n int) {
	s.t.Helper()
	for i := range n {
		got := make(chan callerResponse, 1)
		go func() { got <- s.do(s.promptWith("/once/a", fmt.Sprint("lost", i), commonPart)) }()
		var busy *standin.Worker
		s.waitFor("the prompt runs", func() bool {
			for _, w := range s.workers {
				if w.InFlight() > 0 {
					busy = w
				}
			}
			return busy != nil
		})
		busy.Stop()
		if status := (<-got).status; status != http.StatusBadGateway {
			s.t.Fatalf("status %d of a prompt whose endpoint crashed", status)
		}
		s.store.Delete("servers/" + busy.ID)
		time.Sleep(crashInterval)
	}
	s.waitFor("the part is refused", func() bool { return s.sumMetric("aspenyard_gateway_quarantined_parts ") == 1 })
	s.waitFor("the store has the record", func() bool { return s.recordStands() })
}

// record returns the value of the only record in the store; "" if there is none.
func (s *fixture) record() string {
	keys := s.store.Keys("records/")
	if len(keys) != 1 {
		return ""
	}
	return string(s.store.Get(keys[0]))
}

// recordStands reports whether the only record in the store has crashes that count.
func (s *fixture) recordStands() bool {
	return s.record() != "" && !strings.Contains(s.record(), `"crashes":[]`)
}

// awaitWithdrawal waits until the record in the store has no crashes that count.
func (s *fixture) awaitWithdrawal() {
	s.t.Helper()
	s.waitFor("the verdict is withdrawn in the store", func() bool { return strings.Contains(s.record(), `"crashes":[]`) })
}

// clearPart sends prompts with commonPart until a trial is answered and the part is served.
func (s *fixture) clearPart() {
	s.t.Helper()
	n := 0
	s.waitFor("the part is served", func() bool {
		n++
		return s.do(s.promptWith("/again/a", fmt.Sprint("trial", n), commonPart)).status == http.StatusOK
	})
}

// kill ends the gateway without a drain.
func (s *fixture) kill() {
	s.signals <- os.Interrupt
	s.signals <- os.Interrupt
	<-s.serveErr
}

// startAfter starts the next gateway process on a store.
func startAfter(t *testing.T, former *fixture) *fixture {
	t.Helper()
	next := newFixture(t)
	next.store, next.version, next.workers = former.store, former.version, former.workers
	return next.start()
}

// lostFixture starts a gateway before workers of which loseEndpoints may end six.
func lostFixture(t *testing.T) *fixture {
	t.Helper()
	workers := make([]*standin.Worker, 10)
	for i := range workers {
		workers[i] = &standin.Worker{WorkTime: 300 * time.Millisecond}
	}
	return newFixture(t, workers...).start()
}

// Guards against a verdict on a part of all prompts that was taken back, and is believed by entries that all start anew.
func TestAClearedPartIsServedAfterARestartOfAllEntries(t *testing.T) {
	is := is.New(t)
	s := lostFixture(t)
	s.loseEndpoints(4)
	s.clearPart()
	s.awaitWithdrawal()
	s.kill()
	next := startAfter(t, s)
	is.Equal(next.do(next.promptWith("/again/a", "after", commonPart)).status, http.StatusOK)
}

// Guards against a wrong verdict that is read from the store, and that nobody is left to try.
func TestAVerdictThatNobodyTriedIsTriedAfterARestartOfAllEntries(t *testing.T) {
	is := is.New(t)
	s := lostFixture(t)
	s.loseEndpoints(4)
	s.kill()
	next := startAfter(t, s)
	got := next.do(next.promptWith("/again/a", "refused", commonPart))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get("Retry-After"), "1.000") // until it has been tried, not for as long as the verdict may stand
	next.clearPart()
	next.awaitWithdrawal()
	is.True(next.logged(`"event":"part_trial_claimed"`))
}

// Guards against entries that all start several times and try a part that does crash endpoints each time.
func TestAPartThatCrashesEndpointsIsTriedAFewTimesOverManyRestarts(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, partWorkers(16)...).start()
	s.crashUntilRefused()
	s.waitFor("the store has the record", func() bool { return s.recordStands() })
	ran := s.arrivals("p")
	for restart := range 3 {
		s.kill()
		s = startAfter(t, s)
		for i := range 25 {
			s.do(s.promptWith("/again/a", fmt.Sprintf("p-later-%d-%d", restart, i), commonPart, crashingPart))
			time.Sleep(crashInterval)
		}
		is.Equal(s.do(s.promptWith("/again/a", fmt.Sprint("sound", restart), commonPart)).status, http.StatusOK)
	}
	t.Logf("%d endpoints crashed after the restarts", s.arrivals("p")-ran)
	is.True(s.arrivals("p")-ran <= maxSendsAfter)
	is.True(s.recordStands())
}

// Guards against a verdict that stays in the store because the store was away while it was taken back.
func TestAVerdictIsWithdrawnOnceTheStoreIsBack(t *testing.T) {
	s := lostFixture(t)
	s.loseEndpoints(4)
	s.store.SetFaults(standin.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
	s.clearPart()
	s.waitFor("a write has failed", func() bool {
		return s.sumMetric(`aspenyard_gateway_store_calls_total{kind="lease"`) > 1
	})
	s.store.SetFaults(standin.StoreFaults{})
	s.awaitWithdrawal()
}

// Guards against a write of a verdict that the store carries out after the withdrawal, or a copy of the store that holds
// the verdict.
func TestAWithdrawnVerdictThatIsInTheStoreAgainIsWithdrawnAgain(t *testing.T) {
	for _, again := range []string{"late write", "restored", "lease ended, late write"} {
		t.Run(again, func(t *testing.T) {
			is := is.New(t)
			s := lostFixture(t)
			s.loseEndpoints(4)
			name, value, before := s.store.Keys("records/")[0], s.store.Get(s.store.Keys("records/")[0]), s.store.Copy()
			s.clearPart()
			s.awaitWithdrawal()
			switch again {
			case "restored":
				s.store.Restore(before)
			case "lease ended, late write":
				s.store.Delete(name)
				s.store.Put(name, value)
			default:
				s.store.Put(name, value)
			}
			s.awaitWithdrawal()
			is.Equal(s.do(s.promptWith("/again/a", "after", commonPart)).status, http.StatusOK)
			is.Equal(strings.Count(s.log.String(), `"event":"part_quarantined"`), 1)
		})
	}
}

// Guards against a later verdict that is not stored because the store has a record of an earlier one.
func TestALaterVerdictReplacesAWithdrawnOne(t *testing.T) {
	s := newFixture(t, partWorkers(16)...).start()
	s.crashUntilRefused()
	s.waitFor("the store has the record", func() bool { return s.recordStands() })
	s.kill()
	s.store.Put(s.store.Keys("records/")[0], []byte(`{"crashes":[],"cancelled":[1,2,3,4],"trials":3,"written_unix_ms":1}`))
	next := startAfter(t, s)
	next.crashUntilRefused()
	next.waitFor("the store has the later verdict", func() bool { return next.recordStands() })
}

// Guards against a request whose verdict stays in the store, and is believed as if it were new, after an answer.
func TestAQuarantineThatEndsIsWithdrawn(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{WorkTime: 1500 * time.Millisecond}
	s := newFixture(t, worker).start()
	got := make(chan callerResponse, 1)
	go func() { got <- s.do(s.request("POST", "/again/a", "first", "body")) }()
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	s.gateway.QuarantineRequest("acme", "POST", host, "/again/a", "body")
	s.waitFor("the store has the record", func() bool { return s.recordStands() })
	is.Equal(s.do(s.request("POST", "/again/a", "refused", "body")).status, http.StatusServiceUnavailable)
	is.Equal((<-got).status, http.StatusOK)
	s.awaitWithdrawal()
	s.kill()
	next := startAfter(t, s)
	is.Equal(next.do(next.request("POST", "/again/a", "after", "body")).status, http.StatusOK)
}
