package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/gateway/response"
	"aspenyard.example/routing/direct"
	"aspenyard.example/settings"
	"aspenyard.example/wire"
)

// reserverFunc is a Reserver whose reservations are made by a function.
type reserverFunc func()

func (f reserverFunc) Reserve(context.Context, Reservation, time.Duration) error { f(); return nil }

func (f reserverFunc) Renew(context.Context, Reservation, time.Duration) error { return nil }

func (f reserverFunc) Release(context.Context, Reservation) error { return nil }

// evacuationFixture is a gateway that does not run, with a plan for two endpoints in dc1.
type evacuationFixture struct {
	*Gateway
	plan  *direct.Plan
	dials atomic.Int64
	// received is closed after what the endpoint received was counted in bytes.
	received chan struct{}
	bytes    int64
	// dialed is closed after the first connection was made.
	dialed   chan struct{}
	dialOnce sync.Once
}

func newEvacuationFixture(is *is.I, source directory.Source, reserve, dialed func(g *Gateway)) *evacuationFixture {
	s := settings.Gateway{Name: "g", DataCentre: "d", CallersListen: "127.0.0.1:0", ReadinessListen: "127.0.0.1:0", Store: "127.0.0.1:1"}
	is.NoErr(s.Check().Err())
	f := &evacuationFixture{received: make(chan struct{}), dialed: make(chan struct{})}
	f.Gateway = New(Config{Settings: s, Source: source, HeaderCodec: stubCodec{}, Reserver: reserverFunc(func() { reserve(f.Gateway) }), Log: zap.NewNop()})
	f.pool.dial = func(context.Context, string, string) (net.Conn, error) {
		f.dials.Add(1)
		ours, theirs := net.Pipe()
		go func() {
			f.bytes, _ = io.Copy(io.Discard, theirs)
			close(f.received)
		}()
		dialed(f.Gateway)
		f.dialOnce.Do(func() { close(f.dialed) })
		return ours, nil
	}
	endpoint := func(id string) *directory.EndpointState {
		return &directory.EndpointState{Endpoint: directory.Endpoint{Incarnation: directory.Incarnation{ID: id}, Service: "s", DataCentre: "dc1", Slots: 16}}
	}
	f.plan = &direct.Plan{Endpoint: endpoint("a"), Helpers: []*directory.EndpointState{endpoint("b")}}
	f.snapshot.Store(snapshotOf(false, f.plan.Endpoint, f.plan.Helpers[0]))
	return f
}

// evacuateDC1 applies an evacuation that no snapshot reflects yet.
func evacuateDC1(g *Gateway) {
	g.evacuations().ApplyChange(time.Now(), directory.Evacuation{DataCentre: "dc1", At: directory.At(0, 1), Evacuated: true})
}

// send sends a request to the plan's endpoint.
func (f *evacuationFixture) send() (attempt.SendOutcome, error) {
	return f.forwarding().sendTo(context.Background(), f.plan)
}

// forwarding returns the state of a request before its first attempt.
func (f *evacuationFixture) forwarding() *forwarding {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	c := &call{gateway: f.Gateway, Request: Request{ID: "q", SharedParts: []PromptPart{"a1"}}, service: &directory.Service{Name: "s"}, route: &directory.Route{}, started: time.Now(), httpRequest: r, response: response.New(httptest.NewRecorder())}
	c.log = f.requestLogs.Begin("q")
	sending := &forwarding{call: c}
	sending.placementRequest.Tried = map[directory.Incarnation]bool{}
	return sending
}

// isWithheld checks that a request was withheld for a reason.
func isWithheld(is *is.I, err error, reason withholdReason) {
	is.Helper()
	var withheld *withheldError
	is.True(errors.As(err, &withheld))
	is.Equal(withheld.reason, reason)
}

func nothing(*Gateway) {}

