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
	// At is the position at which the store has the registration.
	At Position
}

// StoreState is the full state of the deployment as read from the store.
type StoreState struct {
	// At is the store's position when the read began, from which Source.Watch continues.
	At Position
	// Config is the newest configuration, or nil if there is none yet.
	Config    *Config
	Endpoints []Endpoint
	// InvalidEndpoints are the IDs of endpoints whose registrations cannot be used.
	InvalidEndpoints []string
	// Nodes are the system's own processes.
	Nodes []Node
	// Evacuations are the data centres that are evacuated.
	Evacuations []Evacuation
	// Records are the nodes' records.
	Records []Record
	// InvalidItems are the items that could not be decoded.
	InvalidItems []InvalidItem
	// Omitted are the items that were not read; Source.ReadItem returns them.
	Omitted []Item
	// DecodeTime is how long decoding took.
	DecodeTime time.Duration
}

// InvalidItem is an item of the store that could not be decoded.
type InvalidItem struct {
	Key string
	At  Position
	Err error
}

// Change is one change of the store. Exactly one of its fields other than At is set.
type Change struct {
	At       Position
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
	// Record is a record that a node wrote, RecordGone the name of one that the store no longer has.
	Record     *Record
	RecordGone string
	// Evacuation is the start or the end of the evacuation of a data centre.
	Evacuation *Evacuation
}

// Changes are the changes of the store after a position, all of its era.
type Changes struct {
	// At is the position from which Source.Watch continues.
	At           Position
	Changes      []Change
	InvalidItems []InvalidItem
	// Items are the same changes as the store delivered them.
	Items []Item
	// DecodeTime is how long decoding took.
	DecodeTime time.Duration
}

// EndpointState is an endpoint's registration with the replica's own state of it.
type EndpointState struct {
	Endpoint
	// MissingSince is when the registration was first seen to have ended; zero while it
	// exists.
	MissingSince time.Time
	// lost is set while the registration is missing because the store was restored, and has not ended.
	lost bool
	// Position is the index among the endpoints of its service in a snapshot.
	Position int
	// ColdSeenAt is when this registration was first seen. By it the endpoint is
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
// That holds across eras too, see beginEra.
// A Replica is not safe for concurrent use.
type Replica struct {
	at        Position
	config    *Config
	endpoints map[string]*EndpointState
	nodes     map[string]nodeState
	// tombstones holds, by ID, the last incarnation whose registration ended, so that a
	// late change does not bring it back.
	tombstones map[string]tombstone
	// withheld holds registrations that are not used because they may be from before the end of their
	// endpoints, by ID.
	withheld map[string]withheldEndpoint
	// outageEnd is when the store first answered again after its last outage.
	outageEnd time.Time
	// synced is set once a full state has been applied.
	synced bool
	// stated are the endpoints that have stated themselves that they leave.
	stated *StatedLeaving
	// evacuations are the data centres whose endpoints get no requests.
	evacuations *Evacuations
}

// nodeState is a node's registration. MissingSince is as in EndpointState.
type nodeState struct {
	Node
	missingSince time.Time
}

// tombstone is how the registration of an incarnation ended.
type tombstone struct {
	startUnixMilli int64
	at             Position
	leaving        bool
	// invalidated is set if the registration was replaced by one that cannot be used.
	invalidated bool
	// addedAt is when the end became known.
	addedAt time.Time
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		endpoints: map[string]*EndpointState{}, nodes: map[string]nodeState{}, tombstones: map[string]tombstone{}, withheld: map[string]withheldEndpoint{},
		stated: NewStatedLeaving(), evacuations: NewEvacuations(),
	}
}

// StatedLeaving returns the set of endpoints that have stated themselves that they leave. Snapshots
// treat them like those that the store lists as leaving.
func (r *Replica) StatedLeaving() *StatedLeaving { return r.stated }

// Evacuations returns the evacuations of data centres. Snapshots leave the endpoints of these data
// centres out of those that may be sent requests.
func (r *Replica) Evacuations() *Evacuations { return r.evacuations }

// At returns the store's position up to which changes are known.
func (r *Replica) At() Position { return r.at }

