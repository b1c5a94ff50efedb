package soak

import (
	"strconv"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// reuseAfter is how long an address stays free before another endpoint has it.
	reuseAfter = 2 * time.Second
	// lapseAfter is when the registration of an endpoint ends that says nothing more.
	lapseAfter = 3 * heartbeatInterval
	// lingering is how long an endpoint that leaves serves on after nobody may send it
	// anything.
	lingering = 2 * time.Second
	// bindInterval is the pause between tries to bind an address that was just left.
	bindInterval = 50 * time.Millisecond
)

// replace ends the endpoint at a post in some way and starts another life there.
func (w *world) replace(f *Fault, end func(*world, *post, *platform.Worker), service string) {
	p := w.posts[f.Port]
	worker := p.claim()
	if worker == nil {
		return
	}
	ended := w.record.disturb(Disturbance{Kind: f.Kind, Endpoint: worker.Incarnation()})
	end(w, p, worker)
	ended()
	time.Sleep(reuseAfter)
	w.begin(p, w.newWorker(service))
}

// claim takes the post's endpoint for a fault that replaces it; nil where there is none, or
// another fault has it.
func (p *post) claim() *platform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return nil
	}
	p.busy = p.worker != nil
	return p.worker
}

// begin starts an endpoint at a post.
func (w *world) begin(p *post, next *platform.Worker) {
	for next.StartAt(p.addr) != nil {
		if w.stopped.Err() != nil {
			return
		}
		time.Sleep(bindInterval)
	}
	for p.link.AcceptConnections() != nil {
		if w.stopped.Err() != nil {
			return
		}
		time.Sleep(bindInterval)
	}
	p.mu.Lock()
	p.worker, p.service, p.leaving, p.busy = next, next.Service, false, false
	p.mu.Unlock()
	w.register(p)
}

// crash ends an endpoint at once; its registration lapses later.
func crash(w *world, p *post, worker *platform.Worker) {
	p.vacate()
	worker.Stop()
	p.link.ResetConnections()
	time.Sleep(lapseAfter)
	w.store.Delete("servers/" + worker.ID)
}

// goDark makes an endpoint accept nothing and say nothing, with its connections open.
func goDark(w *world, p *post, worker *platform.Worker) {
	p.vacate()
	worker.StopListening()
	p.link.BlackholeConnections()
	time.Sleep(lapseAfter)
	w.store.Delete("servers/" + worker.ID)
	worker.Stop()
}

// leave announces that an endpoint leaves; it serves on for a while and ends.
func leave(w *world, p *post, worker *platform.Worker) {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	w.register(p)
	w.depart(p, worker)
	w.store.Delete("servers/" + worker.ID)
}

// leaveUnannounced ends the registration of an endpoint that serves on for a while.
func leaveUnannounced(w *world, p *post, worker *platform.Worker) {
	p.mu.Lock()
	p.silent = true
	p.mu.Unlock()
	w.store.Delete("servers/" + worker.ID)
	w.depart(p, worker)
	p.mu.Lock()
	p.silent = false
	p.mu.Unlock()
}

// depart notes that the store knows that an endpoint leaves, and stops it when the time
// that it serves on is over.
func (w *world) depart(p *post, worker *platform.Worker) {
	w.record.mu.Lock()
	w.record.Departures = append(w.record.Departures, Departure{worker.Incarnation(), time.Now()})
	w.record.mu.Unlock()
	time.Sleep(leavingWithin + lingering)
	p.vacate()
	worker.Stop()
	p.link.ResetConnections()
}

// changeOwners crashes two endpoints; each address then has the other's service.
func changeOwners(w *world, f *Fault) {
	first, second := w.posts[f.Port], w.posts[f.SecondPort]
	if first == second {
		return
	}
	a, b := first.serviceNow(), second.serviceNow()
	done := make(chan struct{})
	go func() {
		defer close(done)
		other := *f
		other.Port = f.SecondPort
		w.replace(&other, crash, a)
	}()
	w.replace(f, crash, b)
	<-done
}

// vacate notes that no endpoint is at the post.
func (p *post) vacate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.worker = nil
}

func (p *post) serviceNow() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service
}

// restart ends an endpoint and starts it again under the ID and at the address that it
// had, at once or after a while, at times after it has said that it leaves. At times a
// registration of the life before is written once more after that.
func restart(w *world, f *Fault) {
	p := w.posts[f.Port]
	worker := p.claim()
	if worker == nil {
		return
	}
	defer w.record.disturb(Disturbance{Kind: f.Kind, Endpoint: worker.Incarnation()})()
	if f.Variant == wayDraining {
		p.mu.Lock()
		p.leaving = true
		p.mu.Unlock()
		w.register(p)
		w.depart(p, worker)
	}
	old := worker.RegistrationAt(p.link.Addr(), "draining")
	p.vacate()
	worker.Stop()
	p.link.ResetConnections()
	time.Sleep(f.Delay)
	w.begin(p, w.newLife(worker.ID, worker.Service))
	if f.Variant == wayOldEntry {
		time.Sleep(f.Delay)
		w.store.Put("servers/"+worker.ID, old)
		time.Sleep(heartbeatInterval)
		w.register(p)
	}
}

// What else happens as an endpoint starts again: a Fault's Way.
const (
	wayDraining = 2
	wayOldEntry = 3
)

// foreignEntries are registrations that something else wrote: they name no endpoint.
var foreignEntries = []string{
	`{}`, `{"service":"model"}`, `[1,2]`, "\x00\xff", `{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":"many","state":"ready","cold_left_ms":0,"seq_no":1}`,
	`{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":16,"state":"resting","cold_left_ms":0,"seq_no":1}`,
	`{"service":"app","address":"127.0.0.1:9","zone":"dc1","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"seq_no":1,"born":"today"}`,
}

// writeForeign writes registrations that cannot be used, beside the endpoints' own, and
// removes them after a while.
func writeForeign(w *world, f *Fault) {
	for i, entry := range foreignEntries {
		key := "servers/other-" + strconv.Itoa(i)
		w.store.Put(key, []byte(entry))
		defer w.store.Delete(key)
	}
	time.Sleep(f.Duration)
}
