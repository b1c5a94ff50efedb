package storewatch

import (
	"context"
	"time"

	"aspenyard.example/directory"
)

// evacuationReads are the reads of evacuations beside the calls that follow the store. One is under way
// at a time.
type evacuationReads struct {
	underWay  bool
	startedAt time.Time
}

// evacuationList is the result of a read of evacuations.
type evacuationList struct {
	list []directory.Evacuation
	at   directory.Position
	err  error
}

// readEvacuations reads the evacuations beside the next call, while the state must be read in full or the
// store does not answer. A full read takes many times as long, and calls that time out learn nothing from
// a store that is merely slow. The reads begin at least Config.StoreTimeout apart, because a store that refuses
// calls may be over its rate. Before the first state is known nothing is served, and none is needed.
func (w *Watcher) readEvacuations(ctx context.Context, results chan<- storeResult) {
	now := time.Now()
	if w.evacuationReads.underWay || w.replica.At().IsZero() || now.Sub(w.evacuationReads.startedAt) < w.config.StoreTimeout {
		return
	}
	w.evacuationReads = evacuationReads{underWay: true, startedAt: now}
	go func() {
		ctx, cancel := context.WithTimeout(directory.WithCallReason(ctx, "evacuations"), w.config.EvacuationReadTimeout)
		defer cancel()
		list, at, err := w.config.Source.ReadEvacuations(ctx)
		results <- storeResult{evacuations: &evacuationList{list, at, err}}
	}()
}

// handleEvacuations applies the result of a read of evacuations. A failed one is left to the other calls,
// which say so.
func (w *Watcher) handleEvacuations(read *evacuationList) {
	w.evacuationReads.underWay = false
	if read.err != nil {
		return
	}
	changed := w.replica.Evacuations().ApplyList(time.Now(), read.at, read.list)
	w.publish()
	w.announceEvacuations(changed)
}
