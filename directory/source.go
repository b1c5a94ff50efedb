package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone is returned by Source.Watch if the store has dropped the changes after the
// given position. The full state must then be read again.
var ErrHistoryGone = errors.New("directory: the store no longer has the changes after this revision")

// ErrEraChanged is returned by a call that was answered in a later era than the one it refers to. The full
// state must then be read again.
var ErrEraChanged = errors.New("directory: the store was restored from a copy")

// ErrUnavailable is returned if the store gave no usable response.
var ErrUnavailable = errors.New("directory: store unavailable")

// ErrEarlierEra is the ErrUnavailable of a response that describes the store as it was in an earlier era. A
// read that may be stale can return it for as long as its state is old.
var ErrEarlierEra = errors.WithMessage(ErrUnavailable, "response of an earlier era")

// Item is one change of a key in the store, in the form in which entries pass it on to each other. Only
// the store's adapter interprets its key and value.
type Item struct {
	Key   string
	Value []byte
	At    Position
	// Deleted is set if the change is the key's deletion.
	Deleted bool
	// Omitted is set if the value was left out because it is long; Source.ReadItem returns it. Approximate is set besides
	// if At is not the position of the change itself, but of a later one.
	Omitted, Approximate bool
}

// Source reads the state of the deployment from the store.
type Source interface {
	// Read returns the full state. It is linearizable unless stale is set: the state may then be seconds old, and the read
	// costs the store a tenth. Watching from its revision brings it up to date.
	Read(ctx context.Context, stale bool) (*StoreState, error)
	// ReadWithoutConfig returns the full state, linearizable like Read, but for the configuration, whose item is
	// among StoreState.Omitted.
	ReadWithoutConfig(ctx context.Context) (*StoreState, error)
	// ReadEvacuations returns all evacuations of data centres, and the store's position when the read
	// began. It is linearizable and much faster than Read.
	ReadEvacuations(ctx context.Context) (list []Evacuation, at Position, err error)
	// Watch returns the changes after a position as soon as there are any, or no changes
	// after wait. Errors: ErrHistoryGone, ErrEraChanged, ErrUnavailable, progress.ErrLongResponse.
	Watch(ctx context.Context, after Position, wait time.Duration) (*Changes, error)
	// ReadChanges returns the changes after a position without waiting for any. A configuration that may be long is
	// omitted, and its item is Approximate. Errors: those of Watch.
	ReadChanges(ctx context.Context, after Position) (*Changes, error)
	// ReadItem returns the current item of a key, with Deleted set if there is none. If stale, the item
	// may be seconds old, and the call costs the store a tenth.
	ReadItem(ctx context.Context, key string, stale bool) (Item, error)
	// Decode returns the changes that items stand for; the store's position after them is at.
	Decode(at Position, items []Item) *Changes
	// IsConfig reports whether a key is that of the configuration.
	IsConfig(key string) bool
	// Era returns the latest era that is known: the highest that the store has stated in any response, or
	// one that was assumed by AssumeEra. Responses of an earlier era count as unavailable.
	Era() Era
	// AssumeEra makes a store that states no era count as being in era, if that is later than the present one.
	AssumeEra(era Era)
	// EraChanged receives a value after the store has stated a new era.
	EraChanged() <-chan struct{}
	// CloseIdleConnections closes idle connections, some of which may no longer get
	// answers.
	CloseIdleConnections()
}

// CheckpointStore keeps a checkpoint of the state in the store: one value, in a form that is up to its
// writer, which entries that start read instead of all items.
type CheckpointStore interface {
	// ReadItems returns the items of the whole state, which may be seconds old, and the position from
	// which watching brings it up to date.
	ReadItems(ctx context.Context) (items []Item, at Position, err error)
	// DecodeState returns the state that such items stand for.
	DecodeState(at Position, items []Item) *StoreState
	// ReadCheckpoint returns the checkpoint, which may be seconds old; nil if there is none.
	ReadCheckpoint(ctx context.Context) ([]byte, error)
	// WriteCheckpoint replaces the checkpoint. After an error it may have been replaced.
	WriteCheckpoint(ctx context.Context, checkpoint []byte) error
}

// callReasonKey is the context key of the reason for a call to the store.
type callReasonKey struct{}

// WithCallReason returns a context for a call to the store with the reason for it, which metrics report.
func WithCallReason(ctx context.Context, reason string) context.Context {
	return context.WithValue(ctx, callReasonKey{}, reason)
}

// CallReason returns the reason for a call to the store; "" if none was given.
func CallReason(ctx context.Context) string {
	reason, _ := ctx.Value(callReasonKey{}).(string)
	return reason
}

// StoreCall describes a call to the store, for metrics.
type StoreCall struct {
	// Kind is what is called: "watch", "list", "item", "lease", "transaction", "renewal" or "release".
	Kind string
	// Reason is the reason in the call's context. Stale is set for a read that may be stale.
	Reason string
	Stale  bool
	// Answered is set if the store gave a response, RequestBytes and ResponseBytes are the lengths of
	// the bodies.
	Answered                    bool
	RequestBytes, ResponseBytes int
}

// CallObserver is implemented by a Source that reports its calls.
type CallObserver interface {
	// ObserveCalls makes f be called after each call, by any goroutine.
	ObserveCalls(f func(StoreCall))
}
