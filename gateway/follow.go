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
	// batchPauseDivisor divides maxChangeDelay into the pause after a change, in which more
	// changes are collected: when many endpoints register one after the other, they are read
	// with few calls.
	batchPauseDivisor = 8
	// maxTimeoutFactor bounds the timeout of calls, which grows while they fail, as a multiple
	// of the store's configured timeout. Without the growth a store that is merely slow would
	// never be read.
	maxTimeoutFactor = 2
	// minBackoff and maxBackoff bound the wait after a failed call, which doubles each time.
	// The first wait is short because a call often breaks off just when the store has dropped
	// its history and the state must be read again.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// expireInterval is the time between two checks for endpoints that have been missing
	// for too long.
	expireInterval = 500 * time.Millisecond
)

// maxChangeDelay returns how soon a change in the store must be in force here.
func (g *Gateway) maxChangeDelay() time.Duration {
	return min(g.settings.ConfigWithin.D(), g.settings.LeavingWithin.D(), g.evacuationDelay())
}

// longPollWait returns how long one call waits for a change. A store that drops its history
// leaves waiting calls unanswered until they end, and so does a connection that goes silent.
// Together with the store's timeout the wait still ends within maxChangeDelay.
func (g *Gateway) longPollWait() time.Duration {
	return g.maxChangeDelay() - g.settings.StoreTimeout.D()
}

// configMayBeStale reports whether the store has not answered for so long that a newer
// configuration may be in force elsewhere.
func (g *Gateway) configMayBeStale() bool {
	return g.elapsedSince(&g.storeAnsweredAt) > g.settings.ConfigWithin.D()+g.settings.StoreTimeout.D()
}

// globalRand is the process-wide random number generator, safe for concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

func (globalRand) Float64() float64 { return rand.Float64() }

// storeWatcher keeps the replica of the store up to date. Only the goroutine of watchStore uses the
// replica; it publishes snapshots for the goroutines that serve callers.
type storeWatcher struct {
	gateway *Gateway
	replica *directory.Replica
	// needsFullRead is set when the whole state must be read instead of the changes.
	needsFullRead bool
	outageSince   time.Time // when the store stopped answering; zero while it answers
	backoff       time.Duration
	// timeout bounds the next call, besides its wait for a change.
	timeout time.Duration
	// loggedInvalidItems holds the revision at which each item was last found undecodable, so
	// that an item that stays is logged once and not with each full read.
	loggedInvalidItems map[string]uint64
	evacuationReads    evacuationReads
	// loggedUnknownRegions are the regions of the configuration in force that are logged as unknown.
	loggedUnknownRegions map[string]bool
}

// storeResult is the outcome of one call to the store: the state from a full read, the changes
// from any other, or an error.
type storeResult struct {
	state   *directory.StoreState
	changes *directory.Changes
	err     error
	// evacuations is set in the result of a read of evacuations alone, nil in those of other calls.
	evacuations *evacuationList
	// began is when the call began: what it returned is at least as new.
	began time.Time
}

// watchStore follows the store until ctx ends. One call is under way at a time.
func (g *Gateway) watchStore(ctx context.Context) {
	w := &storeWatcher{gateway: g, replica: g.replica, needsFullRead: true, backoff: minBackoff, timeout: g.settings.StoreTimeout.D(), loggedInvalidItems: map[string]uint64{}}
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	results := make(chan storeResult, 2) // of a call and a read of evacuations
	w.startCall(ctx, 0, results)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.refreshScarce(now)
			if w.replica.ExpireMissing(now) {
				w.publish()
			}
			g.logColdTransitions("")
		case <-g.publishRequested:
			w.publish()
		case result := <-results:
			if result.evacuations != nil {
				w.handleEvacuations(result.evacuations)
				continue
			}
			w.startCall(ctx, w.handleResult(result), results)
		}
	}
}

// startCall makes one call to the store, after a pause, in a goroutine of its own that does not
// touch the watcher's state. During an outage the call does not wait for changes, so that the
// store's return is noticed at once.
func (w *storeWatcher) startCall(ctx context.Context, pause time.Duration, results chan<- storeResult) {
	fullRead, revision, wait, timeout, gateway := w.needsFullRead, w.replica.Revision(), w.gateway.longPollWait(), w.timeout, w.gateway
	if fullRead || !w.outageSince.IsZero() {
		wait = 0
		w.readEvacuations(ctx, results)
	}
	go func() {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(ctx, wait+timeout)
		defer cancel()
		var result storeResult
		start := time.Now()
		result.began = start
		if fullRead {
			result.state, result.err = gateway.source.Read(ctx)
		} else {
			result.changes, result.err = gateway.source.Watch(ctx, revision, wait)
		}
		gateway.observeStoreCall(fullRead, time.Since(start), result.err)
		results <- result
	}()
}

