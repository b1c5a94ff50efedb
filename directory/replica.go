package directory

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Incarnation names one life of an endpoint: an endpoint may start again under the ID that it
// had, and then knows and holds nothing of before. Whatever is remembered of an endpoint
// (its load, its connections, that it refused work, the memory reserved there) is
// remembered by its life, so that nothing of it is believed of the next one.
type Incarnation struct {
	// ID is what requests and orders name the endpoint by.
	ID string
	// StartUnixMilli is when this life began, in Unix milliseconds by the endpoint's own clock. 0:
	// its registration does not say, and ID alone tells lives apart.
	StartUnixMilli int64
}

// String gives the life's name in logs and hashes.
func (i Incarnation) String() string {
	if i.StartUnixMilli == 0 {
		return i.ID
	}
	return i.ID + "/" + strconv.FormatInt(i.StartUnixMilli, 10)
}

// Endpoint is one life of an endpoint as it registered itself.
type Endpoint struct {
	Incarnation
	// Service, Addr (IP number and port) and DataCentre tell what it is and where.
	Service, Addr, DataCentre string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving endpoints take no new requests.
	Leaving bool
	// Revision is the store's revision of the registration.
	Revision uint64
}

// StoreState is a whole linearizable reading of the store.
type StoreState struct {
	// Revision is the store's revision when the reading began: following goes on from it.
	Revision uint64
	// Config is the newest configuration; nil when there is none yet.
	Config *Config
	// ConfigRevision is the store's revision of Config.
	ConfigRevision uint64
	Endpoints      []Endpoint
	// InvalidEndpoints are the IDs of endpoints whose registrations cannot be used.
	InvalidEndpoints []string
	// Nodes are the system's own processes.
	Nodes []Node
	// Records are what nodes have left; some of the last seconds may be missing.
	Records []Record
	// InvalidItems lists what could not be decoded.
	InvalidItems []InvalidItem
}

// InvalidItem is an item of the store that could not be decoded.
type InvalidItem struct {
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
	// EndpointGone is the ID of an endpoint whose registration ended.
	EndpointGone string
	// InvalidEndpoint is the ID of an endpoint whose registration cannot be used; it was written
	// by something else, or the endpoint is of a kind that this node does not know.
	InvalidEndpoint string
	// Node is a node that registered itself; NodeGone the name of one whose
	// registration ended.
	Node     *Node
	NodeGone string
	// Record is one that a node has left.
	Record *Record
}

// Changes is what happened after a revision.
type Changes struct {
	// Revision is the revision to go on from.
	Revision     uint64
	Changes      []Change
	InvalidItems []InvalidItem
}

// EndpointState is an endpoint with what the replica believes of it.
type EndpointState struct {
	Endpoint
	// MissingSince is when its registration was first seen gone; zero: it is listed.
	MissingSince time.Time
	// Position is its number among the endpoints of its service, in the order of a snapshot.
	Position int
}

// missingGrace is how long an endpoint whose registration ended shortly after an
// outage of the store is kept as a last resort. Registrations lapse while their
// owners cannot renew them; those that are alive are back within two seconds.
const missingGrace = 1500 * time.Millisecond

// lapseWindow is how long after an outage a registration's end may be such a lapse.
const lapseWindow = 4 * time.Second

// Replica is the owner's copy of the store's state. It only moves forward: an older
// configuration never replaces a newer one and an endpoint that was leaving never
// takes requests again in the same life, whatever a reading or change says. Without
// that, a reading that is behind would bring back a revoked key or route, or send
// requests to an endpoint that is about to stop; one would see refusals or runs that
// only an older version explains. Not safe for concurrent use.
type Replica struct {
	revision       uint64
	config         *Config
	configRevision uint64
	endpoints      map[string]*EndpointState
	nodes          map[string]Node
	// tombstones remembers, by ID, the last life whose registration tombstones, so that an old
	// registration does not return.
	tombstones map[string]tombstone
	// outageEnd is when the store last answered after an outage.
	outageEnd time.Time
	synced    bool
}

// tombstone is how the registration of an endpoint's life ended.
type tombstone struct {
	startUnixMilli int64
	revision       uint64
	leaving        bool
	// invalidated is set when it was replaced by one that cannot be used.
	invalidated bool
}

