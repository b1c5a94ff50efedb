package directory

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Life names one life of an endpoint: an endpoint may start again under the ID that it
// had, and then knows and holds nothing of before. Whatever is remembered of an endpoint
// (its load, its connections, that it refused work, the memory reserved there) is
// remembered by its life, so that nothing of it is believed of the next one.
type Life struct {
	// ID is what requests and orders name the endpoint by.
	ID string
	// Born is when this life began, in Unix milliseconds by the endpoint's own clock. 0:
	// its registration does not say, and ID alone tells lives apart.
	Born int64
}

// String gives the life's name in logs and hashes.
func (l Life) String() string {
	if l.Born == 0 {
		return l.ID
	}
	return l.ID + "/" + strconv.FormatInt(l.Born, 10)
}

// Endpoint is one life of an endpoint as it registered itself.
type Endpoint struct {
	Life
	// Service, Addr (IP number and port) and DataCentre tell what it is and where.
	Service, Addr, DataCentre string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving endpoints take no new requests.
	Leaving bool
	// Revision is the store's revision of the registration.
	Revision uint64
}

// Reading is a whole linearizable reading of the store.
type Reading struct {
	// At is the store's revision when the reading began: following goes on from it.
	At uint64
	// Config is the newest configuration; nil when there is none yet.
	Config *Config
	// ConfigRevision is the store's revision of Config.
	ConfigRevision uint64
	Endpoints      []Endpoint
	// Refused are the IDs of endpoints whose registrations cannot be used.
	Refused []string
	// Nodes are the system's own processes.
	Nodes []Node
	// Records are what nodes have left; some of the last seconds may be missing.
	Records []Record
	// Faults lists what could not be decoded.
	Faults []Fault
}

// Fault is an item of the store that could not be decoded.
type Fault struct {
	Key      string
	Revision uint64
	Err      error
}

// Change is one change of the store: a new configuration, a registration, one that
// names no endpoint to use, or the end of one.
type Change struct {
	Revision uint64
	Config   *Config
	Endpoint *Endpoint
	// Gone is the ID of an endpoint whose registration ended.
	Gone string
	// Refused is the ID of an endpoint whose registration cannot be used; it was written
	// by something else, or the endpoint is of a kind that this node does not know.
	Refused string
	// Node is a node that registered itself; NodeGone the name of one whose
	// registration ended.
	Node     *Node
	NodeGone string
	// Record is one that a node has left.
	Record *Record
}

// Changes is what happened after a revision.
type Changes struct {
	// At is the revision to go on from.
	At      uint64
	Changes []Change
	Faults  []Fault
}

// Listed is an endpoint with what the replica believes of it.
type Listed struct {
	Endpoint
	// Missing is when its registration was first seen gone; zero: it is listed.
	Missing time.Time
	// Position is its number among the endpoints of its service, in the order of a snapshot.
	Position int
}

// lapseGrace is how long an endpoint whose registration ended shortly after an
// outage of the store is kept as a last resort. Registrations lapse while their
// owners cannot renew them; those that are alive are back within two seconds.
const lapseGrace = 1500 * time.Millisecond

// lapseWindow is how long after an outage a registration's end may be such a lapse.
const lapseWindow = 4 * time.Second

// Replica is the owner's copy of the store's state. It only moves forward: an older
// configuration never replaces a newer one and an endpoint that was leaving never
// takes requests again in the same life, whatever a reading or change says. Without
// that, a reading that is behind would bring back a revoked key or route, or send
// requests to an endpoint that is about to stop; one would see refusals or runs that
// only an older version explains. Not safe for concurrent use.
type Replica struct {
	at             uint64
	config         *Config
	configRevision uint64
	endpoints      map[string]*Listed
	nodes          map[string]Node
	// ended remembers, by ID, the last life whose registration ended, so that an old
	// registration does not return.
	ended map[string]ending
	// outageEnd is when the store last answered after an outage.
	outageEnd time.Time
	whole     bool
}

