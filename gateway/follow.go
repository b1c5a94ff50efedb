package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
)

const (
	// maxTimeoutFactor bounds the timeout of calls, which grows while they fail, as a multiple
	// of the store's configured timeout. Without the growth a store that is merely slow would
	// never be read.
	maxTimeoutFactor = 2
	// minBackoff is the wait after a failed call, which doubles each time up to
	// storeWatcher.maxBackoff. The first wait is short because a call often breaks off just when the
	// store has dropped its history and the state must be read again.
	minBackoff = 40 * time.Millisecond
	// maxStartBackoff bounds the wait after failed calls before the first state is known, maxBackoffShare
	// later on, as a share of the time within which changes must be known: other entries may know them
	// meanwhile.
	maxStartBackoff = 400 * time.Millisecond
	maxBackoffShare = 0.4
	// expireInterval is the time between two checks for endpoints that have been missing
	// for too long.
	expireInterval = 500 * time.Millisecond
)

// maxChangeDelay returns how soon a change in the store must be in force here.
func (g *Gateway) maxChangeDelay() time.Duration {
	return min(g.settings.ConfigWithin.D(), g.settings.LeavingWithin.D(), g.evacuationDelay())
}

// maxBackoff returns the longest wait after a failed call to the store.
func (w *storeWatcher) maxBackoff() time.Duration {
	if w.replica.At().IsZero() {
		return maxStartBackoff
	}
	return scaleDuration(w.gateway.maxChangeDelay(), maxBackoffShare)
}

// longPollWait returns how long one call waits for a change. A store that drops its history
// leaves waiting calls unanswered until they end, and so does a connection that goes silent.
// Together with the store's timeout the wait still ends within maxChangeDelay.
func (g *Gateway) longPollWait() time.Duration {
	return g.maxChangeDelay() - g.settings.StoreTimeout.D()
}

// stateAge returns the time since the state was last known to be current; the time since boot if it never
// was.
func (g *Gateway) stateAge() time.Duration { return bootTime() - time.Duration(g.currentAt.Load()) }

// configMayBeStale reports whether the state has not been known to be current for so long that a newer
// configuration may be in force elsewhere.
func (g *Gateway) configMayBeStale() bool {
	return g.stateAge() > g.settings.ConfigWithin.D()+g.settings.StoreTimeout.D()
}

// globalRand is the process-wide random number generator, safe for concurrent use.
type globalRand struct{}

func (globalRand) IntN(n int) int { return rand.IntN(n) }

func (globalRand) Float64() float64 { return rand.Float64() }

// storeWatcher keeps the replica of the store up to date, by calls to the store or by what other entries
// pass on. Only the goroutine of watchStore uses the replica; it publishes snapshots for the goroutines
// that serve callers.
type storeWatcher struct {
	gateway  *Gateway
	replica  *directory.Replica
	follower *changefeed.Follower
	// membersOf is the snapshot whose entries the follower knows, addrs their addresses.
	membersOf *directory.Snapshot
	addrs     map[string]string
	// needsFullRead is set when the whole state must be read instead of the changes, stateRead once it has
	// been read.
	needsFullRead, stateRead bool
	// calling is set while a call is under way. The next one begins at callNotBefore or later.
	calling       bool
	callNotBefore time.Duration
	// readNotBefore is when the state may be read in full after a loss.
	readNotBefore time.Duration
	// era is the latest era that was noticed; the state is of this era unless it must be read in full.
	era directory.Era
	// ignoredEra is an era that another entry has claimed and the store does not confirm.
	ignoredEra directory.Era
	// reading is the key of an item that is being read, as its value was omitted; readingFrom is
	// its earliest position. itemsRead holds the positions up to which such items are known.
	reading     string
	readingFrom directory.Position
	itemsRead   map[string]directory.Position
	publishedAt time.Time
	outageSince time.Time // when the store stopped answering; zero while it answers
	backoff     time.Duration
	// timeout bounds the next call, besides its wait for a change.
	timeout time.Duration
	// loggedInvalidItems holds the position at which each item was last found undecodable, so
	// that an item that stays is logged once and not with each full read.
	loggedInvalidItems map[string]directory.Position
	evacuationReads    evacuationReads
	// loggedUnknownRegions are the regions of the configuration in force that are logged as unknown.
	loggedUnknownRegions map[string]bool
}

