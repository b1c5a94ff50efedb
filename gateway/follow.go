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
	// batchPauseDivisor is the part of the time that a change may take for which more changes
	// are gathered after one: when many endpoints register one after the other, they
	// come with a few calls.
	batchPauseDivisor = 8
	// maxTimeoutFactor bounds how much longer than the store's timeout a call may take while
	// calls fail, so that a store that is merely slow is not given up for ever.
	maxTimeoutFactor = 2
	// minBackoff and retryMost bound the wait after a failed call; it doubles. The
	// first is short, as a call is often cut just when the store dropped history and
	// the state must be read anew.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// expireInterval is how often lapsed registrations are looked for.
	expireInterval = 500 * time.Millisecond
)

// maxChangeDelay is how soon a change of the store must be in force here.
func (g *Gateway) maxChangeDelay() time.Duration {
	return min(g.settings.ConfigWithin.D(), g.settings.LeavingWithin.D())
}

// longPollWait is how long one call waits for a change. A store that drops its history
// leaves waiting calls without an answer until they end, and so does a connection that
// goes silent; with the store's timeout on top a change is still in force in time.
func (g *Gateway) longPollWait() time.Duration {
	return g.maxChangeDelay() - g.settings.StoreTimeout.D()
}

// configMayBeStale tells whether the store has not been heard of for so long that a newer
// configuration may be in force elsewhere.
func (g *Gateway) configMayBeStale() bool {
	return g.elapsedSince(&g.storeAnsweredAt) > g.settings.ConfigWithin.D()+g.settings.StoreTimeout.D()
}

// globalRand is the process-wide generator, safe for concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

func (globalRand) Float64() float64 { return rand.Float64() }

// storeWatcher is the control thread: it alone owns the replica, and publishes
// snapshots for the threads that serve callers.
type storeWatcher struct {
	gateway *Gateway
	replica *directory.Replica
	// needsFullRead is set when the state must be read as a whole.
	needsFullRead bool
	outageSince   time.Time // since when the store gives no answer; zero: it does
	backoff       time.Duration
	// timeout bounds the next call.
	timeout time.Duration
	// loggedFaults holds the revision at which each item was last found undecodable, so that
	// one that stays is logged once and not with each whole reading.
	loggedFaults map[string]uint64
}

// storeAnswer is what one call to the store brought.
type storeAnswer struct {
	state   *directory.StoreState
	changes *directory.Changes
	err     error
}

func (g *Gateway) watchStore(ctx context.Context) {
	f := &storeWatcher{gateway: g, replica: directory.NewReplica(), needsFullRead: true, backoff: minBackoff, timeout: g.settings.StoreTimeout.D(), loggedFaults: map[string]uint64{}}
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	answers := make(chan storeAnswer, 1)
	f.startCall(ctx, 0, answers)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if f.replica.ExpireMissing(now) {
				f.publish()
			}
		case answer := <-answers:
			f.startCall(ctx, f.handleAnswer(answer), answers)
		}
	}
}

// startCall makes one startCall to the store, after a pause, beside the control thread; it
// touches nothing of the follower's state. During an outage it does not wait for
// changes, so that the store's return is seen at once.
func (f *storeWatcher) startCall(ctx context.Context, pause time.Duration, answers chan<- storeAnswer) {
	stale, at, wait, timeout, gateway := f.needsFullRead, f.replica.Revision(), f.gateway.longPollWait(), f.timeout, f.gateway
	if stale || !f.outageSince.IsZero() {
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
		var answer storeAnswer
		begun := time.Now()
		if stale {
			answer.state, answer.err = gateway.source.Read(ctx)
		} else {
			answer.changes, answer.err = gateway.source.Watch(ctx, at, wait)
		}
		gateway.observeStoreCall(stale, time.Since(begun), answer.err)
		answers <- answer
	}()
}