// ending is how the registration of an endpoint's life ended.
type ending struct {
	born     int64
	revision uint64
	leaving  bool
	// refused is set when it was replaced by one that cannot be used.
	refused bool
}

// NewReplica makes a replica that knows nothing.
func NewReplica() *Replica {
	return &Replica{endpoints: map[string]*Listed{}, nodes: map[string]Node{}, ended: map[string]ending{}}
}

// At is the revision up to which changes are known.
func (r *Replica) At() uint64 { return r.at }

// Whole tells whether one whole reading was taken in and has a configuration.
func (r *Replica) Whole() bool { return r.whole && r.config != nil }

// NoteOutageEnd marks that the store answers again after it did not.
func (r *Replica) NoteOutageEnd(now time.Time) { r.outageEnd = now }

// TakeReading takes a whole reading in: what it does not list is gone.
func (r *Replica) TakeReading(now time.Time, reading *Reading) {
	if reading.At < r.at {
		return
	}
	r.at = reading.At
	if reading.Config != nil {
		r.takeConfig(reading.Config, reading.ConfigRevision)
	}
	listed := map[string]bool{}
	for i := range reading.Endpoints {
		listed[reading.Endpoints[i].ID] = true
		r.takeEndpoint(&reading.Endpoints[i])
	}
	for _, id := range reading.Refused {
		r.takeRefused(id, reading.At)
	}
	for id, e := range r.endpoints {
		if !listed[id] && e.Revision <= reading.At {
			r.takeGone(now, id, reading.At)
		}
	}
	clear(r.nodes)
	for _, n := range reading.Nodes {
		r.nodes[n.Name] = n
	}
	r.whole = true
}

// TakeChanges takes in what followed the last reading or changes.
func (r *Replica) TakeChanges(now time.Time, changes *Changes) {
	for i := range changes.Changes {
		change := &changes.Changes[i]
		switch {
		case change.Config != nil:
			r.takeConfig(change.Config, change.Revision)
		case change.Endpoint != nil:
			r.takeEndpoint(change.Endpoint)
		case change.Gone != "":
			r.takeGone(now, change.Gone, change.Revision)
		case change.Refused != "":
			r.takeRefused(change.Refused, change.Revision)
		case change.Node != nil:
			r.nodes[change.Node.Name] = *change.Node
		case change.NodeGone != "":
			delete(r.nodes, change.NodeGone)
		}
	}
	r.at = max(r.at, changes.At)
}

func (r *Replica) takeConfig(config *Config, revision uint64) {
	if r.config != nil && (revision <= r.configRevision || config.Version <= r.config.Version) {
		return
	}
	r.config, r.configRevision = config, revision
}

// takeEndpoint takes a registration in, unless it is old news: of a life before the one
// that is known, or written before what is known.
func (r *Replica) takeEndpoint(e *Endpoint) {
	known := r.endpoints[e.ID]
	if known == nil {
		r.takeUnlisted(e)
		return
	}
	switch {
	case e.Revision < known.Revision:
		return
	case e.Born == 0 && known.Born != 0:
		// Endpoints that say when they were born always do: this is another's writing.
		r.takeRefused(e.ID, e.Revision)
		return
	case e.Born < known.Born:
		return
	case e.Born > known.Born:
		r.endpoints[e.ID] = &Listed{Endpoint: *e}
		return
	}
	leaving := known.Leaving
	known.Endpoint = *e
	known.Leaving = known.Leaving || leaving
	known.Missing = time.Time{}
}

// takeUnlisted takes in a registration of an endpoint that is not listed. A life that was
// leaving when its registration ended is leaving still; where lives are not told apart by
// their birth, what registers after that is taken for another one.
func (r *Replica) takeUnlisted(e *Endpoint) {
	listed := &Listed{Endpoint: *e}
	if last, found := r.ended[e.ID]; found {
		if e.Revision <= last.revision || e.Born < last.born {
			return
		}
		sameLife := e.Born == last.born && (e.Born != 0 || last.refused)
		listed.Leaving = listed.Leaving || last.leaving && sameLife
	}
	r.endpoints[e.ID] = listed
}

