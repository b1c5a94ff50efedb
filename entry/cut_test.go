package entry

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"aspenyard.example/catalogue"
	"aspenyard.example/node"
	"aspenyard.example/result"
	"aspenyard.example/routing"
	"aspenyard.example/standin/link"
	"aspenyard.example/wire"
	"aspenyard.example/wire/wireconnect"
)

// tokenAgent is an agent that grants all reservations and runs all requests.
type tokenAgent struct {
	wireconnect.UnimplementedAgentHandler
	mu sync.Mutex
	// runs counts the run requests by their IDs.
	runs map[string]int
}

var agentTokens = []string{"a ", "few ", "tokens"}

func (a *tokenAgent) Reserve(context.Context, *connect.Request[wire.ReserveRequest]) (*connect.Response[wire.ReserveResponse], error) {
	return connect.NewResponse(&wire.ReserveResponse{Accepted: true, Reservation: &wire.Reservation{Incarnation: 1, Number: 7}}), nil
}

func (a *tokenAgent) Withdraw(context.Context, *connect.Request[wire.WithdrawRequest]) (*connect.Response[wire.WithdrawResponse], error) {
	return connect.NewResponse(&wire.WithdrawResponse{State: wire.AttemptState_ATTEMPT_STATE_FINISHED, End: &wire.End{ServiceBody: []byte("body")}}), nil
}

func (a *tokenAgent) Run(_ context.Context, request *connect.Request[wire.RunRequest], stream *connect.ServerStream[wire.RunEvent]) error {
	a.mu.Lock()
	a.runs[request.Msg.RequestId]++
	a.mu.Unlock()
	_ = stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{Reservation: request.Msg.Reservation}}})
	digest := xxhash.New()
	for i, text := range agentTokens {
		_, _ = digest.WriteString(text)
		_ = stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Offset: uint64(i), Tokens: 1, Text: text}}})
	}
	return stream.Send(&wire.RunEvent{Event: &wire.RunEvent_End{End: &wire.End{Code: int32(result.OK), Ran: string(result.RanYes), Tokens: uint64(len(agentTokens)), Checksum: digest.Sum64()}}})
}

// agentCalls are an entry's calls to an agent. Each reports whether the entry takes the result for complete, and panics
// if it is not.
var agentCalls = map[string]func(e *Entry, addr, id string) bool{
	"reserve": func(e *Entry, addr, id string) bool {
		c := &call{account: &catalogue.Record{ID: "crew"}, kind: &catalogue.Record{ID: "k", Work: &catalogue.Work{}}, deadline: time.Now().Add(time.Minute)}
		reservation, failure := e.reserve(context.Background(), c, &routing.Endpoint{Name: "x", Addr: addr}, &routing.Request{})
		if failure == nil && (reservation.GetNumber() != 7 || reservation.GetIncarnation() != 1) {
			panic("a reservation that is not whole")
		}
		return failure == nil
	},
	"withdraw": func(e *Entry, addr, id string) bool {
		response, err := e.withdraw(context.Background(), addr, &wire.Reservation{}, false)
		if err == nil && (response.State != wire.AttemptState_ATTEMPT_STATE_FINISHED || string(response.End.GetServiceBody()) != "body") {
			panic("an outcome that is not whole")
		}
		return err == nil
	},
	"run": func(e *Entry, addr, id string) bool {
		run, err := e.startRun(context.Background(), addr, &wire.RunRequest{RequestId: id, Reservation: &wire.Reservation{Incarnation: 1, Number: 7}})
		if err != nil {
			return false
		}
		defer run.close()
		text := ""
		for {
			event, err := run.receive()
			switch {
			case err != nil:
				return false
			case event.GetEnd() != nil && text != "a few tokens":
				panic("a run that is not whole")
			case event.GetEnd() != nil:
				return true
			}
			text += event.GetChunk().GetText()
		}
	},
}

// Guards against an agent's response that was cut and counts as whole, and against a run request that is sent again: cut
// at any byte, in frames, heads or messages, by a close or a reset, on a new connection or a kept one.
func TestAnAgentsResponseThatIsCutIsNotWhole(t *testing.T) {
	for name, do := range agentCalls {
		for _, kept := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s kept %t reset %t", name, kept, reset), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					is.NoErr(err)
					agent := &tokenAgent{runs: map[string]int{}}
					_, handler := wireconnect.NewAgentHandler(agent)
					go func() { _ = node.ServeRPC(t.Context(), listener, handler, time.Minute) }()
					l, err := link.New(listener.Addr().String())
					is.NoErr(err)
					t.Cleanup(l.Close)
					e, complete := newTestEntry(t), 0
					whole := 0
					for n := -1; n < whole; n++ {
						e.clients = node.NewClients(time.Minute)
						l.CountPassed()
						if kept {
							is.True(do(e, l.Addr(), "whole"))
							l.CountPassed()
						}
						if n < 0 {
							is.True(do(e, l.Addr(), "whole"))
							whole = l.Passed()
							continue
						}
						l.CutAfter(n, reset)
						if do(e, l.Addr(), strconv.Itoa(n)) {
							complete++
						}
					}
					agent.mu.Lock()
					defer agent.mu.Unlock()
					for id, n := range agent.runs {
						if id != "whole" && n > 1 {
							t.Errorf("request %s of %d was sent %d times", id, whole, n)
						}
					}
					t.Logf("%d bytes, %d cuts behind the end of the result", whole, complete)
					is.True(complete < whole/2) // frames that say nothing of the result follow it
				})
			}
		}
	}
}
