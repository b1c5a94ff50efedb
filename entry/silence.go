package entry

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/membership"
	"aspenyard.example/routing"
	"aspenyard.example/wire"
)

// errSilent is the cause of the end of an attempt whose endpoint is silent while the entry drains.
var errSilent = errors.New("entry: the endpoint is silent during the drain")

// silenceCheckInterval is the time between two checks of an attempt whose endpoint is silent.
const silenceCheckInterval = 100 * time.Millisecond

// silenceShare is the part of the time before final answers after which a silent attempt goes to another endpoint.
const silenceShare = 1.0 / 3

// attemptWatch watches an attempt during a drain. It withdraws a queued request that another endpoint can still serve or
// that can no longer end in time, and ends the attempt of a repeatable request whose endpoint is silent if another
// endpoint can still serve it.
type attemptWatch struct {
	entry       *Entry
	call        *call
	reservation *wire.Reservation
	request     *routing.Request // must not change before end
	endpoint    *routing.Endpoint
	cancel      context.CancelCauseFunc
	unregister  func()
	// startedAt is when the attempt began, heardAt when the last event arrived; nil before the first, which confirms that
	// the run has started.
	startedAt time.Time
	heardAt   atomic.Pointer[time.Time]
	// paid is set once the retry budget has paid for the next attempt, denied once it has refused to.
	paid, denied bool

	mu             sync.Mutex
	watched, ended bool
	done           chan struct{} // closed by watch
}

// watchAttempt returns the context of an attempt that is watched until end is called.
func (e *Entry) watchAttempt(ctx context.Context, c *call, request *routing.Request, endpoint *routing.Endpoint, reservation *wire.Reservation) (context.Context, *attemptWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &attemptWatch{
		entry: e, call: c, request: request, endpoint: endpoint, reservation: reservation, cancel: cancel, startedAt: time.Now(), done: make(chan struct{}),
	}
	w.unregister = e.shutdown.Before(e.answersDue(), func() { w.begin(ctx) })
	return ctx, w
}

// begin starts to watch, unless the attempt has ended.
func (w *attemptWatch) begin(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.watched = true
		go w.watch(ctx)
	}
}

// end ends the watch and the attempt's context.
func (w *attemptWatch) end() {
	w.unregister()
	w.cancel(nil)
	w.mu.Lock()
	w.ended = true
	watched := w.watched
	w.mu.Unlock()
	if watched {
		<-w.done
		w.call.retryPaid = w.paid
	}
}

// heard records an event of the attempt. It may be called on a nil watch.
func (w *attemptWatch) heard() {
	if w != nil {
		now := time.Now()
		w.heardAt.Store(&now)
	}
}

// watch checks the attempt until it ends.
func (w *attemptWatch) watch(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil && !w.move(ctx) {
		membership.Sleep(ctx, silenceCheckInterval)
	}
}

// move ends or withdraws the attempt if that is due. It returns true if it did.
func (w *attemptWatch) move(ctx context.Context) bool {
	queued := w.heardAt.Load() == nil
	silent := w.silentFor() > time.Duration(float64(w.entry.answersDue())*silenceShare)
	switch {
	case queued && !w.entry.canServe(shortestTime(w.request, w.endpoint)), queued && silent && w.canMove():
		// The agent then ends the run with a refusal; a run that has started goes on.
		state, err := w.entry.withdraw(ctx, w.endpoint.Addr, w.reservation, false)
		if err == nil && state.State == wire.AttemptState_ATTEMPT_STATE_DID_NOT_RUN {
			w.logMove("withdrawn")
			return true
		}
	case !queued && silent && !w.denied && w.call.kind.Work.Repeatable && w.canMove():
		if w.paid = w.entry.budgets[w.call.class()].Take(); w.paid {
			w.logMove("given up")
			w.cancel(errSilent)
		}
		w.denied = !w.paid
		return w.paid
	}
	return false
}

func (w *attemptWatch) logMove(what string) {
	w.entry.log.Info("silent attempt "+what+" during the drain", zap.String("request", w.call.id), zap.String("endpoint", w.endpoint.Name))
}

// silentFor returns for how long the endpoint has been silent during the drain.
func (w *attemptWatch) silentFor() time.Duration {
	since := w.startedAt
	if heard := w.heardAt.Load(); heard != nil {
		since = *heard
	}
	remaining, _ := w.entry.shutdown.Remaining()
	return min(time.Since(since), w.entry.answersDue()-remaining)
}

// canMove reports whether another endpoint can serve the request before final answers are due.
func (w *attemptWatch) canMove() bool {
	request := *w.request
	request.Tried = maps.Clone(w.request.Tried)
	request.Tried[w.endpoint.Name] = true
	endpoints := *w.entry.control.endpoints.Load()
	for i := range endpoints {
		other := &endpoints[i]
		if (routing.CanServe{}).Keep(&request, other) && (routing.FitsMemory{}).Keep(&request, other) && w.entry.canServe(shortestTime(&request, other)) {
			return true
		}
	}
	return false
}
