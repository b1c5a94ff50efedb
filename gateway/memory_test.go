package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	standin "aspenyard.example/standin/platform"
)

// startEngineFixture starts a gateway with the given number of engines and routes to them.
func startEngineFixture(t *testing.T, engines int) *fixture {
	return newEngineFixture(t, engines).start()
}

// newEngineFixture prepares a gateway with engines and two routes to them, with pause targets of
// 250 ms and of one second.
func newEngineFixture(t *testing.T, engines int) *fixture {
	t.Helper()
	var workers []*standin.Worker
	for i := range engines {
		w := streamingWorker(5)
		w.ID, w.Service = fmt.Sprintf("e-%02d", i), "model"
		workers = append(workers, w)
	}
	s := newFixture(t, workers...)
	r := route("model", "/model/", "streaming")
	r["service"], r["target_gap_ms"] = "model", 250
	longPause := route("patient", "/patient/", "streaming")
	longPause["service"], longPause["target_gap_ms"] = "model", 1000
	s.routes = append(s.routes, longPause, r)
	return s
}

// sendPrompt sends a prompt of the given length in tokens.
func (s *fixture) sendPrompt(id string, tokens int) callerResponse {
	r := s.request(http.MethodPost, "/model/a", id, "x")
	r.Header.Set("X-Aspenyard-Model", "m")
	r.Header.Set("X-Aspenyard-Token-Usage", fmt.Sprintf("%d,400", tokens))
	return s.do(r)
}

// findRun returns the run of a request, nil if it has not run.
func (s *fixture) findRun(id string) *standin.Run {
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			if run.ID == id && run.Ran {
				return &run
			}
		}
	}
	return nil
}

// callerDropped reports whether a worker saw the caller of a request disconnect.
func (s *fixture) callerDropped(id string) bool {
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			if run.ID == id && run.Cancelled {
				return true
			}
		}
	}
	return false
}

// reservationCount returns the number of reservations that the engines hold.
func (s *fixture) reservationCount() int {
	n := 0
	for _, w := range s.workers {
		held, _, _ := w.Reservations()
		n += len(held)
	}
	return n
}

func TestPromptsArePrefilledInPartsByTheirLength(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 20)
	for id, want := range map[string]int{"short": 0, "medium": 7, "long": 15} {
		tokens := map[string]int{"short": 3000, "medium": 45_000, "long": 150_000}[id]
		is.Equal(s.sendPrompt(id, tokens).body, standin.StreamText(id, 5))
		helpers := 0
		if run := s.findRun(id); run.Helpers != "" {
			helpers = len(strings.Split(run.Helpers, ","))
		}
		is.True(helpers >= want-1 && helpers <= want+1)
		is.True(s.findRun(id).Priority != "")
	}
	is.Equal(s.reservationCount(), 0)
}

// Guards against refusing every prompt that is prefilled on many engines: one engine is leaving, and a
// node that cannot reach the store still lists it.
func TestAFailedHelperIsAvoided(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 12)
	leaving := s.workers[3]
	for _, w := range s.workers {
		w.SetFailedHelper(leaving.Addr())
	}
	s.waitFor("a request with the leaving helper is refused", func() bool {
		for _, w := range s.workers {
			w.SetDefaultFault(standin.FaultHelperFailed)
		}
		first := make(chan callerResponse, 1)
		go func() { first <- s.sendPrompt("q1", 100_000) }()
		s.waitFor("the request reached an engine", func() bool {
			for _, w := range s.workers {
				for _, run := range w.Runs() {
					if run.ID == "q1" {
						return true
					}
				}
			}
			return false
		})
		for _, w := range s.workers {
			w.SetDefaultFault("")
		}
		<-first
		return true
	})
	is.Equal(s.sendPrompt("q2", 100_000).body, standin.StreamText("q2", 5))
	is.True(!strings.Contains(s.findRun("q2").Helpers, leaving.Addr())) // it is avoided now
}

func TestMemoryIsReservedForAPromptLargerThanOneEngine(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 17)
	got := s.sendPrompt("q1", 500_000)
	is.Equal(got.body, standin.StreamText("q1", 5))
	run := s.findRun("q1")
	is.Equal(len(strings.Split(run.Helpers, ",")), 16)
	is.Equal(strings.Count(run.Helpers, "/q1-"), 4) // one reservation per reserving helper
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
}

