package soak

import (
	"slices"
	"time"

	"aspenyard.example/standin/platform"
)

// Kinds of faults that are an order of events at several endpoints.
const (
	kindLateCopies       = "endpoint-late-copies"
	kindFailureThenCrash = "failure-then-crash"
	kindOrdersUnanswered = "orders-unanswered"
	kindCutResponses     = "endpoint-cuts-responses"
)

// copyLate makes an endpoint send all its responses again, once or twice, where the next one is expected.
func copyLate(h *harness, f *Fault) {
	if worker := h.ports[f.Port].currentWorker(); worker != nil {
		worker.SetLateCopies(1 + f.Variant%2)
		time.Sleep(f.Duration)
		worker.SetLateCopies(0)
	}
}

// enginePorts returns the addresses of model engines, beginning with the fault's port or after it.
func (h *harness) enginePorts(f *Fault) []*endpointPort {
	var ports []*endpointPort
	for i := range h.ports {
		if p := h.ports[(f.Port+i)%len(h.ports)]; p.currentService() == serviceModel && p.currentWorker() != nil {
			ports = append(ports, p)
		}
	}
	return ports
}

// failThenCrash leaves two engines registered: one answers all requests with status 500, and the other one crashes
// while it sends the streams that were tried at the first.
func failThenCrash(h *harness, f *Fault) {
	ports := h.enginePorts(f)
	if len(ports) < 2 {
		return
	}
	failing, crashing := ports[0].currentWorker(), ports[1]
	for _, p := range ports[2:] {
		h.pauseRegistration(p, true)
		defer h.pauseRegistration(p, false)
	}
	if failing != nil {
		failing.SetDefaultFault(platform.FaultError)
		defer failing.SetDefaultFault("")
	}
	time.Sleep(f.Duration / 2)
	for i, p := range h.ports {
		if p == crashing {
			other := *f
			other.Port = i
			h.replaceEndpoint(&other, crashEndpoint, serviceModel)
		}
	}
}

// pauseRegistration deletes the registration of the endpoint at p until it is written again.
func (h *harness) pauseRegistration(p *endpointPort, paused bool) {
	p.mu.Lock()
	p.registrationPaused = paused
	if paused && p.worker != nil {
		h.store.Delete("servers/" + p.worker.ID)
	}
	p.mu.Unlock()
	h.register(p)
}

// silentOrders is how many orders in a row an engine leaves unanswered.
const silentOrders = 3

// leaveOrdersUnanswered lets every second engine leave orders unanswered while another one leaves.
func leaveOrdersUnanswered(h *harness, f *Fault) {
	for i, p := range h.enginePorts(f) {
		if worker := p.currentWorker(); worker != nil && i%2 == 0 {
			for range silentOrders {
				worker.QueueOrderFaults(platform.FaultSilentOrder)
			}
		}
	}
	time.Sleep(f.Delay)
	h.replaceEndpoint(f, leaveAnnounced, h.ports[f.Port].currentService())
}

const (
	// cutInterval is how long an endpoint cuts its responses in one place.
	cutInterval = 50 * time.Millisecond
	// cutWait is how long an endpoint is silent before its response, or within it, where a cut has a wait.
	cutWait = 700 * time.Millisecond
)

// cutResponses makes an endpoint stop in the middle of its responses to requests and orders: in one place of their heads
// or bodies after another.
func cutResponses(h *harness, f *Fault) {
	worker := h.ports[f.Port].currentWorker()
	if worker == nil {
		return
	}
	defer worker.SetDefaultFault("")
	cuts := slices.Concat(platform.CutHeads, platform.CutBodies)
	waits := []platform.CutWait{"", platform.WaitFirst, platform.WaitLast}
	for n := range int(f.Duration / cutInterval) {
		c := cuts[(f.SecondPort+n)%len(cuts)]
		c.Reset, c.Wait = (f.Variant+n)%2 == 0, waits[(f.Variant+n)%len(waits)]
		worker.SetDefaultFault(c.Fault())
		time.Sleep(cutInterval)
	}
}
