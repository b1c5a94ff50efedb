package gateway

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/directory"
)

// fingerprint names the call's request, whichever copy of it this is.
func (c *call) fingerprint() attempt.Fingerprint {
	if c.print == nil {
		c.print = &attempt.Fingerprint{Scope: c.scope(), Body: attempt.FingerprintBody(c.body)}
	}
	return *c.print
}

func (c *call) scope() uint64 {
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	return attempt.FingerprintScope(account, c.in.Method, c.in.Host, c.in.RequestURI, len(c.body))
}

// noteCrash finds out whether the endpoint has crashed after an exchange broke off.
func (f *forwarding) noteCrash(ctx context.Context, e *directory.Listed) {
	if !f.gateway.crashed(ctx, e) {
		return
	}
	f.log.Add("endpoint_crashed", zap.String("endpoint", e.ID), zap.Stringer("fingerprint", f.fingerprint()))
	f.gateway.countCrash(f.service.Name)
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
