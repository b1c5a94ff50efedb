package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// maxReceivedPerAttempt is how many bytes the gateway may receive of an endpoint that sends without end: a
// buffered response with its framing.
const maxReceivedPerAttempt = 10 << 20

// Guards against a response without end that takes memory, or holds its request to the deadline: the request
// fails at once, as one that may have run.
func TestAResponseWithoutEndFailsAtOnce(t *testing.T) {
	for _, fault := range slices.Concat(standin.EndlessHeads, standin.EndlessBodies) {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			w := plainWorker()
			s := newFixture(t, w).start()
			w.SetDefaultFault(fault)
			got := s.post("/once/a", "r")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway) // 504 at the deadline
			is.Equal(s.runCount("r"), 1)
			is.True(s.gateway.ReceivedBytes() < maxReceivedPerAttempt)
			s.waitFor("the connection is closed", func() bool { return !w.Runs()[0].EndedAt.IsZero() })
			is.Equal(s.sumMetric("aspenyard_gateway_endless_responses_total"), 1.0)
		})
	}
}

// Guards against an event without end, and comments without end, in a stream.
func TestAStreamWithoutEndIsResumedElsewhere(t *testing.T) {
	for _, fault := range standin.EndlessStreams {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			faulty, sound := streamingWorker(5), streamingWorker(5)
			s := newFixture(t, faulty, sound).start()
			faulty.SetDefaultFault(fault)
			for i := 0; len(faulty.Runs()) == 0; i++ {
				id := fmt.Sprint("r", i)
				got := s.post("/stream/a", id)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.True(len(got.body) >= len(standin.StreamText(id, 5)))
				is.Equal(got.body[len(got.body)-len(standin.StreamText(id, 5)):], standin.StreamText(id, 5))
			}
			is.True(s.gateway.ReceivedBytes() < 1<<20)
			is.Equal(s.sumMetric("aspenyard_gateway_endless_responses_total"), 1.0)
		})
	}
}

// Guards against an endpoint that sends without end and gets as many requests as before.
func TestAnEndpointThatSendsWithoutEndIsAvoided(t *testing.T) {
	is := is.New(t)
	const requests = 20
	faulty := plainWorker()
	s := newFixture(t, faulty, plainWorker()).start()
	faulty.SetDefaultFault(standin.FaultEndlessHeaders)
	for i := range requests {
		is.Equal(s.post("/again/a", fmt.Sprint("r", i)).status, http.StatusOK)
	}
	t.Logf("%d of %d requests were sent to the endpoint", len(faulty.Runs()), requests)
	is.True(len(faulty.Runs()) <= requests/5)
}

// Guards against a head that arrives byte by byte until the request's deadline.
func TestAHeadThatTricklesInFailsBeforeTheDeadline(t *testing.T) {
	for _, fault := range standin.EndlessHeads {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := plainWorker()
			w.EndlessPause = 50 * time.Millisecond
			s := newFixture(t, w).start()
			w.SetDefaultFault(fault)
			is.Equal(s.post("/once/a", "r").status, http.StatusBadGateway)
			is.Equal(s.sumMetric("aspenyard_gateway_endless_responses_total"), 1.0)
			s.waitFor("the connection is closed", func() bool { return !w.Runs()[0].EndedAt.IsZero() })
		})
	}
}

// Guards against a refusal whose body does not end and holds its request to the deadline.
func TestARefusalWithoutEndLetsTheRequestGoOn(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		is := is.New(t)
		w := plainWorker()
		w.EndlessPause = pause
		s := newFixture(t, w).start()
		w.SetDefaultFault(standin.FaultEndlessRefusal)
		is.Equal(s.post("/once/a", "r").status, http.StatusServiceUnavailable) // it has not run
	}
}

// Guards against requests that fail for more than their attempts at the endpoints that send without end.
func TestManyEndpointsThatSendWithoutEndAtOnce(t *testing.T) {
	is := is.New(t)
	workers := []*standin.Worker{plainWorker(), plainWorker(), plainWorker(), plainWorker(), plainWorker(), plainWorker()}
	s := newFixture(t, workers...).start()
	faults := slices.Concat(standin.EndlessHeads, standin.EndlessBodies)
	for i, w := range workers[:2] { // a third of them
		w.QueueFaults(faults[i*len(faults)/2 : (i+1)*len(faults)/2]...)
	}
	var callers sync.WaitGroup
	statuses := make([]int, 60)
	for i := range statuses {
		callers.Go(func() { statuses[i] = s.post("/again/a", fmt.Sprint("r", i)).status })
	}
	callers.Wait()
	for _, status := range statuses {
		is.True(status == http.StatusOK || status == http.StatusBadGateway) // two attempts may both meet one
	}
	is.True(s.gateway.ReceivedBytes() < int64(len(faults))*maxReceivedPerAttempt)
}

// Guards against bodies without end that wait for room beside each other: they hold what others need, and their endpoint is not
// known as one that sends without end.
func TestBodiesWithoutEndDoNotWaitForRoom(t *testing.T) {
	is := is.New(t)
	const requests = 12
	w := plainWorker()
	s := newFixture(t, w)
	s.extraSettings += `,"memory_limit":"64MB"`
	s.start()
	is.Equal(s.post("/once/a", "usual").status, http.StatusOK)
	w.SetDefaultFault(standin.FaultEndlessBody)
	var callers sync.WaitGroup
	for i := range requests {
		callers.Go(func() { s.post("/once/a", fmt.Sprint("r", i)) })
	}
	callers.Wait()
	is.Equal(int(s.sumMetric("aspenyard_gateway_endless_responses_total")), requests)
}
