package soak

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"aspenyard.example/standin/link"
	"aspenyard.example/standin/platform"
)

// faultKind is one kind of fault. weight is its relative frequency. run injects the fault and
// returns when it is over.
type faultKind struct {
	name   string
	weight int
	run    func(h *harness, f *Fault)
}

// Kinds of faults that other code refers to by name.
const (
	kindStoreLink    = "store-link"
	kindCallersLink  = "callers-link"
	kindEndpointLink = "endpoint-link"

	kindCrashingRequest = "crashing-request"
	kindCrashingPart    = "crashing-part"
	kindEvacuation      = "data-centre-evacuated"

	kindStopsInSeries = "stops-in-series"
	kindStop          = "term" // part of several kinds
)

// faultTable lists every kind of fault. New kinds are appended: with only the kinds that existed
// when a seed was recorded, the seed still gives the same schedule.
var faultTable []faultKind

func init() {
	faultTable = []faultKind{
		{"gateway-kill", 2, func(h *harness, f *Fault) { h.gateways[f.Gateway].kill(h.record) }},
		{"gateway-kill-many", 1, killEverySecond},
		{"gateway-stop", 3, func(h *harness, f *Fault) { h.gateways[f.Gateway].terminate(h.record) }},
		{"gateway-stop-in-turn", 1, stopSequentially},
		{"gateway-freeze", 2, freezeGateway},
		{"gateway-reload", 2, reloadGateway},
		{"edit", 4, func(h *harness, _ *Fault) { h.writeConfig() }},
		{"edit-series", 1, writeConfigSeries},
		{"store-refuses", 1, storeFault(platform.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})},
		{"store-over-rate", 1, storeFault(platform.StoreFaults{RefuseStatus: http.StatusTooManyRequests})},
		{"store-silent", 1, storeFault(platform.StoreFaults{NoResponse: true})},
		{"store-deaf", 1, storeFault(platform.StoreFaults{MuteWatches: true})},
		{"store-loses-answers", 1, storeFault(platform.StoreFaults{LoseResponses: 20})},
		{"store-slow", 1, slowStore},
		{"store-drops-history", 2, func(h *harness, _ *Fault) { h.beginStoreDisturbance("store-drops-history")(); h.store.Compact() }},
		{"store-ends-leases", 1, func(h *harness, _ *Fault) { h.beginStoreDisturbance("store-ends-leases")(); h.store.RevokeLeases() }},
		{"registrations-lapse", 1, expireRegistrations},
		{kindStoreLink, 3, disturbGatewayLink(func(g *gateway) *link.Link { return g.store })},
		{kindCallersLink, 2, disturbGatewayLink(func(g *gateway) *link.Link { return g.callers })},
		{kindEndpointLink, 2, disturbEndpointLink},
		{"endpoint-wrong", 6, applyEndpointFault},
		{"endpoint-crash", 2, func(h *harness, f *Fault) { h.replaceEndpoint(f, crashEndpoint, h.ports[f.Port].currentService()) }},
		{"endpoint-dark", 1, func(h *harness, f *Fault) { h.replaceEndpoint(f, silenceEndpoint, h.ports[f.Port].currentService()) }},
		{"endpoint-leaves", 3, func(h *harness, f *Fault) { h.replaceEndpoint(f, leaveAnnounced, h.ports[f.Port].currentService()) }},
		{"endpoint-leaves-unannounced", 1, func(h *harness, f *Fault) { h.replaceEndpoint(f, leaveUnannounced, h.ports[f.Port].currentService()) }},
		{"addresses-change-owners", 1, swapServices},
		{"endpoint-restarts", 3, restartEndpoint},
		{"foreign-entries", 1, writeForeignRegistrations},
		{kindCrashingRequest, 1, sendCrashingRequest},
		{"endpoint-limited", 3, limitEndpoint},
		{"endpoint-states-leaving", 3, func(h *harness, f *Fault) { h.replaceEndpoint(f, leaveStated(f), h.ports[f.Port].currentService()) }},
		{"endpoint-requests-backoff", 3, refuseWithBackoff},
		{kindEvacuation, 4, evacuateDataCentre},
		{"slow-callers", 3, addSlowCallers},
		{"endpoint-cold", 4, warmUpEndpoint},
		{kindWatchers, 3, disturbWatchers},
		{kindCrashingPart, 3, sendCrashingParts},
		{"connections-skewed", 2, skewConnections},
		{"endpoint-crashes-in-response", 2, crashInResponse},
		{kindRestore, 3, restoreStore},
		{"endpoint-endless", 2, sendWithoutEnd},
		{kindLateCopies, 3, copyLate},
		{kindFailureThenCrash, 1, failThenCrash},
		{kindOrdersUnanswered, 2, leaveOrdersUnanswered},
		{"stop-beside-silent-endpoints", 2, stopBesideSilence},
		{"stop-beside-slow-callers", 2, stopBesideSlowCallers},
		{kindStopsInSeries, 2, stopInSeries},
		{kindCutResponses, 2, cutResponses},
		{kindSlowStoreLinks, 2, slowStoreLinks},
		{kindMisbehavingClients, 1, addMisbehavingClients},
	}
}