// storeResult is the outcome of one call to the store: the state from a full read, with the changes since
// then if it was stale, the changes from any other call, or an error.
type storeResult struct {
	state   *directory.StoreState
	changes *directory.Changes
	err     error
	// evacuations is set in the result of a read of evacuations alone, nil in those of other calls.
	evacuations *evacuationList
	// began is when the call began, since boot: what it returned is at least as new. after is the position
	// up to which changes were known then.
	began time.Duration
	after directory.Position
}

// newStoreWatcher returns a watcher that has no state yet.
func (g *Gateway) newStoreWatcher() *storeWatcher {
	return &storeWatcher{
		gateway: g, replica: g.replica, needsFullRead: true, backoff: minBackoff, timeout: g.settings.StoreTimeout.D(),
		addrs: map[string]string{}, itemsRead: map[string]directory.Position{}, loggedInvalidItems: map[string]directory.Position{},
		follower: changefeed.NewFollower(changefeed.Config{
			Name: g.settings.Name, DataCentre: g.settings.DataCentre, Bound: g.maxChangeDelay(), SoloWait: g.longPollWait(),
			CheckpointInterval: g.settings.StoreHistory.D() / checkpointsPerHistory,
		}, globalRand{}),
	}
}

// watchStore follows the store until ctx ends. One call for changes is under way at a time.
func (g *Gateway) watchStore(ctx context.Context) {
	w := g.newStoreWatcher()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	results := make(chan storeResult, 2) // of a call and a read of evacuations
	reads := make(chan itemRead, 1)
	for {
		w.noticeEra()
		w.askEntries()
		w.call(ctx, results)
		w.writeCheckpoint(ctx)
		timer.Reset(w.untilNext())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.source.EraChanged():
		case now := <-ticker.C:
			g.refreshScarce(now)
			g.announceEvacuations(w.replica.Evacuations().EndUnconfirmed(now))
			if w.replica.ExpireMissing(now) || now.Sub(w.publishedAt) > g.longPollWait() {
				w.publish()
			}
			g.logColdTransitions("")
		case <-g.publishRequested:
			w.publish()
		case response := <-g.feed.responses:
			w.handleResponse(ctx, &response, reads)
		case read := <-reads:
			w.handleItemRead(ctx, &read, reads)
		case result := <-results:
			if result.evacuations != nil {
				w.handleEvacuations(result.evacuations)
				continue
			}
			w.calling = false
			w.callNotBefore = bootTime() + w.handleResult(result)
		}
	}
}

// untilNext returns how long to wait for the next request to an entry or call to the store.
func (w *storeWatcher) untilNext() time.Duration {
	now := bootTime()
	w.gateway.watching.Store(w.follower.Watching(now))
	next := w.follower.Next(now)
	if !w.calling {
		if reason, _ := w.callDue(now); reason != changefeed.CallNone {
			next = min(next, w.nextCallAt())
		}
	}
	return max(next-now, minIdle)
}

// nextCallAt returns from when on the next call may begin.
func (w *storeWatcher) nextCallAt() time.Duration {
	if w.needsFullRead {
		return max(w.callNotBefore, w.readNotBefore)
	}
	return w.callNotBefore
}

// minIdle is the shortest time between two looks for something to do.
const minIdle = time.Millisecond

// callDue returns why the store is to be called for its state or for changes, and how long the call waits
// for them. During an outage the call does not wait for changes, so that the store's return is noticed at
// once.
func (w *storeWatcher) callDue(now time.Duration) (reason changefeed.CallReason, wait time.Duration) {
	if w.needsFullRead {
		return callFullRead, 0
	}
	reason, wait = w.follower.Call(now)
	if !w.outageSince.IsZero() {
		wait = 0
	}
	return reason, wait
}

// callFullRead is the reason for a call that reads the whole state.
const callFullRead changefeed.CallReason = "full_read"

