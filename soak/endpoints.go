package soak

import (
	"strconv"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// portReuseDelay is the time from the end of an endpoint to the start of the next one at its
	// address.
	portReuseDelay = 2 * time.Second
	// registrationTTL is the time after which a registration expires that its endpoint no longer
	// renews.
	registrationTTL = 3 * heartbeatInterval
	// serveAfterLeaving is how long a leaving endpoint still serves after the time at which
	// gateways must have stopped sending it requests.
	serveAfterLeaving = 2 * time.Second
	// bindRetryInterval is the pause between attempts to bind an address that was in use until
	// just now.
	bindRetryInterval = 50 * time.Millisecond
)

// replaceEndpoint ends the endpoint at an address by the function end and starts a new endpoint
// of the given service there.
func (h *harness) replaceEndpoint(f *Fault, end func(*harness, *endpointPort, *platform.Worker), service string) {
	p := h.ports[f.Port]
	worker := p.beginReplacement()
	if worker == nil {
		return
	}
	endDisturbance := h.record.beginDisturbance(Disturbance{Kind: f.Kind, Endpoint: worker.Incarnation()})
	end(h, p, worker)
	endDisturbance()
	time.Sleep(portReuseDelay)
	h.startEndpoint(p, h.newWorker(service))
}

// beginReplacement marks the endpoint at an address as being replaced by a fault and returns it.
// It returns nil if there is no endpoint or another fault is replacing it.
func (p *endpointPort) beginReplacement() *platform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replacing {
		return nil
	}
	p.replacing = p.worker != nil
	return p.worker
}

// startEndpoint starts an endpoint at an address, retrying until the address can be bound, and
// registers it.
func (h *harness) startEndpoint(p *endpointPort, next *platform.Worker) {
	next.DataCentre = p.dataCentre
	for next.StartAt(p.addr) != nil {
		if h.ctx.Err() != nil {
			return
		}
		time.Sleep(bindRetryInterval)
	}
	for p.link.AcceptConnections() != nil {
		if h.ctx.Err() != nil {
			return
		}
		time.Sleep(bindRetryInterval)
	}
	p.mu.Lock()
	p.worker, p.service, p.leaving, p.replacing = next, next.Service, false, false
	p.mu.Unlock()
	h.register(p)
}

// crashEndpoint ends an endpoint at once; its registration expires later.
func crashEndpoint(h *harness, p *endpointPort, worker *platform.Worker) {
	p.removeWorker()
	worker.Stop()
	p.link.ResetConnections()
	time.Sleep(registrationTTL)
	h.store.Delete("servers/" + worker.ID)
}

// silenceEndpoint makes an endpoint unresponsive: it accepts no connection and sends nothing, but
// its connections stay open.
func silenceEndpoint(h *harness, p *endpointPort, worker *platform.Worker) {
	p.removeWorker()
	worker.StopListening()
	p.link.BlackholeConnections()
	time.Sleep(registrationTTL)
	h.store.Delete("servers/" + worker.ID)
	worker.Stop()
}

// leaveAnnounced registers an endpoint as leaving; it goes on serving for a while and then ends.
func leaveAnnounced(h *harness, p *endpointPort, worker *platform.Worker) {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	h.register(p)
	h.stopAfterLeaving(p, worker)
	h.store.Delete("servers/" + worker.ID)
}

// leaveUnannounced deletes the registration of an endpoint, which goes on serving for a while and
// then ends.
func leaveUnannounced(h *harness, p *endpointPort, worker *platform.Worker) {
	p.mu.Lock()
	p.registrationPaused = true
	p.mu.Unlock()
	h.store.Delete("servers/" + worker.ID)
	h.stopAfterLeaving(p, worker)
	p.mu.Lock()
	p.registrationPaused = false
	p.mu.Unlock()
}

// stopAfterLeaving records that the store now shows an endpoint as leaving, lets the endpoint
// serve for leavingWithin and serveAfterLeaving, and stops it.
func (h *harness) stopAfterLeaving(p *endpointPort, worker *platform.Worker) {
	h.record.mu.Lock()
	h.record.Departures = append(h.record.Departures, Departure{worker.Incarnation(), time.Now()})
	h.record.mu.Unlock()
	time.Sleep(leavingWithin + serveAfterLeaving)
	p.removeWorker()
	worker.Stop()
	p.link.ResetConnections()
}

// swapServices crashes two endpoints and starts at each address an endpoint of the other
// address's service.
func swapServices(h *harness, f *Fault) {
	first, second := h.ports[f.Port], h.ports[f.SecondPort]
	if first == second {
		return
	}
	a, b := first.currentService(), second.currentService()
	done := make(chan struct{})
	go func() {
		defer close(done)
		other := *f
		other.Port = f.SecondPort
		h.replaceEndpoint(&other, crashEndpoint, a)
	}()
	h.replaceEndpoint(f, crashEndpoint, b)
	<-done
}

// removeWorker records that no endpoint runs at the address.
func (p *endpointPort) removeWorker() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.worker = nil
}

func (p *endpointPort) currentService() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service
}

// restartEndpoint ends an endpoint and starts its next incarnation with the same ID and address
// after the fault's delay. With variantDrainFirst the endpoint announces first that it leaves.
// With variantOldRegistration the registration of the previous incarnation is written once more
// after the restart.
func restartEndpoint(h *harness, f *Fault) {
	p := h.ports[f.Port]
	worker := p.beginReplacement()
	if worker == nil {
		return
	}
	defer h.record.beginDisturbance(Disturbance{Kind: f.Kind, Endpoint: worker.Incarnation()})()
	if f.Variant == variantDrainFirst {
		p.mu.Lock()
		p.leaving = true
		p.mu.Unlock()
		h.register(p)
		h.stopAfterLeaving(p, worker)
	}
	old := worker.RegistrationAt(p.link.Addr(), "draining")
	p.removeWorker()
	worker.Stop()
	p.link.ResetConnections()
	time.Sleep(f.Delay)
	h.startEndpoint(p, h.newIncarnation(worker.ID, worker.Service))
	if f.Variant == variantOldRegistration {
		time.Sleep(f.Delay)
		h.store.Put("servers/"+worker.ID, old)
		time.Sleep(heartbeatInterval)
		h.register(p)
	}
}

// Variants of a restart, as values of Fault.Variant.
const (
	variantDrainFirst      = 2
	variantOldRegistration = 3
)

// foreignRegistrations are registry entries of other writers, which describe no endpoint.
var foreignRegistrations = []string{
	`{}`, `{"service":"model"}`, `[1,2]`, "\x00\xff", `{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":"many","state":"ready","cold_left_ms":0,"seq_no":1}`,
	`{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":16,"state":"resting","cold_left_ms":0,"seq_no":1}`,
	`{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"seq_no":1,"born":"today"}`,
}

// writeForeignRegistrations writes invalid registrations next to those of the endpoints and
// deletes them after the fault's duration.
func writeForeignRegistrations(h *harness, f *Fault) {
	for i, entry := range foreignRegistrations {
		key := "servers/other-" + strconv.Itoa(i)
		h.store.Put(key, []byte(entry))
		defer h.store.Delete(key)
	}
	time.Sleep(f.Duration)
}