// runSchedule injects the faults of a schedule at their times and waits until all are over.
func (h *harness) runSchedule(ctx context.Context, schedule []Fault) {
	started := time.Now()
	run := map[string]func(*harness, *Fault){}
	for _, k := range faultTable {
		run[k.name] = k.run
	}
	var faults sync.WaitGroup
	for i := range schedule {
		f := &schedule[i]
		sleep(ctx, time.Until(started.Add(f.Start)))
		if ctx.Err() != nil {
			break
		}
		h.mu.Lock()
		h.faultCounts[f.Kind]++
		h.mu.Unlock()
		faults.Go(func() { run[f.Kind](h, f) })
	}
	faults.Wait()
}

// killEverySecond kills every second gateway at once.
func killEverySecond(h *harness, f *Fault) {
	for i, g := range h.gateways {
		if i%2 == f.Gateway%2 {
			g.kill(h.record)
		}
	}
}

// stopSequentially stops up to three gateways gracefully, one after another.
func stopSequentially(h *harness, f *Fault) {
	for i := range min(3, len(h.gateways)) {
		h.gateways[(f.Gateway+i)%len(h.gateways)].terminate(h.record)
		time.Sleep(f.Delay)
	}
}

// freezeGateway stops a gateway by SIGSTOP for the fault's duration.
func freezeGateway(h *harness, f *Fault) {
	g := h.gateways[f.Gateway]
	defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Gateway: g.name})()
	g.signal(syscall.SIGSTOP, false)
	time.Sleep(f.Duration)
	g.signal(syscall.SIGCONT, false)
}

// reloadGateway rewrites the settings of a gateway and makes it reload them by SIGHUP.
func reloadGateway(h *harness, f *Fault) {
	g := h.gateways[f.Gateway]
	defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Gateway: g.name, Planned: true})()
	if err := g.writeSettings(h.config.Gateways); err != nil {
		h.record.addViolation("SOAK", "writing the settings of %s: %v", g.name, err)
	}
	if incarnation, _ := g.signal(0, false); g.isCurrentAndReady(incarnation) {
		g.signal(syscall.SIGHUP, false)
	}
}

// isCurrentAndReady reports whether the given incarnation is current and ready. A process that is
// still starting has no handler for SIGHUP yet, and the signal would end it.
func (g *gateway) isCurrentAndReady(incarnation int) bool {
	return g.isReady() && g.currentIncarnation() == incarnation
}

// writeConfigSeries writes four configuration edits in quick succession.
func writeConfigSeries(h *harness, f *Fault) {
	for range 4 {
		h.writeConfig()
		time.Sleep(f.Delay)
	}
}

// beginStoreDisturbance records a disturbance of the store; end ends it.
func (h *harness) beginStoreDisturbance(kind string) (end func()) {
	return h.record.beginDisturbance(Disturbance{Kind: kind})
}

// storeFault returns a fault that applies the given store faults for the fault's duration.
func storeFault(faults platform.StoreFaults) func(*harness, *Fault) {
	return func(h *harness, f *Fault) {
		defer h.beginStoreDisturbance(f.Kind)()
		h.store.SetFaults(faults)
		time.Sleep(f.Duration)
		h.store.SetFaults(platform.StoreFaults{})
	}
}

