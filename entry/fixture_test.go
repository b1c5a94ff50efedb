package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/catalogue"
	"aspenyard.example/infra"
	"aspenyard.example/membership"
	"aspenyard.example/node"
	"aspenyard.example/result"
	"aspenyard.example/settings"
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

// callerKey is the API key of the fixture's client account.
const callerKey = "crew.secret"

// servingEntry is an entry that serves on free ports, with a store in memory and no platform.
type servingEntry struct {
	t       *testing.T
	entry   *Entry
	store   *memoryStore
	signals chan os.Signal
	cancel  context.CancelFunc
	ended   chan struct{} // closed when Serve has returned
	logs    *observer.ObservedLogs
}

// startEntry starts an entry whose catalogue has a kind of work of a model (draft), of a service that may be called
// again (check) and of one that may not (filing).
func startEntry(t *testing.T, drainTimeout time.Duration) *servingEntry {
	t.Helper()
	addrs := make([]string, 4)
	for i := range addrs {
		var err error
		if addrs[i], err = link.FreeAddr(); err != nil {
			t.Fatal(err)
		}
	}
	s := settings.Entry{
		Node: settings.Node{
			Name: "n1", DataCentre: "dc1", Listen: addrs[0], OperatorsListen: addrs[1], Platform: addrs[2],
			SuspectAfter: settings.Duration(time.Minute), DrainTimeout: settings.Duration(drainTimeout),
		},
		CallersListen: addrs[3],
	}
	if err := s.Check().Err(); err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	e, err := New(s, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	store := &memoryStore{values: map[string]infra.Value{}}
	e.store = store
	pages := make([]catalogue.Page, catalogue.PageCount)
	for _, record := range []*catalogue.Record{
		{Type: catalogue.TypeAccount, ID: "crew", Account: &catalogue.Account{KeySHA256: catalogue.HashKey(callerKey)}},
		{Type: catalogue.TypeWork, ID: "draft", Work: &catalogue.Work{Class: "normal", Model: "m", Repeatable: true}},
		{Type: catalogue.TypeWork, ID: "check", Work: &catalogue.Work{Class: "normal", Service: "s", Repeatable: true}},
		{Type: catalogue.TypeWork, ID: "filing", Work: &catalogue.Work{Class: "normal", Service: "s"}},
	} {
		page := &pages[catalogue.PageOf(record.Key())]
		if page.Records == nil {
			page.Revision, page.Records = 1, map[string]*catalogue.Record{}
		}
		page.Records[record.Key()] = record
	}
	for number, page := range pages {
		e.catalogue.ApplyStoredPage(number, page)
	}
	f := &servingEntry{t: t, entry: e, store: store, signals: make(chan os.Signal, 2), ended: make(chan struct{}), logs: logs}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.ended)
		if err := e.Serve(ctx, f.signals); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-f.ended })
	awaitCondition(t, "the entry listens", func() bool {
		conn, err := net.Dial("tcp", s.CallersListen)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return f
}

// stop sends SIGTERM and waits until the entry drains.
func (f *servingEntry) stop() {
	f.t.Helper()
	f.signals <- syscall.SIGTERM
	awaitCondition(f.t, "the entry drains", f.entry.draining.Load)
}

// hasEnded reports whether Serve has returned.
func (f *servingEntry) hasEnded() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// awaitEnd waits until Serve has returned.
func (f *servingEntry) awaitEnd() {
	f.t.Helper()
	awaitCondition(f.t, "the entry has ended", f.hasEnded)
}

// awaitLogged waits until an event with a result code is logged.
func (f *servingEntry) awaitLogged(code result.Code) {
	f.t.Helper()
	awaitCondition(f.t, fmt.Sprintf("a request with code %d is logged", code), func() bool {
		return f.logs.FilterMessage("request ended").FilterField(zap.Int("code", int(code))).Len() > 0
	})
}

// memoryStore is a store that is always up.
type memoryStore struct {
	mu     sync.Mutex
	values map[string]infra.Value
	// beforeWrite is called before each write; nil does nothing.
	beforeWrite func()
}

// Get implements infra.Store.
func (s *memoryStore) Get(_ context.Context, key string) (infra.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.values[key]
	value.Key = key
	return value, nil
}

// CompareAndSwap implements infra.Store.
func (s *memoryStore) CompareAndSwap(_ context.Context, key string, data []byte, revision uint64) error {
	if s.beforeWrite != nil {
		s.beforeWrite()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return infra.ErrConflict
	}
	s.values[key] = infra.Value{Key: key, Data: data, Revision: revision + 1}
	return nil
}

// Watch implements infra.Store. It never sees a change: the tests set the catalogue themselves.
func (s *memoryStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (infra.Value, error) {
	<-ctx.Done()
	return infra.Value{}, infra.ErrUnavailable
}

// scriptedAgent is an agent whose runs do what a test says.
type scriptedAgent struct {
	wireconnect.UnimplementedAgentHandler
	name, addr string
	run        func(ctx context.Context, request *wire.RunRequest, send func(*wire.RunEvent)) error
	server     *http.Server
	number     atomic.Uint64
	// arrived counts run requests.
	arrived atomic.Int64
	// notRun holds the reservations whose withdrawal is confirmed.
	notRun sync.Map
	// withdrawn is closed by the first withdrawal.
	withdrawn chan struct{}
	once      sync.Once
}

// startAgent starts an agent and tells the entry of it. It serves the model m and the service s.
func (f *servingEntry) startAgent(name string, run func(ctx context.Context, request *wire.RunRequest, send func(*wire.RunEvent)) error) *scriptedAgent {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	a := &scriptedAgent{name: name, addr: listener.Addr().String(), run: run, withdrawn: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewAgentHandler(a, node.HandlerOptions()))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	a.server = &http.Server{Handler: mux, Protocols: &protocols}
	go func() { _ = a.server.Serve(listener) }()
	f.t.Cleanup(func() { _ = a.server.Close() })
	f.announce(a)
	return a
}

// startQueueingAgent starts an agent that queues its first run request until that is withdrawn.
func (f *servingEntry) startQueueingAgent(name string) *scriptedAgent {
	var a *scriptedAgent
	known := make(chan struct{})
	a = f.startAgent(name, func(ctx context.Context, _ *wire.RunRequest, send func(*wire.RunEvent)) error {
		<-known
		select {
		case <-a.withdrawn:
		case <-ctx.Done():
			return ctx.Err()
		}
		send(&wire.RunEvent{Event: &wire.RunEvent_End{End: &wire.End{Code: int32(result.Withdrawn), Ran: string(result.RanNo)}}})
		return nil
	})
	a.notRun.Store(uint64(1), true)
	close(known)
	return a
}

// announce gives the entry a heartbeat of an agent.
func (f *servingEntry) announce(a *scriptedAgent) {
	f.t.Helper()
	data, err := proto.Marshal(&wire.Heartbeat{
		Node: a.name, Role: membership.RoleAgent, DataCentre: "dc1", Addr: a.addr, Incarnation: 1, Sequence: 1,
		Models: []string{"m"}, Services: []string{"s"}, Load: a.load(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.entry.loop.Post(func() { f.entry.loop.Receive(time.Now(), data) })
	awaitCondition(f.t, "the entry knows "+a.name, func() bool {
		for _, endpoint := range *f.entry.control.endpoints.Load() {
			if endpoint.Name == a.name && endpoint.MemoryTokens > 0 {
				return true
			}
		}
		return false
	})
}

func (a *scriptedAgent) load() *wire.Load {
	return &wire.Load{MemoryTokens: 400_000, FreeMemoryTokens: 400_000, PrefillTokensPerSecond: 20_000, MaxRunning: 100}
}

// Reserve implements wireconnect.AgentHandler.
func (a *scriptedAgent) Reserve(context.Context, *connect.Request[wire.ReserveRequest]) (*connect.Response[wire.ReserveResponse], error) {
	return connect.NewResponse(&wire.ReserveResponse{
		Accepted: true, Reservation: &wire.Reservation{Incarnation: 1, Number: a.number.Add(1)}, Load: a.load(),
	}), nil
}

// Run implements wireconnect.AgentHandler.
func (a *scriptedAgent) Run(ctx context.Context, request *connect.Request[wire.RunRequest], stream *connect.ServerStream[wire.RunEvent]) error {
	a.arrived.Add(1)
	return a.run(ctx, request.Msg, func(event *wire.RunEvent) { _ = stream.Send(event) })
}

// Withdraw implements wireconnect.AgentHandler.
func (a *scriptedAgent) Withdraw(_ context.Context, request *connect.Request[wire.WithdrawRequest]) (*connect.Response[wire.WithdrawResponse], error) {
	state := wire.AttemptState_ATTEMPT_STATE_RUNNING
	if _, found := a.notRun.Load(request.Msg.Reservation.Number); found {
		state = wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN
		a.once.Do(func() { close(a.withdrawn) })
	}
	return connect.NewResponse(&wire.WithdrawResponse{State: state}), nil
}

// awaitArrivals waits until n run requests have arrived.
func (a *scriptedAgent) awaitArrivals(t *testing.T, n int64) {
	t.Helper()
	awaitCondition(t, fmt.Sprintf("%d run requests at %s", n, a.name), func() bool { return a.arrived.Load() >= n })
}

func startedEvent(request *wire.RunRequest) *wire.RunEvent {
	return &wire.RunEvent{Event: &wire.RunEvent_Started{Started: &wire.Started{Reservation: request.Reservation}}}
}

// silent starts each run and says no more.
func silent(ctx context.Context, request *wire.RunRequest, send func(*wire.RunEvent)) error {
	send(startedEvent(request))
	<-ctx.Done()
	return ctx.Err()
}

// tokenText is the output token at an offset.
func tokenText(offset uint64) string { return fmt.Sprintf("t%d ", offset) }

// wholeText is the output of n tokens.
func wholeText(n uint64) string {
	var text strings.Builder
	for offset := range n {
		text.WriteString(tokenText(offset))
	}
	return text.String()
}

// sendTokens sends the output tokens from a request's first one to before last, and returns their checksum.
func sendTokens(request *wire.RunRequest, last uint64, send func(*wire.RunEvent)) uint64 {
	digest := xxhash.New()
	for offset := request.DeliveredTokens; offset < last; offset++ {
		text := tokenText(offset)
		_, _ = digest.WriteString(text)
		send(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Offset: offset, Tokens: 1, Text: text}}})
	}
	return digest.Sum64()
}

// answering completes each run at once.
func answering(_ context.Context, request *wire.RunRequest, send func(*wire.RunEvent)) error {
	send(startedEvent(request))
	end := &wire.End{Code: int32(result.OK), Ran: string(result.RanYes)}
	if request.ServiceKind != "" {
		end.ServiceStatus, end.ServiceBody = http.StatusOK, []byte(`{"done":true}`)
	} else {
		end.Checksum = sendTokens(request, request.MaxTokens, send)
		end.Tokens = request.MaxTokens - request.DeliveredTokens
	}
	send(&wire.RunEvent{Event: &wire.RunEvent_End{End: end}})
	return nil
}

// rawRequest returns a whole request as it is sent.
func rawRequest(path, key, body string) string {
	if key != "" {
		key = headerIdempotencyKey + ": " + key + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", path, callerKey, key, len(body), body)
}

// Requests of the fixture's kinds of work.
const (
	draftPath, checkPath, filingPath = "/v1/completions", "/v1/services/check", "/v1/services/filing"
	draftBody                        = `{"model":"draft","prompt":"tie up","max_tokens":4}`
	draftStreamBody                  = `{"model":"draft","prompt":"tie up","max_tokens":4,"stream":true}`
)

// received is what a caller has read of a response.
type received struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// dial opens a caller's connection.
func (f *servingEntry) dial() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.entry.settings.CallersListen)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// dialSmallWindow opens a caller's connection whose host takes few bytes that the caller has not read.
func (f *servingEntry) dialSmallWindow() net.Conn {
	f.t.Helper()
	conn := f.dial()
	if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

// listenerClosed reports whether callers can no longer connect.
func (f *servingEntry) listenerClosed() bool {
	conn, err := net.Dial("tcp", f.entry.settings.CallersListen)
	if err == nil {
		_ = conn.Close()
	}
	return err != nil
}

// send sends a request on a new connection and reads the response in the background.
func (f *servingEntry) send(request string) chan received {
	f.t.Helper()
	conn := f.dial()
	if _, err := io.WriteString(conn, request); err != nil {
		f.t.Fatal(err)
	}
	answer := make(chan received, 1)
	go func() { answer <- readResponse(bufio.NewReader(conn)) }()
	return answer
}

// readResponse reads one response to its end.
func readResponse(r *bufio.Reader) received {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return received{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return received{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil, err: err}
}

// await returns the response of a request that was sent.
func (f *servingEntry) await(answer chan received) received {
	f.t.Helper()
	select {
	case a := <-answer:
		return a
	case <-time.After(conditionLimit):
		f.t.Fatal("no response")
		return received{}
	}
}

// lastError returns the error in a response's body or in the last event of its stream.
func (a received) lastError(t *testing.T) errorDetail {
	t.Helper()
	text := a.body
	if _, event, found := strings.Cut(a.body, "data: "); found {
		_ = event
		events := strings.Split(strings.TrimSpace(a.body), "data: ")
		text = events[len(events)-1]
	}
	var body errorBody
	if err := json.Unmarshal([]byte(text), &body); err != nil || body.Error.Code == 0 {
		t.Fatalf("response without an error: %+v", a)
	}
	return body.Error
}

// streamedText returns the text of a streamed response.
func (a received) streamedText() string {
	var text strings.Builder
	for line := range strings.Lines(a.body) {
		var event struct{ Choices []struct{ Text string } }
		if data, found := strings.CutPrefix(line, "data: "); found && json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String()
}

// resultCode returns the code in a response's header, 0 if it has none.
func (a received) resultCode() result.Code {
	code, _ := strconv.Atoi(a.header.Get(headerResultCode))
	return result.Code(code)
}
