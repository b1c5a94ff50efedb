package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/progress"
	"aspenyard.example/settings"
)

// recordingSource is a directory.Source that records how long its calls may take.
type recordingSource struct {
	mu    sync.Mutex
	fail  bool
	calls []recordedCall
}

type recordedCall struct {
	fullRead bool
	// wait is how long the call asks the store to wait for a change, timeout the time without progress
	// until its context ends.
	wait, timeout time.Duration
	failed        bool
}

func (r *recordingSource) record(ctx context.Context, call recordedCall) error {
	limits := progress.LimitsOf(ctx)
	call.timeout = max(limits.Answer, limits.Stall)
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

func (r *recordingSource) ReadWithoutConfig(ctx context.Context) (*directory.StoreState, error) {
	return r.Read(ctx, false)
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

func (r *recordingSource) ReadChanges(ctx context.Context, after directory.Position) (*directory.Changes, error) {
	return r.Watch(ctx, after, 0)
}

func (r *recordingSource) IsConfig(string) bool { return false }

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
		g.watcher.Run(ctx)
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
		is.True(call.timeout > 0)
		is.True(call.timeout <= s.ConfigWithin.D())
		if outage {
			is.Equal(call.wait, time.Duration(0)) // so that the store's return is noticed at once
		}
		outage = call.failed
	}
}

// Guards against a fleet that exceeds its retry limits when all entries start at once and do not know how
// many they are: each then took its share among 32.
func TestAStartingEntryKnowsItsShareOfTheRetryLimits(t *testing.T) {
	is := is.New(t)
	const entries, allowance = 341, 1040
	s := settings.Gateway{Name: "g", DataCentre: "d", RetryAllowance: allowance}
	s.SetDefaults()
	g := New(Config{Settings: s, Source: &recordingSource{}, Log: zap.NewNop()})
	state := &directory.StoreState{At: directory.At(0, 1)}
	for i := range entries {
		state.Nodes = append(state.Nodes, directory.Node{Name: fmt.Sprint("g", i)})
	}
	replica := directory.NewReplica()
	replica.ApplyState(time.Now(), state)
	g.Publish(g.snapshot.Load(), replica.Snapshot())
	taken := 0
	for g.retries.Take(time.Now(), "service") {
		taken++
	}
	is.True(entries*taken <= allowance)
}
