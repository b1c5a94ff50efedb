package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone is returned by Follow when the store no longer holds what happened
// after the revision: the state must be read anew.
var ErrHistoryGone = errors.New("directory: the store dropped this history")

// ErrUnavailable is returned when the store gave no usable answer.
var ErrUnavailable = errors.New("directory: store unavailable")

// Source is where the state comes from.
type Source interface {
	// Read gives the whole state, linearizable.
	Read(ctx context.Context) (*StoreState, error)
	// Watch returns as soon as something happened after a revision, or after wait
	// with nothing. Errors: ErrHistoryGone, ErrUnavailable.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error)
	// CloseIdleConnections drops idle connections, of which some may have gone silent.
	CloseIdleConnections()
}