// NewReplica makes a replica that knows nothing.
func NewReplica() *Replica {
	return &Replica{endpoints: map[string]*EndpointState{}, nodes: map[string]Node{}, tombstones: map[string]tombstone{}}
}

// Revision is the revision up to which changes are known.
func (r *Replica) Revision() uint64 { return r.revision }

// Ready tells whether one whole reading was taken in and has a configuration.
func (r *Replica) Ready() bool { return r.synced && r.config != nil }

// SetOutageEnd marks that the store answers again after it did not.
func (r *Replica) SetOutageEnd(now time.Time) { r.outageEnd = now }

// ApplyState takes a whole reading in: what it does not list is gone.
func (r *Replica) ApplyState(now time.Time, reading *StoreState) {
	if reading.Revision < r.revision {
		return
	}
	r.revision = reading.Revision
	if reading.Config != nil {
		r.applyConfig(reading.Config, reading.ConfigRevision)
	}
	listed := map[string]bool{}
	for i := range reading.Endpoints {
		listed[reading.Endpoints[i].ID] = true
		r.applyEndpoint(&reading.Endpoints[i])
	}
	for _, id := range reading.InvalidEndpoints {
		r.invalidateEndpoint(id, reading.Revision)
	}
	for id, e := range r.endpoints {
		if !listed[id] && e.Revision <= reading.Revision {
			r.removeEndpoint(now, id, reading.Revision)
		}
	}
	clear(r.nodes)
	for _, n := range reading.Nodes {
		r.nodes[n.Name] = n
	}
	r.synced = true
}

// ApplyChanges takes in what followed the last reading or changes.
func (r *Replica) ApplyChanges(now time.Time, changes *Changes) {
	for i := range changes.Changes {
		change := &changes.Changes[i]
		switch {
		case change.Config != nil:
			r.applyConfig(change.Config, change.Revision)
		case change.Endpoint != nil:
			r.applyEndpoint(change.Endpoint)
		case change.EndpointGone != "":
			r.removeEndpoint(now, change.EndpointGone, change.Revision)
		case change.InvalidEndpoint != "":
			r.invalidateEndpoint(change.InvalidEndpoint, change.Revision)
		case change.Node != nil:
			r.nodes[change.Node.Name] = *change.Node
		case change.NodeGone != "":
			delete(r.nodes, change.NodeGone)
		}
	}
	r.revision = max(r.revision, changes.Revision)
}

func (r *Replica) applyConfig(config *Config, revision uint64) {
	if r.config != nil && (revision <= r.configRevision || config.Version <= r.config.Version) {
		return
	}
	r.config, r.configRevision = config, revision
}

// applyEndpoint takes a registration in, unless it is old news: of a life before the one
// that is known, or written before what is known.
func (r *Replica) applyEndpoint(e *Endpoint) {
	known := r.endpoints[e.ID]
	if known == nil {
		r.addEndpoint(e)
		return
	}
	switch {
	case e.Revision < known.Revision:
		return
	case e.StartUnixMilli == 0 && known.StartUnixMilli != 0:
		// Endpoints that say when they were born always do: this is another's writing.
		r.invalidateEndpoint(e.ID, e.Revision)
		return
	case e.StartUnixMilli < known.StartUnixMilli:
		return
	case e.StartUnixMilli > known.StartUnixMilli:
		r.endpoints[e.ID] = &EndpointState{Endpoint: *e}
		return
	}
	leaving := known.Leaving
	known.Endpoint = *e
	known.Leaving = known.Leaving || leaving
	known.MissingSince = time.Time{}
}

// addEndpoint takes in a registration of an endpoint that is not listed. A life that was
// leaving when its registration ended is leaving still; where lives are not told apart by
// their birth, what registers after that is taken for another one.
func (r *Replica) addEndpoint(e *Endpoint) {
	listed := &EndpointState{Endpoint: *e}
	if last, found := r.tombstones[e.ID]; found {
		if e.Revision <= last.revision || e.StartUnixMilli < last.startUnixMilli {
			return
		}
		sameLife := e.StartUnixMilli == last.startUnixMilli && (e.StartUnixMilli != 0 || last.invalidated)
		listed.Leaving = listed.Leaving || last.leaving && sameLife
	}
	r.endpoints[e.ID] = listed
}

