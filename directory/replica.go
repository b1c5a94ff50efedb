package directory

import (
	"strconv"
	"time"
)

// Incarnation identifies one lifetime of an endpoint, from its start to its end. An
// endpoint may restart under the ID that it had before, and then has lost all of its
// state. What is known about an endpoint (its load, its connections, that it refused
// requests, the memory reserved on it) is therefore stored by incarnation, so that none of
// it is applied to the next one.
type Incarnation struct {
	// ID is the endpoint's ID in the store and in calls to the endpoint.
	ID string
	// StartUnixMilli is when the incarnation started, in Unix milliseconds by the
	// endpoint's own clock. It is 0 if the registration does not say; incarnations are then
	// told apart by ID alone.
	StartUnixMilli int64
}

// String returns the incarnation's name in logs and hashes.
func (i Incarnation) String() string {
	if i.StartUnixMilli == 0 {
		return i.ID
	}
	return i.ID + "/" + strconv.FormatInt(i.StartUnixMilli, 10)
}

// Endpoint is the registration of one incarnation of an endpoint.
type Endpoint struct {
	Incarnation
	// Service is the service that the endpoint offers, Addr its IP address and port.
	Service, Addr, DataCentre string
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Leaving is set if the endpoint is draining and takes no new requests.
	Leaving bool
	// ColdLeft is how long the endpoint still warms up, as of this registration; 0 if it is warm.
	ColdLeft time.Duration
	// Revision is the store's revision of the registration.
	Revision uint64
}

// StoreState is the full state of the deployment as read from the store. The read is
// linearizable, except for Records.
type StoreState struct {
	// Revision is the store's revision when the read began, from which Source.Watch
	// continues.
	Revision uint64
	// Config is the newest configuration, or nil if there is none yet.
	Config *Config
	// ConfigRevision is the store's revision of Config.
	ConfigRevision uint64
	Endpoints      []Endpoint
	// InvalidEndpoints are the IDs of endpoints whose registrations cannot be used.
	InvalidEndpoints []string
	// Nodes are the system's own processes.
	Nodes []Node
	// Evacuations are the data centres that are evacuated.
	Evacuations []Evacuation
	// Records are the nodes' records; records of the last seconds may be missing.
	Records []Record
	// InvalidItems are the items that could not be decoded.
	InvalidItems []InvalidItem
}

// InvalidItem is an item of the store that could not be decoded.
type InvalidItem struct {
	Key      string
	Revision uint64
	Err      error
}

// Change is one change of the store. Exactly one of its fields other than Revision is set.
type Change struct {
	Revision uint64
	Config   *Config
	Endpoint *Endpoint
	// EndpointGone is the ID of an endpoint whose registration ended.
	EndpointGone string
	// InvalidEndpoint is the ID of an endpoint whose registration cannot be used, because
	// something other than the endpoint wrote it or this node does not know the endpoint's
	// kind.
	InvalidEndpoint string
	// Node is a node that registered; NodeGone is the name of a node whose registration
	// ended.
	Node     *Node
	NodeGone string
	// Record is a record that a node wrote.
	Record *Record
	// Evacuation is the start or the end of the evacuation of a data centre.
	Evacuation *Evacuation
}

// Changes are the changes of the store after a revision.
type Changes struct {
	// Revision is the one from which Source.Watch continues.
	Revision     uint64
	Changes      []Change
	InvalidItems []InvalidItem
	// Items are the same changes as the store delivered them.
	Items []Item
}

// EndpointState is an endpoint's registration with the replica's own state of it.
type EndpointState struct {
	Endpoint
	// MissingSince is when the registration was first seen to have ended; zero while it
	// exists.
	MissingSince time.Time
	// Position is the index among the endpoints of its service in a snapshot.
	Position int
	// ColdSeenAt is when this revision of the registration was first seen. By it the endpoint is
	// cold until ColdUntil.
	ColdSeenAt, ColdUntil time.Time
}

// missingGrace is how long an endpoint whose registration ended shortly after an outage of
// the store is kept as a last resort. Registrations expire while endpoints cannot renew
// them; endpoints that are alive register again within two seconds.
const missingGrace = 1500 * time.Millisecond

