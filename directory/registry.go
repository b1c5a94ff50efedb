package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrLeaseExpired is returned when a registration's lease has ended.
var ErrLeaseExpired = errors.New("directory: the lease has ended")

// Node is one of the system's own processes.
type Node struct {
	// Name is unique; Addr is where other nodes reach it.
	Name, Addr, DataCentre string
}

// Registration is a node's entry in the store.
type Registration struct {
	// Lease keeps the entry there; Revision is that of the write, which rises with
	// each life of the node.
	Lease, Revision uint64
}

// Record is what nodes leave in the store for those that start later.
type Record struct {
	// Name is unique; Value is in the words of those who write it.
	Name  string
	Value []byte
}

// Registry is where nodes make themselves known to each other, and leave records.
type Registry interface {
	// Register writes the node's entry under a lease of ttl. After an error it may be
	// there, and ends with the lease.
	Register(ctx context.Context, n Node, ttl time.Duration) (Registration, error)
	// Renew renews the lease. Errors: ErrLapsed, ErrUnavailable.
	Renew(ctx context.Context, lease uint64) error
	// Deregister ends the lease, and with it the entry.
	Deregister(ctx context.Context, lease uint64) error
	// CreateRecord writes a record for ttl; one of its name that is there stays as it is. After an error
	// it may be there.
	CreateRecord(ctx context.Context, r Record, ttl time.Duration) error
}
