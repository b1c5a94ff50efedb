package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrLeaseExpired is returned by Registry.Renew and Registry.Deregister if the lease no
// longer exists or is of an earlier era: its ID may then belong to another lease.
var ErrLeaseExpired = errors.New("directory: lease expired")

// Node is one of the system's own processes.
type Node struct {
	// Name is unique; Addr is the address at which other nodes reach the node.
	Name, Addr, DataCentre string
}

// Lease is a lease of the store. Its ID is meaningful only in its era.
type Lease struct {
	Era Era
	ID  uint64
}

// Registration identifies a node's registration in the store.
type Registration struct {
	// Lease keeps the registration in the store.
	Lease Lease
	// At is the position of its write, which comes later for each later incarnation of the node.
	At Position
}

// ErrRecordChanged is returned by Registry.PutRecord if the stored record is another one than expected.
var ErrRecordChanged = errors.New("directory: record changed")

// Record is data that nodes write to the store for nodes that start later.
type Record struct {
	// Name is unique; the format of Value is up to the writer.
	Name  string
	Value []byte
	// At is the position of its write; zero if there is no record of that name.
	At Position
}

// Registry is the part of the store that nodes write: their registrations, by which they
// find each other, and records.
type Registry interface {
	// Register writes the node's registration under a new lease of ttl. After an error the
	// registration may exist; it then ends with its lease.
	Register(ctx context.Context, n Node, ttl time.Duration) (Registration, error)
	// Renew renews the lease. Errors: ErrLeaseExpired, ErrUnavailable.
	Renew(ctx context.Context, lease Lease) error
	// Deregister ends the lease, which removes the registration.
	Deregister(ctx context.Context, lease Lease) error
	// PutRecord writes a record that the store keeps for ttl, in place of the one at r.At, and returns it with the
	// position of the write. If the store has another one, or none in place of one, it returns that and ErrRecordChanged.
	// After another error the record may have been written, or be written later if the condition still holds.
	PutRecord(ctx context.Context, r Record, ttl time.Duration) (Record, error)
}
