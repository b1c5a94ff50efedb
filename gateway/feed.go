package gateway

import (
	"fmt"
	"time"

	"aspenyard.example/changefeed"
	"aspenyard.example/directory"
	"aspenyard.example/gateway/storewatch"
	"aspenyard.example/wire"
)

// feed exchanges the changes of the store with other entries. The membership loop's control thread
// responds from log; the watcher asks through it and gets the responses.
type feed struct {
	gateway *Gateway
	log     changefeed.Log
}

// Linked implements storewatch.Peers.
func (f *feed) Linked() bool { return f.gateway.peerLoop.Load() != nil }

// handle handles a heartbeat that asks for changes or carries some. It reports whether the heartbeat is
// of this kind; it then has no load.
func (f *feed) handle(h *wire.Heartbeat) bool {
	if request := h.FeedRequest; request != nil {
		f.respond(h, request)
	}
	if response := h.FeedResponse; response != nil {
		f.gateway.watcher.Deliver(storewatch.Response{From: h.Node, Nonce: response.Nonce, Chunk: storewatch.DecodeChunk(response)})
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
			h.Partial, h.FeedResponse = true, storewatch.EncodeChunk(request.Nonce, &chunks[i])
		})
	}
}

// Ask implements storewatch.Peers. It sends a request for the changes after a position.
func (f *feed) Ask(addr string, nonce uint64, after directory.Position) {
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
