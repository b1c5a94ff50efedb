// Package infra defines the interfaces to the platform's services: a small
// key-value store with compare-and-swap and watches, and a list of VMs that lags
// behind.
//
// The store is the only authority for state that must persist. It can be down, be
// slow, or lose a response after the change took effect. A write that cannot be
// confirmed is therefore reported as ErrOutcomeUnknown and never as failed.
package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrConflict is returned when a compare-and-swap found a different revision of the
// key than the one it expects.
var ErrConflict = errors.New("infra: revision conflict")

// ErrUnavailable is returned when a read failed, or when the store certainly did not
// apply a write.
var ErrUnavailable = errors.New("infra: store unavailable")

// ErrOutcomeUnknown is returned when a write may or may not have taken effect. The
// caller finds out by reading the key back.
var ErrOutcomeUnknown = errors.New("infra: outcome of write unknown")

// Value is a stored value and its revision. Revision 0 means that the key does not
// exist.
type Value struct {
	Key      string
	Data     []byte
	Revision uint64
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key. A key that does not exist has Revision 0 and is no error.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key still has the given revision; revision 0
	// creates the key. Errors: ErrConflict, ErrUnavailable, ErrOutcomeUnknown.
	CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) error
	// Watch returns the value once the key's revision differs from after, or when
	// wait has passed. For the store's rate limit it counts as one call.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// Roles of VMs.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// VM is one item of the platform's list of VMs.
type VM struct {
	// Name, Role (RoleEntry or RoleAgent) and DataCentre identify the process on the VM.
	Name, Role, DataCentre string
	// Addr is the IP address and port of the process.
	Addr string
	// Leaving is set once the platform has decided to remove the VM.
	Leaving bool
}

// VMList is the platform's list of running and leaving VMs. It lags behind.
type VMList interface {
	// VMs reads the whole list. Error: ErrUnavailable.
	VMs(ctx context.Context) ([]VM, error)
}

// Update changes a key by compare-and-swap. It tries again after a conflict and after
// a write with an unknown outcome, at most maxUpdateTries times in all.
//
// known is the value that the caller has just read, which saves a read; nil makes
// Update read it. update computes the new data. isOwnWrite tells whether data that was
// read back is what this call wrote: without it, a lost response followed by another try
// would apply the change twice. Errors: those of update, ErrUnavailable, and
// ErrConflict if no try succeeded.
func Update(ctx context.Context, store Store, key string, known *Value, update UpdateFunc, isOwnWrite func(data []byte) bool) error {
	for try := 0; try < maxUpdateTries; try++ {
		current, err := readUnlessKnown(ctx, store, key, known)
		if err != nil {
			return err
		}
		known = nil
		if try > 0 && isOwnWrite(current.Data) {
			return nil
		}
		next, stop, err := update(current.Data)
		if err != nil || stop {
			return err
		}
		err = store.CompareAndSwap(ctx, key, next, current.Revision)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrOutcomeUnknown) {
			return err
		}
	}
	return errors.Wrapf(ErrConflict, "key %s kept changing", key)
}

// UpdateFunc computes the next data of a key from its current data, which is nil if the
// key does not exist. With stop set, nothing is written.
type UpdateFunc func(current []byte) (next []byte, stop bool, err error)

// readUnlessKnown returns known, or the value in the store if known is nil.
func readUnlessKnown(ctx context.Context, store Store, key string, known *Value) (Value, error) {
	if known != nil {
		return *known, nil
	}
	return store.Get(ctx, key)
}

// maxUpdateTries bounds the compare-and-swap calls of one Update.
const maxUpdateTries = 16
