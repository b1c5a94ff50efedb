package storewatch

import (
	"time"

	"aspenyard.example/changefeed"
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
func (w *Watcher) handleResponse(r *Response) {
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
	items, to, ok := r.Chunk.After(w.replica.At())
	if !ok {
		w.follower.AskAgain(now)
		return
	}
	if to.After(w.replica.At()) {
		w.config.Changes.Append(items, to)
		w.applyChanges(w.config.Source.Decode(to, items))
	}
	if proves {
		w.follower.Prove(provenAt)
		w.prove(provenAt)
		w.endOutage(r.From)
	}
}