// handleResult applies the outcome of a call and returns the pause before the next call.
func (w *storeWatcher) handleResult(result storeResult) time.Duration {
	log, now := w.gateway.log, time.Now()
	switch {
	case errors.Is(result.err, directory.ErrHistoryGone):
		w.needsFullRead = true
		log.Info("store_history_gone", zap.Uint64("at", w.replica.Revision()))
		return 0
	case result.err != nil:
		if w.outageSince.IsZero() {
			w.outageSince = now
			log.Warn("store_lost", eventlog.Error(result.err), zap.Uint64("at", w.replica.Revision()))
		}
		// Pooled connections that went silent would fail every call made on them.
		w.gateway.source.CloseIdleConnections()
		w.timeout = min(2*w.timeout, maxTimeoutFactor*w.gateway.settings.StoreTimeout.D())
		pause := w.backoff/2 + time.Duration(rand.Int64N(int64(w.backoff)))
		w.backoff = min(2*w.backoff, maxBackoff)
		return pause
	}
	if !w.outageSince.IsZero() {
		log.Info("store_regained", zap.Duration("outage_ms", now.Sub(w.outageSince)))
		w.outageSince = time.Time{}
		w.replica.SetOutageEnd(now)
	}
	w.backoff, w.timeout = minBackoff, w.gateway.settings.StoreTimeout.D()
	var evacuations []directory.Evacuation
	before := w.gateway.snapshot.Load().Config
	pause := time.Duration(0)
	switch {
	case result.state != nil:
		evacuations = w.replica.ApplyState(now, result.state)
		w.needsFullRead = false
		w.logInvalidItems(result.state.InvalidItems)
		for i := range result.state.Records {
			w.gateway.applyQuarantineRecord(now, &result.state.Records[i])
		}
	default:
		pause = w.batchPause(result.changes)
		evacuations = w.replica.ApplyChanges(now, result.changes)
		w.logInvalidItems(result.changes.InvalidItems)
		w.handleChanges(now, result.changes)
	}
	w.gateway.storeAnsweredAt.Store(w.gateway.uptimeNanos())
	w.gateway.cold().SetCurrent(result.began)
	w.publish()
	w.gateway.announceEvacuations(evacuations)
	if config := w.gateway.snapshot.Load().Config; config != before {
		w.gateway.configAppliedAt.Store(w.gateway.uptimeNanos())
		if before == nil {
			close(w.gateway.configured)
		}
		log.Info("config_in_force", zap.Uint64("version", config.Version), zap.Int("routes", config.RouteCount()), zap.Uint64("at", w.replica.Revision()))
		w.logUnknownRegions(config)
	}
	return pause
}

// batchPause returns how long to collect more changes before the next call.
func (w *storeWatcher) batchPause(changes *directory.Changes) time.Duration {
	if len(changes.Changes) == 0 {
		return 0
	}
	return w.gateway.maxChangeDelay() / batchPauseDivisor
}

// maxLoggedInvalidItems bounds loggedInvalidItems. A full map is cleared, and its items are
// logged again if they are still undecodable.
const maxLoggedInvalidItems = 10_000

// logInvalidItems logs the items of the store that could not be decoded, each revision once.
func (w *storeWatcher) logInvalidItems(items []directory.InvalidItem) {
	for _, item := range items {
		if w.loggedInvalidItems[item.Key] == item.Revision {
			continue
		}
		if len(w.loggedInvalidItems) >= maxLoggedInvalidItems {
			clear(w.loggedInvalidItems)
		}
		w.loggedInvalidItems[item.Key] = item.Revision
		w.gateway.log.Error("store_item_refused", zap.String("key", item.Key), zap.Uint64("revision", item.Revision), eventlog.Error(item.Err))
	}
}

// handleChanges logs the changes to endpoints and applies the records among the changes.
func (w *storeWatcher) handleChanges(now time.Time, changes *directory.Changes) {
	for i := range changes.Changes {
		switch change := &changes.Changes[i]; {
		case change.Record != nil:
			w.gateway.applyQuarantineRecord(now, change.Record)
		case change.EndpointGone != "":
			w.gateway.log.Info("endpoint_gone", zap.String("endpoint", change.EndpointGone), zap.Uint64("revision", change.Revision))
		case change.Endpoint != nil && change.Endpoint.Leaving:
			w.gateway.log.Info("endpoint_leaving", zap.String("endpoint", change.Endpoint.ID), zap.Uint64("revision", change.Revision))
		case change.Endpoint != nil:
			w.gateway.logLongCold(change.Endpoint.ID, change.Endpoint.ColdLeft)
			w.gateway.log.Info("endpoint_listed", zap.String("endpoint", change.Endpoint.ID), zap.Int64("born", change.Endpoint.StartUnixMilli), zap.String("service", change.Endpoint.Service), zap.Uint64("revision", change.Revision))
		}
	}
}

// publish makes the replica's state the current snapshot and drops what is kept of endpoints
// that are not in it.
func (w *storeWatcher) publish() {
	snapshot := w.replica.Snapshot()
	w.gateway.resumeEvacuated(w.gateway.snapshot.Load(), snapshot)
	w.gateway.snapshot.Store(snapshot)
	w.gateway.pool.prune(func(incarnation directory.Incarnation) bool { return snapshot.Endpoint(incarnation) != nil })
	w.gateway.prober.prune(snapshot.Known)
	w.gateway.slowdownMonitor.prune(snapshot.Known)
	w.gateway.shareLimits(snapshot)
	w.gateway.updateReturnCapacity(time.Now(), snapshot)
	w.gateway.shareCold(snapshot, snapshot.Known)
	w.gateway.loadTracker.Prune(snapshot.Known)
	w.gateway.peers.setMembers(snapshot)
}
