package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"aspenyard.example/catalogue"
	"aspenyard.example/node"
	"aspenyard.example/result"
	"aspenyard.example/settings"
	standin "aspenyard.example/standin/engine"
	"aspenyard.example/standin/link"
	"aspenyard.example/wire"
	"aspenyard.example/wire/wireconnect"
)

// conditionLimit bounds every wait for a condition.
const conditionLimit = 30 * time.Second

// awaitCondition waits until met returns true.
func awaitCondition(t *testing.T, what string, met func() bool) {
	t.Helper()
	for limit := time.Now().Add(conditionLimit); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not met: %s", what)
		}
	}
}

// servingAgent is an agent that serves beside an endpoint, and an entry's client of it.
type servingAgent struct {
	t       *testing.T
	agent   *Agent
	client  wireconnect.AgentClient
	signals chan os.Signal
	ended   chan struct{} // closed when Serve has returned
}

// startAgent starts an agent beside the endpoint that a handler serves.
func startAgent(t *testing.T, kind string, endpoint http.Handler, drainTimeout time.Duration) *servingAgent {
	t.Helper()
	server := httptest.NewServer(endpoint)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	addrs := make([]string, 3)
	for i := range addrs {
		var err error
		if addrs[i], err = link.FreeAddr(); err != nil {
			t.Fatal(err)
		}
	}
	s := settings.Agent{
		Node: settings.Node{
			Name: "a1", DataCentre: "dc1", Listen: addrs[0], OperatorsListen: addrs[1], Platform: addrs[2],
			DrainTimeout: settings.Duration(drainTimeout),
		},
		Endpoint: server.Listener.Addr().String(), Kind: kind,
	}
	if kind == "service" {
		s.Services = []string{"s"}
	}
	if err := s.Check().Err(); err != nil {
		t.Fatal(err)
	}
	a := New(s, zap.NewNop())
	for number := range catalogue.PageCount {
		a.catalogue.ApplyStoredPage(number, catalogue.Page{})
	}
	f := &servingAgent{
		t: t, agent: a, client: node.NewClients(time.Minute).Agent(s.Listen), signals: make(chan os.Signal, 2), ended: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(f.ended)
		if err := a.Serve(ctx, f.signals); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-f.ended })
	return f
}

// startEngineAgent starts an agent beside a stalled engine.
func startEngineAgent(t *testing.T, drainTimeout time.Duration) (*servingAgent, *standin.Server) {
	t.Helper()
	engine := standin.New(standin.Settings{Models: []string{"m"}})
	return startAgent(t, "engine", engine.Handler(), drainTimeout), engine // Run is not called: the engine makes no progress
}

// engineRuns returns the engine's record of its sequences.
func engineRuns(t *testing.T, engine *standin.Server) []standin.Run {
	t.Helper()
	recorder := httptest.NewRecorder()
	engine.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/record", nil))
	var record standin.Record
	if err := json.Unmarshal(recorder.Body.Bytes(), &record); err != nil {
		t.Fatal(err)
	}
	return record.Runs
}

// reserve reserves a place, once the agent accepts work.
func (f *servingAgent) reserve(repeatable bool) *wire.Reservation {
	f.t.Helper()
	var reservation *wire.Reservation
	awaitCondition(f.t, "the agent accepts a request", func() bool {
		response, err := f.client.Reserve(context.Background(), connect.NewRequest(&wire.ReserveRequest{
			RequestId: "r", Account: "a", Kind: "k", PromptTokens: 10, OutputTokens: 10, RemainingMs: time.Hour.Milliseconds(), Repeatable: repeatable,
		}))
		if err != nil || !response.Msg.Accepted {
			return false
		}
		reservation = response.Msg.Reservation
		return true
	})
	return reservation
}

// runEvents are the events of a run as an entry receives them.
type runEvents struct {
	started chan struct{}
	end     chan *wire.End // receives nil if the stream broke
}

