package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"aspenyard.example/standin/link"
	"aspenyard.example/standin/platform"
)

// faultKind is one way of going wrong. run makes it happen and returns when it is over.
type faultKind struct {
	name   string
	weight int
	run    func(h *harness, f *Fault)
}

// Kinds that the checks ask for.
const (
	kindStoreLink    = "store-link"
	kindCallersLink  = "callers-link"
	kindEndpointLink = "endpoint-link"

	kindCrashingRequest = "crashing-request"
)

// faultTable lists every kind of fault, with how often it comes. New ones go at its end:
// with the first ones alone, a seed then gives the schedule that it gave before.
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
		{"registrations-lapse", 1, lapseRegistrations},
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
	}
}

// runSchedule makes the faults of a schedule happen and waits until all are over.
func (h *harness) runSchedule(ctx context.Context, schedule []Fault) {
	begun := time.Now()
	run := map[string]func(*harness, *Fault){}
	for _, k := range faultTable {
		run[k.name] = k.run
	}
	var playing sync.WaitGroup
	for i := range schedule {
		f := &schedule[i]
		sleep(ctx, time.Until(begun.Add(f.Start)))
		if ctx.Err() != nil {
			break
		}
		h.mu.Lock()
		h.faultCounts[f.Kind]++
		h.mu.Unlock()
		playing.Go(func() { run[f.Kind](h, f) })
	}
	playing.Wait()
}

// killEverySecond kills every second gateway at once.
func killEverySecond(h *harness, f *Fault) {
	for i, g := range h.gateways {
		if i%2 == f.Gateway%2 {
			g.kill(h.record)
		}
	}
}

// stopSequentially stops gateways one after the other.
func stopSequentially(h *harness, f *Fault) {
	for i := range min(3, len(h.gateways)) {
		h.gateways[(f.Gateway+i)%len(h.gateways)].terminate(h.record)
		time.Sleep(f.Delay)
	}
}

func freezeGateway(h *harness, f *Fault) {
	g := h.gateways[f.Gateway]
	defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Gateway: g.name})()
	g.signal(syscall.SIGSTOP, false)
	time.Sleep(f.Duration)
	g.signal(syscall.SIGCONT, false)
}

func reloadGateway(h *harness, f *Fault) {
	g := h.gateways[f.Gateway]
	defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Gateway: g.name, Planned: true})()
	if err := g.writeSettings(h.config.Gateways); err != nil {
		h.record.addViolation("SOAK", "settings of %s: %v", g.name, err)
	}
	if life, _ := g.signal(0, false); g.hasServed(life) {
		g.signal(syscall.SIGHUP, false)
	}
}

// hasServed tells whether the present life is known to have been ready: a signal for
// which a process that just starts has no handler yet would end it.
func (g *gateway) hasServed(life int) bool { return g.isReady() && g.currentIncarnation() == life }

func writeConfigSeries(h *harness, f *Fault) {
	for range 4 {
		h.writeConfig()
		time.Sleep(f.Delay)
	}
}

func (h *harness) beginStoreDisturbance(kind string) (end func()) {
	return h.record.beginDisturbance(Disturbance{Kind: kind})
}

// storeFault gives the store a fault for a while.
func storeFault(faults platform.StoreFaults) func(*harness, *Fault) {
	return func(h *harness, f *Fault) {
		defer h.beginStoreDisturbance(f.Kind)()
		h.store.SetFaults(faults)
		time.Sleep(f.Duration)
		h.store.SetFaults(platform.StoreFaults{})
	}
}

func slowStore(h *harness, f *Fault) { storeFault(platform.StoreFaults{Delay: f.Delay})(h, f) }

// lapseRegistrations lets registrations end while the store is down; their owners, which live, write
// them again within a heartbeat of its return.
func lapseRegistrations(h *harness, f *Fault) {
	defer h.beginStoreDisturbance(f.Kind)()
	h.store.SetFaults(platform.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
	silenced := []*endpointPort{h.ports[f.Port], h.ports[f.SecondPort]}
	for _, p := range silenced {
		p.mu.Lock()
		p.registrationPaused = true
		if p.worker != nil {
			h.store.Delete("servers/" + p.worker.ID)
		}
		p.mu.Unlock()
	}
	time.Sleep(f.Duration)
	h.store.SetFaults(platform.StoreFaults{})
	for _, p := range silenced {
		p.mu.Lock()
		p.registrationPaused = false
		p.mu.Unlock()
	}
}

// disturbLink does one of several things to a link, and takes it back after a while.
func disturbLink(l *link.Link, f *Fault) {
	switch f.Port % 5 {
	case 0:
		l.SetDelay(f.Delay)
	case 1:
		l.ResetConnections()
	case 2:
		l.BlackholeConnections()
	case 3: // what is on its way is lost when the link heals
		l.SetBlocked(link.Direction(f.Variant))
		defer l.ResetConnections()
	default: // what is on its way is delivered when the link heals
		l.SetBlocked(link.Direction(f.Variant))
	}
	time.Sleep(f.Duration)
	l.SetDelay(0)
	l.SetBlocked(0)
}

// disturbGatewayLink disturbs one of a gateway's links.
func disturbGatewayLink(of func(*gateway) *link.Link) func(*harness, *Fault) {
	return func(h *harness, f *Fault) {
		g := h.gateways[f.Gateway]
		defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Gateway: g.name})()
		disturbLink(of(g), f)
	}
}

func disturbEndpointLink(h *harness, f *Fault) {
	p := h.ports[f.SecondPort]
	worker := p.currentWorker()
	if worker == nil {
		return
	}
	defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Endpoint: worker.Incarnation()})()
	disturbLink(p.link, f)
}

// applyEndpointFault makes an endpoint do something wrong with all its requests for a while.
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
