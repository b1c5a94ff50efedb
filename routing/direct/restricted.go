package direct

import (
	"time"

	"aspenyard.example/directory"
)

// allowedDemand is the demand on those of a service's engines that a request may use. A request that
// is restricted to a part of them is placed as if they had that part of the whole demand; with all of
// it, a long prompt would be refused for the load of engines that it cannot use.
func (p *Policy) allowedDemand(now time.Time, service *directory.Service) Demand {
	total := p.tracker.totalDemand(now, service.Name)
	if service.AllowedShare > 0 {
		total.scale(service.AllowedShare)
	}
	return total
}

// scale multiplies the demand by a share.
func (d *Demand) scale(share float64) {
	for _, t := range []*time.Duration{&d.LongPrefill, &d.PendingPrefill, &d.QueuedPrefill} {
		*t = time.Duration(share * float64(*t))
	}
	d.ShortInFlight = int(share*float64(d.ShortInFlight) + 0.5)
}
