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

// kind is one way of going wrong. run makes it happen and returns when it is over.
type kind struct {
	name   string
	weight int
	run    func(w *world, f *Fault)
}

// Kinds that the checks ask for.
const (
	kindStoreLink    = "store-link"
	kindCallersLink  = "callers-link"
	kindEndpointLink = "endpoint-link"

	kindCrashingRequest = "crashing-request"
)

// kindTable lists every kind of fault, with how often it comes. New ones go at its end:
// with the first ones alone, a seed then gives the schedule that it gave before.
var kindTable []kind

func init() {
	kindTable = []kind{
		{"gateway-kill", 2, func(w *world, f *Fault) { w.gateways[f.Gateway].kill(w.record) }},
		{"gateway-kill-many", 1, killMany},
		{"gateway-stop", 3, func(w *world, f *Fault) { w.gateways[f.Gateway].terminate(w.record) }},
		{"gateway-stop-in-turn", 1, stopInTurn},
		{"gateway-freeze", 2, freeze},
		{"gateway-reload", 2, reload},
		{"edit", 4, func(w *world, _ *Fault) { w.edit() }},
		{"edit-series", 1, editSeries},
		{"store-refuses", 1, storeFault(platform.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})},
		{"store-over-rate", 1, storeFault(platform.StoreFaults{RefuseStatus: http.StatusTooManyRequests})},
		{"store-silent", 1, storeFault(platform.StoreFaults{NoResponse: true})},
		{"store-deaf", 1, storeFault(platform.StoreFaults{MuteWatches: true})},
		{"store-loses-answers", 1, storeFault(platform.StoreFaults{LoseResponses: 20})},
		{"store-slow", 1, storeSlow},
		{"store-drops-history", 2, func(w *world, _ *Fault) { w.disturbStore("store-drops-history")(); w.store.Compact() }},
		{"store-ends-leases", 1, func(w *world, _ *Fault) { w.disturbStore("store-ends-leases")(); w.store.RevokeLeases() }},
		{"registrations-lapse", 1, lapse},
		{kindStoreLink, 3, gatewayLink(func(g *gateway) *link.Link { return g.store })},
		{kindCallersLink, 2, gatewayLink(func(g *gateway) *link.Link { return g.callers })},
		{kindEndpointLink, 2, endpointLink},
		{"endpoint-wrong", 6, endpointWrong},
		{"endpoint-crash", 2, func(w *world, f *Fault) { w.replace(f, crash, w.posts[f.Port].serviceNow()) }},
		{"endpoint-dark", 1, func(w *world, f *Fault) { w.replace(f, goDark, w.posts[f.Port].serviceNow()) }},
		{"endpoint-leaves", 3, func(w *world, f *Fault) { w.replace(f, leave, w.posts[f.Port].serviceNow()) }},
		{"endpoint-leaves-unannounced", 1, func(w *world, f *Fault) { w.replace(f, leaveUnannounced, w.posts[f.Port].serviceNow()) }},
		{"addresses-change-owners", 1, changeOwners},
		{"endpoint-restarts", 3, restart},
		{"foreign-entries", 1, writeForeign},
		{kindCrashingRequest, 1, crashingRequest},
	}
}

// play makes the faults of a schedule happen and waits until all are over.
func (w *world) play(ctx context.Context, schedule []Fault) {
	begun := time.Now()
	run := map[string]func(*world, *Fault){}
	for _, k := range kindTable {
		run[k.name] = k.run
	}
	var playing sync.WaitGroup
	for i := range schedule {
		f := &schedule[i]
		sleep(ctx, time.Until(begun.Add(f.Start)))
		if ctx.Err() != nil {
			break
		}
		w.mu.Lock()
		w.faultCounts[f.Kind]++
		w.mu.Unlock()
		playing.Go(func() { run[f.Kind](w, f) })
	}
	playing.Wait()
}

