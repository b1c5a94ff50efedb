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
	// loggedInvalidItems holds the revision at which each item was last found undecodable, so that
	// one that stays is logged once and not with each whole reading.
	loggedInvalidItems map[string]uint64
}

// storeAnswer is what one call to the store brought.
type storeAnswer struct {
	state   *directory.StoreState
	changes *directory.Changes
	err     error
}

func (g *Gateway) watchStore(ctx context.Context) {
	w := &storeWatcher{gateway: g, replica: directory.NewReplica(), needsFullRead: true, backoff: minBackoff, timeout: g.settings.StoreTimeout.D(), loggedInvalidItems: map[string]uint64{}}
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	answers := make(chan storeAnswer, 1)
	w.startCall(ctx, 0, answers)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if w.replica.ExpireMissing(now) {
				w.publish()
			}
		case answer := <-answers:
			w.startCall(ctx, w.handleAnswer(answer), answers)
		}
	}
}

// startCall makes one startCall to the store, after a pause, beside the control thread; it
// touches nothing of the follower's state. During an outage it does not wait for
// changes, so that the store's return is seen at once.
func (w *storeWatcher) startCall(ctx context.Context, pause time.Duration, answers chan<- storeAnswer) {
	fullRead, revision, wait, timeout, gateway := w.needsFullRead, w.replica.Revision(), w.gateway.longPollWait(), w.timeout, w.gateway
	if fullRead || !w.outageSince.IsZero() {
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
		start := time.Now()
		if fullRead {
			answer.state, answer.err = gateway.source.Read(ctx)
		} else {
			answer.changes, answer.err = gateway.source.Watch(ctx, revision, wait)
		}
		gateway.observeStoreCall(fullRead, time.Since(start), answer.err)
		answers <- answer
	}()
}

// handleAnswer takes an answer in and tells how long to pause before the next call.
func (w *storeWatcher) handleAnswer(answer storeAnswer) time.Duration {
	log, now := w.gateway.log, time.Now()
	switch {
	case errors.Is(answer.err, directory.ErrHistoryGone):
		w.needsFullRead = true
		log.Info("store_history_gone", zap.Uint64("at", w.replica.Revision()))
		return 0
	case answer.err != nil:
		if w.outageSince.IsZero() {
			w.outageSince = now
			log.Warn("store_lost", eventlog.Error(answer.err), zap.Uint64("at", w.replica.Revision()))
		}
		// Connections that went silent would fail every call that is given them.
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
	before := w.gateway.snapshot.Load().Config
	pause := time.Duration(0)
	switch {
	case answer.state != nil:
		w.replica.ApplyState(now, answer.state)
		w.needsFullRead = false
		w.logInvalidItems(answer.state.InvalidItems)
		for i := range answer.state.Records {
			w.gateway.applyQuarantineRecord(now, &answer.state.Records[i])
		}
	default:
		pause = w.batchPause(answer.changes)
		w.replica.ApplyChanges(now, answer.changes)
		w.logInvalidItems(answer.changes.InvalidItems)
		w.handleChanges(now, answer.changes)
	}
	w.gateway.storeAnsweredAt.Store(w.gateway.uptimeNanos())
	w.publish()
	if config := w.gateway.snapshot.Load().Config; config != before {
		w.gateway.configAppliedAt.Store(w.gateway.uptimeNanos())
		if before == nil {
			close(w.gateway.configured)
		}
		log.Info("config_in_force", zap.Uint64("version", config.Version), zap.Int("routes", config.RouteCount()), zap.Uint64("at", w.replica.Revision()))
	}
	return pause
}

func (w *storeWatcher) batchPause(changes *directory.Changes) time.Duration {
	if len(changes.Changes) == 0 {
		return 0
	}
	return w.gateway.maxChangeDelay() / batchPauseDivisor
}

// maxLoggedInvalidItems bounds what is kept of undecodable items; beyond it they are logged anew.
const maxLoggedInvalidItems = 10_000

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

// handleChanges logs changes, and passes on the records among them.
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
			w.gateway.log.Info("endpoint_listed", zap.String("endpoint", change.Endpoint.ID), zap.Int64("born", change.Endpoint.StartUnixMilli), zap.String("service", change.Endpoint.Service), zap.Uint64("revision", change.Revision))
		}
	}
}

func (w *storeWatcher) publish() {
	snapshot := w.replica.Snapshot()
	w.gateway.snapshot.Store(snapshot)
	known := func(incarnation directory.Incarnation) bool { return snapshot.Endpoint(incarnation) != nil }
	w.gateway.pool.prune(known)
	w.gateway.prober.prune(known)
	w.gateway.paces.prune(known)
	w.gateway.ledger.Prune(known)
	w.gateway.peers.setMembers(snapshot)
}
