package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// crashBody is the body of a request that crashes every endpoint that runs it.
	crashBody = "crashes whoever runs it"
	// crashInterval is the time between two sends of the crashing request.
	crashInterval = 60 * time.Millisecond
	// From calmTime after crash number crashesToQuarantine of a request, gateways must not send
	// the request to endpoints more than maxSendsAfterQuarantine further times.
	crashesToQuarantine, maxSendsAfterQuarantine = 3, 3
)

// sendCrashingRequest sends one crashing request repeatedly, each time through a gateway chosen
// at random.
func sendCrashingRequest(h *harness, f *Fault) {
	route := routes[f.Port%len(routes)]
	c := &caller{harness: h, name: fmt.Sprintf("x%d", f.Start), rand: rand.New(rand.NewPCG(h.config.Seed, uint64(f.Start)))}
	for until := time.Now().Add(f.Duration + calmTime); time.Now().Before(until) && h.ctx.Err() == nil; {
		c.switchGateway()
		req := c.newRequest(route)
		req.RequestURI, req.Body, req.APIKey = fmt.Sprintf("/%s/%s", route.Name, c.name), crashBody, keyPlain
		c.send(h.ctx, req)
		time.Sleep(crashInterval)
	}
}

// handleCrash records that an endpoint crashed while it ran a request, and starts another
// endpoint at its address.
func (h *harness) handleCrash(worker *platform.Worker) {
	endDisturbance := h.record.beginDisturbance(Disturbance{Kind: kindCrashingRequest, Endpoint: worker.Incarnation()})
	for _, p := range h.ports {
		if p.currentWorker() == worker && p.beginReplacement() != nil {
			p.removeWorker()
			p.link.RefuseConnections()
			go func() {
				time.Sleep(portReuseDelay)
				endDisturbance()
				h.store.Delete("servers/" + worker.ID)
				h.startEndpoint(p, h.newWorker(worker.Service))
			}()
			return
		}
	}
	endDisturbance()
}

// checkCrashingRequests finds requests that gateways kept sending after the requests had crashed
// several endpoints and the gateways had had time to learn of these crashes.
func checkCrashingRequests(ix *indexedRecord) []string {
	copies := map[string][]*Arrival{}
	for _, req := range ix.Requests {
		if req.Body == crashBody {
			copies[req.RequestURI] = append(copies[req.RequestURI], ix.arrivalsByID[req.ID]...)
		}
	}
	var findings []string
	for uri, arrivals := range copies {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].ArrivedAt.Before(arrivals[j].ArrivedAt) })
		if n := ix.sendsAfterQuarantine(arrivals); n > maxSendsAfterQuarantine {
			findings = append(findings, fmt.Sprintf("%s was sent another %d times after it had crashed %d endpoints", uri, n, crashesToQuarantine))
		}
	}
	return findings
}

// sendsAfterQuarantine counts the arrivals of a request more than calmTime after the crash after
// which gateways had to quarantine it.
func (ix *indexedRecord) sendsAfterQuarantine(arrivals []*Arrival) int {
	var crashes []time.Time
	n := 0
	for _, arrival := range arrivals {
		switch req := ix.requestsByID[arrival.ID]; {
		case len(crashes) < crashesToQuarantine:
		case arrival.ArrivedAt.Sub(crashes[crashesToQuarantine-1]) > calmTime && ix.undisturbed(req.Gateway, crashes[crashesToQuarantine-1], arrival.ArrivedAt, false):
			n++
		}
		if arrival.Ran {
			crashes = append(crashes, arrival.ArrivedAt)
		}
	}
	return n
}