// killMany kills every second gateway at once.
func killMany(w *world, f *Fault) {
	for i, g := range w.gateways {
		if i%2 == f.Gateway%2 {
			g.kill(w.record)
		}
	}
}

// stopInTurn stops gateways one after the other.
func stopInTurn(w *world, f *Fault) {
	for i := range min(3, len(w.gateways)) {
		w.gateways[(f.Gateway+i)%len(w.gateways)].terminate(w.record)
		time.Sleep(f.Delay)
	}
}

func freeze(w *world, f *Fault) {
	g := w.gateways[f.Gateway]
	defer w.record.disturb(Disturbance{Kind: f.Kind, Gateway: g.name})()
	g.signal(syscall.SIGSTOP, false)
	time.Sleep(f.Duration)
	g.signal(syscall.SIGCONT, false)
}

func reload(w *world, f *Fault) {
	g := w.gateways[f.Gateway]
	defer w.record.disturb(Disturbance{Kind: f.Kind, Gateway: g.name, Planned: true})()
	if err := g.writeSettings(w.config.Gateways); err != nil {
		w.record.violate("SOAK", "settings of %s: %v", g.name, err)
	}
	if life, _ := g.signal(0, false); g.servedOnce(life) {
		g.signal(syscall.SIGHUP, false)
	}
}

// servedOnce tells whether the present life is known to have been ready: a signal for
// which a process that just starts has no handler yet would end it.
func (g *gateway) servedOnce(life int) bool { return g.isReady() && g.currentLife() == life }

func editSeries(w *world, f *Fault) {
	for range 4 {
		w.edit()
		time.Sleep(f.Delay)
	}
}

func (w *world) disturbStore(kind string) (end func()) {
	return w.record.disturb(Disturbance{Kind: kind})
}

// storeFault gives the store a fault for a while.
func storeFault(faults platform.StoreFaults) func(*world, *Fault) {
	return func(w *world, f *Fault) {
		defer w.disturbStore(f.Kind)()
		w.store.SetFaults(faults)
		time.Sleep(f.Duration)
		w.store.SetFaults(platform.StoreFaults{})
	}
}

func storeSlow(w *world, f *Fault) { storeFault(platform.StoreFaults{Delay: f.Delay})(w, f) }

// lapse lets registrations end while the store is down; their owners, which live, write
// them again within a heartbeat of its return.
func lapse(w *world, f *Fault) {
	defer w.disturbStore(f.Kind)()
	w.store.SetFaults(platform.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
	silenced := []*post{w.posts[f.Port], w.posts[f.SecondPort]}
	for _, p := range silenced {
		p.mu.Lock()
		p.silent = true
		if p.worker != nil {
			w.store.Delete("servers/" + p.worker.ID)
		}
		p.mu.Unlock()
	}
	time.Sleep(f.Duration)
	w.store.SetFaults(platform.StoreFaults{})
	for _, p := range silenced {
		p.mu.Lock()
		p.silent = false
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

// gatewayLink disturbs one of a gateway's links.
func gatewayLink(of func(*gateway) *link.Link) func(*world, *Fault) {
	return func(w *world, f *Fault) {
		g := w.gateways[f.Gateway]
		defer w.record.disturb(Disturbance{Kind: f.Kind, Gateway: g.name})()
		disturbLink(of(g), f)
	}
}

func endpointLink(w *world, f *Fault) {
	p := w.posts[f.SecondPort]
	worker := p.current()
	if worker == nil {
		return
	}
	defer w.record.disturb(Disturbance{Kind: f.Kind, Endpoint: worker.Incarnation()})()
	disturbLink(p.link, f)
}

// endpointWrong makes an endpoint do something wrong with all its requests for a while.
func endpointWrong(w *world, f *Fault) {
	p := w.posts[f.Port]
	worker := p.current()
	if worker == nil {
		return
	}
	worker.SetFailedHelper(w.posts[f.SecondPort].link.Addr())
	worker.SetDefaultFault(f.EndpointFault)
	time.Sleep(f.Duration)
	worker.SetDefaultFault("")
}
