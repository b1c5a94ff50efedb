package direct

import "time"

// peer is what another entry last told.
type peer struct {
	receivedAt time.Time
	demands    []Demand
	loads      map[EndpointHash]EndpointLoad
}

// peerLoadTTL is how long another entry's word is used; several times the interval at
// which entries tell each other.
const peerLoadTTL = time.Second

// ReplacePeerLoad notes what another entry's requests ask of the engines, in place of what it
// told before.
func (l *LoadTracker) ReplacePeerLoad(now time.Time, name string, demands []Demand, loads []EndpointLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePeer(name)
	l.peers[name] = &peer{now, demands, make(map[EndpointHash]EndpointLoad, len(loads))}
	l.applyPeerLoads(l.peers[name], loads)
}

// UpdatePeerLoad notes what has changed since another entry last told; an entry that
// is not known begins with it.
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

// applyPeerLoads replaces what a peer told of some endpoints, in its record and in the sums.
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

// isZero tells whether there is isZero to do.
func (load EndpointLoad) isZero() bool { return load == EndpointLoad{Endpoint: load.Endpoint} }

// addPeerLoad adds a difference to the sum of what other entries tell of an endpoint.
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

// removePeer takes another entry's word back.
func (l *LoadTracker) removePeer(name string) {
	p := l.peers[name]
	if p == nil {
		return
	}
	for endpoint, load := range p.loads {
		l.addPeerLoad(endpoint, EndpointLoad{InFlight: -load.InFlight, PendingPrefill: -load.PendingPrefill, MemoryTokens: -load.MemoryTokens, Streams: StreamCounts{}.minus(load.Streams)})
	}
	delete(l.peers, name)
}

// PeerStatus is how much this entry knows of the work of the others.
type PeerStatus struct {
	// Peers is how many others there are, Heard of how many the word is in use.
	Peers, Heard int
	// OldestAge is the age of the oldest word in use, MeanAge that of all.
	OldestAge, MeanAge time.Duration
}

// PeerStatus tells how much is known of the other entries' work.
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

// knowsOtherEntries tells whether this entry knows of another one's work, or that it is alone.
func (l *LoadTracker) knowsOtherEntries() bool { return l.rank.count > 0 || len(l.peers) > 0 }

// SetEntryCount tells how many entries there are; not all of them need to be heard of.
func (l *LoadTracker) SetEntryCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryCount = n
}

// SetRank tells this entry's number among the entries that are heard of and itself, in the
// order of their names, and how many these are.
func (l *LoadTracker) SetRank(index, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rank = rank{index, count}
}

// peerScale is how many other entries there are for each one that is heard of; 0 while
// none is.
func (l *LoadTracker) peerScale() float64 {
	if len(l.peers) == 0 {
		return 0
	}
	return float64(max(l.entryCount-1, len(l.peers))) / float64(len(l.peers))
}
