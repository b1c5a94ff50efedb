package directory

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrLongResponse is returned by a call whose response exceeds CallLimits.Transfer or CallLimits.TransferBytes.
var ErrLongResponse = errors.New("directory: the response of the store is too long for this call")

// CallLimits bound a call to the store by its progress: a transfer that takes long because it is large or the link is slow
// is not a store that does not answer.
type CallLimits struct {
	// Answer is the time until a response begins, Stall the time for which one may then make no progress.
	Answer, Stall time.Duration
	// Transfer is the time that a response may take from its beginning, TransferBytes the length that it may have; 0
	// means no limit. They are for calls whose results can be had in another way.
	Transfer      time.Duration
	TransferBytes int
}

// minProgressBytes is how much must arrive for a transfer to count as making progress.
const minProgressBytes = 4 << 10

// callProgress follows the progress of the calls that are made with a context.
type callProgress struct {
	limits CallLimits
	parent *callProgress // of the context that this one was derived from; may be nil
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// silence ends the calls, unless it is reset.
	silence *time.Timer
	// transfer ends them at the end of the time that a response may take; nil until one has begun.
	transfer *time.Timer
	// received is the length of what has arrived, counted what of it is counted as progress.
	received, counted int
}

type callProgressKey struct{}

// WithCallLimits returns a context for calls to the store, which ends when a limit is exceeded: with the cause
// context.DeadlineExceeded or ErrLongResponse. The caller must cancel it.
func WithCallLimits(ctx context.Context, limits CallLimits) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &callProgress{limits: limits, parent: progressOf(ctx), cancel: cancel}
	p.silence = time.AfterFunc(limits.Answer, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, callProgressKey{}, p), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.silence.Stop()
		if p.transfer != nil {
			p.transfer.Stop()
		}
		cancel(context.Canceled)
	}
}

func progressOf(ctx context.Context) *callProgress {
	p, _ := ctx.Value(callProgressKey{}).(*callProgress)
	return p
}

// LimitsOf returns the limits of the calls that are made with a context; none if it has none.
func LimitsOf(ctx context.Context) CallLimits {
	if p := progressOf(ctx); p != nil {
		return p.limits
	}
	return CallLimits{}
}

// ReportResponse reports that a response has begun, and its length; negative if that is not known.
func ReportResponse(ctx context.Context, length int64) {
	for p := progressOf(ctx); p != nil; p = p.parent {
		p.begin(length)
	}
}

// ReportProgress reports that n bytes have been received or sent.
func ReportProgress(ctx context.Context, n int) {
	for p := progressOf(ctx); p != nil; p = p.parent {
		p.add(n)
	}
}

func (p *callProgress) begin(length int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limits.TransferBytes > 0 && length > int64(p.limits.TransferBytes) {
		p.cancel(ErrLongResponse)
		return
	}
	p.silence.Reset(p.limits.Stall)
	if p.limits.Transfer > 0 && p.transfer == nil {
		p.transfer = time.AfterFunc(p.limits.Transfer, func() { p.cancel(ErrLongResponse) })
	}
}

func (p *callProgress) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += n
	if p.limits.TransferBytes > 0 && p.received > p.limits.TransferBytes {
		p.cancel(ErrLongResponse)
		return
	}
	if p.received-p.counted >= minProgressBytes {
		p.counted = p.received
		p.silence.Reset(p.limits.Stall)
	}
}