// slowStore delays the store's answers by the fault's delay.
func slowStore(h *harness, f *Fault) { storeFault(platform.StoreFaults{Delay: f.Delay})(h, f) }

// expireRegistrations deletes the registrations of two endpoints while the store is down. The
// endpoints are alive and write them again within a heartbeat interval after the store is back.
func expireRegistrations(h *harness, f *Fault) {
	defer h.beginStoreDisturbance(f.Kind)()
	h.store.SetFaults(platform.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
	unregistered := []*endpointPort{h.ports[f.Port], h.ports[f.SecondPort]}
	for _, p := range unregistered {
		p.mu.Lock()
		p.registrationPaused = true
		if p.worker != nil {
			h.store.Delete("servers/" + p.worker.ID)
		}
		p.mu.Unlock()
	}
	time.Sleep(f.Duration)
	h.store.SetFaults(platform.StoreFaults{})
	for _, p := range unregistered {
		p.mu.Lock()
		p.registrationPaused = false
		p.mu.Unlock()
	}
}

// disturbLink disturbs a link in one of five ways, chosen by the fault's port, for the fault's
// duration.
func disturbLink(l *link.Link, f *Fault) {
	switch f.Port % 5 {
	case 0:
		l.SetDelay(f.Delay)
	case 1:
		l.ResetConnections()
	case 2:
		l.BlackholeConnections()
	case 3: // data in transit is lost when the link recovers
		l.SetBlocked(link.Direction(f.Variant))
		defer l.ResetConnections()
	default: // data in transit is delivered when the link recovers
		l.SetBlocked(link.Direction(f.Variant))
	}
	time.Sleep(f.Duration)
	l.SetDelay(0)
	l.SetBlocked(0)
}

// disturbGatewayLink returns a fault that disturbs one link of a gateway, which linkOf selects.
func disturbGatewayLink(linkOf func(*gateway) *link.Link) func(*harness, *Fault) {
	return func(h *harness, f *Fault) {
		g := h.gateways[f.Gateway]
		defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Gateway: g.name})()
		disturbLink(linkOf(g), f)
	}
}

// disturbEndpointLink disturbs the link of an endpoint.
func disturbEndpointLink(h *harness, f *Fault) {
	p := h.ports[f.SecondPort]
	worker := p.currentWorker()
	if worker == nil {
		return
	}
	defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Endpoint: worker.Incarnation()})()
	disturbLink(p.link, f)
}

// crashInResponse makes an endpoint crash in its next response, which has neither a length nor chunks.
func crashInResponse(h *harness, f *Fault) {
	if worker := h.ports[f.Port].currentWorker(); worker != nil {
		worker.SetDefaultFault(platform.FaultUnframedCrash)
		time.Sleep(f.Duration)
		worker.SetDefaultFault("")
	}
}

// applyEndpointFault makes an endpoint misbehave with all requests for the fault's duration.
func applyEndpointFault(h *harness, f *Fault) {
	p := h.ports[f.Port]
	worker := p.currentWorker()
	if worker == nil {
		return
	}
	worker.SetFailedHelper(h.ports[f.SecondPort].link.Addr())
	worker.SetDefaultFault(f.EndpointFault)
	time.Sleep(f.Duration)
	worker.SetDefaultFault("")
}

// sendWithoutEnd makes an endpoint send bytes without end, in a way that the fault's second port chooses, for
// the fault's duration.
func sendWithoutEnd(h *harness, f *Fault) {
	p := h.ports[f.Port]
	worker := p.currentWorker()
	if worker == nil {
		return
	}
	kinds := slices.Concat(platform.EndlessHeads, platform.EndlessBodies)
	if p.currentService() == serviceModel {
		kinds = slices.Concat(platform.EndlessHeads, platform.EndlessStreams)
	}
	worker.SetDefaultFault(kinds[f.SecondPort%len(kinds)])
	time.Sleep(f.Duration)
	worker.SetDefaultFault("")
}
