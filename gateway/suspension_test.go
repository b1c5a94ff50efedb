package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// Guards against passing on as complete a response whose endpoint crashed and was replaced at its address while the
// entry was suspended: neither its address nor the directory shows the crash.
func TestAResponseThatEndsInASuspensionIsNotComplete(t *testing.T) {
	is := is.New(t)
	crashing, sound := streamingWorker(6), streamingWorker(6)
	crashing.EventInterval = 300 * time.Millisecond
	crashing.SetDefaultFault(standin.FaultUnframedCrash)
	s := newFixture(t, crashing, sound).start()
	s.store.Delete("servers/" + sound.ID)
	s.waitFor("one endpoint is listed", func() bool { return !s.gateway.Listed(sound.ID) })
	got := make(chan callerResponse, 1)
	go func() { got <- s.post("/stream/a", "q1") }()
	s.waitFor("the request runs", func() bool { return crashing.InFlight() == 1 })
	s.store.Put("servers/"+sound.ID, sound.Registration("ready"))
	s.store.Delete("servers/" + crashing.ID)
	s.waitFor("only the other endpoint is listed", func() bool {
		return s.gateway.Listed(sound.ID) && !s.gateway.Listed(crashing.ID)
	})
	s.gateway.SimulateSuspension(2 * time.Second)
	response := <-got
	is.NoErr(response.err)
	is.Equal(response.body, standin.StreamText("q1", 6))
}

// Guards against requests that are cut off by the supervisor's SIGKILL because the entry was suspended when SIGTERM
// came and counted the drain timeout from when it went on.
func TestADrainCountsFromTheStartOfASuspension(t *testing.T) {
	is := is.New(t)
	worker := streamingWorker(30)
	worker.EventInterval = 40 * time.Millisecond
	s := newFixture(t, worker).start()
	got := make(chan callerResponse, 1)
	go func() { got <- s.post("/stream/a", "q1") }()
	s.waitFor("the request runs", func() bool { return worker.InFlight() == 1 })
	s.gateway.SimulateSuspension(4 * time.Second) // of a drain timeout of 5 s
	s.sendSIGTERM()
	s.waitFor("the readiness check fails", func() bool { return s.readyStatus() == http.StatusServiceUnavailable })
	is.Equal(s.post("/stream/b", "q2").status, http.StatusServiceUnavailable)
	response := <-got
	is.NoErr(response.err)
	is.Equal(response.body, standin.StreamText("q1", 30))
}

// Guards against a request whose endpoint is silent and that is answered only after the supervisor may have killed the
// entry, which was suspended when SIGTERM came.
func TestASilentRequestIsAnsweredBeforeAKillThatCountsFromASuspension(t *testing.T) {
	is := is.New(t)
	silent := silentWorker(false)
	s := newFixture(t, silent)
	s.extraSettings = `,"drain_timeout":"30s"`
	s.start()
	got := make(chan callerResponse, 1)
	go func() { got <- s.post("/once/a", "q1") }()
	s.waitFor("the request runs", func() bool { return silent.InFlight() == 1 })
	s.gateway.SimulateSuspension(29500 * time.Millisecond)
	s.sendSIGTERM()
	response := <-got
	is.NoErr(response.err)
	is.Equal(response.status, http.StatusBadGateway)
	is.True(!s.gateway.Closing())
}
