package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// Users' rule for an endpoint that refuses a request with Retry-After: from backoffMargin after it
	// to the end of that time it gets at most backoffAllowed requests from the gateway that it refused.
	backoffMargin  = 500 * time.Millisecond
	backoffAllowed = 2
	// storeLag is how long after an endpoint first states that it leaves the store hears of it, in
	// addition to the fault's duration.
	storeLag = leavingWithin + time.Second
)

// statedBackoffs are the values of Retry-After with which endpoints refuse requests.
var statedBackoffs = []string{"0.6", "1", "2.5", "4", "0", "soon"}

// leaveStated makes an endpoint state in its responses that it leaves. The store hears of it later,
// and then the endpoint ends.
func leaveStated(f *Fault) func(*harness, *endpointPort, *platform.Worker) {
	return func(h *harness, p *endpointPort, worker *platform.Worker) {
		h.record.addStatedDeparture(worker.Incarnation())
		worker.SetLeaving(true)
		sleep(h.ctx, f.Duration+storeLag)
		leaveAnnounced(h, p, worker)
	}
}

// refuseWithBackoff makes an endpoint refuse all requests for the fault's duration and state a backoff.
func refuseWithBackoff(h *harness, f *Fault) {
	worker := h.ports[f.Port].currentWorker()
	if worker == nil {
		return
	}
	worker.SetBackoff(statedBackoffs[rand.New(rand.NewPCG(h.config.Seed, uint64(f.Start))).IntN(len(statedBackoffs))])
	worker.SetDefaultFault(platform.FaultShed)
	time.Sleep(f.Duration)
	worker.SetDefaultFault("")
	worker.SetBackoff("")
}

func (r *Record) addStatedDeparture(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.StatedDepartures[endpoint] = time.Now()
}

// checkStatedBackoffs finds endpoints that got requests from a gateway within the backoff that they had
// stated to it.
func checkStatedBackoffs(ix *indexedRecord) []string {
	var findings []string
	for i := range ix.Arrivals {
		refusal := &ix.Arrivals[i]
		seconds, err := strconv.ParseFloat(refusal.StatedBackoff, 64)
		sender := ix.requestsByID[refusal.ID]
		if err != nil || sender == nil {
			continue
		}
		end := refusal.ArrivedAt.Add(time.Duration(seconds * float64(time.Second)))
		if !ix.undisturbed(sender.Gateway, refusal.ArrivedAt, end, false) || !ix.endpointCalm(refusal.Endpoint, refusal.ArrivedAt, end) {
			continue
		}
		n := 0
		for j := range ix.Arrivals {
			arrival := &ix.Arrivals[j]
			req := ix.requestsByID[arrival.ID]
			within := arrival.ArrivedAt.After(refusal.ArrivedAt.Add(backoffMargin)) && arrival.ArrivedAt.Before(end)
			if within && arrival.Endpoint == refusal.Endpoint && req != nil && req.Gateway == sender.Gateway && req.Incarnation == sender.Incarnation {
				n++
			}
		}
		if n > backoffAllowed {
			findings = append(findings, fmt.Sprintf("%s asked %s for %s s of backoff and got %d requests from it in that time", refusal.Endpoint, sender.Gateway, refusal.StatedBackoff, n))
		}
	}
	return findings
}

// checkStatedDepartures finds requests that reached an endpoint later than allowed after the gateway
// that sent them had passed on a response in which the endpoint stated that it leaves.
func checkStatedDepartures(ix *indexedRecord) []string {
	type knowledge struct {
		incarnation
		endpoint string
	}
	known := map[knowledge]time.Time{}
	for _, req := range ix.Requests {
		if endpoint := ix.statedLeavingBy(req); endpoint != "" {
			key := knowledge{incarnation{req.Gateway, req.Incarnation}, endpoint}
			if first, found := known[key]; !found || req.HeadAt.Before(first) {
				known[key] = req.HeadAt
			}
		}
	}
	var findings []string
	for i := range ix.Arrivals {
		arrival := &ix.Arrivals[i]
		req := ix.requestsByID[arrival.ID]
		if req == nil || arrival.Status == http.StatusMisdirectedRequest {
			continue
		}
		since, found := known[knowledge{incarnation{req.Gateway, req.Incarnation}, arrival.Endpoint}]
		if found && req.SentAt.Sub(since) > leavingWithin && ix.undisturbed(req.Gateway, since, arrival.ArrivedAt, false) {
			findings = append(findings, fmt.Sprintf("request %s reached %s %v after %s had passed on its response that it leaves", req.ID, arrival.Endpoint, arrival.ArrivedAt.Sub(since), req.Gateway))
		}
	}
	return findings
}

// statedLeavingBy returns the endpoint that stated in the response to a request that it leaves; ""
// if there is none, or it cannot be told which of several it was.
func (ix *indexedRecord) statedLeavingBy(req *Request) string {
	if !req.StatesLeaving {
		return ""
	}
	endpoint := ""
	for _, arrival := range ix.arrivalsByID[req.ID] {
		if _, leaves := ix.StatedDepartures[arrival.Endpoint]; !leaves {
			continue
		}
		if endpoint != "" && endpoint != arrival.Endpoint {
			return ""
		}
		endpoint = arrival.Endpoint
	}
	return endpoint
}