// Ready reports whether a full state has been applied and a configuration is known.
func (r *Replica) Ready() bool { return r.synced && r.config != nil }

// SetOutageEnd records when the store answered again after an outage.
func (r *Replica) SetOutageEnd(at time.Time) {
	if at.After(r.outageEnd) {
		r.outageEnd = at
	}
}

// ApplyState applies a full state: endpoints and nodes that it does not list are gone. It
// ignores a state that is older than the replica. A state of a later era replaces what is known, except for
// what beginEra keeps. It returns the evacuations that have begun or ended.
func (r *Replica) ApplyState(now time.Time, state *StoreState) []Evacuation {
	switch {
	case state.At.Era() < r.at.Era() || r.at.After(state.At):
		return nil
	case !state.At.SameEra(r.at) && r.synced:
		r.beginEra(now)
	}
	r.at = state.At
	if state.Config != nil {
		r.applyConfig(state.Config)
	}
	listed := map[string]bool{}
	clear(r.withheld)
	for i := range state.Endpoints {
		e := &state.Endpoints[i]
		if r.withhold(now, e) || r.applyEndpoint(now, e) {
			listed[e.ID] = true
		}
	}
	for _, id := range state.InvalidEndpoints {
		r.invalidateEndpoint(now, id, state.At)
	}
	for id, e := range r.endpoints {
		if !listed[id] && !e.At.After(state.At) {
			r.removeEndpoint(now, id, state.At)
		}
	}
	r.replaceNodes(state.Nodes)
	r.synced = true
	return r.evacuations.ApplyList(now, state.At, state.Evacuations)
}

// replaceNodes applies a full list of nodes. Those of an earlier era that it does not list stay missing.
func (r *Replica) replaceNodes(nodes []Node) {
	for name, n := range r.nodes {
		if n.missingSince.IsZero() {
			delete(r.nodes, name)
		}
	}
	for _, n := range nodes {
		r.nodes[n.Name] = nodeState{Node: n}
	}
}

// ApplyChanges applies the changes that followed the last applied state or changes. It ignores those of
// another era. It returns the evacuations that have begun or ended.
func (r *Replica) ApplyChanges(now time.Time, changes *Changes) []Evacuation {
	if !changes.At.SameEra(r.at) {
		return nil
	}
	var evacuations []Evacuation
	for i := range changes.Changes {
		change := &changes.Changes[i]
		switch {
		case change.Config != nil:
			r.applyConfig(change.Config)
		case change.Endpoint != nil:
			delete(r.withheld, change.Endpoint.ID)
			r.applyEndpoint(now, change.Endpoint)
		case change.EndpointGone != "":
			delete(r.withheld, change.EndpointGone)
			r.removeEndpoint(now, change.EndpointGone, change.At)
		case change.InvalidEndpoint != "":
			r.invalidateEndpoint(now, change.InvalidEndpoint, change.At)
		case change.Node != nil:
			r.nodes[change.Node.Name] = nodeState{Node: *change.Node}
		case change.NodeGone != "":
			delete(r.nodes, change.NodeGone)
		case change.Evacuation != nil:
			if r.evacuations.ApplyChange(now, *change.Evacuation) {
				evacuations = append(evacuations, *change.Evacuation)
			}
		}
	}
	r.at = r.at.Later(changes.At)
	r.evacuations.SetStorePosition(r.at)
	return evacuations
}

// applyConfig replaces the configuration unless the known one is at least as new. Versions rise in all eras.
func (r *Replica) applyConfig(config *Config) {
	if r.config == nil || config.Version > r.config.Version {
		r.config = config
	}
}