// run sends a run request and receives its events.
func (f *servingAgent) run(request *wire.RunRequest) *runEvents {
	f.t.Helper()
	request.RemainingMs = time.Hour.Milliseconds()
	events := &runEvents{started: make(chan struct{}), end: make(chan *wire.End, 1)}
	go func() {
		stream, err := f.client.Run(context.Background(), connect.NewRequest(request))
		var end *wire.End
		var once sync.Once
		for err == nil && stream.Receive() {
			if stream.Msg().GetStarted() != nil {
				once.Do(func() { close(events.started) })
			}
			end = stream.Msg().GetEnd()
		}
		events.end <- end
	}()
	return events
}

// awaitStarted waits until a run has started.
func (f *servingAgent) awaitStarted(events *runEvents) {
	f.t.Helper()
	awaitCondition(f.t, "the run has started", func() bool { return isClosed(events.started) })
}

// awaitEnd returns the end of a run, and fails the test if its stream broke.
func (f *servingAgent) awaitEnd(events *runEvents) *wire.End {
	f.t.Helper()
	select {
	case end := <-events.end:
		if end == nil {
			f.t.Fatal("the stream broke before its end event")
		}
		return end
	case <-time.After(conditionLimit):
		f.t.Fatal("the run has not ended")
		return nil
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// awaitStop waits until Serve has returned.
func (f *servingAgent) awaitStop() {
	f.t.Helper()
	awaitCondition(f.t, "the agent has ended", func() bool { return isClosed(f.ended) })
}

// Guards against a generation whose stream breaks when drain_timeout of its agent has passed, and whose sequence keeps
// its memory at the engine.
func TestAGenerationAtTheAgentsStopIsEndedForAnotherEndpoint(t *testing.T) {
	for name, signals := range map[string]int{"drain_timeout": 1, "second signal": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			timeout := 2 * time.Second
			if signals == 2 {
				timeout = time.Hour
			}
			f, engine := startEngineAgent(t, timeout)
			events := f.run(&wire.RunRequest{Reservation: f.reserve(true), Model: "m", Prompt: "tie up", MaxTokens: 4})
			f.awaitStarted(events)
			awaitCondition(t, "the sequence is at the engine", func() bool { return len(engineRuns(t, engine)) == 1 })
			for range signals {
				f.signals <- syscall.SIGTERM
			}
			end := f.awaitEnd(events)
			is.Equal(end.Code, int32(result.EndpointFailed))
			is.Equal(end.Ran, string(result.RanYes))
			f.awaitStop()
			is.True(engineRuns(t, engine)[0].Cancelled)
		})
	}
}

// Guards against a call of a plain service whose stream breaks when drain_timeout of its agent has passed, so that entries
// ask an agent that is gone.
func TestACallAtTheAgentsStopHasAnUnknownOutcome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) })
	mux.HandleFunc("POST /call/{kind}", func(http.ResponseWriter, *http.Request) { <-release })
	f := startAgent(t, "service", mux, 2*time.Second)
	events := f.run(&wire.RunRequest{Reservation: f.reserve(false), ServiceKind: "k", ServiceBody: []byte(`{}`)})
	f.awaitStarted(events)
	f.signals <- syscall.SIGTERM
	end := f.awaitEnd(events)
	is.Equal(end.Code, int32(result.OutcomeUnknown))
	is.Equal(end.Ran, string(result.RanUnknown))
	f.awaitStop()
}

// Guards against an agent that has ended when the run request of a reservation arrives, so that the entry cannot learn that
// the request did not run.
func TestAnAgentThatStopsRefusesLateRunRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _ := startEngineAgent(t, time.Hour)
	reservation := f.reserve(true)
	f.signals <- syscall.SIGTERM
	awaitCondition(t, "the agent drains", f.agent.loop.Leaving)
	time.Sleep(20 * drainPollInterval) // an agent that waits for runs in progress alone has ended
	end := f.awaitEnd(f.run(&wire.RunRequest{Reservation: reservation, Model: "m", Prompt: "tie up", MaxTokens: 4}))
	is.Equal(end.Code, int32(result.NoReservation))
	is.Equal(end.Ran, string(result.RanNo))
	f.awaitStop()
}
