package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone is returned by Source.Watch if the store has dropped the changes after the
// given revision. The full state must then be read again.
var ErrHistoryGone = errors.New("directory: the store no longer has the changes after this revision")

// ErrUnavailable is returned if the store gave no usable response.
var ErrUnavailable = errors.New("directory: store unavailable")

// Source reads the state of the deployment from the store.
type Source interface {
	// Read returns the full state. The read is linearizable, except for Records.
	Read(ctx context.Context) (*StoreState, error)
	// ReadEvacuations returns all evacuations of data centres, and the store's revision when the read
	// began. It is linearizable and much faster than Read.
	ReadEvacuations(ctx context.Context) (list []Evacuation, revision uint64, err error)
	// Watch returns the changes after a revision as soon as there are any, or no changes
	// after wait. Errors: ErrHistoryGone, ErrUnavailable.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error)
	// CloseIdleConnections closes idle connections, some of which may no longer get
	// answers.
	CloseIdleConnections()
}
