package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/routing/direct"
)

// withholdReason says why a request is not sent to an endpoint for which it was placed; it is written to logs and
// metrics.
type withholdReason string

// The reasons. An endpoint is unlisted if by the directory it is leaving, gone, or a later incarnation has taken its
// place.
const (
	withholdUnlisted    withholdReason = "unlisted"
	withholdLeaving     withholdReason = "stated_leaving"
	withholdBackoff     withholdReason = "backoff"
	withholdEvacuated   withholdReason = "evacuated"
	withholdQuarantined withholdReason = "quarantined"
	withholdBlamedPart  withholdReason = "blamed_part"
)

// withheldError is returned when a request, or an order for it, is withheld from an endpoint of its plan.
type withheldError struct {
	endpoint string // its ID; empty if the reason is the request
	reason   withholdReason
}

// Error implements error.
func (e *withheldError) Error() string {
	if e.endpoint == "" {
		return fmt.Sprintf("the request must not be sent: %s", e.reason)
	}
	return fmt.Sprintf("endpoint %s of the plan takes no requests: %s", e.endpoint, e.reason)
}

// checkSend returns an error if the plan must no longer be used. It is called right before anything is written to an
// endpoint of the plan: while memory is reserved and a connection is made, the plan's snapshot becomes out of date.
func (f *forwarding) checkSend(plan *direct.Plan) error {
	now, snapshot := time.Now(), f.gateway.snapshot.Load()
	withheld := f.withheldRequest(now)
	if withheld == nil {
		withheld = f.gateway.withheldEndpoint(now, snapshot, plan.Endpoint)
	}
	for _, helper := range plan.Helpers {
		if withheld == nil {
			withheld = f.gateway.withheldEndpoint(now, snapshot, helper)
		}
	}
	if withheld == nil {
		return nil
	}
	f.log.Add("send_withheld", zap.String("endpoint", withheld.endpoint), zap.String("reason", string(withheld.reason)), zap.Duration("placed_ms", now.Sub(f.placedAt)),
		zap.Uint64("at", snapshot.At.Revision()), zap.Stringer("era", snapshot.At.Era()))
	f.gateway.metrics.GetOrCreateCounter(fmt.Sprintf(`aspenyard_gateway_sends_withheld_total{reason=%q}`, withheld.reason)).Inc()
	return withheld
}

// withheldRequest returns why the request must not be sent to any endpoint; nil if it may be.
func (f *forwarding) withheldRequest(now time.Time) *withheldError {
	switch {
	case f.hasBlamedPart():
		return &withheldError{reason: withholdBlamedPart}
	case f.quarantineRemaining(now) > 0:
		return &withheldError{reason: withholdQuarantined}
	}
	return nil
}

// withheldEndpoint returns why nothing that is not under way may be sent to an endpoint; nil if it may be.
func (g *Gateway) withheldEndpoint(now time.Time, snapshot *directory.Snapshot, e *directory.EndpointState) *withheldError {
	switch {
	case g.evacuated(e):
		return &withheldError{e.ID, withholdEvacuated}
	case g.statedLeaving().Contains(e.Incarnation):
		return &withheldError{e.ID, withholdLeaving}
	case snapshot.Endpoint(e.Incarnation) == nil:
		return &withheldError{e.ID, withholdUnlisted}
	case g.loadTracker.Backoffs().InBackoff(now, e.Incarnation):
		return &withheldError{e.ID, withholdBackoff}
	}
	return nil
}