// expiryWindow is how long after an outage the end of a registration may be due to such
// an expiry.
const expiryWindow = 4 * time.Second

// Replica is a node's copy of the store's state. It only moves forward: an older
// configuration never replaces a newer one, and an endpoint that was leaving never takes
// requests again in the same incarnation, whatever state or change is applied. Otherwise a
// stale read would bring back a revoked key or route, or send requests to an endpoint that
// is about to stop, and requests would be refused or run according to an older version.
// A Replica is not safe for concurrent use.
type Replica struct {
	revision       uint64
	config         *Config
	configRevision uint64
	endpoints      map[string]*EndpointState
	nodes          map[string]Node
	// tombstones holds, by ID, the last incarnation whose registration ended, so that a
	// late change does not bring it back.
	tombstones map[string]tombstone
	// outageEnd is when the store first answered again after its last outage.
	outageEnd time.Time
	// synced is set once a full state has been applied.
	synced bool
	// stated are the endpoints that have stated themselves that they leave.
	stated *StatedLeaving
	// evacuations are the data centres whose endpoints get no requests.
	evacuations *Evacuations
}

// tombstone is how the registration of an incarnation ended.
type tombstone struct {
	startUnixMilli int64
	revision       uint64
	leaving        bool
	// invalidated is set if the registration was replaced by one that cannot be used.
	invalidated bool
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{endpoints: map[string]*EndpointState{}, nodes: map[string]Node{}, tombstones: map[string]tombstone{}, stated: NewStatedLeaving(), evacuations: NewEvacuations()}
}

// StatedLeaving returns the set of endpoints that have stated themselves that they leave. Snapshots
// treat them like those that the store lists as leaving.
func (r *Replica) StatedLeaving() *StatedLeaving { return r.stated }

// Evacuations returns the evacuations of data centres. Snapshots leave the endpoints of these data
// centres out of those that may be sent requests.
func (r *Replica) Evacuations() *Evacuations { return r.evacuations }

// Revision returns the store's revision up to which changes are known.
func (r *Replica) Revision() uint64 { return r.revision }

// Ready reports whether a full state has been applied and a configuration is known.
func (r *Replica) Ready() bool { return r.synced && r.config != nil }

// SetOutageEnd records when the store answered again after an outage.
func (r *Replica) SetOutageEnd(at time.Time) {
	if at.After(r.outageEnd) {
		r.outageEnd = at
	}
}

// ApplyState applies a full state: endpoints and nodes that it does not list are gone. It
// ignores a state that is older than the replica. It returns the evacuations that have begun or ended.
func (r *Replica) ApplyState(now time.Time, state *StoreState) []Evacuation {
	if state.Revision < r.revision {
		return nil
	}
	r.revision = state.Revision
	if state.Config != nil {
		r.applyConfig(state.Config, state.ConfigRevision)
	}
	listed := map[string]bool{}
	for i := range state.Endpoints {
		listed[state.Endpoints[i].ID] = true
		r.applyEndpoint(now, &state.Endpoints[i])
	}
	for _, id := range state.InvalidEndpoints {
		r.invalidateEndpoint(id, state.Revision)
	}
	for id, e := range r.endpoints {
		if !listed[id] && e.Revision <= state.Revision {
			r.removeEndpoint(now, id, state.Revision)
		}
	}
	clear(r.nodes)
	for _, n := range state.Nodes {
		r.nodes[n.Name] = n
	}
	r.synced = true
	return r.evacuations.ApplyList(now, state.Revision, state.Evacuations)
}