// Guards against reservations and requests at an endpoint or a helper that was evacuated after the plan
// was made.
func TestNothingIsReservedForAPlanThatIsEvacuated(t *testing.T) {
	is := is.New(t)
	reserved := false
	f := newEvacuationFixture(is, &recordingSource{}, func(*Gateway) { reserved = true }, nothing)
	f.plan.ReservingHelpers, f.plan.HelperMemoryTokens, f.plan.MemoryTokens = 1, 10, 10
	f.plan.Endpoint.DataCentre = "dc2" // the helper alone is evacuated
	evacuateDC1(f.Gateway)
	outcome, err := f.send()
	is.Equal(outcome, attempt.NotSent)
	isWithheld(is, err, withholdEvacuated)
	is.True(!reserved)
	is.Equal(f.dials.Load(), int64(0))
}

// Guards against a request that is sent after its endpoints were evacuated while memory was reserved for
// it.
func TestARequestIsNotSentWhenItIsEvacuatedDuringItsReservations(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(is, &recordingSource{}, evacuateDC1, nothing)
	f.plan.ReservingHelpers, f.plan.HelperMemoryTokens, f.plan.MemoryTokens = 1, 10, 10
	outcome, err := f.send()
	is.Equal(outcome, attempt.NotSent)
	isWithheld(is, err, withholdEvacuated)
	is.Equal(f.dials.Load(), int64(0))
}

// Guards against a request that is sent after its endpoint was evacuated while the gateway connected
// to it.
func TestARequestIsNotSentWhenItIsEvacuatedWhileConnecting(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(is, &recordingSource{}, nothing, evacuateDC1)
	outcome, err := f.send()
	isWithheld(is, err, withholdEvacuated)
	is.Equal(outcome, attempt.NotSent)
	<-f.received
	is.Equal(f.bytes, int64(0))
}

// snapshotOf returns the snapshot of a replica that lists endpoints of dc1, which may be evacuated.
func snapshotOf(evacuated bool, endpoints ...*directory.EndpointState) *directory.Snapshot {
	replica := directory.NewReplica()
	for _, e := range endpoints {
		replica.ApplyChanges(time.Now(), &directory.Changes{Changes: []directory.Change{{Endpoint: &e.Endpoint}}})
	}
	if evacuated {
		replica.Evacuations().ApplyChange(time.Now(), directory.Evacuation{DataCentre: "dc1", At: directory.At(0, 1), Evacuated: true})
	}
	return replica.Snapshot()
}

// Guards against plans for evacuated endpoints before the snapshot leaves them out.
func TestAnEvacuationCountsBeforeASnapshotReflectsIt(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(is, &recordingSource{}, nothing, nothing)
	before := snapshotOf(false, f.plan.Endpoint, f.plan.Helpers[0])
	is.Equal(len(f.endpoints(before, "s")), 2)
	evacuateDC1(f.Gateway)
	is.Equal(len(f.endpoints(before, "s")), 0)
	is.Equal(len(before.Endpoints("s")), 2) // not changed by that
}

// Guards against connections and queries to evacuated endpoints by which the gateway finds out whether
// they are alive, crashed or slow, and against requests in flight there that are given up without one.
func TestEvacuatedEndpointsAreNotProbedOrQueried(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(is, &recordingSource{}, nothing, nothing)
	e := f.plan.Endpoint
	is.True(f.slowdownMonitor.mayQuery(time.Now(), e))
	evacuateDC1(f.Gateway)
	f.snapshot.Store(snapshotOf(true, e))
	is.True(!f.slowdownMonitor.mayQuery(time.Now(), e))
	is.True(!f.hasCrashed(context.Background(), e))
	w := &watchdog{gateway: f.Gateway, response: &endpointResponse{endpoint: e}, ctx: context.Background()}
	w.timer = time.AfterFunc(time.Hour, func() {})
	w.silence = time.Nanosecond
	w.check()
	is.True(!w.givenUp.Load())
	is.Equal(f.dials.Load(), int64(0))
}

