package direct

import "time"

// peer is the state that another entry last reported.
type peer struct {
	receivedAt time.Time
	// full is set once the entry has reported all of its load.
	full    bool
	demands []Demand
	loads   map[EndpointHash]EndpointLoad
}

// peerLoadTTL is how long another entry's report is used, several times the interval at
// which entries send them.
const peerLoadTTL = time.Second

// ReplacePeerLoad records the full demand and loads of another entry in place of all that
// it reported before.
func (l *LoadTracker) ReplacePeerLoad(now time.Time, name string, demands []Demand, loads []EndpointLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePeer(name)
	l.peers[name] = &peer{receivedAt: now, full: true, demands: demands, loads: make(map[EndpointHash]EndpointLoad, len(loads))}
	l.fullPeers++
	l.applyPeerLoads(l.peers[name], loads)
}

// UpdatePeerLoad records the demand of another entry and the loads that have changed since
// its last report. An entry that is not known yet is added.
func (l *LoadTracker) UpdatePeerLoad(now time.Time, name string, demands []Demand, loads []EndpointLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil {
		p = &peer{loads: map[EndpointHash]EndpointLoad{}}
		l.peers[name] = p
	}
	p.receivedAt, p.demands = now, demands
	l.applyPeerLoads(p, loads)
}

// applyPeerLoads replaces a peer's loads of some endpoints, in its state and in the sums.
func (l *LoadTracker) applyPeerLoads(p *peer, loads []EndpointLoad) {
	for _, load := range loads {
		old := p.loads[load.Endpoint]
		l.addPeerLoad(load.Endpoint, EndpointLoad{InFlight: load.InFlight - old.InFlight, PendingPrefill: load.PendingPrefill - old.PendingPrefill, MemoryTokens: load.MemoryTokens - old.MemoryTokens, Streams: load.Streams.minus(old.Streams)})
		if load.isZero() {
			delete(p.loads, load.Endpoint)
			continue
		}
		p.loads[load.Endpoint] = load
	}
}

// isZero reports whether there is no load.
func (load EndpointLoad) isZero() bool { return load == EndpointLoad{Endpoint: load.Endpoint} }

// addPeerLoad adds a difference to the sum of the other entries' loads of an endpoint.
func (l *LoadTracker) addPeerLoad(endpoint EndpointHash, more EndpointLoad) {
	sum := l.peerLoads[endpoint]
	sum.InFlight += more.InFlight
	sum.PendingPrefill += more.PendingPrefill
	sum.MemoryTokens += more.MemoryTokens
	sum.Streams = sum.Streams.plus(more.Streams)
	if sum.isZero() {
		delete(l.peerLoads, endpoint)
		return
	}
	l.peerLoads[endpoint] = sum
}

// removePeer removes another entry's state and its share of the sums.
func (l *LoadTracker) removePeer(name string) {
	p := l.peers[name]
	if p == nil {
		return
	}
	for endpoint, load := range p.loads {
		l.addPeerLoad(endpoint, EndpointLoad{InFlight: -load.InFlight, PendingPrefill: -load.PendingPrefill, MemoryTokens: -load.MemoryTokens, Streams: StreamCounts{}.minus(load.Streams)})
	}
	if p.full {
		l.fullPeers--
	}
	delete(l.peers, name)
}

// PeerStatus tells how much this entry knows of the other entries' load.
type PeerStatus struct {
	// Peers is the number of other entries, Heard the number of those whose reports are in
	// use.
	Peers, Heard int
	// OldestAge is the age of the oldest report in use, MeanAge the mean age of all.
	OldestAge, MeanAge time.Duration
}

// PeerStatus returns how much is known of the other entries' load.
func (l *LoadTracker) PeerStatus(now time.Time) PeerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := PeerStatus{Peers: max(l.entryCount-1, 0)}
	for _, p := range l.peers {
		age := now.Sub(p.receivedAt)
		if age > peerLoadTTL {
			continue
		}
		status.Heard++
		status.OldestAge = max(status.OldestAge, age)
		status.MeanAge += age
	}
	status.MeanAge /= time.Duration(max(status.Heard, 1))
	return status
}

// FullPeers returns the number of other entries that have reported all of their load.
func (l *LoadTracker) FullPeers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fullPeers
}

// knowsOtherEntries reports whether this entry has a report from another one or a view of all of
// them, or is the only entry. A rank among several does not count: an entry that has just started
// takes it from the registrations and knows no loads.
func (l *LoadTracker) knowsOtherEntries() bool {
	return l.rank.count == 1 || len(l.peers) > 0 || l.view != nil
}

// SetEntryCount sets the number of entries including this one, whether or not all of them
// report.
func (l *LoadTracker) SetEntryCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryCount = n
}

// SetRank sets this entry's index, by name, among all entries that are known to be alive,
// and their count, which includes this one.
func (l *LoadTracker) SetRank(index, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rank = rank{index, count}
	l.backoffs.setRank(l.rank)
}

// peerScale is the number of other entries for each one that reports; 0 while none does.
func (l *LoadTracker) peerScale() float64 {
	if len(l.peers) == 0 {
		return 0
	}
	return float64(max(l.entryCount-1, len(l.peers))) / float64(len(l.peers))
}
