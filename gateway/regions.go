package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/result"
)

// regionsRetryAfter is the Retry-After value where no endpoint is in an allowed region: an operator has to
// edit the configuration, or an endpoint has to register there, which takes seconds at least.
const regionsRetryAfter = 5 * time.Second

// restrictRegions sets which endpoints the call may use, by its route and client account.
func (c *call) restrictRegions() {
	c.restriction = directory.Regions(c.gateway.settings.Regions).Restrict(c.route, c.account)
	if c.restriction != nil {
		c.service = c.restriction.RestrictedService(c.service, c.snapshot.Endpoints(c.service.Name))
	}
}

// allowedEndpoints returns the endpoints of the call's service in a snapshot that the call may use.
// Everything that is sent to endpoints for the call, and every estimate for it, uses this list.
func (c *call) allowedEndpoints(snapshot *directory.Snapshot) []*directory.EndpointState {
	return c.restriction.Select(c.gateway.endpoints(snapshot, c.service.Name))
}

// refuseOutsideRegions returns the error for a request that has certainly not run and whose service has
// endpoints, none of them in an allowed region; nil otherwise.
func (f *forwarding) refuseOutsideRegions() *result.Error {
	snapshot := f.gateway.snapshot.Load()
	if f.restriction == nil || len(f.allowedEndpoints(snapshot)) > 0 || snapshot.LeavingAllowed(f.service.Name, f.restriction) {
		return nil
	}
	endpoints := len(snapshot.Endpoints(f.service.Name)) + snapshot.EvacuatedCount(f.service.Name)
	if endpoints == 0 {
		return nil
	}
	f.log.Add("regions_refused", zap.String("service", f.service.Name), zap.Strings("allowed", f.restriction.Allowed()), zap.Int("endpoints", endpoints))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_regions_refused_total{service=%q}`, f.service.Name)).Inc()
	return result.Refuse(result.OutsideRegions, regionsRetryAfter, "none of %d endpoints of service %q is in the allowed regions %q", endpoints, f.service.Name, f.restriction.Allowed())
}

// logUnknownRegions logs the regions that a configuration allows and no data centre is in, each once while
// configurations name it.
func (g *Gateway) logUnknownRegions(config *directory.Config) {
	logged := g.loggedUnknownRegions
	g.loggedUnknownRegions = map[string]bool{}
	for _, unknown := range directory.Regions(g.settings.Regions).UnknownRegions(config) {
		g.loggedUnknownRegions[unknown.Region] = true
		if !logged[unknown.Region] {
			g.log.Warn("unknown_region", zap.String("region", unknown.Region), zap.String("allowed_by", unknown.AllowedBy), zap.Uint64("version", config.Version))
		}
	}
}
