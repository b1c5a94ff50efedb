package direct

import "time"

// peer is what another entry last told.
type peer struct {
	at      time.Time
	demands []Demand
	open    map[EndpointHash]EndpointLoad
}

// peerValid is how long another entry's word is used; several times the interval at
// which entries tell each other.
const peerValid = time.Second

// ReplacePeerLoad notes what another entry's requests ask of the engines, in place of what it
// told before.
func (l *LoadTracker) ReplacePeerLoad(now time.Time, name string, demands []Demand, open []EndpointLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(name)
	l.peers[name] = &peer{now, demands, make(map[EndpointHash]EndpointLoad, len(open))}
	l.takeOpen(l.peers[name], open)
}

// UpdatePeerLoad notes what has changed since another entry last told; an entry that
// is not known begins with it.
func (l *LoadTracker) UpdatePeerLoad(now time.Time, name string, demands []Demand, open []EndpointLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.peers[name]
	if known == nil {
		known = &peer{open: map[EndpointHash]EndpointLoad{}}
		l.peers[name] = known
	}
	known.at, known.demands = now, demands
	l.takeOpen(known, open)
}

// takeOpen replaces what a peer told of some endpoints, in its record and in the sums.
func (l *LoadTracker) takeOpen(p *peer, open []EndpointLoad) {
	for _, o := range open {
		old := p.open[o.Endpoint]
		l.addPeerLoad(o.Endpoint, EndpointLoad{InFlight: o.InFlight - old.InFlight, PendingPrefill: o.PendingPrefill - old.PendingPrefill, MemoryTokens: o.MemoryTokens - old.MemoryTokens, Streams: o.Streams.minus(old.Streams)})
		if o.nothing() {
			delete(p.open, o.Endpoint)
			continue
		}
		p.open[o.Endpoint] = o
	}
}

// nothing tells whether there is nothing to do.
func (o EndpointLoad) nothing() bool { return o == EndpointLoad{Endpoint: o.Endpoint} }

// addPeerLoad adds a difference to the sum of what other entries tell of an endpoint.
func (l *LoadTracker) addPeerLoad(endpoint EndpointHash, more EndpointLoad) {
	sum := l.peerLoads[endpoint]
	sum.InFlight += more.InFlight
	sum.PendingPrefill += more.PendingPrefill
	sum.MemoryTokens += more.MemoryTokens
	sum.Streams = sum.Streams.plus(more.Streams)
	if sum.nothing() {
		delete(l.peerLoads, endpoint)
		return
	}
	l.peerLoads[endpoint] = sum
}

// forget takes another entry's word back.
func (l *LoadTracker) forget(name string) {
	known := l.peers[name]
	if known == nil {
		return
	}
	for endpoint, o := range known.open {
		l.addPeerLoad(endpoint, EndpointLoad{InFlight: -o.InFlight, PendingPrefill: -o.PendingPrefill, MemoryTokens: -o.MemoryTokens, Streams: StreamCounts{}.minus(o.Streams)})
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
	k := PeerStatus{Peers: max(l.entries-1, 0)}
	for _, p := range l.peers {
		age := now.Sub(p.at)
		if age > peerValid {
			continue
		}
		k.Heard++
		k.OldestAge = max(k.OldestAge, age)
		k.MeanAge += age
	}
	k.MeanAge /= time.Duration(max(k.Heard, 1))
	return k
}

// heardOfOthers tells whether this entry knows of another one's work, or that it is alone.
func (l *LoadTracker) heardOfOthers() bool { return l.rank.of > 0 || len(l.peers) > 0 }

// SetEntryCount tells how many entries there are; not all of them need to be heard of.
func (l *LoadTracker) SetEntryCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = n
}

// SetRank tells this entry's number among the entries that are heard of and itself, in the
// order of their names, and how many these are.
func (l *LoadTracker) SetRank(number, of int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rank = rank{number, of}
}

// peerScale is how many other entries there are for each one that is heard of; 0 while
// none is.
func (l *LoadTracker) peerScale() float64 {
	if len(l.peers) == 0 {
		return 0
	}
	return float64(max(l.entries-1, len(l.peers))) / float64(len(l.peers))
}
