package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// evacuateWithin is the users' bound on the time from the operator's request until the endpoints of
	// the data centre are sent nothing more.
	evacuateWithin = 2 * time.Second
	// evacuatedCode is in the body of a refusal because all endpoints are evacuated.
	evacuatedCode = "3018"
	// Variants of an evacuation, as values of Fault.Variant: one that is ended and requested again after
	// the fault's delay, and one of all data centres.
	variantEvacuatedAgain = 2
	variantEvacuatedAll   = 3
)

// EvacuationPeriod is an evacuation of a data centre. WrittenAt is when the write of the operator's
// request began, AckedAt when the store had it, and EndedAt when its removal began.
type EvacuationPeriod struct {
	DataCentre                  string
	WrittenAt, AckedAt, EndedAt time.Time
}

// evacuateDataCentre evacuates a data centre, or all of them, until the fault's duration after the bound.
func evacuateDataCentre(h *harness, f *Fault) {
	names := dataCentres[f.Port%len(dataCentres):][:1]
	if f.Variant == variantEvacuatedAll {
		names = dataCentres
	}
	if !h.claimEvacuation(names) {
		return
	}
	defer h.releaseEvacuation(names)
	periods := h.beginEvacuations(names)
	if f.Variant == variantEvacuatedAgain {
		sleep(h.ctx, f.Delay)
		h.endEvacuations(periods)
		periods = h.beginEvacuations(names)
	}
	sleep(h.ctx, evacuateWithin+f.Duration)
	h.endEvacuations(periods)
}

// claimEvacuation reports whether no other fault evacuates one of the data centres, and if so makes this
// one the one that does.
func (h *harness) claimEvacuation(names []string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.ContainsFunc(names, func(name string) bool { return h.evacuating[name] }) {
		return false
	}
	for _, name := range names {
		h.evacuating[name] = true
	}
	return true
}

func (h *harness) releaseEvacuation(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		delete(h.evacuating, name)
	}
}

// beginEvacuations writes the operator's request to evacuate each of the data centres.
func (h *harness) beginEvacuations(names []string) []*EvacuationPeriod {
	var periods []*EvacuationPeriod
	for _, name := range names {
		p := &EvacuationPeriod{DataCentre: name, WrittenAt: time.Now()}
		h.store.Put("op/evacuate/"+name, []byte("{}"))
		p.AckedAt = time.Now()
		periods = append(periods, p)
	}
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	h.record.Evacuations = append(h.record.Evacuations, periods...)
	return periods
}

// endEvacuations removes the operator's requests.
func (h *harness) endEvacuations(periods []*EvacuationPeriod) {
	for _, p := range periods {
		h.record.mu.Lock()
		p.EndedAt = time.Now()
		h.record.mu.Unlock()
		h.store.Delete("op/evacuate/" + p.DataCentre)
	}
}

// checkEvacuations finds requests that reached an endpoint of an evacuated data centre later than
// allowed.
func checkEvacuations(ix *indexedRecord) []string {
	var findings []string
	for _, p := range ix.Evacuations {
		for i := range ix.Arrivals {
			arrival := &ix.Arrivals[i]
			req := ix.requestsByID[arrival.ID]
			during := arrival.ArrivedAt.After(p.AckedAt.Add(evacuateWithin)) && arrival.ArrivedAt.Before(p.EndedAt)
			if req == nil || !during || arrival.DataCentre != p.DataCentre || arrival.Status == http.StatusMisdirectedRequest {
				continue
			}
			if ix.couldKnow(req.Gateway, p.AckedAt, arrival.ArrivedAt) {
				findings = append(findings, fmt.Sprintf("%s reached %s in %s %v after the evacuation was requested", describe(req), arrival.Endpoint, p.DataCentre, arrival.ArrivedAt.Sub(p.AckedAt)))
			}
		}
	}
	return findings
}

// couldKnow reports whether a gateway could learn of a change of the store between from and to: from the
// store, or from another gateway if only its own link to the store was disturbed.
func (ix *indexedRecord) couldKnow(gateway string, from, to time.Time) bool {
	if ix.undisturbed(gateway, from, to, true) {
		return true
	}
	othersKnow := false
	for _, req := range ix.Requests {
		othersKnow = othersKnow || req.Gateway != gateway && ix.undisturbed(req.Gateway, from, to, true)
		if othersKnow {
			break
		}
	}
	return othersKnow && !slices.ContainsFunc(ix.Disturbances, func(d *Disturbance) bool {
		return d.Gateway == gateway && !d.Planned && d.Kind != kindStoreLink && d.overlaps(from.Add(-calmTime), to)
	})
}

// checkEvacuationRefusals finds requests that were refused because of an evacuation that had not begun or
// was long over.
func checkEvacuationRefusals(ix *indexedRecord) []string {
	return ix.findRequests(func(req *Request) string {
		if req.Status != http.StatusServiceUnavailable || !strings.Contains(req.ResponseBody, evacuatedCode) {
			return ""
		}
		for _, p := range ix.Evacuations {
			began, over := !p.WrittenAt.After(req.EndedAt), p.EndedAt.Add(evacuateWithin)
			if began && (req.SentAt.Before(over) || !ix.couldKnow(req.Gateway, p.EndedAt, req.SentAt)) {
				return ""
			}
		}
		return "refused because of an evacuation, but none is in force"
	})
}
