package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
)

const (
	// gatherShare is the part of the time that a change may take for which more changes
	// are gathered after one: when many endpoints register one after the other, they
	// come with a few calls.
	gatherShare = 8
	// slowFactor bounds how much longer than the store's timeout a call may take while
	// calls fail, so that a store that is merely slow is not given up for ever.
	slowFactor = 2
	// retryFirst and retryMost bound the wait after a failed call; it doubles. The
	// first is short, as a call is often cut just when the store dropped history and
	// the state must be read anew.
	retryFirst = 40 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// expireInterval is how often lapsed registrations are looked for.
	expireInterval = 500 * time.Millisecond
)

// changesWithin is how soon a change of the store must be in force here.
func (g *Gateway) changesWithin() time.Duration {
	return min(g.settings.ConfigWithin.D(), g.settings.LeavingWithin.D())
}

// followWait is how long one call waits for a change. A store that drops its history
// leaves waiting calls without an answer until they end, and so does a connection that
// goes silent; with the store's timeout on top a change is still in force in time.
func (g *Gateway) followWait() time.Duration {
	return g.changesWithin() - g.settings.StoreTimeout.D()
}

// outOfDate tells whether the store has not been heard of for so long that a newer
// configuration may be in force elsewhere.
func (g *Gateway) outOfDate() bool {
	return g.since(&g.heardStoreAt) > g.settings.ConfigWithin.D()+g.settings.StoreTimeout.D()
}

// globalRand is the process-wide generator, safe for concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

func (globalRand) Float64() float64 { return rand.Float64() }

// follower is the control thread: it alone owns the replica, and publishes
// snapshots for the threads that serve callers.
type follower struct {
	gateway *Gateway
	replica *directory.Replica
	// stale is set when the state must be read as a whole.
	stale   bool
	outage  time.Time // since when the store gives no answer; zero: it does
	backoff time.Duration
	// timeout bounds the next call.
	timeout time.Duration
	// refused holds the revision at which each item was last found undecodable, so that
	// one that stays is logged once and not with each whole reading.
	refused map[string]uint64
}

// taken is what one call to the store brought.
type taken struct {
	reading *directory.Reading
	changes *directory.Changes
	err     error
}

func (g *Gateway) follow(ctx context.Context) {
	f := &follower{gateway: g, replica: directory.NewReplica(), stale: true, backoff: retryFirst, timeout: g.settings.StoreTimeout.D(), refused: map[string]uint64{}}
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	answers := make(chan taken, 1)
	f.call(ctx, 0, answers)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if f.replica.Expire(now) {
				f.publish()
			}
		case answer := <-answers:
			f.call(ctx, f.take(answer), answers)
		}
	}
}

// call makes one call to the store, after a pause, beside the control thread; it
// touches nothing of the follower's state. During an outage it does not wait for
// changes, so that the store's return is seen at once.
func (f *follower) call(ctx context.Context, pause time.Duration, answers chan<- taken) {
	stale, at, wait, timeout, gateway := f.stale, f.replica.At(), f.gateway.followWait(), f.timeout, f.gateway
	if stale || !f.outage.IsZero() {
		wait = 0
	}
	go func() {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(ctx, wait+timeout)
		defer cancel()
		var answer taken
		begun := time.Now()
		if stale {
			answer.reading, answer.err = gateway.source.Read(ctx)
		} else {
			answer.changes, answer.err = gateway.source.Follow(ctx, at, wait)
		}
		gateway.observeStore(stale, time.Since(begun), answer.err)
		answers <- answer
	}()
}

