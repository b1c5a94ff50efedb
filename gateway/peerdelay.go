package gateway

import (
	"time"

	"aspenyard.example/wire"
)

// maxUptime is the longest uptime that a heartbeat is believed to report. A longer one would
// overflow the arithmetic with durations.
const maxUptime = 100 * 365 * 24 * time.Hour

// peerDelays estimates how late heartbeats are. Those that arrive while this process is suspended,
// or that the network holds back, carry ages that have grown since. Only the membership loop's
// control thread uses it.
type peerDelays struct {
	started time.Time
	peers   map[string]peerOffset
}

// peerOffset is the smallest difference seen between this process's steady time and that of a
// peer's incarnation, which is the difference of their starts and the shortest delay.
type peerOffset struct {
	incarnation uint64
	smallest    time.Duration
}

func newPeerDelays(started time.Time) *peerDelays {
	return &peerDelays{started: started, peers: map[string]peerOffset{}}
}

// observe returns by how much a heartbeat is later than the promptest one of its sender; 0 for
// senders that report no uptime or an impossible one.
func (d *peerDelays) observe(now time.Time, h *wire.Heartbeat) time.Duration {
	if h.SentUptimeMs == 0 || h.SentUptimeMs > uint64(maxUptime.Milliseconds()) {
		return 0
	}
	offset := now.Sub(d.started) - time.Duration(h.SentUptimeMs)*time.Millisecond
	known, found := d.peers[h.Node]
	if !found || known.incarnation != h.Incarnation || offset < known.smallest {
		d.peers[h.Node] = peerOffset{h.Incarnation, offset}
		return 0
	}
	return offset - known.smallest
}

// prune drops peers that are gone.
func (d *peerDelays) prune(known func(node string) bool) {
	for node := range d.peers {
		if !known(node) {
			delete(d.peers, node)
		}
	}
}
