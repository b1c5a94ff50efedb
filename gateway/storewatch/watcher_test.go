package storewatch

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
	"aspenyard.example/wire"
)

// silentSource is a directory.Source of which only the era is used.
type silentSource struct{ directory.Source }

func (silentSource) Decode(at directory.Position, items []directory.Item) *directory.Changes {
	return &directory.Changes{At: at, Items: items}
}

func (silentSource) IsConfig(string) bool { return false }

func (silentSource) Era() directory.Era { return 0 }

func (silentSource) AssumeEra(directory.Era) {}

// recordingListener is a Listener that records what it is told.
type recordingListener struct {
	provedAt, configProvedAt time.Duration
	restored                 int
}

func (l *recordingListener) Publish(_, _ *directory.Snapshot)          {}
func (l *recordingListener) ConfigInForce(*directory.Config)           {}
func (l *recordingListener) EvacuationsChanged([]directory.Evacuation) {}
func (l *recordingListener) EndpointListed(*directory.Endpoint)        {}
func (l *recordingListener) ApplyRecord(time.Time, *directory.Record)  {}
func (l *recordingListener) RecordGone(string)                         {}
func (l *recordingListener) RecordsRead(time.Time, []directory.Record) {}
func (l *recordingListener) Proved(at time.Duration)                   { l.provedAt = at }
func (l *recordingListener) ConfigProved(at time.Duration)             { l.configProvedAt = at }
func (l *recordingListener) EraNoticed()                               {}
func (l *recordingListener) Restored()                                 { l.restored++ }
func (l *recordingListener) CallEnded(bool, time.Duration, error)      {}
func (l *recordingListener) Tick(time.Time)                            {}

// fixedRandom draws the lowest numbers.
type fixedRandom struct{}

func (fixedRandom) IntN(int) int { return 0 }

func (fixedRandom) Float64() float64 { return 0 }

// newTestWatcher returns a watcher that does not run, at an hour after boot.
func newTestWatcher() (*Watcher, *recordingListener) {
	listener := &recordingListener{}
	return New(Config{
		Name: "g", DataCentre: "d", ChangeWithin: 5 * time.Second, StoreTimeout: time.Second, Source: silentSource{}, Changes: &changefeed.Log{},
		Listener: listener, SinceBoot: func() time.Duration { return time.Hour }, Random: fixedRandom{}, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	}), listener
}

// Guards against a call to the store that is answered after another entry has passed on later changes: the
// end of a registration must not undo the next one.
func TestALateAnswerOfTheStoreUndoesNothing(t *testing.T) {
	is := is.New(t)
	w, _ := newTestWatcher()
	w.applyState(&directory.StoreState{At: directory.At(0, 3), Nodes: []directory.Node{{Name: "other"}}}, nil)
	ended := directory.Change{At: directory.At(0, 5), NodeGone: "other"}
	w.applyChanges(&directory.Changes{At: directory.At(0, 7), Changes: []directory.Change{ended, {At: directory.At(0, 7), Node: &directory.Node{Name: "other"}}}})
	w.applyChanges(&directory.Changes{At: directory.At(0, 6), Changes: []directory.Change{ended}})
	is.Equal(len(w.snapshot.Nodes), 1)
}

// Guards against a response that nobody asked for, or with an age that overflows, which would make an entry
// count as current in the future or skip changes.
func TestImpossibleResponsesAreRefused(t *testing.T) {
	is := is.New(t)
	w, listener := newTestWatcher()
	w.applyState(&directory.StoreState{At: directory.At(0, 3)}, nil)
	w.needsFullRead = false
	w.follower.SetMembers([]changefeed.Member{{Name: "g"}, {Name: "other"}})
	w.handleResponse(&Response{"other", 7, changefeed.Chunk{From: directory.At(0, 3), To: directory.At(0, 9), Last: true, Complete: true}})
	is.Equal(w.replica.At(), directory.At(0, 3))
	peer, nonce, ok := w.follower.Ask(w.config.SinceBoot())
	is.True(ok)
	for _, impossible := range []*wire.FeedResponse{
		{From: 3, To: 9, Last: true, Complete: true, AgeMs: 1 << 63},
		{From: 3, To: 9, Last: true, Complete: true, Items: []*wire.FeedItem{{Revision: 12}}},
	} {
		w.handleResponse(&Response{peer, nonce, DecodeChunk(impossible)})
		is.Equal(w.replica.At(), directory.At(0, 3))
		is.Equal(listener.provedAt, time.Duration(0))
	}
}

// Guards against an entry that has read a state of an earlier era and takes it for the present one, as the era
// rose while it was being read.
func TestAStateOfAnEarlierEraIsReadAgain(t *testing.T) {
	is := is.New(t)
	w, listener := newTestWatcher()
	source := &eraSource{era: directory.StatedEra(1)}
	w.config.Source = source
	w.noticeEra()
	w.handleResult(storeResult{state: &directory.StoreState{At: directory.At(source.era, 5)}})
	source.era = directory.StatedEra(2)
	w.noticeEra()
	is.True(w.needsFullRead)
	source.era = directory.StatedEra(3)
	w.handleResult(storeResult{state: &directory.StoreState{At: directory.At(directory.StatedEra(2), 3)}})
	is.True(!w.needsFullRead)
	w.noticeEra()
	is.True(w.needsFullRead)
	w.handleResult(storeResult{state: &directory.StoreState{At: directory.At(source.era, 4)}})
	w.noticeEra()
	is.True(!w.needsFullRead)
	is.Equal(listener.restored, 2)
}

