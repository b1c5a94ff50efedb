package world

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"aspenyard.example/explore/oracle"
	"aspenyard.example/explore/plan"
	standin "aspenyard.example/standin/platform"
)

// endpoint is one life of an endpoint.
type endpoint struct {
	worker *standin.Worker
	leaves bool
	// usual is the fault for requests for which no event names another one.
	usual standin.Fault
}

// startEndpoint starts an endpoint and registers it.
func (w *World) startEndpoint(service, addr string) (*endpoint, error) {
	s := &w.plan.Setting
	w.mu.Lock()
	w.started++
	e := &endpoint{worker: &standin.Worker{ID: fmt.Sprintf("i-%03d", w.started), Service: service}}
	w.mu.Unlock()
	if service == plan.ServicePlain {
		e.worker.WorkTime = millis(s.WorkMS)
	} else {
		e.worker.EventCount, e.worker.EventInterval = s.StreamEvents, millis(s.IntervalMS)
	}
	if s.Unframed {
		e.usual = standin.FaultUnframed
	}
	e.worker.SetDefaultFault(e.usual)
	id := e.worker.ID
	e.worker.OnCrash = func() { w.exited(id) }
	err := e.worker.StartAt(addr)
	for deadline := time.Now().Add(connectLimit); err != nil && time.Now().Before(deadline); err = e.worker.StartAt(addr) {
		time.Sleep(pollInterval)
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w.mu.Lock()
	w.all = append(w.all, e)
	w.mu.Unlock()
	w.store.Put("servers/"+id, e.worker.Registration("ready"))
	return e, nil
}

// brokenOff are the faults with which an endpoint breaks its response off.
var brokenOff = map[standin.Fault]bool{
	standin.FaultReset: true, standin.FaultTruncated: true, standin.FaultTruncatedUnframed: true, standin.FaultGarbage: true, standin.FaultUnframedCrash: true,
}

// arrival returns what the endpoint saw of a request.
func (e *endpoint) arrival(run *standin.Run) *oracle.Arrival {
	a := &oracle.Arrival{
		ID: run.ID, Endpoint: e.worker.ID, Service: e.worker.Service, Method: run.Method, URI: run.RequestURI, Body: run.Body, Account: run.Account, Authorization: run.Authorization,
		LastEventID: run.LastEventID, At: run.ArrivedAt, EndedAt: run.EndedAt, Ran: run.Ran, Status: run.Status, BrokeOff: brokenOff[run.Fault],
	}
	switch {
	case !a.Ran || a.Status != http.StatusOK || run.Fault == standin.FaultHang || run.Fault == standin.FaultGarbage:
	case e.worker.EventCount > 0:
		a.Text = standin.StreamText(run.ID, e.worker.EventCount)
	default:
		a.Text = standin.PlainResponse(run.ID)
	}
	return a
}

// exited records that an endpoint has exited and ends its registration as the platform does.
func (w *World) exited(id string) {
	w.mu.Lock()
	if _, known := w.record.ExitedAt[id]; !known && !w.finished {
		w.record.ExitedAt[id] = time.Now()
	}
	w.mu.Unlock()
	time.AfterFunc(removeDelay, func() { w.remove(id) })
}

// remove ends an endpoint's registration.
func (w *World) remove(id string) {
	w.store.Delete("servers/" + id)
	w.left(id)
}

// left records that the store has acknowledged that an endpoint leaves.
func (w *World) left(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.record.LeftAt[id]; !known && !w.finished {
		w.record.LeftAt[id] = time.Now()
	}
}

func (w *World) applyToEndpoint(e *plan.Event) {
	w.mu.Lock()
	index := e.Endpoint % len(w.endpoints)
	target := w.endpoints[index]
	worker := target.worker
	leaves := target.leaves
	w.mu.Unlock()
	fault := standin.Fault(e.Text)
	switch e.Kind {
	case plan.EndpointDrains, plan.EndpointRemoved, plan.EndpointReplaced:
		if leaves {
			return
		}
		w.leave(e, index, target)
	case plan.EndpointExits:
		worker.Stop()
		w.exited(worker.ID)
	case plan.EndpointRestarts:
		w.restart(e, index, worker)
	case plan.EndpointFault:
		if e.Count > 0 {
			for range e.Count {
				worker.QueueFaults(fault)
			}
			return
		}
		worker.SetDefaultFault(fault)
		w.until(e, func() { worker.SetDefaultFault(target.usual) })
	case plan.EndpointOrders:
		for range 30 {
			worker.QueueOrderFaults(fault)
		}
	case plan.EndpointCopies:
		worker.SetLateCopies(e.Count)
		w.until(e, func() { worker.SetLateCopies(0) })
	case plan.EndpointLeaving:
		worker.SetLeaving(true)
	case plan.EndpointBackoff:
		worker.SetBackoff(strconv.Itoa(e.Count))
		worker.SetDefaultFault(standin.FaultShed)
		w.until(e, func() {
			worker.SetBackoff("")
			worker.SetDefaultFault(target.usual)
		})
	case plan.EndpointLimit:
		worker.SetLimit(float64(e.Count))
		w.until(e, func() { worker.SetLimitText("") })
	case plan.EndpointCold:
		worker.SetCold(time.Duration(e.Count)*time.Second, true)
		w.store.Put("servers/"+worker.ID, worker.Registration("ready"))
	}
}

// leave lets an endpoint drain, be removed, or be replaced by another one, and exit later.
func (w *World) leave(e *plan.Event, index int, target *endpoint) {
	worker := target.worker
	w.mu.Lock()
	target.leaves = true
	w.mu.Unlock()
	if e.Kind == plan.EndpointReplaced {
		if next, err := w.startEndpoint(worker.Service, w.host(endpointsHost)+":0"); err == nil {
			w.mu.Lock()
			w.endpoints[index] = next
			w.mu.Unlock()
		}
	}
	if e.Kind == plan.EndpointRemoved {
		w.remove(worker.ID)
	} else {
		w.store.Put("servers/"+worker.ID, worker.Registration("draining"))
		w.left(worker.ID)
	}
	time.Sleep(leaveDelay + millis(e.ForMS))
	worker.Stop()
	w.exited(worker.ID)
}

// restart ends an endpoint and starts another life of it at its address.
func (w *World) restart(e *plan.Event, index int, worker *standin.Worker) {
	addr := worker.Addr()
	worker.Stop()
	w.exited(worker.ID)
	time.Sleep(millis(e.ForMS))
	if next, err := w.startEndpoint(worker.Service, addr); err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endpoints[index] = next
	}
}

