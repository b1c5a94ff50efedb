package storewatch

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/progress"
)

// maxStaleValueBytes is the length of a value from which it is not read stale: transferring one that turns out to be
// too old takes longer than a call that may not be.
const maxStaleValueBytes = maxWatchBytes

// valueReadPause is the pause between reads of values other than the configuration. Another writer may leave thousands.
const valueReadPause = 20 * time.Millisecond

// awaitedValues are the values that have changed and are not known, by key. They are read by themselves, one at a
// time and the last version only, while the changes that follow them are applied.
type awaitedValues struct {
	byKey map[string]*awaitedValue
	// known holds the positions up to which values that were read by themselves are known, long the keys whose last
	// known value is too long to be read stale.
	known map[string]directory.Position
	long  map[string]bool
	// configKey is the key of the configuration once one was awaited.
	configKey string
	// reading is the key that is being read; "" if there is none. cancel ends the read.
	reading string
	cancel  context.CancelFunc
	// unwanted is set once the result of the read is not needed any more.
	unwanted bool
	// Reads begin at notBefore or later, with a pause that grows while they fail.
	notBefore, backoff time.Duration
	// configSince is when the first configuration that is not in force became known; 0 if there is none.
	configSince time.Duration
}

// awaitedValue is a change whose value is not known.
type awaitedValue struct {
	// at is the position of the last change that is known of, or a later one.
	at directory.Position
	// learnedAt is when that change became known, since boot. A read that begins later and is not stale returns it.
	learnedAt time.Duration
	// since is when the first change that is not in force became known.
	since time.Duration
	// current is set if a stale read was not new enough, or nothing would tell whether it is.
	current bool
}

// valueRead is the result of reading a value by itself.
type valueRead struct {
	item  directory.Item
	stale bool
	began time.Duration
	err   error
}

func newAwaitedValues() awaitedValues {
	return awaitedValues{byKey: map[string]*awaitedValue{}, known: map[string]directory.Position{}, long: map[string]bool{}, backoff: minBackoff}
}

// noteValues notes which values among changes are to be read, and which need not be read any more.
func (w *Watcher) noteValues(items []directory.Item) {
	now, v := w.config.SinceBoot(), &w.values
	for i := range items {
		item := &items[i]
		awaited := v.byKey[item.Key]
		switch {
		case !item.Omitted:
			v.noteLength(item)
			if awaited != nil && item.At.AtLeast(awaited.at) {
				w.forgetValue(item.Key)
			}
		case v.known[item.Key].AtLeast(item.At):
		case awaited == nil:
			v.byKey[item.Key] = &awaitedValue{at: item.At, learnedAt: now, since: now, current: item.Approximate}
			if w.config.Source.IsConfig(item.Key) {
				v.configKey, v.configSince = item.Key, now
			}
		case item.At.After(awaited.at):
			awaited.at, awaited.learnedAt = item.At, now
			awaited.current = awaited.current || item.Approximate
		}
	}
}

// noteLength notes whether a value may be read stale next time.
func (v *awaitedValues) noteLength(item *directory.Item) {
	if len(item.Value) > maxStaleValueBytes {
		v.long[item.Key] = true
	} else {
		delete(v.long, item.Key)
	}
}

// configAwaited returns for how long the configuration that comes into force has been awaited; 0 if it was read with
// the change.
func (v *awaitedValues) configAwaited(now time.Duration) time.Duration {
	since := v.configSince
	v.configSince = 0
	if since == 0 {
		return 0
	}
	return now - since
}

// forgetValue records that a value is not awaited any more. A read that is under way is not wanted.
func (w *Watcher) forgetValue(key string) {
	delete(w.values.byKey, key)
	if w.values.reading == key {
		w.values.unwanted = true
		w.values.cancel()
	}
}

// forgetValues records that the whole state is known.
func (w *Watcher) forgetValues() {
	for key := range w.values.byKey {
		w.forgetValue(key)
	}
	clear(w.values.known)
}

// awaitedConfig returns the configuration that is known of and not in force; nil if there is none.
func (w *Watcher) awaitedConfig() *awaitedValue { return w.values.byKey[w.values.configKey] }