// eraSource is a silentSource with an era.
type eraSource struct {
	silentSource
	era directory.Era
}

func (s *eraSource) Era() directory.Era { return s.era }

// Guards against reads of the whole state in a loop without a pause, where a store refuses each watch for lack of
// history or, without stating an era, has gone back.
func TestReadsThatDoNotHelpAreSpacedOut(t *testing.T) {
	is := is.New(t)
	w, _ := newTestWatcher()
	w.config.Source = &eraSource{era: directory.StatedEra(1)}
	at := directory.At(directory.StatedEra(1), 9)
	read := storeResult{state: &directory.StoreState{At: at}}
	w.handleResult(read)
	var pauses time.Duration
	for range 20 {
		pauses += w.handleResult(storeResult{err: directory.ErrHistoryGone})
		is.Equal(w.handleResult(read), time.Duration(0))
	}
	is.True(pauses > 10*time.Second)
	w.handleResult(storeResult{changes: &directory.Changes{At: at}})
	is.Equal(w.handleResult(storeResult{err: directory.ErrHistoryGone}), time.Duration(0))
	w.handleResult(storeResult{changes: &directory.Changes{At: at}})
	pauses = 0
	for range 20 { // the store has gone back and states the same era
		pauses += w.handleResult(storeResult{after: at, state: &directory.StoreState{At: directory.At(at.Era(), 5)}})
	}
	is.True(pauses > 10*time.Second)
	is.Equal(w.replica.At(), at)
}

// Guards against a value that a stale read shows in an earlier era, or cannot read, and that is then not read
// from the store.
func TestAnOmittedValueIsReadOnceMoreAfterAStaleRead(t *testing.T) {
	is := is.New(t)
	w, _ := newTestWatcher()
	source := &itemSource{reads: make(chan bool, 1)}
	source.era = directory.StatedEra(1)
	w.config.Source = source
	at := directory.At(source.era, 9)
	w.handleResult(storeResult{state: &directory.StoreState{At: at}})
	w.noteValues([]directory.Item{{Key: "k", At: at, Omitted: true}})
	reads := make(chan valueRead, 1)
	w.readValue(context.Background(), reads)
	is.True(<-source.reads) // stale
	<-reads
	w.handleValueRead(&valueRead{stale: true, err: directory.ErrEarlierEra})
	w.readValue(context.Background(), reads)
	is.True(!<-source.reads) // not stale
}

// configSource is an eraSource whose configuration has the key "config".
type configSource struct{ eraSource }

func (s *configSource) IsConfig(key string) bool { return key == "config" }

func (s *configSource) ReadItem(context.Context, string, bool) (directory.Item, error) {
	return directory.Item{}, directory.ErrUnavailable
}

// Guards against a configuration that counts as the newest by a read that may be stale, by one that began before a newer
// version was known of, or while one is awaited.
func TestAConfigurationCountsAsNewestOnlyByACurrentRead(t *testing.T) {
	is := is.New(t)
	w, listener := newTestWatcher()
	source := &configSource{eraSource{era: directory.StatedEra(1)}}
	w.config.Source = source
	now := time.Hour
	w.config.SinceBoot = func() time.Duration { return now }
	at := func(revision uint64) directory.Position { return directory.At(source.era, revision) }
	w.handleResult(storeResult{state: &directory.StoreState{At: at(9)}, began: now})
	is.Equal(listener.configProvedAt, now)
	w.noteValues([]directory.Item{{Key: "config", At: at(10), Omitted: true}})
	now += time.Second
	w.prove(now)
	is.Equal(listener.provedAt, now)
	is.Equal(listener.configProvedAt, now-time.Second)
	read := func(stale bool, revision uint64, between func()) {
		w.readValue(context.Background(), make(chan valueRead, 1))
		began := now
		now += time.Second
		between()
		w.handleValueRead(&valueRead{item: directory.Item{Key: "config", At: at(revision)}, stale: stale, began: began})
	}
	read(true, 10, func() {})
	is.True(w.awaitedConfig() == nil)
	is.True(listener.configProvedAt < now-time.Second)
	w.noteValues([]directory.Item{{Key: "config", At: at(12), Omitted: true, Approximate: true}})
	read(false, 11, func() { w.noteValues([]directory.Item{{Key: "config", At: at(14), Omitted: true}}) })
	is.True(w.awaitedConfig() != nil)
	is.True(listener.configProvedAt < now-time.Second)
	read(false, 14, func() {})
	is.True(w.awaitedConfig() == nil)
	is.Equal(listener.configProvedAt, now-time.Second)
}

// itemSource is an eraSource that records whether an item is read stale.
type itemSource struct {
	eraSource
	reads chan bool
}

func (s *itemSource) ReadItem(_ context.Context, key string, stale bool) (directory.Item, error) {
	s.reads <- stale
	return directory.Item{Key: key}, directory.ErrUnavailable
}
