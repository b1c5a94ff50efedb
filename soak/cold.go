package soak

import (
	"fmt"
	"net/http"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// Users' rule for an endpoint that warms up: in any second it gets at most coldOvershoot times
	// coldPerSecond requests and coldTolerance more. Gateways that the store or the others tell know
	// of it coldKnownAfter after the endpoint says so; the others count from coldUnheardAfter, when they
	// know that they would not hear.
	coldPerSecond    = 4
	coldOvershoot    = 1.5
	coldTolerance    = 5
	coldKnownAfter   = leavingWithin
	coldUnheardAfter = 8 * time.Second
	// coldTime is how long an endpoint warms up beyond the fault's duration.
	coldTime = 10 * time.Second
)

// ColdPeriod is a period in which an endpoint's incarnation was cold.
type ColdPeriod struct {
	Endpoint string
	From, To time.Time
}

// warmUpEndpoint makes an endpoint cold for a while. With variantDrainFirst only its responses say so,
// its registration says that it is warm.
func warmUpEndpoint(h *harness, f *Fault) {
	p := h.ports[f.Port]
	worker := p.currentWorker()
	if worker == nil {
		return
	}
	period := ColdPeriod{Endpoint: worker.Incarnation(), From: time.Now(), To: time.Now().Add(f.Duration + coldTime)}
	worker.SetCold(f.Duration+coldTime, f.Variant != variantDrainFirst)
	h.register(p)
	h.record.mu.Lock()
	h.record.ColdPeriods = append(h.record.ColdPeriods, period)
	h.record.mu.Unlock()
}

// checkColdEndpoints finds endpoints that got more requests in a second than they tolerate while they are
// cold.
func checkColdEndpoints(ix *indexedRecord) []string {
	var findings []string
	allowed := coldOvershoot*coldPerSecond + coldTolerance
	for _, period := range ix.ColdPeriods {
		var arrivals []time.Time
		for i := range ix.Arrivals {
			arrival := &ix.Arrivals[i]
			if arrival.Endpoint == period.Endpoint && arrival.Status != http.StatusMisdirectedRequest && ix.countsWhileCold(arrival, period) {
				arrivals = append(arrivals, arrival.ArrivedAt)
			}
		}
		if most := platform.MaxWithin(arrivals, time.Second); float64(most) > allowed {
			findings = append(findings, fmt.Sprintf("%s was cold and got %d requests in a second; allowed %v", period.Endpoint, most, allowed))
		}
	}
	return findings
}

// countsWhileCold reports whether an arrival counts for what a cold endpoint tolerates. Requests that a
// link held back may arrive together, whenever they were sent.
func (ix *indexedRecord) countsWhileCold(arrival *Arrival, period ColdPeriod) bool {
	req := ix.requestsByID[arrival.ID]
	if req == nil || arrival.ArrivedAt.After(period.To) || arrival.ArrivedAt.Before(period.From.Add(coldKnownAfter)) {
		return false
	}
	for _, d := range ix.Disturbances {
		if d.Kind == kindEndpointLink && d.overlaps(arrival.ArrivedAt.Add(-time.Second), arrival.ArrivedAt) {
			return false
		}
	}
	return !arrival.ArrivedAt.Before(period.From.Add(coldUnheardAfter)) || ix.undisturbed(req.Gateway, period.From, arrival.ArrivedAt, false)
}
