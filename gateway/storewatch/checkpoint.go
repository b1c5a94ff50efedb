package storewatch

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/progress"
	"aspenyard.example/wire"
)

const (
	// checkpointsPerHistory is how many checkpoints are written in the time for which the store keeps
	// changes, so that watching from the last one brings it up to date.
	checkpointsPerHistory = 3
	// maxCheckpointBytes bounds a checkpoint. Values of the store have at most a megabyte.
	maxCheckpointBytes = 1_000_000
	// maxCheckpointItemBytes bounds a checkpoint that is decompressed.
	maxCheckpointItemBytes = 64 << 20
)

// checkpointResult is a value of the label of aspenyard_gateway_checkpoints_total.
type checkpointResult string

const (
	checkpointWritten  checkpointResult = "written"
	checkpointFailed   checkpointResult = "failed"    // a call to the store failed
	checkpointTooLarge checkpointResult = "too_large" // not written
	checkpointUsed     checkpointResult = "used"      // at the start
	checkpointAbsent   checkpointResult = "absent"
	checkpointInvalid  checkpointResult = "invalid" // it could not be decoded
	checkpointOutdated checkpointResult = "outdated"
)

func (w *Watcher) countCheckpoint(result checkpointResult) {
	w.config.Metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_checkpoints_total{result=%q}`, result)).Inc()
}

// writeCheckpoint writes a checkpoint of the state, if that is due, in a goroutine of its own.
func (w *Watcher) writeCheckpoint(ctx context.Context) {
	if w.config.Checkpoints == nil || w.needsFullRead || w.config.Draining() || !w.follower.Checkpoint(w.config.SinceBoot()) {
		return
	}
	go func() {
		timeout := 2 * w.config.StoreTimeout
		ctx, cancel := progress.WithLimits(directory.WithCallReason(ctx, "checkpoint"), progress.Limits{Answer: timeout, Stall: timeout})
		defer cancel()
		result, err := w.MakeCheckpoint(ctx)
		w.countCheckpoint(result)
		if err != nil {
			w.config.Logger.Warn("checkpoint_not_written", zap.String("result", string(result)), eventlog.Error(err))
		}
	}()
}

// MakeCheckpoint reads the state and writes it to the store as a checkpoint.
func (w *Watcher) MakeCheckpoint(ctx context.Context) (checkpointResult, error) {
	items, at, err := w.config.Checkpoints.ReadItems(ctx)
	if err != nil {
		return checkpointFailed, err
	}
	data, err := EncodeCheckpoint(at, items)
	if err != nil {
		return checkpointFailed, err
	}
	if len(data) > maxCheckpointBytes {
		return checkpointTooLarge, errors.Errorf("the checkpoint has %d bytes, of at most %d", len(data), maxCheckpointBytes)
	}
	w.checkpointBytes.Store(int64(len(data)))
	if err := w.config.Checkpoints.WriteCheckpoint(ctx, data); err != nil {
		return checkpointFailed, err
	}
	return checkpointWritten, nil
}

// readCheckpoint returns the state of the checkpoint in the store; nil if there is none that can be used.
func (w *Watcher) readCheckpoint(ctx context.Context) *directory.StoreState {
	if w.config.Checkpoints == nil {
		return nil
	}
	data, err := w.config.Checkpoints.ReadCheckpoint(ctx)
	if err != nil || len(data) == 0 { // the calls that follow tell of a store that does not answer
		w.countCheckpoint(checkpointAbsent)
		return nil
	}
	at, items, err := DecodeCheckpoint(data)
	if err != nil {
		w.countCheckpoint(checkpointInvalid)
		w.config.Logger.Warn("checkpoint_refused", zap.Int("bytes", len(data)), eventlog.Error(err))
		return nil
	}
	if at.Era() != w.config.Source.Era() {
		w.countCheckpoint(checkpointOutdated)
		return nil
	}
	return w.config.Checkpoints.DecodeState(at, items)
}

// EncodeCheckpoint returns the state of the store, compressed.
func EncodeCheckpoint(at directory.Position, items []directory.Item) ([]byte, error) {
	checkpoint := &wire.Checkpoint{Era: uint64(at.Era()), Revision: at.Revision()}
	for _, i := range items {
		checkpoint.Items = append(checkpoint.Items, EncodeItem(i))
	}
	data, err := proto.Marshal(checkpoint)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return compressed.Bytes(), nil
}

// DecodeCheckpoint returns the state of the store from a checkpoint.
func DecodeCheckpoint(compressed []byte) (at directory.Position, items []directory.Item, err error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return at, nil, errors.WithStack(err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxCheckpointItemBytes+1))
	if err != nil {
		return at, nil, errors.WithStack(err)
	}
	if len(data) > maxCheckpointItemBytes {
		return at, nil, errors.Errorf("the checkpoint has over %d bytes", maxCheckpointItemBytes)
	}
	var checkpoint wire.Checkpoint
	if err := proto.Unmarshal(data, &checkpoint); err != nil {
		return at, nil, errors.WithStack(err)
	}
	if checkpoint.Revision == 0 {
		return at, nil, errors.New("the checkpoint has no revision")
	}
	for _, i := range checkpoint.Items {
		items = append(items, DecodeItem(directory.Era(checkpoint.Era), i))
	}
	return directory.At(directory.Era(checkpoint.Era), checkpoint.Revision), items, nil
}

// startState is the state that an entry starts with.
type startState struct {
	state *directory.StoreState
	// changes are those since then; nil if the state was not stale.
	changes *directory.Changes
	// from says where the state comes from.
	from string
}

// Values of startState.from.
const (
	fromCheckpoint   = "checkpoint"
	fromStaleLists   = "stale_lists"
	fromCurrentLists = "lists"
)

// readAtStart returns the state for an entry that has none of the store's present era: the checkpoint or else lists that may be
// stale, and the changes since then, which bring it up to date. Entries that start at the same moment thus
// cost the store little. If the store does not have these changes any more, or they are long, the lists are read once more.
func (w *Watcher) readAtStart(ctx context.Context) (startState, error) {
	if state := w.readCheckpoint(ctx); state != nil {
		changes, err := w.changesSince(ctx, state)
		if err == nil {
			w.countCheckpoint(checkpointUsed)
			return startState{state, changes, fromCheckpoint}, nil
		}
		if !errors.Is(err, directory.ErrHistoryGone) && !errors.Is(err, progress.ErrLongResponse) {
			return startState{}, err
		}
		w.countCheckpoint(checkpointOutdated)
	}
	state, err := w.config.Source.Read(ctx, true)
	if errors.Is(err, directory.ErrEarlierEra) {
		state, err = w.config.Source.Read(ctx, false)
		return startState{state, nil, fromCurrentLists}, err
	}
	if err != nil {
		return startState{}, err
	}
	changes, err := w.changesSince(ctx, state)
	if errors.Is(err, directory.ErrHistoryGone) || errors.Is(err, progress.ErrLongResponse) {
		state, err = w.config.Source.Read(ctx, false)
		return startState{state, nil, fromCurrentLists}, err
	}
	return startState{state, changes, fromStaleLists}, err
}

// changesSince returns the changes since a state. Several versions of a configuration among them take longer than
// reading the newest.
func (w *Watcher) changesSince(ctx context.Context, state *directory.StoreState) (*directory.Changes, error) {
	limits := progress.LimitsOf(ctx)
	limits.TransferBytes = maxWatchBytes
	ctx, cancel := progress.WithLimits(ctx, limits)
	defer cancel()
	return w.config.Source.Watch(ctx, state.At, 0)
}

// logStart logs the state that an entry starts with.
func (w *Watcher) logStart(start startState, took time.Duration) {
	w.config.Logger.Info("state_read", zap.String("from", start.from), zap.Uint64("at", start.state.At.Revision()), zap.Stringer("era", start.state.At.Era()), zap.Int("endpoints", len(start.state.Endpoints)), zap.Duration("took_ms", took))
}
