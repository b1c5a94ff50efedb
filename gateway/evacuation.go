package gateway

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/wire"
)

const (
	// evacuationDelayShare is how soon an evacuation must be known here, as a share of the setting
	// EvacuateWithin, when the store leaves a watch unanswered. The rest is for reading the
	// evacuations anew from a slow store, and for attempts that are just being sent.
	evacuationDelayShare = 0.5
	// maxHeartbeatEvacuations is how many evacuations a heartbeat carries at most, of about 30 bytes
	// each. Longer names than maxHeartbeatNameBytes belong to no data centre in practice.
	maxHeartbeatEvacuations = 32
	maxHeartbeatNameBytes   = 64
	// evacuatedRetryAfter is the Retry-After value while all endpoints are evacuated. Nobody knows
	// when the evacuation ends.
	evacuatedRetryAfter = time.Second
	// fromStore stands for the store in log lines that name who reported an evacuation.
	fromStore = "store"
)

// evacuationDelay returns how soon an evacuation must be known here when a watch is not answered. It
// leaves time for two calls to the store.
func (g *Gateway) evacuationDelay() time.Duration {
	return max(scaleDuration(g.settings.EvacuateWithin.D(), evacuationDelayShare), 2*g.settings.StoreTimeout.D())
}

// evacuations returns the evacuations of data centres.
func (g *Gateway) evacuations() *directory.Evacuations { return g.watcher.Evacuations() }

// evacuated reports whether an endpoint's data centre is evacuated.
func (g *Gateway) evacuated(e *directory.EndpointState) bool {
	return g.evacuations().Contains(e.DataCentre)
}

// endpoints returns the endpoints of a service that may be sent requests. It includes evacuations that
// the snapshot does not reflect yet.
func (g *Gateway) endpoints(snapshot *directory.Snapshot, service string) []*directory.EndpointState {
	list := snapshot.Endpoints(service)
	if snapshot.EvacuationGeneration == g.evacuations().Generation() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), g.evacuated)
}

// resumeEvacuated makes requests return gradually to the endpoints whose evacuation has ended from one
// snapshot to the next.
func (g *Gateway) resumeEvacuated(before, after *directory.Snapshot) {
	now := time.Now()
	for e := range before.Evacuated() {
		if after.Endpoint(e.Incarnation) != nil {
			g.loadTracker.Backoffs().Resume(now, e)
		}
	}
}

// logEvacuations logs evacuations that have begun or ended. from is fromStore or the name of the entry
// that reported them.
func (g *Gateway) logEvacuations(changed []directory.Evacuation, from string) {
	for _, e := range changed {
		fields := []zap.Field{
			zap.String("data_centre", e.DataCentre), zap.Uint64("revision", e.At.Revision()), zap.Int("endpoints", g.snapshot.Load().CountIn(e.DataCentre)), zap.String("heard_from", from), zap.Stringer("era", e.At.Era()),
		}
		if e.Evacuated {
			g.log.Warn("evacuation", fields...)
			continue
		}
		g.log.Info("evacuation_ended", fields...)
	}
}

// appendEvacuations adds the evacuations to a heartbeat.
func (g *Gateway) appendEvacuations(now time.Time, h *wire.Heartbeat) {
	for _, e := range g.evacuations().Reports(now, !h.Partial, maxHeartbeatEvacuations, maxHeartbeatNameBytes) {
		h.Evacuations = append(h.Evacuations, &wire.Evacuation{DataCentre: e.DataCentre, Revision: e.At.Revision(), Era: uint64(e.At.Era()), Evacuated: e.Evacuated})
	}
}

// mergeEvacuations applies the evacuations that another entry's heartbeat reports, and passes on what
// has changed.
func (g *Gateway) mergeEvacuations(now time.Time, h *wire.Heartbeat) {
	if len(h.Evacuations) == 0 {
		return
	}
	reports := make([]directory.Evacuation, 0, len(h.Evacuations))
	for _, e := range h.Evacuations {
		if e.GetDataCentre() != "" {
			reports = append(reports, directory.Evacuation{DataCentre: e.GetDataCentre(), At: directory.At(directory.Era(e.GetEra()), e.GetRevision()), Evacuated: e.GetEvacuated()})
		}
	}
	changed := g.evacuations().Merge(now, reports)
	if len(changed) == 0 {
		return
	}
	g.logEvacuations(changed, h.Node)
	g.watcher.RequestPublish()
	g.peers.sendHeartbeat()
}

// refuseIfAllEvacuated returns the error for a request that has certainly not run if all endpoints that it
// may use are left out because of evacuations; nil if one of them is not, or there is none.
func (f *forwarding) refuseIfAllEvacuated() *result.Error {
	snapshot := f.gateway.snapshot.Load()
	listed := slices.AppendSeq(slices.Clone(snapshot.Endpoints(f.service.Name)), snapshot.EvacuatedEndpoints(f.service.Name))
	usable := len(f.allowedEndpoints(snapshot))
	evacuated := len(f.restriction.Select(listed)) - usable
	if usable > 0 || evacuated == 0 {
		return nil
	}
	dataCentres := f.gateway.evacuations().DataCentres()
	f.log.Add("evacuated_refused", zap.String("service", f.service.Name), zap.Int("endpoints", evacuated), zap.Strings("data_centres", dataCentres))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_evacuated_refused_total{service=%q}`, f.service.Name)).Inc()
	return result.Refuse(result.Evacuated, evacuatedRetryAfter, "all %d endpoints of service %q are in data centres that are evacuated", evacuated, f.service.Name)
}

// registerEvacuationMetrics registers the gauges of evacuations.
func (g *Gateway) registerEvacuationMetrics() {
	g.metrics.NewGauge("aspenyard_gateway_evacuated_data_centres", func() float64 { return float64(g.evacuations().Count()) })
	g.metrics.NewGauge("aspenyard_gateway_evacuated_endpoints", func() float64 { return float64(g.snapshot.Load().EvacuatedTotal()) })
}
