// Package infra is the system's view of what the platform provides: a small
// key-value store with compare-and-swap and watches, and a lagging list of VMs.
//
// The store is the only authority for what must last. It can be down, slow, or
// lose an answer after the change took effect, so every write that can not be
// confirmed is reported as unclear and never as failed.
package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrConflict is returned when a compare-and-swap found another revision.
var ErrConflict = errors.New("infra: revision conflict")

// ErrUnavailable is returned when the store certainly did not apply the call.
var ErrUnavailable = errors.New("infra: store unavailable")

// ErrOutcomeUnknown is returned when a write may or may not have taken effect. The
// caller settles it by reading the key back.
var ErrOutcomeUnknown = errors.New("infra: outcome of write unclear")

// Value is a stored value and its revision. Revision 0 means: no such key.
type Value struct {
	Key      string
	Data     []byte
	Revision uint64
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads a key; a missing one has Revision 0 and no error.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key still has the revision; 0 creates.
	// Errors: ErrConflict, ErrUnavailable, ErrUnclear.
	CompareAndSwap(ctx context.Context, key string, data []byte, revision uint64) error
	// Watch returns when the key's revision differs from after, or after wait.
	// The store counts it as one call.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// VM is one line of the platform's list.
type VM struct {
	// Name, Role ("entry" or "agent") and DataCentre identify the VM's process.
	Name, Role, DataCentre string
	// Addr is the IP number and port of the process.
	Addr string
	// Leaving is set once the platform has decided to take the VM away.
	Leaving bool
}

// VMList is the platform's list of live and leaving VMs; it lags.
type VMList interface {
	// VMs reads the whole list.
	VMs(ctx context.Context) ([]VM, error)
}

// Update changes a key by compare-and-swap, settling unclear writes by reading
// back, and repeats after a conflict, at most maxSwapTries times.
//
// known is the value that the caller has just read, to save a read; nil to read
// first. change gets the current data (nil when missing) and returns the new;
// stop ends the swap without a write. mine tells whether data read back is what
// this call wrote: without it, a lost answer followed by another try would apply
// the change twice.
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

// UpdateFunc makes a key's next data out of its current data.
type UpdateFunc func(current []byte) (next []byte, stop bool, err error)

func readUnlessKnown(ctx context.Context, store Store, key string, known *Value) (Value, error) {
	if known != nil {
		return *known, nil
	}
	return store.Get(ctx, key)
}

const maxUpdateTries = 16
