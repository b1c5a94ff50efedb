package gateway

import (
	"time"

	"aspenyard.example/directory"
	"aspenyard.example/gateway/storewatch"
)

// evacuationReadShare is the timeout of a read of evacuations, as a share of the setting EvacuateWithin. A
// store that is slow may take longer for it than the timeout of other calls allows, and the watch that
// failed before has used evacuationDelayShare.
const evacuationReadShare = 0.4

// newWatcher returns the watcher that follows the store for this gateway.
func (g *Gateway) newWatcher(c *Config) *storewatch.Watcher {
	return storewatch.New(storewatch.Config{
		Name: g.settings.Name, DataCentre: g.settings.DataCentre, ChangeWithin: g.maxChangeDelay(), StoreTimeout: g.settings.StoreTimeout.D(),
		EvacuationReadTimeout: g.evacuationReadTimeout(), StoreHistory: g.settings.StoreHistory.D(),
		Source: c.Source, Checkpoints: c.Checkpoints, Changes: &g.feed.log, Peers: g.feed, Listener: g,
		SinceBoot: bootTime, Random: globalRand{}, Draining: g.draining, Logger: g.log, Metrics: g.metrics,
	})
}

// maxChangeDelay returns how soon a change in the store must be in force here.
func (g *Gateway) maxChangeDelay() time.Duration {
	return min(g.settings.ConfigWithin.D(), g.settings.LeavingWithin.D(), g.evacuationDelay())
}

// evacuationReadTimeout bounds one read of evacuations.
func (g *Gateway) evacuationReadTimeout() time.Duration {
	return max(scaleDuration(g.settings.EvacuateWithin.D(), evacuationReadShare), g.settings.StoreTimeout.D())
}

// stateAge returns the time since the state was last known to be current; the time since boot if it never
// was.
func (g *Gateway) stateAge() time.Duration { return bootTime() - time.Duration(g.currentAt.Load()) }

// configMayBeStale reports whether the configuration has not been known to be the newest for so long that a newer
// one may be in force elsewhere.
func (g *Gateway) configMayBeStale() bool {
	return bootTime()-time.Duration(g.configCurrentAt.Load()) > g.settings.ConfigWithin.D()+g.settings.StoreTimeout.D()
}

// Publish implements storewatch.Listener. It drops what is kept of endpoints that are not in the new snapshot.
func (g *Gateway) Publish(before, after *directory.Snapshot) {
	g.resumeEvacuated(before, after)
	g.snapshot.Store(after)
	g.pool.prune(func(incarnation directory.Incarnation) bool { return after.Endpoint(incarnation) != nil })
	g.prober.prune(after.Known)
	g.slowdownMonitor.prune(after.Known)
	g.shareLimits(after)
	g.updateReturnCapacity(time.Now(), after)
	g.shareCold(after, after.Known)
	g.loadTracker.Prune(after.Known)
	g.peers.setMembers(after)
}

// ConfigInForce implements storewatch.Listener.
func (g *Gateway) ConfigInForce(config *directory.Config) {
	if g.configAppliedAt.Swap(g.uptimeNanos()) == 0 {
		close(g.configured)
	}
	g.logUnknownRegions(config)
}

// EvacuationsChanged implements storewatch.Listener. It tells the other entries.
func (g *Gateway) EvacuationsChanged(changed []directory.Evacuation) {
	g.logEvacuations(changed, fromStore)
	g.peers.sendHeartbeat()
}

// EndpointListed implements storewatch.Listener.
func (g *Gateway) EndpointListed(e *directory.Endpoint) { g.logLongCold(e.ID, e.ColdLeft) }

// ApplyRecord implements storewatch.Listener.
func (g *Gateway) ApplyRecord(now time.Time, record *directory.Record) {
	g.verdicts.apply(now, *record)
}

// RecordGone implements storewatch.Listener.
func (g *Gateway) RecordGone(name string) { g.verdicts.forget(name) }

// RecordsRead implements storewatch.Listener.
func (g *Gateway) RecordsRead(now time.Time, records []directory.Record) {
	g.verdicts.replace(now, records)
}

// Proved implements storewatch.Listener.
func (g *Gateway) Proved(at time.Duration) {
	if int64(at) > g.currentAt.Load() {
		g.currentAt.Store(int64(at))
	}
	g.cold().SetCurrent(time.Now().Add(at - bootTime()))
}

// ConfigProved implements storewatch.Listener.
func (g *Gateway) ConfigProved(at time.Duration) {
	if int64(at) > g.configCurrentAt.Load() {
		g.configCurrentAt.Store(int64(at))
	}
}

// CallEnded implements storewatch.Listener.
func (g *Gateway) CallEnded(fullRead bool, took time.Duration, err error) {
	g.observeStoreCall(fullRead, took, err)
}

// Tick implements storewatch.Listener.
func (g *Gateway) Tick(now time.Time) {
	g.refreshScarce(now)
	g.verdicts.reconcile(now)
	g.logColdTransitions("")
}