// Guards against reservations that stay after their request: a reservation is refused or its response
// is lost, the request ends without having run, or its caller disconnects.
func TestReservedMemoryIsAlwaysReleased(t *testing.T) {
	cases := map[string]func(s *fixture){
		"refused": func(s *fixture) {
			for _, w := range s.workers {
				w.SetDefaultFault(standin.FaultShed)
			}
		},
		"some refused":   func(s *fixture) { s.queueFault(standin.FaultShed, 12) },
		"responses lost": func(s *fixture) { s.queueFault(standin.FaultReset, 8) },
		"no fault":       func(s *fixture) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			s := startEngineFixture(t, 17)
			prepare(s)
			got := s.sendPrompt("q1", 500_000)
			if name == "refused" && got.status != http.StatusServiceUnavailable {
				t.Fatal(got.status)
			}
			s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
		})
	}
}

// Guards against sending a prompt without the KV cache that it needs, which the engine would cut off:
// the engines' memory is taken by other reservations.
func TestAPromptWithoutMemoryIsRefusedAndReservesNothing(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 17)
	for _, w := range s.workers {
		w.MemoryTokens = 1000
	}
	got := s.sendPrompt("q1", 500_000)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(s.runCount("q1"), 0)
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
}

// Guards against refusing the longest prompts because a few of their helpers have no memory left while
// others have.
func TestOtherHelpersReserveInPlaceOfFullOnes(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 17)
	for _, w := range s.workers[:8] {
		w.MemoryTokens = 1000
	}
	is.Equal(s.sendPrompt("q1", 500_000).body, standin.StreamText("q1", 5))
	is.True(strings.Count(s.findRun("q1").Helpers, "/q1-1-") >= 3) // as many as hold what is needed, at the first attempt
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
}

// Guards against reservation IDs that are shared by two attempts. At the first attempt some helpers
// have no memory and the others are released; the second reserves there while a release is still on
// its way. That release would end the new reservation, and the prompt would be refused by its helpers
// or cut off.
func TestEachAttemptHasItsOwnReservations(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 5)
	s.routes[len(s.routes)-1]["target_latency_ms"] = 20_000 // prefill on five engines is slow
	s.start()
	for _, w := range s.workers { // all that are asked refuse at the first attempt, and one at the second
		w.QueueOrderFaults(standin.FaultShed)
	}
	is.Equal(s.sendPrompt("q1", 500_000).status, http.StatusOK)
	is.True(strings.Contains(s.findRun("q1").Helpers, "/q1-2-"))
	is.True(!strings.Contains(s.findRun("q1").Helpers, "/q1-1-"))
}

// Guards against refusing a prompt only after half a second in the queue: engines are in use, and its
// parts would stop their streams for over 0.7 s, which is known on arrival. Capacity must be checked
// before the prompt waits.
func TestAPromptWithoutCapacityIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := startEngineFixture(t, 17)
	for i := range 6 {
		for _, w := range s.workers {
			w.SetDefaultFault(standin.FaultHang)
		}
		go s.sendPrompt(fmt.Sprint("h", i), 1000)
	}
	s.waitFor("engines are in use", func() bool {
		working := 0
		for _, w := range s.workers {
			working += w.InFlight()
		}
		return working == 6
	})
	got := s.sendPrompt("big", 500_000)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(s.runCount("big"), 0)
	// A request's lines are written when it has ended, concurrently with the response.
	s.waitFor("the refusal is logged", func() bool { return strings.Contains(s.log.String(), `"event":"capacity_refused"`) })
	is.True(!strings.Contains(s.log.String(), `"event":"queue_left"`)) // it was not queued
}

