package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
	"aspenyard.example/settings"
	"aspenyard.example/wire"
)

// recordingSource is a directory.Source that records how long its calls may take.
type recordingSource struct {
	mu    sync.Mutex
	fail  bool
	calls []recordedCall
}

type recordedCall struct {
	fullRead bool
	// wait is how long the call asks the store to wait for a change, timeout the time until
	// its context ends.
	wait, timeout time.Duration
	failed        bool
}

func (r *recordingSource) record(ctx context.Context, call recordedCall) error {
	deadline, _ := ctx.Deadline()
	call.timeout = time.Until(deadline)
	r.mu.Lock()
	defer r.mu.Unlock()
	call.failed = r.fail
	r.calls = append(r.calls, call)
	if r.fail {
		return directory.ErrUnavailable
	}
	return nil
}

func (r *recordingSource) Read(ctx context.Context, _ bool) (*directory.StoreState, error) {
	if err := r.record(ctx, recordedCall{fullRead: true}); err != nil {
		return nil, err
	}
	return &directory.StoreState{At: directory.At(0, 1), Config: directory.NewConfig(1, directory.Limits{}, nil, nil, nil)}, nil
}

func (r *recordingSource) Watch(ctx context.Context, after directory.Position, wait time.Duration) (*directory.Changes, error) {
	if err := r.record(ctx, recordedCall{wait: wait}); err != nil {
		return nil, err
	}
	time.Sleep(time.Millisecond)
	return &directory.Changes{At: after}, nil
}

func (r *recordingSource) ReadEvacuations(context.Context) ([]directory.Evacuation, directory.Position, error) {
	return nil, directory.Position{}, directory.ErrUnavailable // leaves the evacuations to the other calls
}

func (r *recordingSource) ReadItem(context.Context, string, bool) (directory.Item, error) {
	return directory.Item{}, directory.ErrUnavailable
}

func (r *recordingSource) Decode(at directory.Position, _ []directory.Item) *directory.Changes {
	return &directory.Changes{At: at}
}

func (r *recordingSource) Era() directory.Era { return 0 }

func (r *recordingSource) AssumeEra(directory.Era) {}

func (r *recordingSource) EraChanged() <-chan struct{} { return nil }

func (r *recordingSource) CloseIdleConnections() {}

// Guards against changes that come into force seconds late. It happened when the store went silent
// or dropped its history just as a call began to wait, and when the store was back while a call that
// could not be answered still waited: calls then waited for 10 s, later for 3 s and a timeout of 1 s.
// This test fails with either.
func TestStoreCallsEndWithinConfigWithin(t *testing.T) {
	is := is.New(t)
	source := &recordingSource{}
	s := settings.Gateway{Name: "g", DataCentre: "d", CallersListen: "127.0.0.1:0", ReadinessListen: "127.0.0.1:0", Store: "127.0.0.1:1"}
	is.NoErr(s.Check().Err())
	g := New(Config{Settings: s, Source: source, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		g.watchStore(ctx)
		close(ended)
	}()
	awaitCalls := func(n int) {
		for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
			source.mu.Lock()
			got := len(source.calls)
			source.mu.Unlock()
			if got >= n || time.Now().After(deadline) {
				return
			}
		}
	}
	setFail := func(fail bool) {
		source.mu.Lock()
		source.fail = fail
		source.mu.Unlock()
	}
	awaitCalls(10)
	setFail(true)
	awaitCalls(14)
	setFail(false)
	awaitCalls(20)
	cancel()
	<-ended
	source.mu.Lock()
	defer source.mu.Unlock()
	is.True(source.calls[0].fullRead) // no changes are followed before a full read
	outage := false
	for _, call := range source.calls {
		is.True(call.timeout <= s.ConfigWithin.D())
		if outage {
			is.Equal(call.wait, time.Duration(0)) // so that the store's return is noticed at once
		}
		outage = call.failed
	}
}

// Guards against a call to the store that is answered after another entry has passed on later changes: the
// end of a registration must not undo the next one.
func TestALateAnswerOfTheStoreUndoesNothing(t *testing.T) {
	is := is.New(t)
	s := settings.Gateway{Name: "g", DataCentre: "d"}
	s.SetDefaults()
	w := New(Config{Settings: s, Source: &recordingSource{}, Log: zap.NewNop()}).newStoreWatcher()
	w.applyState(&directory.StoreState{At: directory.At(0, 3), Nodes: []directory.Node{{Name: "other"}}}, nil)
	ended := directory.Change{At: directory.At(0, 5), NodeGone: "other"}
	w.applyChanges(&directory.Changes{At: directory.At(0, 7), Changes: []directory.Change{ended, {At: directory.At(0, 7), Node: &directory.Node{Name: "other"}}}})
	w.applyChanges(&directory.Changes{At: directory.At(0, 6), Changes: []directory.Change{ended}})
	is.Equal(len(w.gateway.snapshot.Load().Nodes), 1)
}

// Guards against a fleet that exceeds its retry limits when all entries start at once and do not know how
// many they are: each then took its share among 32.
func TestAStartingEntryKnowsItsShareOfTheRetryLimits(t *testing.T) {
	is := is.New(t)
	const entries, allowance = 341, 1040
	s := settings.Gateway{Name: "g", DataCentre: "d", RetryAllowance: allowance}
	s.SetDefaults()
	w := New(Config{Settings: s, Source: &recordingSource{}, Log: zap.NewNop()}).newStoreWatcher()
	state := &directory.StoreState{At: directory.At(0, 1)}
	for i := range entries {
		state.Nodes = append(state.Nodes, directory.Node{Name: fmt.Sprint("g", i)})
	}
	w.applyState(state, nil)
	taken := 0
	for w.gateway.retries.Take(time.Now(), "service") {
		taken++
	}
	is.True(entries*taken <= allowance)
}

// Guards against a response that nobody asked for, or with an age that overflows, which would make an entry
// count as current in the future or skip changes.
func TestImpossibleResponsesAreRefused(t *testing.T) {
	is := is.New(t)
	s := settings.Gateway{Name: "g", DataCentre: "d"}
	s.SetDefaults()
	w := New(Config{Settings: s, Source: &recordingSource{}, Log: zap.NewNop()}).newStoreWatcher()
	w.applyState(&directory.StoreState{At: directory.At(0, 3)}, nil)
	w.needsFullRead = false
	w.follower.SetMembers([]changefeed.Member{{Name: "g"}, {Name: "other"}})
	w.handleResponse(context.Background(), &feedResponse{"other", 7, changefeed.Chunk{From: directory.At(0, 3), To: directory.At(0, 9), Last: true, Complete: true}}, nil)
	is.Equal(w.replica.At(), directory.At(0, 3))
	peer, nonce, ok := w.follower.Ask(bootTime())
	is.True(ok)
	for _, impossible := range []*wire.FeedResponse{
		{From: 3, To: 9, Last: true, Complete: true, AgeMs: 1 << 63},
		{From: 3, To: 9, Last: true, Complete: true, Items: []*wire.FeedItem{{Revision: 12}}},
	} {
		w.handleResponse(context.Background(), &feedResponse{peer, nonce, decodeChunk(impossible)}, nil)
		is.Equal(w.replica.At(), directory.At(0, 3))
		is.Equal(w.gateway.currentAt.Load(), int64(0))
	}
}