// take takes an answer in and tells how long to pause before the next call.
func (f *follower) take(answer taken) time.Duration {
	log, now := f.gateway.log, time.Now()
	switch {
	case errors.Is(answer.err, directory.ErrHistoryGone):
		f.stale = true
		log.Info("store_history_gone", zap.Uint64("at", f.replica.At()))
		return 0
	case answer.err != nil:
		if f.outage.IsZero() {
			f.outage = now
			log.Warn("store_lost", eventlog.Error(answer.err), zap.Uint64("at", f.replica.At()))
		}
		// Connections that went silent would fail every call that is given them.
		f.gateway.source.Reset()
		f.timeout = min(2*f.timeout, slowFactor*f.gateway.settings.StoreTimeout.D())
		pause := f.backoff/2 + time.Duration(rand.Int64N(int64(f.backoff)))
		f.backoff = min(2*f.backoff, retryMost)
		return pause
	}
	if !f.outage.IsZero() {
		log.Info("store_regained", zap.Duration("outage_ms", now.Sub(f.outage)))
		f.outage = time.Time{}
		f.replica.NoteOutageEnd(now)
	}
	f.backoff, f.timeout = retryFirst, f.gateway.settings.StoreTimeout.D()
	before := f.gateway.snapshot.Load().Config
	pause := time.Duration(0)
	switch {
	case answer.reading != nil:
		f.replica.TakeReading(now, answer.reading)
		f.stale = false
		f.logFaults(answer.reading.Faults)
		for i := range answer.reading.Records {
			f.gateway.hearRecord(now, &answer.reading.Records[i])
		}
	default:
		pause = f.gatherPause(answer.changes)
		f.replica.TakeChanges(now, answer.changes)
		f.logFaults(answer.changes.Faults)
		f.noteChanges(now, answer.changes)
	}
	f.gateway.heardStoreAt.Store(f.gateway.now())
	f.publish()
	if config := f.gateway.snapshot.Load().Config; config != before {
		f.gateway.configAt.Store(f.gateway.now())
		if before == nil {
			close(f.gateway.configured)
		}
		log.Info("config_in_force", zap.Uint64("version", config.Version), zap.Int("routes", config.RouteCount()), zap.Uint64("at", f.replica.At()))
	}
	return pause
}

func (f *follower) gatherPause(changes *directory.Changes) time.Duration {
	if len(changes.Changes) == 0 {
		return 0
	}
	return f.gateway.changesWithin() / gatherShare
}

// maxRefused bounds what is kept of undecodable items; beyond it they are logged anew.
const maxRefused = 10_000

func (f *follower) logFaults(faults []directory.Fault) {
	for _, fault := range faults {
		if f.refused[fault.Key] == fault.Revision {
			continue
		}
		if len(f.refused) >= maxRefused {
			clear(f.refused)
		}
		f.refused[fault.Key] = fault.Revision
		f.gateway.log.Error("store_item_refused", zap.String("key", fault.Key), zap.Uint64("revision", fault.Revision), eventlog.Error(fault.Err))
	}
}

// noteChanges logs changes, and passes on the records among them.
func (f *follower) noteChanges(now time.Time, changes *directory.Changes) {
	for i := range changes.Changes {
		switch change := &changes.Changes[i]; {
		case change.Record != nil:
			f.gateway.hearRecord(now, change.Record)
		case change.Gone != "":
			f.gateway.log.Info("endpoint_gone", zap.String("endpoint", change.Gone), zap.Uint64("revision", change.Revision))
		case change.Endpoint != nil && change.Endpoint.Leaving:
			f.gateway.log.Info("endpoint_leaving", zap.String("endpoint", change.Endpoint.ID), zap.Uint64("revision", change.Revision))
		case change.Endpoint != nil:
			f.gateway.log.Info("endpoint_listed", zap.String("endpoint", change.Endpoint.ID), zap.Int64("born", change.Endpoint.Born), zap.String("service", change.Endpoint.Service), zap.Uint64("revision", change.Revision))
		}
	}
}

func (f *follower) publish() {
	snapshot := f.replica.Snapshot()
	f.gateway.snapshot.Store(snapshot)
	known := func(life directory.Life) bool { return snapshot.Endpoint(life) != nil }
	f.gateway.pool.prune(known)
	f.gateway.prober.prune(known)
	f.gateway.paces.prune(known)
	f.gateway.ledger.Prune(known)
	f.gateway.peers.list(snapshot)
}