// call calls the store if that is due, in a goroutine of its own that does not touch the watcher's state.
func (w *storeWatcher) call(ctx context.Context, results chan<- storeResult) {
	now := bootTime()
	reason, wait := w.callDue(now)
	if w.calling || reason == changefeed.CallNone || now < w.nextCallAt() {
		return
	}
	if w.needsFullRead || !w.outageSince.IsZero() {
		w.readEvacuations(ctx, results)
	}
	w.calling = true
	fullRead, after, timeout, gateway := w.needsFullRead, w.replica.At(), w.timeout, w.gateway
	go func() {
		ctx, cancel := context.WithTimeout(directory.WithCallReason(ctx, string(reason)), wait+timeout)
		defer cancel()
		start := time.Now()
		result := storeResult{began: bootTime(), after: after}
		switch {
		case fullRead && (after.IsZero() || gateway.source.Era().Stated() > after.Era().Stated()):
			var read startState
			if read, result.err = gateway.readAtStart(ctx); result.err == nil {
				result.state, result.changes = read.state, read.changes
				gateway.logStart(read, time.Since(start))
			}
		case fullRead:
			result.state, result.err = gateway.source.Read(ctx, false)
		default:
			result.changes, result.err = gateway.source.Watch(ctx, after, wait)
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
		log.Info("store_history_gone", zap.Uint64("at", w.replica.At().Revision()), zap.Stringer("era", w.gateway.source.Era()))
		return 0
	case errors.Is(result.err, directory.ErrEraChanged):
		return 0 // noticeEra sees to it
	case result.err != nil:
		if w.outageSince.IsZero() {
			w.outageSince = now
			log.Warn("store_lost", eventlog.Error(result.err), zap.Uint64("at", w.replica.At().Revision()))
		}
		// Pooled connections that went silent would fail every call made on them.
		w.gateway.source.CloseIdleConnections()
		w.timeout = min(2*w.timeout, maxTimeoutFactor*w.gateway.settings.StoreTimeout.D())
		return w.backOff()
	}
	if !w.outageSince.IsZero() {
		w.endOutage(fromStore)
		w.setOutageEnd(now)
	}
	if result.state != nil && result.after.After(result.state.At) {
		return w.assumeRestored(result)
	}
	w.backoff, w.timeout = minBackoff, w.gateway.settings.StoreTimeout.D()
	w.follower.Prove(result.began)
	if result.state != nil {
		w.needsFullRead = false
		w.gateway.feed.log.Reset(result.state.At)
		w.applyState(result.state, result.changes)
		w.prove(result.began)
		return 0
	}
	w.gateway.feed.log.Append(result.changes.Items, result.changes.At)
	w.applyChanges(result.changes)
	w.prove(result.began)
	if len(result.changes.Changes) == 0 {
		return 0
	}
	return w.follower.BatchPause()
}

// backOff returns the pause after a failed call. The next one is twice as long.
func (w *storeWatcher) backOff() time.Duration {
	pause := w.backoff/2 + time.Duration(rand.Int64N(int64(w.backoff)))
	w.backoff = min(2*w.backoff, w.maxBackoff())
	return pause
}

// setOutageEnd records that the store answered again after an outage or a loss.
func (w *storeWatcher) setOutageEnd(now time.Time) {
	w.replica.SetOutageEnd(now)
	w.gateway.feed.log.SetOutageEnd(bootTime() - time.Since(now))
}

// endOutage notes that the state is current again: by the store itself or by what an entry passes on.
func (w *storeWatcher) endOutage(from string) {
	if w.outageSince.IsZero() {
		return
	}
	w.gateway.log.Info("store_regained", zap.Duration("outage_ms", time.Since(w.outageSince)), zap.String("heard_from", from))
	w.outageSince = time.Time{}
}

// prove records that the replica was current at a time since boot.
func (w *storeWatcher) prove(at time.Duration) {
	w.gateway.feed.log.Prove(at)
	if g := w.gateway; int64(at) > g.currentAt.Load() {
		g.currentAt.Store(int64(at))
	}
	w.gateway.cold().SetCurrent(time.Now().Add(at - bootTime()))
}

// applyState applies the result of a full read, and the changes since then if it was stale, before either
// is used.
func (w *storeWatcher) applyState(state *directory.StoreState, changes *directory.Changes) {
	now := time.Now()
	if !w.stateRead {
		w.stateRead = true
		close(w.gateway.stateRead)
	}
	before := w.replica.At()
	evacuations := w.replica.ApplyState(now, state)
	if !before.IsZero() && !w.replica.At().SameEra(before) {
		w.handleRestored(before, state.At)
	}
	if changes != nil {
		w.gateway.feed.log.Append(changes.Items, changes.At)
		evacuations = append(evacuations, w.replica.ApplyChanges(now, changes)...)
		w.logInvalidItems(changes.InvalidItems)
		w.handleChanges(now, changes)
	}
	w.logInvalidItems(state.InvalidItems)
	for i := range state.Records {
		w.gateway.applyQuarantineRecord(now, &state.Records[i])
	}
	w.publishChanges(evacuations)
}

// applyChanges applies changes, from the store or from another entry. What is known already is left out: a
// call to the store may be answered after another entry has passed on later changes.
func (w *storeWatcher) applyChanges(changes *directory.Changes) {
	now, known := time.Now(), w.replica.At()
	if !changes.At.SameEra(known) {
		return
	}
	changes.Changes = slices.DeleteFunc(changes.Changes, func(c directory.Change) bool { return known.AtLeast(c.At) })
	evacuations := w.replica.ApplyChanges(now, changes)
	w.logInvalidItems(changes.InvalidItems)
	w.handleChanges(now, changes)
	if len(changes.Changes) > 0 {
		w.publishChanges(evacuations)
	}
}

// publishChanges publishes a snapshot and tells others of the evacuations that have begun or ended.
func (w *storeWatcher) publishChanges(evacuations []directory.Evacuation) {
	before := w.gateway.snapshot.Load().Config
	w.publish()
	w.gateway.announceEvacuations(evacuations)
	config := w.gateway.snapshot.Load().Config
	if config == before {
		return
	}
	w.gateway.configAppliedAt.Store(w.gateway.uptimeNanos())
	if before == nil {
		close(w.gateway.configured)
	}
	w.gateway.log.Info("config_in_force", zap.Uint64("version", config.Version), zap.Int("routes", config.RouteCount()), zap.Uint64("at", w.replica.At().Revision()), zap.Stringer("era", w.replica.At().Era()))
	w.logUnknownRegions(config)
}

// maxLoggedInvalidItems bounds loggedInvalidItems. A full map is cleared, and its items are
// logged again if they are still undecodable.
const maxLoggedInvalidItems = 10_000

// logInvalidItems logs the items of the store that could not be decoded, each revision once.
func (w *storeWatcher) logInvalidItems(items []directory.InvalidItem) {
	for _, item := range items {
		if w.loggedInvalidItems[item.Key] == item.At {
			continue
		}
		if len(w.loggedInvalidItems) >= maxLoggedInvalidItems {
			clear(w.loggedInvalidItems)
		}
		w.loggedInvalidItems[item.Key] = item.At
		w.gateway.log.Error("store_item_refused", zap.String("key", item.Key), zap.Uint64("revision", item.At.Revision()), eventlog.Error(item.Err))
	}
}

// handleChanges logs the changes to endpoints and applies the records among the changes.
func (w *storeWatcher) handleChanges(now time.Time, changes *directory.Changes) {
	for i := range changes.Changes {
		switch change := &changes.Changes[i]; {
		case change.Record != nil:
			w.gateway.applyQuarantineRecord(now, change.Record)
		case change.EndpointGone != "":
			w.gateway.log.Info("endpoint_gone", zap.String("endpoint", change.EndpointGone), zap.Uint64("revision", change.At.Revision()))
		case change.Endpoint != nil && change.Endpoint.Leaving:
			w.gateway.log.Info("endpoint_leaving", zap.String("endpoint", change.Endpoint.ID), zap.Uint64("revision", change.At.Revision()))
		case change.Endpoint != nil:
			w.gateway.logLongCold(change.Endpoint.ID, change.Endpoint.ColdLeft)
			w.gateway.log.Info("endpoint_listed", zap.String("endpoint", change.Endpoint.ID), zap.Int64("born", change.Endpoint.StartUnixMilli), zap.String("service", change.Endpoint.Service), zap.Uint64("revision", change.At.Revision()))
		}
	}
}

// publish makes the replica's state the current snapshot and drops what is kept of endpoints
// that are not in it.
func (w *storeWatcher) publish() {
	w.publishedAt = time.Now()
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
