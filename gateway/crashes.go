package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
	"aspenyard.example/result"
	"aspenyard.example/routing/direct"
)

// fingerprint returns the fingerprint of the call's request, which all copies of it share. The
// body is hashed on first use.
func (c *call) fingerprint() attempt.Fingerprint {
	c.fingerprintScope()
	if c.cachedFingerprint.Body == 0 {
		c.cachedFingerprint.Body = attempt.FingerprintBody(c.body)
	}
	return c.cachedFingerprint
}

// fingerprintScope returns the part of the fingerprint that does not depend on the body's content.
func (c *call) fingerprintScope() uint64 {
	if c.cachedFingerprint.Scope == 0 {
		account := ""
		if c.account != nil {
			account = c.account.Name
		}
		c.cachedFingerprint.Scope = attempt.FingerprintScope(account, c.httpRequest.Method, c.httpRequest.Host, c.httpRequest.RequestURI, len(c.body))
	}
	return c.cachedFingerprint.Scope
}

// isSuspect reports whether there may be findings about the call's request; it does not read the
// body.
func (c *call) isSuspect() bool {
	q := c.gateway.quarantine
	return !q.Empty() && q.HasSuspect(c.fingerprintScope())
}

// quarantineRemaining returns for how long the request stays in quarantine; 0 if it may be sent.
func (c *call) quarantineRemaining(now time.Time) time.Duration {
	if !c.isSuspect() {
		return 0
	}
	return c.gateway.quarantine.Remaining(now, c.fingerprint())
}

// refuseQuarantined returns the error for a request in quarantine, which must not be sent to an
// endpoint; nil if it may be sent.
func (f *forwarding) refuseQuarantined() *result.Error {
	if failure := f.refuseBlamedPart(); failure != nil {
		return failure
	}
	remaining := f.quarantineRemaining(time.Now())
	if remaining == 0 {
		return nil
	}
	f.log.Add("quarantine_refused", zap.Stringer("fingerprint", f.fingerprint()), zap.Duration("left_ms", remaining))
	if failure, ended := f.endAttempted("this request crashes endpoints"); ended {
		return failure
	}
	return result.Refuse(result.Quarantined, remaining, "earlier copies of this request crashed endpoints")
}

// checkForCrash determines whether the endpoint crashed after an exchange with it broke off, and
// records the crash against the request.
func (f *forwarding) checkForCrash(ctx context.Context, e *directory.EndpointState) {
	g := f.gateway
	if !g.hasCrashed(ctx, e) {
		return
	}
	f.recordPartCrash(e)
	crashes, quarantined := g.quarantine.RecordCrash(time.Now(), f.fingerprint(), uint32(direct.HashEndpoint(e.Incarnation)))
	f.log.Add("endpoint_crashed", zap.String("endpoint", e.ID), zap.Stringer("fingerprint", f.fingerprint()), zap.Int("crashes", crashes), zap.Strings("parts", partNames(f.SharedParts)))
	g.countCrash(f.service.Name)
	if quarantined {
		g.reportQuarantined(f.fingerprint(), "")
	}
	if crashes > 1 {
		g.peers.sendHeartbeat()
	}
}

// recordResponse records that an endpoint has answered the call completely: crashes before that no
// longer count against the request.
func (f *forwarding) recordResponse() {
	f.gateway.responseTimes.Record(f.route.Name, time.Since(f.placedAt))
	f.recordPartAnswer()
	if f.isSuspect() && f.gateway.quarantine.RecordResponse(time.Now(), f.fingerprint()) {
		f.gateway.log.Info("quarantine_ended", zap.Stringer("fingerprint", f.fingerprint()))
		f.gateway.verdicts.write(requestVerdict(f.fingerprint()).name())
	}
}

// reportQuarantined logs that a request is refused from now on. from names the entry whose
// heartbeat completed the evidence; it is empty if this entry observed the last crash itself.
// Entries that observed one of the crashes also write a record to the store.
func (g *Gateway) reportQuarantined(request attempt.Fingerprint, from string) {
	if g.quarantine.Remaining(time.Now(), request) == 0 {
		return // all of its crashes have another cause
	}
	g.log.Warn("quarantined", zap.Stringer("fingerprint", request), zap.String("heard_from", from))
	if _, _, local := g.quarantine.Known(time.Now(), request); local {
		g.verdicts.write(requestVerdict(request).name())
	}
}

// hasCrashed reports whether an endpoint's process has ended without notice: its address refuses
// connections, or the endpoint is listed with a later incarnation. An endpoint that is leaving ends as planned, and a
// silent one may only be cut off from the network. An endpoint that is evacuated is not probed.
func (g *Gateway) hasCrashed(ctx context.Context, e *directory.EndpointState) bool {
	current := g.snapshot.Load().Present(e.ID)
	switch {
	case current == nil:
		return false
	case current.Incarnation != e.Incarnation:
		return current.StartUnixMilli > e.StartUnixMilli
	case g.evacuated(e):
		return false
	}
	return g.prober.connectionRefused(ctx, e)
}

// checkEnd returns an error if a response that has ended with its connection may not be whole.
func (g *Gateway) checkEnd(ctx context.Context, r *endpointResponse, repeatable bool) error {
	switch {
	case !r.closeDelimited:
		return nil
	case !r.awaitUpload(ctx):
		return errEndedInUpload
	case g.mayBeIncomplete(ctx, r, repeatable):
		return errEndedByCrash
	}
	return nil
}

// mayBeIncomplete reports whether a response that has ended with its connection may have ended early, with its endpoint's
// process: it has been replaced, or its address refuses or resets connections, although an endpoint with too many
// connections resets more. That an endpoint leaves, or is no longer registered, does not show that it has finished its
// responses. The probe is not relied on if this process was suspended, as another process may have replaced the endpoint
// meanwhile. An endpoint that is evacuated is not probed; its response counts as incomplete if it can be repeated.
func (g *Gateway) mayBeIncomplete(ctx context.Context, r *endpointResponse, repeatable bool) bool {
	if _, ended, ok := g.suspensions.recent(); ok && r.beganAt < ended {
		return true
	}
	e := r.endpoint
	current := g.snapshot.Load().Present(e.ID)
	switch {
	case current != nil && current.StartUnixMilli > e.StartUnixMilli:
		return true
	case g.evacuated(e):
		return repeatable
	}
	return g.prober.connectionRefusedOrReset(ctx, e)
}

// isConnectionReset reports whether the other end reset a connection.
func isConnectionReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// isConnectionRefused reports whether a dial failed because no process listens at the address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// partNames returns the names of parts of a prompt as they appear in logs.
func partNames(parts []PromptPart) []string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, string(part))
	}
	return names
}