// Guards against an endpoint that stays unreachable for good because its evacuation ended the probes, and
// against probes meanwhile.
func TestAnUnreachableEndpointIsProbedAgainAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	probedWhileEvacuated := false
	f := newEvacuationFixture(is, &recordingSource{}, nothing, func(g *Gateway) { probedWhileEvacuated = g.evacuations().Contains("dc1") })
	e := f.plan.Endpoint
	evacuateDC1(f.Gateway)
	f.snapshot.Store(snapshotOf(true, e))
	f.markUnreachable(e, "a test")
	time.Sleep(2 * unreachableProbeInterval) // in which a probe would come
	f.evacuations().ApplyChange(time.Now(), directory.Evacuation{DataCentre: "dc1", At: directory.At(0, 2)})
	f.snapshot.Store(snapshotOf(false, e))
	for deadline := time.Now().Add(30 * time.Second); f.dials.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.dials.Load(), int64(1))
	<-f.dialed
	is.True(!probedWhileEvacuated)
}

// slowSource is a store that is too slow for full reads after the first one, and has lost its history, so
// that a start from lists that may be stale reads them once more.
type slowSource struct {
	recordingSource
	first sync.Once
}

func (s *slowSource) Read(ctx context.Context, stale bool) (*directory.StoreState, error) {
	err := errors.WithStack(directory.ErrUnavailable)
	if stale {
		err = nil
	} else {
		s.first.Do(func() { err = nil })
	}
	if err != nil {
		return nil, err
	}
	return s.recordingSource.Read(ctx, stale)
}

func (s *slowSource) Watch(context.Context, directory.Position, time.Duration) (*directory.Changes, error) {
	return nil, errors.WithStack(directory.ErrHistoryGone)
}

func (s *slowSource) ReadEvacuations(context.Context) ([]directory.Evacuation, directory.Position, error) {
	return []directory.Evacuation{{DataCentre: "dc1", At: directory.At(0, 5), Evacuated: true}}, directory.At(0, 7), nil
}

// Guards against an evacuation that is unknown for as long as a slow store does not answer a full read.
func TestEvacuationsAreReadBesideFullReads(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(is, &slowSource{}, nothing, nothing)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.watcher.Run(ctx)
		close(ended)
	}()
	for deadline := time.Now().Add(30 * time.Second); !f.evacuations().Contains("dc1") && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	is.True(f.evacuations().Contains("dc1"))
	is.Equal(f.snapshot.Load().EvacuationGeneration, f.evacuations().Generation())
}

// Guards against a watch that a store leaves unanswered for longer than an evacuation may stay unknown,
// less the time for two calls to a store that is slow.
func TestAnEvacuationBoundsHowLongAWatchWaits(t *testing.T) {
	is := is.New(t)
	for _, within := range []time.Duration{1400 * time.Millisecond, 5 * time.Second, time.Minute} {
		s := settings.Gateway{EvacuateWithin: settings.Duration(within), ConfigWithin: settings.Duration(time.Hour), LeavingWithin: settings.Duration(time.Hour)}
		s.SetDefaults()
		g := New(Config{Settings: s, Source: &recordingSource{}, Log: zap.NewNop()})
		is.True(g.maxChangeDelay() >= 2*s.StoreTimeout.D()) // so that a watch waits for as long as a call may take
		// A tenth of the bound is left after an unanswered watch and a read of the evacuations.
		is.True(g.maxChangeDelay()+g.evacuationReadTimeout() <= max(within*9/10, 3*s.StoreTimeout.D()))
	}
}

// BenchmarkEvacuationsInHeartbeats measures the bytes that evacuations add to a heartbeat, and the time to
// add and merge them.
func BenchmarkEvacuationsInHeartbeats(b *testing.B) {
	for _, n := range []int{1, 9, maxHeartbeatEvacuations} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			is := is.New(b)
			f := newEvacuationFixture(is, &recordingSource{}, nothing, nothing)
			for i := range n {
				f.evacuations().ApplyChange(time.Now(), directory.Evacuation{DataCentre: fmt.Sprint("data-centre-", i), At: directory.At(0, 1_000_000+uint64(i)), Evacuated: true})
			}
			for b.Loop() {
				h := &wire.Heartbeat{}
				f.appendEvacuations(time.Now(), h)
				f.mergeEvacuations(time.Now(), h)
				b.ReportMetric(float64(proto.Size(h)), "bytes")
			}
		})
	}
}
