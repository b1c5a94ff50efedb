package soak

import (
	"strconv"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// portReuseDelay is how long an address stays free before another endpoint has it.
	portReuseDelay = 2 * time.Second
	// registrationTTL is when the registration of an endpoint ends that says nothing more.
	registrationTTL = 3 * heartbeatInterval
	// serveAfterLeaving is how long an endpoint that leaves serves on after nobody may send it
	// anything.
	serveAfterLeaving = 2 * time.Second
	// bindRetryInterval is the pause between tries to bind an address that was just left.
	bindRetryInterval = 50 * time.Millisecond
)

// replaceEndpoint ends the endpoint at a post in some way and starts another life there.
func (h *harness) replaceEndpoint(f *Fault, end func(*harness, *endpointPort, *platform.Worker), service string) {
	p := h.ports[f.Port]
	worker := p.beginReplacement()
	if worker == nil {
		return
	}
	ended := h.record.beginDisturbance(Disturbance{Kind: f.Kind, Endpoint: worker.Incarnation()})
	end(h, p, worker)
	ended()
	time.Sleep(portReuseDelay)
	h.startEndpoint(p, h.newWorker(service))
}

// beginReplacement takes the post's endpoint for a fault that replaces it; nil where there is none, or
// another fault has it.
func (p *endpointPort) beginReplacement() *platform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replacing {
		return nil
	}
	p.replacing = p.worker != nil
	return p.worker
}

// startEndpoint starts an endpoint at a post.
func (h *harness) startEndpoint(p *endpointPort, next *platform.Worker) {
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

// crashEndpoint ends an endpoint at once; its registration lapses later.
func crashEndpoint(h *harness, p *endpointPort, worker *platform.Worker) {
	p.removeWorker()
	worker.Stop()
	p.link.ResetConnections()
	time.Sleep(registrationTTL)
	h.store.Delete("servers/" + worker.ID)
}

// silenceEndpoint makes an endpoint accept nothing and say nothing, with its connections open.
func silenceEndpoint(h *harness, p *endpointPort, worker *platform.Worker) {
	p.removeWorker()
	worker.StopListening()
	p.link.BlackholeConnections()
	time.Sleep(registrationTTL)
	h.store.Delete("servers/" + worker.ID)
	worker.Stop()
}

// leaveAnnounced announces that an endpoint leaves; it serves on for a while and ends.
func leaveAnnounced(h *harness, p *endpointPort, worker *platform.Worker) {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	h.register(p)
	h.stopAfterLeaving(p, worker)
	h.store.Delete("servers/" + worker.ID)
}

// leaveUnannounced ends the registration of an endpoint that serves on for a while.
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

// stopAfterLeaving notes that the store knows that an endpoint leaves, and stops it when the time
// that it serves on is over.
func (h *harness) stopAfterLeaving(p *endpointPort, worker *platform.Worker) {
	h.record.mu.Lock()
	h.record.Departures = append(h.record.Departures, Departure{worker.Incarnation(), time.Now()})
	h.record.mu.Unlock()
	time.Sleep(leavingWithin + serveAfterLeaving)
	p.removeWorker()
	worker.Stop()
	p.link.ResetConnections()
}

// swapServices crashes two endpoints; each address then has the other's service.
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

// removeWorker notes that no endpoint is at the post.
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

// restartEndpoint ends an endpoint and starts it again under the ID and at the address that it
// had, at once or after a while, at times after it has said that it leaves. At times a
// registration of the life before is written once more after that.
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

// What else happens as an endpoint starts again: a Fault's Way.
const (
	variantDrainFirst      = 2
	variantOldRegistration = 3
)

// foreignRegistrations are registrations that something else wrote: they name no endpoint.
var foreignRegistrations = []string{
	`{}`, `{"service":"model"}`, `[1,2]`, "\x00\xff", `{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":"many","state":"ready","cold_left_ms":0,"seq_no":1}`,
	`{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":16,"state":"resting","cold_left_ms":0,"seq_no":1}`,
	`{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"seq_no":1,"born":"today"}`,
}

// writeForeignRegistrations writes registrations that cannot be used, beside the endpoints' own, and
// removes them after a while.
func writeForeignRegistrations(h *harness, f *Fault) {
	for i, entry := range foreignRegistrations {
		key := "servers/other-" + strconv.Itoa(i)
		h.store.Put(key, []byte(entry))
		defer h.store.Delete(key)
	}
	time.Sleep(f.Duration)
}