// Guards against refusing a long prompt because of streams that end well before its target.
func TestAPromptThatWouldDelayStreamsWaitsForTheirEnd(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 17)
	s.routes[len(s.routes)-1]["target_latency_ms"] = 20_000
	s.start()
	for _, w := range s.workers {
		w.SetDefaultFault(standin.FaultHang)
	}
	ctx, endStreams := context.WithCancel(t.Context())
	defer endStreams()
	for i := range 6 {
		r := s.request(http.MethodPost, "/model/a", fmt.Sprint("h", i), "x")
		r.Header.Set("X-Aspenyard-Model", "m")
		r.Header.Set("X-Aspenyard-Token-Usage", "1000,400")
		go s.do(r.WithContext(ctx))
	}
	inFlight := func() int {
		n := 0
		for _, w := range s.workers {
			n += w.InFlight()
		}
		return n
	}
	s.waitFor("engines are in use", func() bool { return inFlight() == 6 })
	for _, w := range s.workers {
		w.SetDefaultFault("")
	}
	got := make(chan callerResponse, 1)
	go func() { got <- s.sendPrompt("big", 500_000) }()
	s.waitFor("the prompt waits", func() bool { return s.sumMetric("aspenyard_gateway_waiting_outside_queue") > 0 })
	is.Equal(s.runCount("big"), 0)
	endStreams()
	is.Equal((<-got).status, http.StatusOK)
}

func TestARequestRefusedByAFullEndpointIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	full, other := plainWorker(), plainWorker()
	full.Slots = 1
	s := newFixture(t, full, other)
	s.store.Delete("servers/" + other.ID)
	s.start()
	full.QueueFaults(standin.FaultHang)
	go s.post("/once/a", "h1")
	s.waitFor("the endpoint is busy", func() bool { return full.InFlight() == 1 })
	s.store.Put("servers/"+other.ID, other.Registration("ready"))
	s.waitFor("the other endpoint is listed", func() bool { return s.sumMetric("aspenyard_gateway_endpoints ") == 2 })
	for i := range 6 {
		id := fmt.Sprint("q", i)
		is.Equal(s.post("/once/a", id).body, standin.PlainResponse(id))
		is.Equal(s.runCount(id), 1)
	}
}

// queueFault queues a fault at the first workers.
func (s *fixture) queueFault(fault standin.Fault, workers int) {
	for _, w := range s.workers[:workers] {
		w.QueueFaults(fault)
	}
}

// freedCount returns how many releases ended a reservation, over all workers.
func (s *fixture) freedCount() int {
	freed := 0
	for _, w := range s.workers {
		freed += w.FreedCount()
	}
	return freed
}

// Guards against memory that stays reserved for seconds after its request. An engine leaves the call to
// reserve without a response, the request is refused and its reservations are released, and then the
// engine executes the call. One release is not enough, because it may precede the reservation.
func TestMemoryOfALateReservationIsReleased(t *testing.T) {
	s := startEngineFixture(t, 20)
	late := s.workers // any of them may be asked to reserve
	for _, w := range late {
		w.QueueOrderFaults(standin.FaultLateOrder)
	}
	s.sendPrompt("q1", 500_000)
	s.waitFor("reservations made in time are released", func() bool { return s.reservationCount() == 0 })
	s.waitFor("late reservations are held", func() bool { return s.reservationCount() > 0 })
	freed := s.freedCount()
	s.waitFor("late reservations are released", func() bool { return s.freedCount() > freed && s.reservationCount() == 0 })
}

// Guards against reservations that last as long as the caller waits, up to ten seconds: helpers have
// reserved memory, and the engine that got the prompt does not start it.
func TestMemoryIsNotHeldForAPromptThatDoesNotStart(t *testing.T) {
	is := is.New(t)
	s := newEngineFixture(t, 20)
	s.extraSettings = `,"memory_idle_within":"600ms"`
	s.start()
	for _, w := range s.workers {
		w.SetDefaultFault(standin.FaultHang)
	}
	got := make(chan callerResponse, 1)
	go func() { got <- s.sendPrompt("q1", 500_000) }()
	s.waitFor("the prompt was sent", func() bool { return s.findRun("q1") != nil })
	for _, w := range s.workers {
		w.SetDefaultFault("")
	}
	s.waitFor("the attempt was cancelled", func() bool { return s.callerDropped("q1") })
	is.Equal((<-got).body, standin.StreamText("q1", 5)) // retried at another engine
	s.waitFor("all reservations are released", func() bool { return s.reservationCount() == 0 })
}
