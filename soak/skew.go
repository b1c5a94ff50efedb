package soak

import (
	"fmt"
	"time"
)

const (
	// One in skewExceptions new connections goes to another gateway while the load balancer prefers one.
	skewExceptions = 10
	// minServedShare is how often, in relation to the time before, requests must be served at the first attempt
	// while most new connections go to one gateway; minComparedRequests are compared at least.
	minServedShare      = 0.75
	minComparedRequests = 20
)

// SkewPeriod is a period in which the load balancer sent most new connections to one gateway.
type SkewPeriod struct {
	Gateway  string
	From, To time.Time
}

// skewConnections sends most new connections to one gateway, and makes callers open more of them.
func skewConnections(h *harness, f *Fault) {
	g := h.gateways[f.Gateway]
	period := SkewPeriod{Gateway: g.name, From: time.Now()}
	h.preferred.Store(g)
	time.Sleep(f.Duration + calmTime)
	h.preferred.CompareAndSwap(g, nil)
	period.To = time.Now()
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	h.record.SkewPeriods = append(h.record.SkewPeriods, period)
}

// checkServedWhileSkewed finds periods in which requests were served much less often than before because most new
// connections went to one gateway. Periods beside disturbances are left out.
func checkServedWhileSkewed(ix *indexedRecord) []string {
	var findings []string
	for _, p := range ix.SkewPeriods {
		if !ix.calm(p.From.Add(-calmTime), p.To) {
			continue
		}
		before, servedBefore := ix.servedBetween(p.From.Add(-calmTime), p.From)
		during, servedDuring := ix.servedBetween(p.From.Add(calmTime), p.To)
		if before < minComparedRequests || during < minComparedRequests {
			continue
		}
		if share := float64(servedDuring) / float64(during); share < minServedShare*float64(servedBefore)/float64(before) {
			findings = append(findings, fmt.Sprintf("%d of %d requests were served while most connections went to %s, %d of %d before", servedDuring, during, p.Gateway, servedBefore, before))
		}
	}
	return findings
}

// calm reports whether there was no disturbance at all, planned work included.
func (r *Record) calm(from, to time.Time) bool {
	for _, d := range r.Disturbances {
		if d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// servedBetween counts the valid requests that a gateway has read, and those that were served.
func (ix *indexedRecord) servedBetween(from, to time.Time) (read, served int) {
	for _, req := range ix.Requests {
		if req.ExpectedStatus != 0 || req.Status == 0 || req.Cancelled || req.SentAt.Before(from) || req.EndedAt.After(to) {
			continue
		}
		read++
		if req.succeeded() {
			served++
		}
	}
	return read, served
}
