package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
)

// noticeEra makes the whole state be read if the store is in another era than the state. What is known stays
// in force until then.
func (w *storeWatcher) noticeEra() {
	era, at := w.gateway.source.Era(), w.replica.At()
	noticed := era == w.era && w.needsFullRead
	w.era = era
	if noticed || at.IsZero() || era == at.Era() {
		return
	}
	now := bootTime()
	w.gateway.log.Warn("store_era", zap.Stringer("era", era), zap.Stringer("before", at.Era()), zap.Uint64("at", at.Revision()))
	w.setOutageEnd(time.Now())
	w.needsFullRead, w.readNotBefore = true, now+w.follower.ReadDelay(now)
	select {
	case w.gateway.peers.eraNoticed <- struct{}{}:
	default:
	}
}

// hearEra handles the era of another entry's response. A later one makes the store be asked; it alone says
// whether the era has changed. Entries of a store that states no era take the era from each other, and read
// the state anew.
func (w *storeWatcher) hearEra(era directory.Era) {
	if era <= w.era || era == w.ignoredEra || w.needsFullRead {
		return
	}
	w.gateway.source.AssumeEra(era)
	if w.gateway.source.Era() != w.era {
		return // noticeEra sees to it
	}
	w.ignoredEra = era
	w.follower.FallBehind()
}

// assumeRestored handles a full read that began at a later position than the one it returns: the store has
// gone back without stating a new era. The state is read once more, as that of the next era.
func (w *storeWatcher) assumeRestored(result storeResult) time.Duration {
	era := result.after.Era()
	w.gateway.log.Warn("state_outdated", zap.Uint64("at", result.state.At.Revision()), zap.Uint64("known", result.after.Revision()), zap.Stringer("era", era))
	if w.gateway.source.Era() == era {
		w.gateway.source.AssumeEra(era.Next())
	}
	return w.backOff()
}

// handleRestored sees to what depends on positions of the era before.
func (w *storeWatcher) handleRestored(before, at directory.Position) {
	g := w.gateway
	w.follower.BeginEra()
	clear(w.itemsRead)
	w.replica.ExpireMissing(time.Now())
	lost := uint64(0)
	if before.Revision() > at.Revision() {
		lost = before.Revision() - at.Revision()
	}
	g.metrics.GetOrCreateCounter("aspenyard_gateway_store_restorations_total").Inc()
	g.log.Warn("store_restored", zap.Stringer("before", before.Era()), zap.Stringer("era", at.Era()), zap.Uint64("known", before.Revision()), zap.Uint64("at", at.Revision()),
		zap.Uint64("lost", lost), zap.Int("missing", w.replica.Missing()), zap.Int("withheld", w.replica.Withheld()))
	go g.rewriteRecords()
}

const (
	// reregisterPause is the mean time between the registrations of two entries after a loss. Each takes two
	// writes, of the some hundred a second that the store grants.
	reregisterPause = 5 * time.Millisecond
	// maxReregisterSpread bounds the time over which they are spread: others count an entry as gone when its
	// registration has been missing for two seconds.
	maxReregisterSpread = 1500 * time.Millisecond
	// reregisterRetry is the mean wait after a registration that failed after a loss.
	reregisterRetry = 400 * time.Millisecond
	// rewriteSpread is the time over which entries spread the writing of records that the store may have lost.
	// They are read only by entries that start while no other runs.
	rewriteSpread = 5 * time.Second
)

// reregisterDelay returns a random wait before this entry registers anew after a loss.
func (g *Gateway) reregisterDelay() time.Duration {
	spread := min(time.Duration(len(g.snapshot.Load().Nodes))*reregisterPause, maxReregisterSpread)
	return time.Duration(rand.Float64() * float64(spread))
}

// rewriteRecords writes the records of this entry's own observations again, some of which the store may
// have lost. Those that it still has are left as they are.
func (g *Gateway) rewriteRecords() {
	time.Sleep(time.Duration(rand.Float64() * float64(rewriteSpread)))
	for _, record := range g.written.list(time.Now()) {
		g.persist(record)
	}
}
