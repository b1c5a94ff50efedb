package storewatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/progress"
)

const (
	// maxTimeoutFactor bounds the timeout of calls, which grows while they fail, as a multiple
	// of the store's configured timeout. Without the growth a store that is merely slow would
	// never be read.
	maxTimeoutFactor = 2
	// minBackoff is the wait after a failed call, which doubles each time up to
	// Watcher.maxBackoff. The first wait is short because a call often breaks off just when the
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
	// maxWatchBytes and watchTransferShare, a share of the time within which changes must be known, bound the response
	// of a watch. A longer one has several versions of a configuration or holds up the changes of endpoints behind
	// one; the changes and the last version are then read side by side.
	maxWatchBytes      = 256 << 10
	watchTransferShare = 0.18
	// fromStore stands for the store in log lines that name who passed on the state.
	fromStore = "store"
)

// maxBackoff returns the longest wait after a failed call to the store.
func (w *Watcher) maxBackoff() time.Duration {
	if w.replica.At().IsZero() {
		return maxStartBackoff
	}
	return scale(w.config.ChangeWithin, maxBackoffShare)
}

// longPollWait returns how long one call waits for a change. A store that drops its history
// leaves waiting calls unanswered until they end, and so does a connection that goes silent.
// Together with the store's timeout the wait still ends within ChangeWithin.
func (w *Watcher) longPollWait() time.Duration { return w.config.ChangeWithin - w.config.StoreTimeout }

// scale returns a share of a duration.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// Watcher keeps a replica of the store up to date, by calls to the store or by what other entries
// pass on. Only the goroutine of Run uses the replica, apart from its statements and evacuations; it
// publishes snapshots for the goroutines that serve callers.
type Watcher struct {
	config   Config
	replica  *directory.Replica
	follower *changefeed.Follower
	// snapshot is the one that was published last.
	snapshot *directory.Snapshot
	// responses holds the responses of other entries that are not used yet. More are dropped, like datagrams.
	responses chan Response
	// publishRequested makes a new snapshot be published.
	publishRequested chan struct{}
	// read is closed when the state has been read for the first time.
	read chan struct{}
	// watching is set while this entry watches the store for others, or knows no other.
	watching atomic.Bool
	// configAwaitedSince is when a newer configuration became known that is not in force and that the store could
	// have given since, in nanoseconds since boot; 0 if there is none.
	configAwaitedSince atomic.Int64
	// checkpointBytes is the size of the last checkpoint that this entry made.
	checkpointBytes atomic.Int64
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
	// values are those that are read by themselves.
	values awaitedValues
	// divided is set if the next call reads the changes without a configuration that may be long.
	divided     bool
	publishedAt time.Time
	outageSince time.Time // when the store stopped answering; zero while it answers
	backoff     time.Duration
	// historyGone counts the watches in a row for which the store had no history.
	historyGone int
	// timeout bounds the next call, besides its wait for a change.
	timeout time.Duration
	// loggedInvalidItems holds the position at which each item was last found undecodable, so
	// that an item that stays is logged once and not with each full read.
	loggedInvalidItems map[string]directory.Position
	evacuationReads    evacuationReads
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

// New returns a watcher that has no state yet; Run starts it.
func New(config Config) *Watcher {
	w := &Watcher{
		config: config, replica: directory.NewReplica(), snapshot: directory.EmptySnapshot(), needsFullRead: true, backoff: minBackoff, timeout: config.StoreTimeout,
		responses: make(chan Response, maxResponses), publishRequested: make(chan struct{}, 1), read: make(chan struct{}),
		addrs: map[string]string{}, values: newAwaitedValues(), loggedInvalidItems: map[string]directory.Position{},
	}
	w.follower = changefeed.NewFollower(changefeed.Config{
		Name: config.Name, DataCentre: config.DataCentre, Bound: config.ChangeWithin, SoloWait: w.longPollWait(),
		CheckpointInterval: config.StoreHistory / checkpointsPerHistory,
	}, config.Random)
	return w
}

// StatedLeaving returns the endpoints that have stated themselves that they leave. It is safe for concurrent
// use; RequestPublish makes snapshots reflect a change.
func (w *Watcher) StatedLeaving() *directory.StatedLeaving { return w.replica.StatedLeaving() }

// Evacuations returns the evacuations of data centres. It is safe for concurrent use; RequestPublish makes
// snapshots reflect a change.
func (w *Watcher) Evacuations() *directory.Evacuations { return w.replica.Evacuations() }

// StateRead returns a channel that is closed when the state has been read for the first time.
func (w *Watcher) StateRead() <-chan struct{} { return w.read }

// ConfigAwaited returns for how long a newer configuration has been known of that is not in force; 0 if there is none, or
// while the store does not answer.
func (w *Watcher) ConfigAwaited() time.Duration {
	if since := w.configAwaitedSince.Load(); since > 0 {
		return w.config.SinceBoot() - time.Duration(since)
	}
	return 0
}

// Watching reports whether this entry watches the store for others, or knows no other.
func (w *Watcher) Watching() bool { return w.watching.Load() }

// CheckpointBytes returns the size of the last checkpoint that this entry made.
func (w *Watcher) CheckpointBytes() int64 { return w.checkpointBytes.Load() }

// RequestPublish makes a new snapshot be published soon.
func (w *Watcher) RequestPublish() {
	select {
	case w.publishRequested <- struct{}{}:
	default:
	}
}

// Run follows the store until ctx ends. One call for changes is under way at a time.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	results := make(chan storeResult, 2) // of a call and a read of evacuations
	reads := make(chan valueRead, 1)
	for {
		w.noticeEra()
		w.askEntries()
		w.call(ctx, results)
		w.readValue(ctx, reads)
		w.noteAwaitedConfig()
		w.writeCheckpoint(ctx)
		timer.Reset(w.untilNext())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.config.Source.EraChanged():
		case now := <-ticker.C:
			w.config.Listener.Tick(now)
			w.announceEvacuations(w.replica.Evacuations().EndUnconfirmed(now))
			if w.replica.ExpireMissing(now) || now.Sub(w.publishedAt) > w.longPollWait() {
				w.publish()
			}
		case <-w.publishRequested:
			w.publish()
		case response := <-w.responses:
			w.handleResponse(&response)
		case read := <-reads:
			w.handleValueRead(&read)
		case result := <-results:
			if result.evacuations != nil {
				w.handleEvacuations(result.evacuations)
				continue
			}
			w.calling = false
			w.callNotBefore = w.config.SinceBoot() + w.handleResult(result)
		}
	}
}

