// Package progress limits calls by their progress in place of their duration. A transfer that takes long because it is
// large or the link is slow is told from a server that does not answer; one that is given up for its duration begins anew,
// and never ends from some size on.
package progress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrLongResponse is the cause for which a context ends when a response exceeds Limits.Transfer or Limits.TransferBytes.
var ErrLongResponse = errors.New("progress: the response is too long for this call")

// Limits bound the calls that are made with a context.
type Limits struct {
	// Answer is the time until the first bytes of a response's body, Stall the time for which it may then make no
	// progress. A server may send a response's head before it waits for what the response is to say.
	Answer, Stall time.Duration
	// Transfer is the time that a body may take from its first bytes on, TransferBytes the length that it may have; 0
	// means no limit. They are for calls whose results can be had in another way.
	Transfer      time.Duration
	TransferBytes int
}

// minBytes is how much must arrive for a transfer to count as making progress.
const minBytes = 4 << 10

// tracker follows the progress of the calls that are made with a context.
type tracker struct {
	limits Limits
	parent *tracker // of the context that this one was derived from; may be nil
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// silence ends the calls, unless it is reset.
	silence *RunningTimer
	// transfer ends them at the end of the time that a response may take; nil until one has begun.
	transfer *time.Timer
	// received is the length of what has arrived, counted what of it is counted as progress. begins is set if the next
	// bytes are the first of a body.
	received, counted int
	begins            bool
}

type contextKey struct{}

// WithLimits returns a context for calls, which ends when a limit is exceeded: with the cause
// context.DeadlineExceeded or ErrLongResponse. The caller must cancel it.
func WithLimits(ctx context.Context, limits Limits) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &tracker{limits: limits, parent: trackerOf(ctx), cancel: cancel}
	p.silence = AfterRunning(limits.Answer, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, contextKey{}, p), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.silence.Stop()
		if p.transfer != nil {
			p.transfer.Stop()
		}
		cancel(context.Canceled)
	}
}

func trackerOf(ctx context.Context) *tracker {
	p, _ := ctx.Value(contextKey{}).(*tracker)
	return p
}

// LimitsOf returns the limits of the calls that are made with a context; none if it has none.
func LimitsOf(ctx context.Context) Limits {
	if p := trackerOf(ctx); p != nil {
		return p.limits
	}
	return Limits{}
}

// BeginResponse reports that a response has begun, and its length; negative if that is not known.
func BeginResponse(ctx context.Context, length int64) {
	for p := trackerOf(ctx); p != nil; p = p.parent {
		p.begin(length)
	}
}

// Add reports that n bytes have been received or sent.
func Add(ctx context.Context, n int) {
	for p := trackerOf(ctx); p != nil; p = p.parent {
		p.add(n)
	}
}

func (p *tracker) begin(length int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begins = true
	if p.limits.TransferBytes > 0 && length > int64(p.limits.TransferBytes) {
		p.cancel(ErrLongResponse)
	}
}

func (p *tracker) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += n
	if p.limits.TransferBytes > 0 && p.received > p.limits.TransferBytes {
		p.cancel(ErrLongResponse)
		return
	}
	if p.begins && n > 0 && p.limits.Transfer > 0 && p.transfer == nil {
		p.transfer = time.AfterFunc(p.limits.Transfer, func() { p.cancel(ErrLongResponse) })
	}
	if p.begins && n > 0 || p.received-p.counted >= minBytes {
		p.begins, p.counted = false, p.received
		p.silence.Reset(p.limits.Stall)
	}
}

// Cause returns the reason for which the context of a call ended, or the call's own error.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// maxReadBytes bounds one read of a body: reading a chunked one returns only when the buffer is full.
const maxReadBytes = 16 << 10

// reader reports what is read of a body.
type reader struct {
	ctx  context.Context
	body io.Reader
}

// NewReader returns a reader of the body of a request or a response that reports what is read.
func NewReader(ctx context.Context, body io.Reader) io.Reader { return &reader{ctx, body} }

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), maxReadBytes)])
	Add(r.ctx, n)
	return n, err
}

// Transport is a http.RoundTripper that reports the progress of responses.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	BeginResponse(ctx, response.ContentLength)
	response.Body = struct {
		io.Reader
		io.Closer
	}{NewReader(ctx, response.Body), response.Body}
	return response, nil
}

// CloseIdleConnections makes http.Client.CloseIdleConnections work.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
