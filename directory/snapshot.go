package directory

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Snapshot is an immutable copy of a Replica for the goroutines that serve traffic.
type Snapshot struct {
	// Config is nil until the node knows a configuration.
	Config *Config
	// At is the store's position that the snapshot reflects.
	At Position
	// byService lists the endpoints of each service that are not leaving, sorted by ID.
	byService map[string][]*EndpointState
	byID      map[string]*EndpointState
	// leaving holds the service of each endpoint that is leaving, by ID.
	leaving map[string]string
	// leavingPlaces holds the services and data centres of endpoints that are leaving.
	leavingPlaces map[servicePlace]bool
	// evacuated holds the endpoints, by ID, that are not leaving and whose data centre is evacuated.
	evacuated map[string]*EndpointState
	// EvacuationGeneration is the generation of the evacuations that the snapshot reflects.
	EvacuationGeneration uint64
	// Nodes are the system's own registered processes, sorted by name.
	Nodes []Node
}

// EmptySnapshot returns a snapshot without configuration, endpoints and nodes.
func EmptySnapshot() *Snapshot { return &Snapshot{} }

// Endpoints returns the endpoints of a service that may be sent requests, sorted by ID.
func (s *Snapshot) Endpoints(service string) []*EndpointState { return s.byService[service] }

// Endpoint returns an endpoint that may be sent requests, or nil if its current incarnation
// is not the given one.
func (s *Snapshot) Endpoint(incarnation Incarnation) *EndpointState {
	if e := s.byID[incarnation.ID]; e != nil && e.Incarnation == incarnation {
		return e
	}
	return nil
}

// EndpointByID returns the current incarnation of an endpoint that may be sent requests, or
// nil.
func (s *Snapshot) EndpointByID(id string) *EndpointState { return s.byID[id] }

// Present returns the current incarnation of an endpoint that is not leaving, also if its data centre
// is evacuated; nil if there is none.
func (s *Snapshot) Present(id string) *EndpointState {
	if e := s.byID[id]; e != nil {
		return e
	}
	return s.evacuated[id]
}

// Known reports whether an incarnation is registered and not leaving, also if its data centre is
// evacuated: its requests in flight continue, and it returns after the evacuation.
func (s *Snapshot) Known(incarnation Incarnation) bool {
	e := s.Present(incarnation.ID)
	return e != nil && e.Incarnation == incarnation
}

// Registered reports whether an endpoint with that ID is registered, whether or not it may be sent
// requests.
func (s *Snapshot) Registered(id string) bool {
	_, leaving := s.leaving[id]
	return leaving || s.Present(id) != nil
}

// Evacuated returns the endpoints that are left out only because their data centre is evacuated, in
// no order.
func (s *Snapshot) Evacuated() iter.Seq[*EndpointState] { return maps.Values(s.evacuated) }

// EvacuatedTotal returns how many endpoints Evacuated yields.
func (s *Snapshot) EvacuatedTotal() int { return len(s.evacuated) }

// EvacuatedEndpoints returns the endpoints of a service that are left out only because their data centre is
// evacuated, in no order.
func (s *Snapshot) EvacuatedEndpoints(service string) iter.Seq[*EndpointState] {
	return func(yield func(*EndpointState) bool) {
		for _, e := range s.evacuated {
			if e.Service == service && !yield(e) {
				return
			}
		}
	}
}

// EvacuatedCount returns how many endpoints EvacuatedEndpoints yields.
func (s *Snapshot) EvacuatedCount(service string) int {
	n := 0
	for range s.EvacuatedEndpoints(service) {
		n++
	}
	return n
}

// CountIn returns how many endpoints of a data centre are registered and not leaving.
func (s *Snapshot) CountIn(dataCentre string) int {
	n := 0
	for _, all := range []map[string]*EndpointState{s.byID, s.evacuated} {
		for _, e := range all {
			if e.DataCentre == dataCentre {
				n++
			}
		}
	}
	return n
}

// LeavingCount returns how many endpoints of a service are registered and leaving.
func (s *Snapshot) LeavingCount(service string) int {
	n := 0
	for _, of := range s.leaving {
		if of == service {
			n++
		}
	}
	return n
}

// All returns all endpoints that may be sent requests, in no order.
func (s *Snapshot) All() iter.Seq[*EndpointState] { return maps.Values(s.byID) }

// Len returns the number of endpoints that may be sent requests.
func (s *Snapshot) Len() int { return len(s.byID) }

// Snapshot returns an immutable copy of the replica's state. It has no configuration until a
// full state has been applied.
func (r *Replica) Snapshot() *Snapshot {
	s := &Snapshot{At: r.at, byService: map[string][]*EndpointState{}, byID: map[string]*EndpointState{}, leaving: map[string]string{}, leavingPlaces: map[servicePlace]bool{}, evacuated: map[string]*EndpointState{}}
	s.EvacuationGeneration = r.evacuations.Generation()
	if r.synced {
		s.Config = r.config
	}
	for id, e := range r.endpoints {
		if e.Leaving || r.stated.Contains(e.Incarnation) {
			s.leaving[id] = e.Service
			s.leavingPlaces[servicePlace{e.Service, e.DataCentre}] = true
			continue
		}
		usable := *e
		if r.evacuations.Contains(e.DataCentre) {
			s.evacuated[id] = &usable
			continue
		}
		s.byService[e.Service] = append(s.byService[e.Service], &usable)
		s.byID[id] = &usable
	}
	for _, n := range r.nodes {
		s.Nodes = append(s.Nodes, n.Node)
	}
	slices.SortFunc(s.Nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *EndpointState) int { return cmp.Compare(a.ID, b.ID) })
		for i, e := range list {
			e.Position = i
		}
	}
	return s
}
