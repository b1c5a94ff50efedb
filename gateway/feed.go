package gateway

import (
	"context"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/wire"
)

// feed exchanges the changes of the store with other entries. The membership loop's control thread
// responds from log; the goroutine of watchStore asks and uses the responses.
type feed struct {
	gateway *Gateway
	log     changefeed.Log
	// responses holds the responses that watchStore has not used yet. More are dropped, like datagrams.
	responses chan feedResponse
}

// feedResponse is a chunk of a response of another entry.
type feedResponse struct {
	from  string
	nonce uint64
	chunk changefeed.Chunk
}

// maxFeedResponses is how many chunks wait for watchStore at most.
const maxFeedResponses = 32

func newFeed(g *Gateway) *feed {
	return &feed{gateway: g, responses: make(chan feedResponse, maxFeedResponses)}
}

// handle handles a heartbeat that asks for changes or carries some. It reports whether the heartbeat is
// of this kind; it then has no load.
func (f *feed) handle(h *wire.Heartbeat) bool {
	if request := h.FeedRequest; request != nil {
		f.respond(h, request)
	}
	if response := h.FeedResponse; response != nil {
		select {
		case f.responses <- feedResponse{h.Node, response.Nonce, decodeChunk(response)}:
		default:
		}
	}
	return h.FeedRequest != nil || h.FeedResponse != nil
}

