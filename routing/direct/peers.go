package direct

import "time"

// peer is what another entry last told.
type peer struct {
	at      time.Time
	demands []Demand
	open    map[EndpointHash]Open
}

// peerValid is how long another entry's word is used; several times the interval at
// which entries tell each other.
const peerValid = time.Second

// TellPeer notes what another entry's requests ask of the engines, in place of what it
// told before.
func (l *Ledger) TellPeer(now time.Time, name string, demands []Demand, open []Open) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(name)
	l.peers[name] = &peer{now, demands, make(map[EndpointHash]Open, len(open))}
	l.takeOpen(l.peers[name], open)
}

// TellPeerChanges notes what has changed since another entry last told; an entry that
// is not known begins with it.
func (l *Ledger) TellPeerChanges(now time.Time, name string, demands []Demand, open []Open) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.peers[name]
	if known == nil {
		known = &peer{open: map[EndpointHash]Open{}}
		l.peers[name] = known
	}
	known.at, known.demands = now, demands
	l.takeOpen(known, open)
}

// takeOpen replaces what a peer told of some endpoints, in its record and in the sums.
func (l *Ledger) takeOpen(p *peer, open []Open) {
	for _, o := range open {
		old := p.open[o.Endpoint]
		l.addPeerLoad(o.Endpoint, Open{Count: o.Count - old.Count, Reading: o.Reading - old.Reading, Memory: o.Memory - old.Memory, Streams: o.Streams.minus(old.Streams)})
		if o.nothing() {
			delete(p.open, o.Endpoint)
			continue
		}
		p.open[o.Endpoint] = o
	}
}

// nothing tells whether there is nothing to do.
func (o Open) nothing() bool { return o == Open{Endpoint: o.Endpoint} }

// addPeerLoad adds a difference to the sum of what other entries tell of an endpoint.
func (l *Ledger) addPeerLoad(endpoint EndpointHash, more Open) {
	sum := l.peerLoads[endpoint]
	sum.Count += more.Count
	sum.Reading += more.Reading
	sum.Memory += more.Memory
	sum.Streams = sum.Streams.plus(more.Streams)
	if sum.nothing() {
		delete(l.peerLoads, endpoint)
		return
	}
	l.peerLoads[endpoint] = sum
}

// forget takes another entry's word back.
func (l *Ledger) forget(name string) {
	known := l.peers[name]
	if known == nil {
		return
	}
	for endpoint, o := range known.open {
		l.addPeerLoad(endpoint, Open{Count: -o.Count, Reading: -o.Reading, Memory: -o.Memory, Streams: Streams{}.minus(o.Streams)})
	}
	delete(l.peers, name)
}

// Knowledge is how much this entry knows of the work of the others.
type Knowledge struct {
	// Entries is how many others there are, Heard of how many the word is in use.
	Entries, Heard int
	// Oldest is the age of the oldest word in use, Mean that of all.
	Oldest, Mean time.Duration
}

// Knowledge tells how much is known of the other entries' work.
func (l *Ledger) Knowledge(now time.Time) Knowledge {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := Knowledge{Entries: max(l.entries-1, 0)}
	for _, p := range l.peers {
		age := now.Sub(p.at)
		if age > peerValid {
			continue
		}
		k.Heard++
		k.Oldest = max(k.Oldest, age)
		k.Mean += age
	}
	k.Mean /= time.Duration(max(k.Heard, 1))
	return k
}

// heardOfOthers tells whether this entry knows of another one's work, or that it is alone.
func (l *Ledger) heardOfOthers() bool { return l.rank.of > 0 || len(l.peers) > 0 }

// SetEntries tells how many entries there are; not all of them need to be heard of.
func (l *Ledger) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = n
}

// SetRank tells this entry's number among the entries that are heard of and itself, in the
// order of their names, and how many these are.
func (l *Ledger) SetRank(number, of int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rank = rank{number, of}
}

// peerScale is how many other entries there are for each one that is heard of; 0 while
// none is.
func (l *Ledger) peerScale() float64 {
	if len(l.peers) == 0 {
		return 0
	}
	return float64(max(l.entries-1, len(l.peers))) / float64(len(l.peers))
}
