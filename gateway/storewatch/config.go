// Package storewatch keeps an entry's replica of the platform's store up to date. It decides by
// changefeed.Follower whether the store or another entry is asked, applies what they answer to the replica, and
// tells a Listener of each new snapshot and of how current it is. It knows nothing of callers and requests.
package storewatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
)

// Config holds the settings and the dependencies of a Watcher.
type Config struct {
	// Name is this entry's name, DataCentre the data centre that it is in.
	Name, DataCentre string
	// ChangeWithin is how soon a change in the store must be in force here. A longer time costs the store
	// fewer calls.
	ChangeWithin time.Duration
	// StoreTimeout bounds the time until a call to the store is answered, besides its wait for a change, and a pause in
	// the transfer. It grows to twice that while calls fail.
	StoreTimeout time.Duration
	// EvacuationReadTimeout bounds a read of the evacuations alone. A store that is slow may take longer for
	// it than StoreTimeout allows.
	EvacuationReadTimeout time.Duration
	// StoreHistory is how long the store keeps changes. Checkpoints are written at a third of it.
	StoreHistory time.Duration

	Source directory.Source
	// Checkpoints may be nil; entries that start then read all items.
	Checkpoints directory.CheckpointStore
	// Changes receives the changes that other entries may ask for.
	Changes  *changefeed.Log
	Peers    Peers
	Listener Listener
	// SinceBoot returns the time since the machine booted, which goes on while the process is suspended.
	SinceBoot func() time.Duration
	Random    changefeed.Random
	// Draining reports whether this entry is about to end; it then writes no checkpoint.
	Draining func() bool
	Logger   *zap.Logger
	Metrics  *metrics.Set
}

// Peers sends requests to other entries.
type Peers interface {
	// Linked reports whether other entries can be asked.
	Linked() bool
	// Ask asks the entry at addr for the changes after a position. Its response comes by Watcher.Deliver.
	Ask(addr string, nonce uint64, after directory.Position)
}

// Listener is told what a Watcher learns. All methods are called by the goroutine of Run.
type Listener interface {
	// Publish replaces the snapshot by which callers are served.
	Publish(before, after *directory.Snapshot)
	// ConfigInForce follows the Publish of the first snapshot with this configuration.
	ConfigInForce(config *directory.Config)
	// EvacuationsChanged is told of evacuations that have begun or ended by the store's word.
	EvacuationsChanged(changed []directory.Evacuation)
	// EndpointListed is told of a registration among the changes.
	EndpointListed(e *directory.Endpoint)
	// ApplyRecord is given a record that an entry has written, RecordGone the name of one that the store no longer has.
	// RecordsRead is given all records of the store.
	ApplyRecord(now time.Time, record *directory.Record)
	RecordGone(name string)
	RecordsRead(now time.Time, records []directory.Record)
	// Proved is told that the snapshot holds all changes as of a time since boot, but for values that are being read.
	// ConfigProved is told that its configuration is the newest as of a time since boot.
	Proved(at time.Duration)
	ConfigProved(at time.Duration)
	// EraNoticed is told that the store has begun a new era, Restored that its state is in force.
	EraNoticed()
	Restored()
	// CallEnded is told of each call for the state or for changes.
	CallEnded(fullRead bool, took time.Duration, err error)
	// Tick is called about twice a second.
	Tick(now time.Time)
}