// until calls end when an event that lasts has ended.
func (w *World) until(e *plan.Event, end func()) {
	if e.ForMS == 0 {
		return
	}
	time.Sleep(millis(e.ForMS))
	end()
}

// storeFaults are the faults of kinds of events that last.
func storeFaults(e *plan.Event) (f standin.StoreFaults, ok bool) {
	switch e.Kind {
	case plan.StoreRefuses:
		f.RefuseStatus = http.StatusServiceUnavailable
	case plan.StoreSilent:
		f.NoResponse = true
	case plan.StoreMute:
		f.MuteWatches = true
	case plan.StoreSlow:
		f.Delay = 5 * millis(e.Count)
	case plan.StoreLoses:
		f.LoseResponses = e.Count
	default:
		return f, false
	}
	return f, true
}

// lastingMS is how long a disturbance of the store lasts that has no time.
const lastingMS = 500

func (w *World) applyToStore(e *plan.Event) {
	from := time.Now()
	if faults, lasts := storeFaults(e); lasts {
		w.disturbed(from, from.Add(time.Minute))
		w.store.SetFaults(faults)
		time.Sleep(millis(max(e.ForMS, lastingMS)))
		w.store.SetFaults(standin.StoreFaults{})
		w.settled(from)
		return
	}
	switch e.Kind {
	case plan.StoreForgets:
		w.store.Compact()
	case plan.StoreStale:
		w.store.SetStaleAges(0, millis(e.ForMS))
	case plan.StoreNoLeases:
		w.store.RevokeLeases()
	case plan.StoreRestored:
		copied := w.store.Copy()
		time.Sleep(millis(e.ForMS))
		w.restore(copied)
	}
}

// restore brings the store back from its copy. What registered or left since then does so again.
func (w *World) restore(copied *standin.StoreCopy) {
	from := time.Now()
	w.store.Restore(copied)
	w.disturbed(from, time.Now())
	w.mu.Lock()
	all := append([]*endpoint(nil), w.all...)
	left := map[string]bool{}
	for id := range w.record.LeftAt {
		left[id] = true
	}
	w.mu.Unlock()
	for _, e := range all {
		if id := e.worker.ID; left[id] {
			w.store.Delete("servers/" + id)
		} else {
			w.store.Put("servers/"+id, e.worker.Registration("ready"))
		}
	}
	w.configure()
}

// disturbed records that the store is disturbed.
func (w *World) disturbed(from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.StoreDisturbed = append(w.record.StoreDisturbed, oracle.Span{From: from, To: to})
}

// settled records the end of the disturbance that began at a time.
func (w *World) settled(from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.record.StoreDisturbed {
		if s := &w.record.StoreDisturbed[i]; s.From.Equal(from) {
			s.To = time.Now()
		}
	}
}

// path returns the target of a request.
func path(c *plan.Call) string {
	target := "/" + c.Route + "/a"
	if c.Chunks == 0 {
		return target
	}
	query := []string{"size=" + strconv.Itoa(c.ChunkBytes), "chunks=" + strconv.Itoa(c.Chunks)}
	if plan.RouteNamed(c.Route).Streaming {
		query = append(query, "stream=1")
	}
	return target + "?" + strings.Join(query, "&")
}