// ApplyChanges applies the changes that followed the last applied state or changes. It returns the
// evacuations that have begun or ended.
func (r *Replica) ApplyChanges(now time.Time, changes *Changes) []Evacuation {
	var evacuations []Evacuation
	for i := range changes.Changes {
		change := &changes.Changes[i]
		switch {
		case change.Config != nil:
			r.applyConfig(change.Config, change.Revision)
		case change.Endpoint != nil:
			r.applyEndpoint(now, change.Endpoint)
		case change.EndpointGone != "":
			r.removeEndpoint(now, change.EndpointGone, change.Revision)
		case change.InvalidEndpoint != "":
			r.invalidateEndpoint(change.InvalidEndpoint, change.Revision)
		case change.Node != nil:
			r.nodes[change.Node.Name] = *change.Node
		case change.NodeGone != "":
			delete(r.nodes, change.NodeGone)
		case change.Evacuation != nil:
			if r.evacuations.ApplyChange(now, *change.Evacuation) {
				evacuations = append(evacuations, *change.Evacuation)
			}
		}
	}
	r.revision = max(r.revision, changes.Revision)
	r.evacuations.SetStoreRevision(r.revision)
	return evacuations
}

// applyConfig replaces the configuration unless the known one is at least as new.
func (r *Replica) applyConfig(config *Config, revision uint64) {
	if r.config != nil && (revision <= r.configRevision || config.Version <= r.config.Version) {
		return
	}
	r.config, r.configRevision = config, revision
}

// applyEndpoint applies a registration unless it is stale: of an incarnation before the
// known one, or written before the known registration.
func (r *Replica) applyEndpoint(now time.Time, e *Endpoint) {
	known := r.endpoints[e.ID]
	if known == nil {
		r.addEndpoint(now, e)
		return
	}
	switch {
	case e.Revision < known.Revision:
		return
	case e.StartUnixMilli == 0 && known.StartUnixMilli != 0:
		// An endpoint that registers with its start time always does, so something else
		// wrote this registration.
		r.invalidateEndpoint(e.ID, e.Revision)
		return
	case e.StartUnixMilli < known.StartUnixMilli:
		return
	case e.StartUnixMilli > known.StartUnixMilli:
		r.endpoints[e.ID] = newEndpointState(now, e)
		return
	}
	if e.Revision > known.Revision {
		known.setCold(now, e.ColdLeft)
	}
	leaving := known.Leaving
	known.Endpoint = *e
	known.Leaving = known.Leaving || leaving
	known.MissingSince = time.Time{}
}

// addEndpoint applies the registration of an endpoint that is not known. An incarnation
// that was leaving when its registration ended is still leaving. Without start times, a
// registration after the end of an earlier one counts as a new incarnation, unless the
// earlier one ended by being replaced with an invalid registration.
func (r *Replica) addEndpoint(now time.Time, e *Endpoint) {
	added := newEndpointState(now, e)
	if last, found := r.tombstones[e.ID]; found {
		if e.Revision <= last.revision || e.StartUnixMilli < last.startUnixMilli {
			return
		}
		sameIncarnation := e.StartUnixMilli == last.startUnixMilli && (e.StartUnixMilli != 0 || last.invalidated)
		added.Leaving = added.Leaving || last.leaving && sameIncarnation
	}
	r.endpoints[e.ID] = added
}

// removeEndpoint applies the end of a registration. A registration that ends soon after an
// outage of the store may only have expired, so its endpoint is kept as missing for
// missingGrace.
func (r *Replica) removeEndpoint(now time.Time, id string, revision uint64) {
	known := r.endpoints[id]
	if known == nil || revision < known.Revision {
		return
	}
	r.addTombstone(known, revision)
	if known.Leaving || r.outageEnd.IsZero() || now.Sub(r.outageEnd) > expiryWindow {
		delete(r.endpoints, id)
		return
	}
	if known.MissingSince.IsZero() {
		known.MissingSince = now
	}
}

// invalidateEndpoint drops an endpoint whose registration was replaced by one that cannot be
// used. The endpoint is added again when it next writes its own registration.
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

// maxTombstones bounds the memory that tombstones take. Above it all of them are dropped:
// ApplyState ignores a state that is older than the last one, which is enough to keep old
// incarnations out.
const maxTombstones = 20_000

// ExpireMissing drops endpoints that have been missing for longer than missingGrace. It
// drops all tombstones if there are more than maxTombstones, statements of endpoints that are
// no longer listed, and evacuations that ended some time ago. It reports whether an endpoint was dropped.
func (r *Replica) ExpireMissing(now time.Time) bool {
	r.stated.refresh(now, r.endpoints)
	r.evacuations.expire(now)
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
