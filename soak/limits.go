package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"aspenyard.example/standin/platform"
)

const (
	// Users' rule for an endpoint that states a limit: from calmTime after it first did, it gets
	// in any limitWindow at most limitFactor times what the limit allows, and limitExtra more,
	// from the gateways that had passed on such a response limitKnownAfter before.
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitExtra      = 5
	limitKnownAfter = 500 * time.Millisecond
	// limitTime is how long an endpoint states a limit beyond the fault's duration: long enough
	// for a whole window.
	limitTime = calmTime + limitWindow
)

// statedLimits are the limits that endpoints state, in requests per second.
var statedLimits = []float64{0, 0.2, 1, 1.3, 2, 5, 20}

// LimitPeriod is a period in which an endpoint's incarnation stated one limit.
type LimitPeriod struct {
	Endpoint  string
	PerSecond float64
	From, To  time.Time
}

// limitEndpoint makes an endpoint state a limit for a while. It does not enforce the limit.
func limitEndpoint(h *harness, f *Fault) {
	worker := h.ports[f.Port].currentWorker()
	if worker == nil || !h.record.beginLimit(worker.Incarnation()) {
		return
	}
	limit := statedLimits[rand.New(rand.NewPCG(h.config.Seed, uint64(f.Start))).IntN(len(statedLimits))]
	period := LimitPeriod{Endpoint: worker.Incarnation(), PerSecond: limit, From: time.Now()}
	worker.SetLimit(limit)
	sleep(h.ctx, f.Duration+limitTime)
	period.To = time.Now()
	worker.SetLimitText("")
	h.record.endLimit(period)
}

// beginLimit reports whether an endpoint may state a limit: it does so once, as a later one would
// be known from the start.
func (r *Record) beginLimit(endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limited[endpoint] {
		return false
	}
	r.limited[endpoint] = true
	return true
}

func (r *Record) endLimit(period LimitPeriod) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Limits = append(r.Limits, period)
}

// checkStatedLimits finds endpoints that got more requests than the limit that they stated, from
// gateways that knew it.
func checkStatedLimits(ix *indexedRecord) []string {
	var findings []string
	for _, period := range ix.Limits {
		known := ix.limitKnownSince(period)
		var arrivals []time.Time
		for i := range ix.Arrivals {
			arrival := &ix.Arrivals[i]
			if arrival.Endpoint == period.Endpoint && arrival.ArrivedAt.Before(period.To) && ix.countsForLimit(arrival, period, known) {
				arrivals = append(arrivals, arrival.ArrivedAt)
			}
		}
		allowed := limitFactor*period.PerSecond*limitWindow.Seconds() + limitExtra
		if most := platform.MaxWithin(arrivals, limitWindow); float64(most) > allowed {
			findings = append(findings, fmt.Sprintf("%s stated a limit of %v a second and got %d requests in %v; allowed %v", period.Endpoint, period.PerSecond, most, limitWindow, allowed))
		}
	}
	return findings
}

// limitKnownSince returns when each incarnation of a gateway first passed on a response that
// stated the limit.
func (ix *indexedRecord) limitKnownSince(period LimitPeriod) map[incarnation]time.Time {
	known := map[incarnation]time.Time{}
	for _, req := range ix.Requests {
		if !req.StatesLimit || req.SentAt.Before(period.From) && req.EndedAt.Before(period.From) {
			continue
		}
		for _, arrival := range ix.arrivalsByID[req.ID] {
			key := incarnation{req.Gateway, req.Incarnation}
			if first, found := known[key]; arrival.Endpoint == period.Endpoint && (!found || req.HeadAt.Before(first)) {
				known[key] = req.HeadAt
			}
		}
	}
	return known
}

// countsForLimit reports whether an arrival counts for an endpoint's limit: its gateway knew the
// limit, and neither was disturbed in the window before.
func (ix *indexedRecord) countsForLimit(arrival *Arrival, period LimitPeriod, known map[incarnation]time.Time) bool {
	req := ix.requestsByID[arrival.ID]
	if req == nil || arrival.ArrivedAt.Before(period.From.Add(calmTime)) {
		return false
	}
	since, found := known[incarnation{req.Gateway, req.Incarnation}]
	if !found || arrival.ArrivedAt.Before(since.Add(limitKnownAfter)) {
		return false
	}
	from := arrival.ArrivedAt.Add(-limitWindow)
	for _, d := range ix.Disturbances {
		if d.Endpoint == arrival.Endpoint && d.overlaps(from, arrival.ArrivedAt) {
			return false
		}
	}
	return ix.undisturbed(req.Gateway, from, arrival.ArrivedAt, false)
}
