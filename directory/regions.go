package directory

import (
	"cmp"
	"slices"
)

// Regions maps data centres to the regions that they are in. A data centre that is not listed is
// in no region.
type Regions map[string]string

// Restriction limits the requests of a route and a client account to endpoints in some regions.
// A nil Restriction allows every endpoint.
type Restriction struct {
	regions Regions
	// allowed are the names that all lists of the route and the account have; it may be empty.
	allowed []string
}

// Restrict returns the restriction of the requests of a client account, which may be nil, to a
// route. Where both have a list, only regions that are in both are allowed. It returns nil if
// neither has a list.
func (r Regions) Restrict(route *Route, account *Account) *Restriction {
	allowed := route.AllowedRegions
	if account != nil && len(account.AllowedRegions) > 0 {
		if len(allowed) == 0 {
			allowed = account.AllowedRegions
		} else {
			allowed = slices.DeleteFunc(slices.Clone(allowed), func(name string) bool { return !slices.Contains(account.AllowedRegions, name) })
			return &Restriction{regions: r, allowed: allowed}
		}
	}
	if len(allowed) == 0 {
		return nil
	}
	return &Restriction{regions: r, allowed: allowed}
}

// Allowed returns the names of the allowed regions.
func (r *Restriction) Allowed() []string { return r.allowed }

// AllowsDataCentre reports whether endpoints in a data centre may be sent the request.
func (r *Restriction) AllowsDataCentre(dataCentre string) bool {
	if r == nil {
		return true
	}
	region, listed := r.regions[dataCentre]
	return listed && slices.Contains(r.allowed, region)
}

// Select returns the endpoints that may be sent the request, in the same order. Without a
// restriction it returns the list itself.
func (r *Restriction) Select(endpoints []*EndpointState) []*EndpointState {
	if r == nil {
		return endpoints
	}
	selected := make([]*EndpointState, 0, len(endpoints))
	for _, e := range endpoints {
		if r.AllowsDataCentre(e.DataCentre) {
			selected = append(selected, e)
		}
	}
	return selected
}

// RestrictedService returns the service as a request sees it that may use only a part of its
// endpoints: with the AllowedShare of the given endpoints. Without a restriction, or where it
// excludes none of them, it returns the service itself.
func (r *Restriction) RestrictedService(service *Service, endpoints []*EndpointState) *Service {
	if r == nil || len(endpoints) == 0 {
		return service
	}
	selected := len(r.Select(endpoints))
	if selected == 0 || selected == len(endpoints) {
		return service
	}
	restricted := *service
	restricted.AllowedShare = float64(selected) / float64(len(endpoints))
	return &restricted
}

// UnknownRegion is the name of a region that a restriction allows and no data centre is in.
type UnknownRegion struct {
	Region string
	// AllowedBy is the first route or client account that names it.
	AllowedBy string
}

// UnknownRegions returns the regions that routes or client accounts of a configuration allow and
// that no data centre is in, each once, sorted by name.
func (r Regions) UnknownRegions(c *Config) []UnknownRegion {
	known := map[string]bool{}
	for _, region := range r {
		known[region] = true
	}
	allowedBy := map[string]string{}
	add := func(kind, name string, allowed []string) {
		user := kind + " " + name
		for _, region := range allowed {
			if first, found := allowedBy[region]; !known[region] && (!found || user < first) {
				allowedBy[region] = user
			}
		}
	}
	for _, routes := range c.routes {
		for _, route := range routes {
			add("route", route.Name, route.AllowedRegions)
		}
	}
	for _, account := range c.accounts {
		add("account", account.Name, account.AllowedRegions)
	}
	var unknown []UnknownRegion
	for region, user := range allowedBy {
		unknown = append(unknown, UnknownRegion{region, user})
	}
	slices.SortFunc(unknown, func(a, b UnknownRegion) int { return cmp.Compare(a.Region, b.Region) })
	return unknown
}

// LeavingAllowed reports whether an endpoint of a service is registered and leaving that the
// restriction allows. Requests are then not refused because of the regions alone.
func (s *Snapshot) LeavingAllowed(service string, r *Restriction) bool {
	for place := range s.leavingPlaces {
		if place.service == service && r.AllowsDataCentre(place.dataCentre) {
			return true
		}
	}
	return false
}

// servicePlace is a service in a data centre.
type servicePlace struct{ service, dataCentre string }