// noteAwaitedConfig sets what ConfigAwaited returns.
func (w *Watcher) noteAwaitedConfig() {
	since := time.Duration(0)
	if awaited := w.awaitedConfig(); awaited != nil && w.outageSince.IsZero() {
		since = awaited.since
	}
	w.configAwaitedSince.Store(int64(since))
}

// nextValue returns the key of the value to read next: the configuration, or else the one that is awaited longest.
func (w *Watcher) nextValue() (next string, awaited *awaitedValue) {
	if config := w.awaitedConfig(); config != nil {
		return w.values.configKey, config
	}
	for key, value := range w.values.byKey {
		if awaited == nil || value.since < awaited.since {
			next, awaited = key, value
		}
	}
	return next, awaited
}

// readValue reads a value that is awaited, if none is being read. A transfer that has begun goes on while newer
// versions follow, so that changes in quick succession do not keep all of them from coming into force.
func (w *Watcher) readValue(ctx context.Context, reads chan<- valueRead) {
	now, v := w.config.SinceBoot(), &w.values
	if v.reading != "" || len(v.byKey) == 0 || w.needsFullRead || now < v.notBefore {
		return
	}
	key, awaited := w.nextValue()
	stale := !awaited.current && !v.long[key]
	source, timeout := w.config.Source, w.config.StoreTimeout
	ctx, v.cancel = progress.WithLimits(directory.WithCallReason(ctx, "omitted_value"), progress.Limits{Answer: timeout, Stall: timeout})
	v.reading, v.unwanted = key, false
	go func() {
		item, err := source.ReadItem(ctx, key, stale)
		reads <- valueRead{item, stale, now, err}
	}()
}

// handleValueRead applies a value that was read by itself. A stale one that is too old is read once more, not stale.
func (w *Watcher) handleValueRead(read *valueRead) {
	v := &w.values
	key := v.reading
	v.reading = ""
	v.cancel()
	awaited := v.byKey[key]
	if awaited == nil || v.unwanted || w.needsFullRead {
		return // another call has brought it, or will
	}
	sameEra := read.err == nil && read.item.At.SameEra(awaited.at)
	current := sameEra && (!read.stale && read.began >= awaited.learnedAt || !read.item.Deleted && read.item.At.AtLeast(awaited.at))
	w.config.Metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_omitted_values_read_total{stale="%t",current="%t"}`, read.stale, current)).Inc()
	if sameEra && !read.stale {
		awaited.since = max(awaited.since, read.began) // what was learned before is in what was read
	}
	if sameEra && !read.item.Deleted {
		v.noteLength(&read.item)
		w.applyValue(&read.item)
	}
	switch {
	case current:
		v.known[key] = awaited.at.Later(read.item.At)
		delete(v.byKey, key)
		v.backoff = minBackoff
		switch {
		case key != v.configKey:
			v.notBefore = w.config.SinceBoot() + valueReadPause
		case !read.stale:
			w.config.Listener.ConfigProved(read.began)
		}
	case read.stale:
		awaited.current = true
	case sameEra: // a newer version has followed
		v.backoff, v.configSince = minBackoff, awaited.since
	default:
		w.config.Logger.Warn("store_item_not_read", zap.String("key", key), eventlog.Error(read.err))
		// Pooled connections that went silent would fail every read made on them.
		w.config.Source.CloseIdleConnections()
		v.notBefore = w.config.SinceBoot() + v.backoff
		v.backoff = min(2*v.backoff, w.maxBackoff())
	}
}

// applyAwaited applies the values among items that are awaited and have positions up to which changes are known already.
func (w *Watcher) applyAwaited(items []directory.Item, known directory.Position) {
	for i := range items {
		item := &items[i]
		awaited := w.values.byKey[item.Key]
		if awaited != nil && !item.Omitted && !item.Deleted && item.At.AtLeast(awaited.at) && known.AtLeast(item.At) {
			w.forgetValue(item.Key)
			w.applyValue(item)
		}
	}
}

// applyValue applies a value that was read by itself, of a change that is known.
func (w *Watcher) applyValue(item *directory.Item) {
	changes := w.config.Source.Decode(w.replica.At(), []directory.Item{*item})
	now := time.Now()
	evacuations := w.replica.ApplyChanges(now, changes)
	w.logInvalidItems(changes.InvalidItems)
	w.handleChanges(now, changes)
	w.publishChanges(evacuations, changes.DecodeTime)
}
