package storewatch

import (
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
)

// noticeEra makes the whole state be read if the store is in another era than the state. What is known stays
// in force until then.
func (w *Watcher) noticeEra() {
	era, at := w.config.Source.Era(), w.replica.At()
	noticed := era == w.era && w.needsFullRead
	w.era = era
	if noticed || at.IsZero() || era == at.Era() {
		return
	}
	now := w.config.SinceBoot()
	w.config.Logger.Warn("store_era", zap.Stringer("era", era), zap.Stringer("before", at.Era()), zap.Uint64("at", at.Revision()))
	w.setOutageEnd(time.Now())
	w.needsFullRead, w.readNotBefore = true, now+w.follower.ReadDelay(now)
	w.config.Listener.EraNoticed()
}

// hearEra handles the era of another entry's response. A later one makes the store be asked; it alone says
// whether the era has changed. Entries of a store that states no era take the era from each other, and read
// the state anew.
func (w *Watcher) hearEra(era directory.Era) {
	if era <= w.era || era == w.ignoredEra || w.needsFullRead {
		return
	}
	w.config.Source.AssumeEra(era)
	if w.config.Source.Era() != w.era {
		return // noticeEra sees to it
	}
	w.ignoredEra = era
	w.follower.FallBehind()
}

// assumeRestored handles a full read that began at a later position than the one it returns: the store has
// gone back without stating a new era. The state is read once more, as that of the next era.
func (w *Watcher) assumeRestored(result storeResult) time.Duration {
	era := result.after.Era()
	w.config.Logger.Warn("state_outdated", zap.Uint64("at", result.state.At.Revision()), zap.Uint64("known", result.after.Revision()), zap.Stringer("era", era))
	if w.config.Source.Era() == era {
		w.config.Source.AssumeEra(era.Next())
	}
	return w.backOff()
}

// handleRestored sees to what depends on positions of the era before.
func (w *Watcher) handleRestored(before, at directory.Position) {
	w.follower.BeginEra()
	w.replica.ExpireMissing(time.Now())
	lost := uint64(0)
	if before.Revision() > at.Revision() {
		lost = before.Revision() - at.Revision()
	}
	w.config.Metrics.GetOrCreateCounter("aspenyard_gateway_store_restorations_total").Inc()
	w.config.Logger.Warn("store_restored", zap.Stringer("before", before.Era()), zap.Stringer("era", at.Era()), zap.Uint64("known", before.Revision()), zap.Uint64("at", at.Revision()),
		zap.Uint64("lost", lost), zap.Int("missing", w.replica.Missing()), zap.Int("withheld", w.replica.Withheld()))
	w.config.Listener.Restored()
}
