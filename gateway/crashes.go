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

// fingerprint names the call's request, whichever copy of it this is.
func (c *call) fingerprint() attempt.Fingerprint {
	c.fingerprintScope()
	if c.cachedFingerprint.Body == 0 {
		c.cachedFingerprint.Body = attempt.FingerprintBody(c.body)
	}
	return c.cachedFingerprint
}

// fingerprintScope is the part of the fingerprint that needs no reading of the body.
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

// isSuspect tells whether anything is known of the call's request.
func (c *call) isSuspect() bool {
	q := c.gateway.quarantine
	return !q.Empty() && q.HasSuspect(c.fingerprintScope())
}

// refuseQuarantined ends a call whose request must not be sent to an endpoint; nil where it may be.
func (f *forwarding) refuseQuarantined() *result.Error {
	if !f.isSuspect() {
		return nil
	}
	remaining := f.gateway.quarantine.Remaining(time.Now(), f.fingerprint())
	if remaining == 0 {
		return nil
	}
	f.log.Add("quarantine_refused", zap.Stringer("fingerprint", f.fingerprint()), zap.Duration("left_ms", remaining))
	if f.retrier.MayHaveRun() {
		return result.Fail(result.EndpointFailed, result.RanUnknown, "endpoints crash under this request")
	}
	return result.Refuse(result.Quarantined, remaining, "endpoints crashed under earlier copies of this request")
}

// checkForCrash finds out whether the endpoint has crashed after an exchange broke off.
func (f *forwarding) checkForCrash(ctx context.Context, e *directory.EndpointState) {
	g := f.gateway
	if !g.hasCrashed(ctx, e) {
		return
	}
	crashes, quarantined := g.quarantine.RecordCrash(time.Now(), f.fingerprint(), uint32(direct.HashEndpoint(e.Incarnation)))
	f.log.Add("endpoint_crashed", zap.String("endpoint", e.ID), zap.Stringer("fingerprint", f.fingerprint()), zap.Int("crashes", crashes))
	g.countCrash(f.service.Name)
	if quarantined {
		g.reportQuarantined(f.fingerprint(), "")
	}
	if crashes > 1 {
		g.peers.sendHeartbeat()
	}
}

// recordAnswer notes that an endpoint has answered the call whole.
func (f *forwarding) recordAnswer() {
	if f.isSuspect() {
		f.gateway.quarantine.RecordAnswer(time.Now(), f.fingerprint())
	}
}

// reportQuarantined notes that a request is refused from now on, and by whose word; "" for what this
// entry saw itself. Entries that saw one of the crashes leave a record of it.
func (g *Gateway) reportQuarantined(request attempt.Fingerprint, from string) {
	g.log.Warn("quarantined", zap.Stringer("fingerprint", request), zap.String("heard_from", from))
	if endpoints, own := g.quarantine.CrashedEndpoints(request); own {
		go g.persistQuarantine(quarantineRecord{Scope: request.Scope, Body: request.Body, Endpoints: endpoints})
	}
}

// hasCrashed tells whether an endpoint's process has ended without notice: its port refuses
// connections, or the endpoint is back in another life. One that is leaving ends as planned, and
// one that is silent may be cut off.
func (g *Gateway) hasCrashed(ctx context.Context, e *directory.EndpointState) bool {
	current := g.snapshot.Load().EndpointByID(e.ID)
	if current == nil {
		return false
	}
	if current.Incarnation != e.Incarnation {
		return current.StartUnixMilli > e.StartUnixMilli
	}
	return g.prober.connectionRefused(ctx, e)
}

// isConnectionRefused tells whether a dial failed because nobody listens there.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