// handleAnswer takes an answer in and tells how long to pause before the next call.
func (f *storeWatcher) handleAnswer(answer storeAnswer) time.Duration {
	log, now := f.gateway.log, time.Now()
	switch {
	case errors.Is(answer.err, directory.ErrHistoryGone):
		f.needsFullRead = true
		log.Info("store_history_gone", zap.Uint64("at", f.replica.Revision()))
		return 0
	case answer.err != nil:
		if f.outageSince.IsZero() {
			f.outageSince = now
			log.Warn("store_lost", eventlog.Error(answer.err), zap.Uint64("at", f.replica.Revision()))
		}
		// Connections that went silent would fail every call that is given them.
		f.gateway.source.CloseIdleConnections()
		f.timeout = min(2*f.timeout, maxTimeoutFactor*f.gateway.settings.StoreTimeout.D())
		pause := f.backoff/2 + time.Duration(rand.Int64N(int64(f.backoff)))
		f.backoff = min(2*f.backoff, maxBackoff)
		return pause
	}
	if !f.outageSince.IsZero() {
		log.Info("store_regained", zap.Duration("outage_ms", now.Sub(f.outageSince)))
		f.outageSince = time.Time{}
		f.replica.SetOutageEnd(now)
	}
	f.backoff, f.timeout = minBackoff, f.gateway.settings.StoreTimeout.D()
	before := f.gateway.snapshot.Load().Config
	pause := time.Duration(0)
	switch {
	case answer.state != nil:
		f.replica.ApplyState(now, answer.state)
		f.needsFullRead = false
		f.logFaults(answer.state.InvalidItems)
		for i := range answer.state.Records {
			f.gateway.applyQuarantineRecord(now, &answer.state.Records[i])
		}
	default:
		pause = f.batchPause(answer.changes)
		f.replica.ApplyChanges(now, answer.changes)
		f.logFaults(answer.changes.InvalidItems)
		f.handleChanges(now, answer.changes)
	}
	f.gateway.storeAnsweredAt.Store(f.gateway.uptimeNanos())
	f.publish()
	if config := f.gateway.snapshot.Load().Config; config != before {
		f.gateway.configAppliedAt.Store(f.gateway.uptimeNanos())
		if before == nil {
			close(f.gateway.configured)
		}
		log.Info("config_in_force", zap.Uint64("version", config.Version), zap.Int("routes", config.RouteCount()), zap.Uint64("at", f.replica.Revision()))
	}
	return pause
}

func (f *storeWatcher) batchPause(changes *directory.Changes) time.Duration {
	if len(changes.Changes) == 0 {
		return 0
	}
	return f.gateway.maxChangeDelay() / batchPauseDivisor
}

// maxLoggedFaults bounds what is kept of undecodable items; beyond it they are logged anew.
const maxLoggedFaults = 10_000

func (f *storeWatcher) logFaults(faults []directory.InvalidItem) {
	for _, fault := range faults {
		if f.loggedFaults[fault.Key] == fault.Revision {
			continue
		}
		if len(f.loggedFaults) >= maxLoggedFaults {
			clear(f.loggedFaults)
		}
		f.loggedFaults[fault.Key] = fault.Revision
		f.gateway.log.Error("store_item_refused", zap.String("key", fault.Key), zap.Uint64("revision", fault.Revision), eventlog.Error(fault.Err))
	}
}

// handleChanges logs changes, and passes on the records among them.
func (f *storeWatcher) handleChanges(now time.Time, changes *directory.Changes) {
	for i := range changes.Changes {
		switch change := &changes.Changes[i]; {
		case change.Record != nil:
			f.gateway.applyQuarantineRecord(now, change.Record)
		case change.EndpointGone != "":
			f.gateway.log.Info("endpoint_gone", zap.String("endpoint", change.EndpointGone), zap.Uint64("revision", change.Revision))
		case change.Endpoint != nil && change.Endpoint.Leaving:
			f.gateway.log.Info("endpoint_leaving", zap.String("endpoint", change.Endpoint.ID), zap.Uint64("revision", change.Revision))
		case change.Endpoint != nil:
			f.gateway.log.Info("endpoint_listed", zap.String("endpoint", change.Endpoint.ID), zap.Int64("born", change.Endpoint.StartUnixMilli), zap.String("service", change.Endpoint.Service), zap.Uint64("revision", change.Revision))
		}
	}
}

func (f *storeWatcher) publish() {
	snapshot := f.replica.Snapshot()
	f.gateway.snapshot.Store(snapshot)
	known := func(life directory.Incarnation) bool { return snapshot.Endpoint(life) != nil }
	f.gateway.pool.prune(known)
	f.gateway.prober.prune(known)
	f.gateway.paces.prune(known)
	f.gateway.ledger.Prune(known)
	f.gateway.peers.setMembers(snapshot)
}