// takeGone ends a registration. One that ends soon after an outage of the store may
// have lapsed only, and is kept as missing for lapseGrace.
func (r *Replica) takeGone(now time.Time, id string, revision uint64) {
	known := r.endpoints[id]
	if known == nil || revision < known.Revision {
		return
	}
	r.noteEnd(known, revision)
	if known.Leaving || r.outageEnd.IsZero() || now.Sub(r.outageEnd) > lapseWindow {
		delete(r.endpoints, id)
		return
	}
	if known.Missing.IsZero() {
		known.Missing = now
	}
}

// takeRefused drops an endpoint whose registration was replaced by one that names no
// endpoint to use. It is listed again when it next writes its own.
func (r *Replica) takeRefused(id string, revision uint64) {
	known := r.endpoints[id]
	if known == nil || revision < known.Revision {
		return
	}
	r.noteEnd(known, revision)
	last := r.ended[id]
	last.refused = true
	r.ended[id] = last
	delete(r.endpoints, id)
}

func (r *Replica) noteEnd(e *Listed, revision uint64) {
	r.ended[e.ID] = ending{born: e.Born, revision: max(r.ended[e.ID].revision, revision), leaving: e.Leaving}
}

// maxEnded bounds the memory of ended lives. Beyond it all are forgotten: a reading that
// is older than the last is refused as a whole, which alone keeps old lives away.
const maxEnded = 20_000

// Expire drops endpoints that have been missing for longer than the grace. It tells
// whether anything changed.
func (r *Replica) Expire(now time.Time) bool {
	changed := false
	for id, e := range r.endpoints {
		if !e.Missing.IsZero() && now.Sub(e.Missing) > lapseGrace {
			delete(r.endpoints, id)
			changed = true
		}
	}
	if len(r.ended) > maxEnded {
		clear(r.ended)
	}
	return changed
}

// Snapshot is an immutable copy for traffic threads.
type Snapshot struct {
	// Config is nil until the node knows one.
	Config *Config
	// At is the store's revision that the snapshot reflects.
	At uint64
	// services lists the endpoints of each service, leaving ones left out, sorted
	// by ID.
	services map[string][]*Listed
	byID     map[string]*Listed
	// Nodes are the system's own registered processes, sorted by name.
	Nodes []Node
}

// Empty is a snapshot that knows nothing.
func Empty() *Snapshot { return &Snapshot{} }

// Endpoints lists the endpoints of a service that may be sent requests.
func (s *Snapshot) Endpoints(service string) []*Listed { return s.services[service] }

// Endpoint finds a life of an endpoint that may be sent requests; nil for none.
func (s *Snapshot) Endpoint(life Life) *Listed {
	if e := s.byID[life.ID]; e != nil && e.Life == life {
		return e
	}
	return nil
}

// Present finds the present life of an endpoint that may be sent requests; nil for none.
func (s *Snapshot) Present(id string) *Listed { return s.byID[id] }

// Len is the number of endpoints that may be sent requests.
func (s *Snapshot) Len() int { return len(s.byID) }

// Snapshot makes an immutable copy.
func (r *Replica) Snapshot() *Snapshot {
	s := &Snapshot{At: r.at, services: map[string][]*Listed{}, byID: map[string]*Listed{}}
	if r.whole {
		s.Config = r.config
	}
	for id, e := range r.endpoints {
		if e.Leaving {
			continue
		}
		listed := *e
		s.services[e.Service] = append(s.services[e.Service], &listed)
		s.byID[id] = &listed
	}
	for _, n := range r.nodes {
		s.Nodes = append(s.Nodes, n)
	}
	slices.SortFunc(s.Nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Listed) int { return cmp.Compare(a.ID, b.ID) })
		for i, listed := range list {
			listed.Position = i
		}
	}
	return s
}