// respond sends another entry the changes that it asks for.
func (f *feed) respond(h *wire.Heartbeat, request *wire.FeedRequest) {
	loop := f.gateway.peerLoop.Load()
	if loop == nil {
		return
	}
	chunks := f.log.Respond(bootTime(), directory.At(directory.Era(request.Era), request.After))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_feed_requests_received_total{answered="%t"}`, len(chunks) > 0)).Inc()
	for i := range chunks {
		loop.SendTo(time.Now(), h.Addr, func(h *wire.Heartbeat) {
			h.Partial, h.FeedResponse = true, encodeChunk(request.Nonce, &chunks[i])
		})
	}
}

// ask sends a request for the changes after a position.
func (f *feed) ask(addr string, nonce uint64, after directory.Position) {
	loop := f.gateway.peerLoop.Load()
	if loop == nil {
		return
	}
	f.gateway.metrics.GetOrCreateCounter("aspenyard_gateway_feed_requests_sent_total").Inc()
	loop.Post(func() {
		loop.SendTo(time.Now(), addr, func(h *wire.Heartbeat) {
			h.Partial, h.FeedRequest = true, &wire.FeedRequest{Nonce: nonce, After: after.Revision(), Era: uint64(after.Era())}
		})
	})
}

// encodeChunk returns a chunk in the form that heartbeats carry. Its age is rounded up.
func encodeChunk(nonce uint64, c *changefeed.Chunk) *wire.FeedResponse {
	encoded := &wire.FeedResponse{
		Nonce: nonce, Era: uint64(c.Era()), From: c.From.Revision(), To: c.To.Revision(), Last: c.Last, Complete: c.Complete, TooOld: c.TooOld,
		AgeMs: uint64((c.Age + time.Millisecond - 1).Milliseconds()), OutageAgeMs: uint64(c.OutageAge.Milliseconds()),
	}
	for _, i := range c.Items {
		encoded.Items = append(encoded.Items, encodeItem(i))
	}
	return encoded
}

func encodeItem(i directory.Item) *wire.FeedItem {
	return &wire.FeedItem{Key: i.Key, Value: i.Value, Revision: i.At.Revision(), Deleted: i.Deleted, Omitted: i.Omitted}
}

func decodeItem(era directory.Era, i *wire.FeedItem) directory.Item {
	return directory.Item{Key: i.Key, Value: i.Value, At: directory.At(era, i.Revision), Deleted: i.Deleted, Omitted: i.Omitted}
}

// decodeChunk returns the chunk that a heartbeat carries.
func decodeChunk(encoded *wire.FeedResponse) changefeed.Chunk {
	era := directory.Era(encoded.Era)
	c := changefeed.Chunk{
		From: directory.At(era, encoded.From), To: directory.At(era, encoded.To), Last: encoded.Last, Complete: encoded.Complete, TooOld: encoded.TooOld,
		Age: durationOf(encoded.AgeMs), OutageAge: durationOf(encoded.OutageAgeMs),
	}
	for _, i := range encoded.Items {
		c.Items = append(c.Items, decodeItem(era, i))
	}
	return c
}

// durationOf returns a duration that another entry states, negative if it is impossibly long.
func durationOf(ms uint64) time.Duration {
	if ms > uint64(math.MaxInt64/time.Millisecond) {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// itemRead is the result of reading an item whose value was omitted.
type itemRead struct {
	item  directory.Item
	stale bool
	err   error
}

// askEntries asks another entry for changes if that is due.
func (w *storeWatcher) askEntries() {
	if w.needsFullRead || w.gateway.peerLoop.Load() == nil {
		return
	}
	now := bootTime()
	snapshot := w.gateway.snapshot.Load()
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
		w.gateway.feed.ask(w.addrs[peer], nonce, w.replica.At())
	}
}

// handleResponse applies a chunk of another entry's response.
func (w *storeWatcher) handleResponse(ctx context.Context, r *feedResponse, reads chan<- itemRead) {
	now := bootTime()
	if !w.follower.Remembers(r.from, r.nonce) || !r.chunk.Valid() {
		w.gateway.metrics.GetOrCreateCounter("aspenyard_gateway_feed_responses_refused_total").Inc()
		return
	}
	provenAt, proves := w.follower.Hear(now, r.from, r.nonce, w.replica.At().Era(), &r.chunk)
	w.hearEra(r.chunk.Era())
	if w.needsFullRead || r.chunk.TooOld || r.chunk.Era() != w.replica.At().Era() {
		return
	}
	if r.chunk.OutageAge > 0 {
		w.replica.SetOutageEnd(time.Now().Add(-r.chunk.OutageAge))
		w.gateway.feed.log.SetOutageEnd(now - r.chunk.OutageAge)
	}
	items, to, omitted, ok := r.chunk.After(w.replica.At(), func(key string, at directory.Position) bool { return w.itemsRead[key].AtLeast(at) })
	if !ok {
		w.follower.AskAgain(now)
		return
	}
	if to.After(w.replica.At()) {
		w.gateway.feed.log.Append(items, to)
		w.applyChanges(w.gateway.source.Decode(to, items))
	}
	switch {
	case omitted != nil:
		w.readOmitted(ctx, omitted, reads)
	case proves:
		w.follower.Prove(provenAt)
		w.prove(provenAt)
		w.endOutage(r.from)
	}
}

// readOmitted reads an item whose value was omitted. While the store does not answer, the calls that find
// out when it does bring the item too.
func (w *storeWatcher) readOmitted(ctx context.Context, item *directory.Item, reads chan<- itemRead) {
	switch {
	case w.reading != "":
	case !w.outageSince.IsZero():
		w.follower.FallBehind()
	default:
		w.readItem(ctx, item.Key, item.At, true, reads)
	}
}

// readItem reads an item that must be of a position or a later one.
func (w *storeWatcher) readItem(ctx context.Context, key string, from directory.Position, stale bool, reads chan<- itemRead) {
	w.reading, w.readingFrom = key, from
	timeout, source := w.gateway.settings.StoreTimeout.D(), w.gateway.source
	go func() {
		ctx, cancel := context.WithTimeout(directory.WithCallReason(ctx, "omitted_value"), timeout)
		defer cancel()
		item, err := source.ReadItem(ctx, key, stale)
		reads <- itemRead{item, stale, err}
	}()
}

// handleItemRead applies an item whose value was omitted. One that is too old is read once more, not
// stale; after a failure the store is asked for all changes.
func (w *storeWatcher) handleItemRead(ctx context.Context, read *itemRead, reads chan<- itemRead) {
	key := w.reading
	sameEra := w.readingFrom.SameEra(w.replica.At()) && read.item.At.SameEra(w.readingFrom)
	current := read.err == nil && sameEra && (read.item.At.AtLeast(w.readingFrom) || read.item.Deleted && !read.stale)
	w.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_omitted_values_read_total{stale="%t",current="%t"}`, read.stale, current)).Inc()
	switch {
	case current:
		w.itemsRead[key] = w.readingFrom.Later(read.item.At)
		w.reading = ""
		if !read.item.Deleted {
			w.applyChanges(w.gateway.source.Decode(w.replica.At(), []directory.Item{read.item}))
		}
		w.follower.AskAgain(bootTime())
	case read.stale && sameEra:
		w.readItem(ctx, key, w.readingFrom, false, reads)
	default:
		w.reading = ""
		if read.err != nil {
			w.gateway.log.Warn("store_item_not_read", zap.String("key", key), eventlog.Error(read.err))
		}
		w.follower.FallBehind()
	}
}
