package storewatch

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
)

// Response is a chunk of a response of another entry.
type Response struct {
	From  string
	Nonce uint64
	Chunk changefeed.Chunk
}

// maxResponses is how many chunks wait to be used at most.
const maxResponses = 32

// Deliver passes on a chunk of another entry's response. It is safe for concurrent use, and does not block.
func (w *Watcher) Deliver(r Response) {
	select {
	case w.responses <- r:
	default:
	}
}

// itemRead is the result of reading an item whose value was omitted.
type itemRead struct {
	item  directory.Item
	stale bool
	err   error
}

// askEntries asks another entry for changes if that is due.
func (w *Watcher) askEntries() {
	if w.needsFullRead || !w.config.Peers.Linked() {
		return
	}
	now := w.config.SinceBoot()
	snapshot := w.snapshot
	if snapshot != w.membersOf {
		w.membersOf = snapshot
		members := make([]changefeed.Member, 0, len(snapshot.Nodes))
		clear(w.addrs)
		for _, n := range snapshot.Nodes {
			members = append(members, changefeed.Member{Name: n.Name, DataCentre: n.DataCentre})
			w.addrs[n.Name] = n.Addr
		}
		w.follower.SetMembers(members)
	}
	if peer, nonce, ok := w.follower.Ask(now); ok {
		w.config.Peers.Ask(w.addrs[peer], nonce, w.replica.At())
	}
}

// handleResponse applies a chunk of another entry's response.
func (w *Watcher) handleResponse(ctx context.Context, r *Response, reads chan<- itemRead) {
	now := w.config.SinceBoot()
	if !w.follower.Remembers(r.From, r.Nonce) || !r.Chunk.Valid() {
		w.config.Metrics.GetOrCreateCounter("aspenyard_gateway_feed_responses_refused_total").Inc()
		return
	}
	provenAt, proves := w.follower.Hear(now, r.From, r.Nonce, w.replica.At().Era(), &r.Chunk)
	w.hearEra(r.Chunk.Era())
	if w.needsFullRead || r.Chunk.TooOld || r.Chunk.Era() != w.replica.At().Era() {
		return
	}
	if r.Chunk.OutageAge > 0 {
		w.replica.SetOutageEnd(time.Now().Add(-r.Chunk.OutageAge))
		w.config.Changes.SetOutageEnd(now - r.Chunk.OutageAge)
	}
	items, to, omitted, ok := r.Chunk.After(w.replica.At(), func(key string, at directory.Position) bool { return w.itemsRead[key].AtLeast(at) })
	if !ok {
		w.follower.AskAgain(now)
		return
	}
	if to.After(w.replica.At()) {
		w.config.Changes.Append(items, to)
		w.applyChanges(w.config.Source.Decode(to, items))
	}
	switch {
	case omitted != nil:
		w.readOmitted(ctx, omitted, reads)
	case proves:
		w.follower.Prove(provenAt)
		w.prove(provenAt)
		w.endOutage(r.From)
	}
}

// readOmitted reads an item whose value was omitted. While the store does not answer, the calls that find
// out when it does bring the item too.
func (w *Watcher) readOmitted(ctx context.Context, item *directory.Item, reads chan<- itemRead) {
	if w.config.Source.IsConfig(item.Key) && w.configAwaitedSince.IsZero() {
		w.configAwaitedSince = time.Now()
	}
	switch {
	case w.reading != "":
	case !w.outageSince.IsZero():
		w.follower.FallBehind()
	default:
		w.readItem(ctx, item.Key, item.At, true, reads)
	}
}

// readItem reads an item that must be of a position or a later one.
func (w *Watcher) readItem(ctx context.Context, key string, from directory.Position, stale bool, reads chan<- itemRead) {
	w.reading, w.readingFrom = key, from
	timeout, source := w.config.StoreTimeout, w.config.Source
	go func() {
		ctx, cancel := context.WithTimeout(directory.WithCallReason(ctx, "omitted_value"), timeout)
		defer cancel()
		item, err := source.ReadItem(ctx, key, stale)
		reads <- itemRead{item, stale, err}
	}()
}

// handleItemRead applies an item whose value was omitted. One that is too old is read once more, not
// stale; after a failure the store is asked for all changes.
func (w *Watcher) handleItemRead(ctx context.Context, read *itemRead, reads chan<- itemRead) {
	key := w.reading
	sameEra := w.readingFrom.SameEra(w.replica.At()) && read.item.At.SameEra(w.readingFrom)
	current := read.err == nil && sameEra && (read.item.At.AtLeast(w.readingFrom) || read.item.Deleted && !read.stale)
	w.config.Metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_omitted_values_read_total{stale="%t",current="%t"}`, read.stale, current)).Inc()
	switch {
	case current:
		w.itemsRead[key] = w.readingFrom.Later(read.item.At)
		w.reading = ""
		if !read.item.Deleted {
			w.applyChanges(w.config.Source.Decode(w.replica.At(), []directory.Item{read.item}))
		}
		w.follower.AskAgain(w.config.SinceBoot())
	case read.stale && w.readingFrom.SameEra(w.replica.At()):
		w.readItem(ctx, key, w.readingFrom, false, reads)
	default:
		w.reading = ""
		if read.err != nil {
			w.config.Logger.Warn("store_item_not_read", zap.String("key", key), eventlog.Error(read.err))
		}
		w.follower.FallBehind()
	}
}
