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
	c.scope()
	if c.print.Body == 0 {
		c.print.Body = attempt.FingerprintBody(c.body)
	}
	return c.print
}

// scope is the part of the fingerprint that needs no reading of the body.
func (c *call) scope() uint64 {
	if c.print.Scope == 0 {
		account := ""
		if c.account != nil {
			account = c.account.Name
		}
		c.print.Scope = attempt.FingerprintScope(account, c.in.Method, c.in.Host, c.in.RequestURI, len(c.body))
	}
	return c.print.Scope
}

// suspected tells whether anything is known of the call's request.
func (c *call) suspected() bool {
	q := c.gateway.quarantine
	return !q.Empty() && q.Suspects(c.scope())
}

// refuseQuarantined ends a call whose request must not be sent to an endpoint; nil where it may be.
func (f *forwarding) refuseQuarantined() *result.Error {
	if !f.suspected() {
		return nil
	}
	left := f.gateway.quarantine.Holds(time.Now(), f.fingerprint())
	if left == 0 {
		return nil
	}
	f.log.Add("quarantine_refused", zap.Stringer("fingerprint", f.fingerprint()), zap.Duration("left_ms", left))
	if f.retrier.MayHaveRun() {
		return result.Fail(result.EndpointFailed, result.RanUnknown, "endpoints crash under this request")
	}
	return result.Refuse(result.Quarantined, left, "endpoints crashed under earlier copies of this request")
}

// noteCrash finds out whether the endpoint has crashed after an exchange broke off.
func (f *forwarding) noteCrash(ctx context.Context, e *directory.Listed) {
	g := f.gateway
	if !g.crashed(ctx, e) {
		return
	}
	crashes, quarantined := g.quarantine.Crashed(time.Now(), f.fingerprint(), uint32(direct.HashEndpoint(e.Life)))
	f.log.Add("endpoint_crashed", zap.String("endpoint", e.ID), zap.Stringer("fingerprint", f.fingerprint()), zap.Int("crashes", crashes))
	g.countCrash(f.service.Name)
	if quarantined {
		g.noteQuarantined(f.fingerprint(), "")
	}
	if crashes > 1 {
		g.peers.announce()
	}
}

// noteAnswer notes that an endpoint has answered the call whole.
func (f *forwarding) noteAnswer() {
	if f.suspected() {
		f.gateway.quarantine.Answered(time.Now(), f.fingerprint())
	}
}

// noteQuarantined notes that a request is refused from now on, and by whose word; "" for what this
// entry saw itself. Entries that saw one of the crashes leave a record of it.
func (g *Gateway) noteQuarantined(request attempt.Fingerprint, from string) {
	g.log.Warn("quarantined", zap.Stringer("fingerprint", request), zap.String("heard_from", from))
	if endpoints, own := g.quarantine.Evidence(request); own {
		go g.keepQuarantined(quarantineRecord{Scope: request.Scope, Body: request.Body, Endpoints: endpoints})
	}
}

// crashed tells whether an endpoint's process has ended without notice: its port refuses
// connections, or the endpoint is back in another life. One that is leaving ends as planned, and
// one that is silent may be cut off.
func (g *Gateway) crashed(ctx context.Context, e *directory.Listed) bool {
	present := g.snapshot.Load().Present(e.ID)
	if present == nil {
		return false
	}
	if present.Life != e.Life {
		return present.Born > e.Born
	}
	return g.prober.refuses(ctx, e)
}

// refused tells whether a dial failed because nobody listens there.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