// removeEndpoint ends a registration. One that ends soon after an outage of the store may
// have lapsed only, and is kept as missing for lapseGrace.
func (r *Replica) removeEndpoint(now time.Time, id string, revision uint64) {
	known := r.endpoints[id]
	if known == nil || revision < known.Revision {
		return
	}
	r.addTombstone(known, revision)
	if known.Leaving || r.outageEnd.IsZero() || now.Sub(r.outageEnd) > lapseWindow {
		delete(r.endpoints, id)
		return
	}
	if known.MissingSince.IsZero() {
		known.MissingSince = now
	}
}

// invalidateEndpoint drops an endpoint whose registration was replaced by one that names no
// endpoint to use. It is listed again when it next writes its own.
func (r *Replica) invalidateEndpoint(id string, revision uint64) {
	known := r.endpoints[id]
	if known == nil || revision < known.Revision {
		return
	}
	r.addTombstone(known, revision)
	last := r.tombstones[id]
	last.invalidated = true
	r.tombstones[id] = last
	delete(r.endpoints, id)
}

func (r *Replica) addTombstone(e *EndpointState, revision uint64) {
	r.tombstones[e.ID] = tombstone{startUnixMilli: e.StartUnixMilli, revision: max(r.tombstones[e.ID].revision, revision), leaving: e.Leaving}
}

// maxTombstones bounds the memory of ended lives. Beyond it all are forgotten: a reading that
// is older than the last is refused as a whole, which alone keeps old lives away.
const maxTombstones = 20_000

// ExpireMissing drops endpoints that have been missing for longer than the grace. It tells
// whether anything changed.
func (r *Replica) ExpireMissing(now time.Time) bool {
	changed := false
	for id, e := range r.endpoints {
		if !e.MissingSince.IsZero() && now.Sub(e.MissingSince) > missingGrace {
			delete(r.endpoints, id)
			changed = true
		}
	}
	if len(r.tombstones) > maxTombstones {
		clear(r.tombstones)
	}
	return changed
}

// Snapshot is an immutable copy for traffic threads.
type Snapshot struct {
	// Config is nil until the node knows one.
	Config *Config
	// Revision is the store's revision that the snapshot reflects.
	Revision uint64
	// byService lists the endpoints of each service, leaving ones left out, sorted
	// by ID.
	byService map[string][]*EndpointState
	byID      map[string]*EndpointState
	// Nodes are the system's own registered processes, sorted by name.
	Nodes []Node
}

// EmptySnapshot is a snapshot that knows nothing.
func EmptySnapshot() *Snapshot { return &Snapshot{} }

// Endpoints lists the endpoints of a service that may be sent requests.
func (s *Snapshot) Endpoints(service string) []*EndpointState { return s.byService[service] }

// Endpoint finds a life of an endpoint that may be sent requests; nil for none.
func (s *Snapshot) Endpoint(life Incarnation) *EndpointState {
	if e := s.byID[life.ID]; e != nil && e.Incarnation == life {
		return e
	}
	return nil
}

// EndpointByID finds the present life of an endpoint that may be sent requests; nil for none.
func (s *Snapshot) EndpointByID(id string) *EndpointState { return s.byID[id] }

// Len is the number of endpoints that may be sent requests.
func (s *Snapshot) Len() int { return len(s.byID) }

// Snapshot makes an immutable copy.
func (r *Replica) Snapshot() *Snapshot {
	s := &Snapshot{Revision: r.revision, byService: map[string][]*EndpointState{}, byID: map[string]*EndpointState{}}
	if r.synced {
		s.Config = r.config
	}
	for id, e := range r.endpoints {
		if e.Leaving {
			continue
		}
		listed := *e
		s.byService[e.Service] = append(s.byService[e.Service], &listed)
		s.byID[id] = &listed
	}
	for _, n := range r.nodes {
		s.Nodes = append(s.Nodes, n)
	}
	slices.SortFunc(s.Nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *EndpointState) int { return cmp.Compare(a.ID, b.ID) })
		for i, listed := range list {
			listed.Position = i
		}
	}
	return s
}