// applyEndpoint applies a registration unless it is stale: of an incarnation before the
// known one, or written before the known registration. It reports whether the registration is that of the
// known incarnation or a later one.
func (r *Replica) applyEndpoint(now time.Time, e *Endpoint) bool {
	known := r.endpoints[e.ID]
	if known == nil {
		r.addEndpoint(now, e)
		return true
	}
	switch {
	case known.At.After(e.At):
		return true
	case e.StartUnixMilli == 0 && known.StartUnixMilli != 0:
		// An endpoint that registers with its start time always does, so something else
		// wrote this registration.
		r.invalidateEndpoint(now, e.ID, e.At)
		return true
	case e.StartUnixMilli < known.StartUnixMilli:
		return false
	case e.StartUnixMilli > known.StartUnixMilli:
		r.endpoints[e.ID] = newEndpointState(now, e)
		return true
	}
	switch {
	case e.At.After(known.At):
		known.setCold(now, e.ColdLeft)
	case !e.At.SameEra(known.At) && now.Add(e.ColdLeft).Before(known.ColdUntil):
		known.setCold(now, e.ColdLeft) // a copy may hold a registration from when less warm-up had passed
	}
	leaving := known.Leaving
	if leaving && !e.Leaving && !e.At.SameEra(known.At) {
		r.stated.Add(now, e.Hash()) // nodes that start know only the copy, and learn it from this one
	}
	known.Endpoint = *e
	known.Leaving = known.Leaving || leaving
	known.MissingSince, known.lost = time.Time{}, false
	return true
}

// addEndpoint applies the registration of an endpoint that is not known. An incarnation
// that was leaving when its registration ended is still leaving. Without start times, a
// registration after the end of an earlier one counts as a new incarnation, unless the
// earlier one ended by being replaced with an invalid registration.
func (r *Replica) addEndpoint(now time.Time, e *Endpoint) {
	added := newEndpointState(now, e)
	if last, found := r.tombstones[e.ID]; found {
		if last.at.AtLeast(e.At) || e.StartUnixMilli < last.startUnixMilli {
			return
		}
		sameIncarnation := e.StartUnixMilli == last.startUnixMilli && (e.StartUnixMilli != 0 || last.invalidated)
		added.Leaving = added.Leaving || last.leaving && sameIncarnation
	}
	r.endpoints[e.ID] = added
}

// removeEndpoint applies the end of a registration. A registration that ends soon after an
// outage of the store may only have expired, so its endpoint is kept as missing for
// missingGrace. One that is already missing stays so.
func (r *Replica) removeEndpoint(now time.Time, id string, at Position) {
	known := r.endpoints[id]
	if known == nil || known.At.After(at) {
		return
	}
	r.addTombstone(now, known, at)
	if !known.MissingSince.IsZero() && !known.At.SameEra(at) {
		return
	}
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
func (r *Replica) invalidateEndpoint(now time.Time, id string, at Position) {
	known := r.endpoints[id]
	if known == nil || known.At.After(at) {
		return
	}
	r.addTombstone(now, known, at)
	last := r.tombstones[id]
	last.invalidated = true
	r.tombstones[id] = last
	delete(r.endpoints, id)
}

func (r *Replica) addTombstone(now time.Time, e *EndpointState, at Position) {
	r.tombstones[e.ID] = tombstone{startUnixMilli: e.StartUnixMilli, at: at.Later(r.tombstones[e.ID].at), leaving: e.Leaving, addedAt: now}
}

// maxTombstones bounds the memory that tombstones take. Above it all of them are dropped:
// ApplyState ignores a state that is older than the last one, which is enough to keep old
// incarnations out.
const maxTombstones = 20_000

// ExpireMissing drops endpoints and nodes that have been missing for longer than missingGrace, and uses
// registrations that were withheld for long enough. It
// drops all tombstones if there are more than maxTombstones, statements of endpoints that are
// no longer listed, and evacuations that ended some time ago. It reports whether the snapshot changes.
func (r *Replica) ExpireMissing(now time.Time) bool {
	r.stated.refresh(now, r.endpoints)
	r.evacuations.expire(now)
	changed := false
	for id, e := range r.endpoints {
		grace := missingGrace
		if e.Leaving {
			grace = leavingGrace
		}
		if !e.MissingSince.IsZero() && now.Sub(e.MissingSince) > grace {
			delete(r.endpoints, id)
			changed = true
		}
	}
	for name, n := range r.nodes {
		if !n.missingSince.IsZero() && now.Sub(n.missingSince) > missingGrace {
			delete(r.nodes, name)
			changed = true
		}
	}
	changed = r.releaseWithheld(now) || changed
	if len(r.tombstones) > maxTombstones {
		clear(r.tombstones)
	}
	return changed
}