// untilNext returns how long to wait for the next request to an entry or call to the store.
func (w *Watcher) untilNext() time.Duration {
	now := w.config.SinceBoot()
	w.watching.Store(w.follower.Watching(now))
	next := w.follower.Next(now)
	if !w.calling {
		if reason, _ := w.callDue(now); reason != changefeed.CallNone {
			next = min(next, w.nextCallAt())
		}
	}
	if w.values.reading == "" && len(w.values.byKey) > 0 && !w.needsFullRead {
		next = min(next, w.values.notBefore)
	}
	return max(next-now, minIdle)
}

// nextCallAt returns from when on the next call may begin.
func (w *Watcher) nextCallAt() time.Duration {
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
func (w *Watcher) callDue(now time.Duration) (reason changefeed.CallReason, wait time.Duration) {
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
func (w *Watcher) call(ctx context.Context, results chan<- storeResult) {
	now := w.config.SinceBoot()
	reason, wait := w.callDue(now)
	if w.calling || reason == changefeed.CallNone || now < w.nextCallAt() {
		return
	}
	if w.needsFullRead || !w.outageSince.IsZero() {
		w.readEvacuations(ctx, results)
	}
	w.calling = true
	fullRead, divided, after := w.needsFullRead, w.divided, w.replica.At()
	limits := progress.Limits{Answer: wait + w.timeout, Stall: w.timeout}
	if !fullRead && !divided {
		limits.Transfer, limits.TransferBytes = scale(w.config.ChangeWithin, watchTransferShare), maxWatchBytes
	}
	go func() {
		ctx, cancel := progress.WithLimits(directory.WithCallReason(ctx, string(reason)), limits)
		defer cancel()
		start := time.Now()
		result := storeResult{began: w.config.SinceBoot(), after: after}
		switch {
		case fullRead && (after.IsZero() || w.config.Source.Era().Stated() > after.Era().Stated()):
			var read startState
			if read, result.err = w.readAtStart(ctx); result.err == nil {
				result.state, result.changes = read.state, read.changes
				w.logStart(read, time.Since(start))
			}
		case fullRead:
			result.state, result.err = w.config.Source.ReadWithoutConfig(ctx)
		case divided:
			result.changes, result.err = w.config.Source.ReadChanges(ctx, after)
		default:
			result.changes, result.err = w.config.Source.Watch(ctx, after, wait)
		}
		w.config.Listener.CallEnded(fullRead, time.Since(start), result.err)
		results <- result
	}()
}

// handleResult applies the outcome of a call and returns the pause before the next call.
func (w *Watcher) handleResult(result storeResult) time.Duration {
	log, now := w.config.Logger, time.Now()
	switch {
	case errors.Is(result.err, directory.ErrHistoryGone):
		w.needsFullRead = true
		w.historyGone++
		log.Info("store_history_gone", zap.Uint64("at", w.replica.At().Revision()), zap.Stringer("era", w.config.Source.Era()))
		if w.historyGone > 1 {
			return w.backOff() // although the state has just been read
		}
		return 0
	case errors.Is(result.err, directory.ErrEraChanged):
		return 0 // noticeEra sees to it
	case errors.Is(result.err, progress.ErrLongResponse):
		w.divided = true
		w.config.Metrics.GetOrCreateCounter("aspenyard_gateway_long_watches_total").Inc()
		return 0
	case result.err != nil:
		if w.outageSince.IsZero() {
			w.outageSince = now
			log.Warn("store_lost", eventlog.Error(result.err), zap.Uint64("at", w.replica.At().Revision()))
		}
		// Pooled connections that went silent would fail every call made on them.
		w.config.Source.CloseIdleConnections()
		w.timeout = min(2*w.timeout, maxTimeoutFactor*w.config.StoreTimeout)
		return w.backOff()
	}
	if !w.outageSince.IsZero() {
		w.endOutage(fromStore)
		w.setOutageEnd(now)
	}
	if result.state != nil && result.after.After(result.state.At) {
		return w.assumeRestored(result)
	}
	w.timeout, w.divided = w.config.StoreTimeout, false
	w.follower.Prove(result.began)
	if result.state != nil {
		w.needsFullRead = false
		w.config.Changes.Reset(result.state.At)
		w.applyState(result.state, result.changes)
		w.prove(result.began)
		return 0
	}
	w.historyGone, w.backoff = 0, minBackoff
	w.config.Changes.Append(result.changes.Items, result.changes.At)
	w.applyChanges(result.changes)
	w.prove(result.began)
	if len(result.changes.Changes) == 0 {
		return 0
	}
	return w.follower.BatchPause()
}

// backOff returns the pause after a failed call. The next one is twice as long.
func (w *Watcher) backOff() time.Duration {
	pause := w.backoff/2 + time.Duration(rand.Int64N(int64(w.backoff)))
	w.backoff = min(2*w.backoff, w.maxBackoff())
	return pause
}

// setOutageEnd records that the store answered again after an outage or a loss.
func (w *Watcher) setOutageEnd(now time.Time) {
	w.replica.SetOutageEnd(now)
	w.config.Changes.SetOutageEnd(w.config.SinceBoot() - time.Since(now))
}

// endOutage notes that the state is current again: by the store itself or by what an entry passes on.
func (w *Watcher) endOutage(from string) {
	if w.outageSince.IsZero() {
		return
	}
	w.config.Logger.Info("store_regained", zap.Duration("outage_ms", time.Since(w.outageSince)), zap.String("heard_from", from))
	w.outageSince = time.Time{}
}

// prove records that the replica was current at a time since boot, but for values that are awaited.
func (w *Watcher) prove(at time.Duration) {
	w.config.Changes.Prove(at)
	w.config.Listener.Proved(at)
	if w.awaitedConfig() == nil {
		w.config.Listener.ConfigProved(at)
	}
}

// applyState applies the result of a full read, and the changes since then if it was stale, before either
// is used.
func (w *Watcher) applyState(state *directory.StoreState, changes *directory.Changes) {
	now := time.Now()
	w.forgetValues()
	if !w.stateRead {
		w.stateRead = true
		close(w.read)
	}
	before := w.replica.At()
	evacuations := w.replica.ApplyState(now, state)
	if !before.IsZero() && !w.replica.At().SameEra(before) {
		w.handleRestored(before, state.At)
	}
	decodeTime := state.DecodeTime
	w.noteValues(state.Omitted)
	w.config.Listener.RecordsRead(now, state.Records)
	if changes != nil {
		decodeTime += changes.DecodeTime
		w.config.Changes.Append(changes.Items, changes.At)
		w.noteValues(changes.Items)
		evacuations = append(evacuations, w.replica.ApplyChanges(now, changes)...)
		w.logInvalidItems(changes.InvalidItems)
		w.handleChanges(now, changes)
	}
	w.logInvalidItems(state.InvalidItems)
	w.publishChanges(evacuations, decodeTime)
}

// applyChanges applies changes, from the store or from another entry. What is known already is left out: a
// call to the store may be answered after another entry has passed on later changes.
func (w *Watcher) applyChanges(changes *directory.Changes) {
	now, known := time.Now(), w.replica.At()
	if !changes.At.SameEra(known) {
		return
	}
	w.applyAwaited(changes.Items, known)
	w.noteValues(slices.DeleteFunc(slices.Clone(changes.Items), func(i directory.Item) bool { return known.AtLeast(i.At) }))
	changes.Changes = slices.DeleteFunc(changes.Changes, func(c directory.Change) bool { return known.AtLeast(c.At) })
	evacuations := w.replica.ApplyChanges(now, changes)
	w.logInvalidItems(changes.InvalidItems)
	w.handleChanges(now, changes)
	if len(changes.Changes) > 0 {
		w.publishChanges(evacuations, changes.DecodeTime)
	}
}

// publishChanges publishes a snapshot and tells others of the evacuations that have begun or ended. decodeTime is how
// long decoding the changes took.
func (w *Watcher) publishChanges(evacuations []directory.Evacuation, decodeTime time.Duration) {
	before := w.snapshot.Config
	w.publish()
	w.announceEvacuations(evacuations)
	config := w.snapshot.Config
	if config == before {
		return
	}
	w.config.Logger.Info("config_in_force", zap.Uint64("version", config.Version), zap.Int("routes", config.RouteCount()), zap.Uint64("at", w.replica.At().Revision()), zap.Stringer("era", w.replica.At().Era()),
		zap.Duration("awaited_ms", w.values.configAwaited(w.config.SinceBoot())), zap.Duration("decode_ms", decodeTime))
	w.config.Listener.ConfigInForce(config)
}

// announceEvacuations tells of the evacuations that have begun or ended by the store's word.
func (w *Watcher) announceEvacuations(changed []directory.Evacuation) {
	if len(changed) > 0 {
		w.config.Listener.EvacuationsChanged(changed)
	}
}

// maxLoggedInvalidItems bounds loggedInvalidItems. A full map is cleared, and its items are
// logged again if they are still undecodable.
const maxLoggedInvalidItems = 10_000

// logInvalidItems logs the items of the store that could not be decoded, each revision once.
func (w *Watcher) logInvalidItems(items []directory.InvalidItem) {
	for _, item := range items {
		if w.loggedInvalidItems[item.Key] == item.At {
			continue
		}
		if len(w.loggedInvalidItems) >= maxLoggedInvalidItems {
			clear(w.loggedInvalidItems)
		}
		w.loggedInvalidItems[item.Key] = item.At
		w.config.Logger.Error("store_item_refused", zap.String("key", item.Key), zap.Uint64("revision", item.At.Revision()), eventlog.Error(item.Err))
	}
}

// handleChanges logs the changes to endpoints and applies the records among the changes.
func (w *Watcher) handleChanges(now time.Time, changes *directory.Changes) {
	for i := range changes.Changes {
		switch change := &changes.Changes[i]; {
		case change.Record != nil:
			w.config.Listener.ApplyRecord(now, change.Record)
		case change.RecordGone != "":
			w.config.Listener.RecordGone(change.RecordGone)
		case change.EndpointGone != "":
			w.config.Logger.Info("endpoint_gone", zap.String("endpoint", change.EndpointGone), zap.Uint64("revision", change.At.Revision()))
		case change.Endpoint != nil && change.Endpoint.Leaving:
			w.config.Logger.Info("endpoint_leaving", zap.String("endpoint", change.Endpoint.ID), zap.Uint64("revision", change.At.Revision()))
		case change.Endpoint != nil:
			w.config.Listener.EndpointListed(change.Endpoint)
			w.config.Logger.Info("endpoint_listed", zap.String("endpoint", change.Endpoint.ID), zap.Int64("born", change.Endpoint.StartUnixMilli), zap.String("service", change.Endpoint.Service), zap.Uint64("revision", change.At.Revision()))
		}
	}
}

// publish makes the replica's state the current snapshot.
func (w *Watcher) publish() {
	w.publishedAt = time.Now()
	before := w.snapshot
	w.snapshot = w.replica.Snapshot()
	w.config.Listener.Publish(before, w.snapshot)
}
