package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"aspenyard.example/directory"
	"aspenyard.example/eventlog"
	"aspenyard.example/progress"
	"aspenyard.example/routing/direct"
)

// Reservation is KV cache that an engine reserves for one request.
type Reservation struct {
	// ID is unique; it is never reused.
	ID string
	// Endpoint is the incarnation of the engine that holds the memory, Addr its address.
	Endpoint directory.Incarnation
	Addr     string
	// Tokens is the size of the reserved KV cache.
	Tokens int
}

// ErrNoMemory is returned when an engine has too little free KV cache for a reservation, or does
// not have the reservation that is named.
var ErrNoMemory = errors.New("gateway: engine has no KV cache for the reservation")

// Reserver creates and releases KV cache reservations at engines.
type Reserver interface {
	// Reserve creates a reservation that expires after ttl, counted from when the engine receives
	// it. It returns ErrNoMemory if the engine has too little memory; after any other error the reservation
	// may exist. The response is certainly that of this call.
	Reserve(ctx context.Context, r Reservation, ttl time.Duration) error
	// Renew extends a reservation to ttl from when the engine receives the call. Its result, and that of Release,
	// may be the one of an earlier call to the engine.
	Renew(ctx context.Context, r Reservation, ttl time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, r Reservation) error
}

const (
	// reservationTTLShare is a reservation's lifetime without renewal, as a share of the setting
	// MemoryFreeWithin. When a node dies or the response to a call is lost, memory stays reserved
	// for no longer than that.
	reservationTTLShare = 0.75
	// renewIntervalShare is the renewal interval as a share of the lifetime; two renewals may be
	// lost.
	renewIntervalShare = 0.3
	// idleLimitShare is how long memory is reserved for a request that has not started, as a share
	// of the setting MemoryIdleWithin. After that the attempt is cancelled.
	idleLimitShare = 0.75
	// reserveTimeout bounds one call to an engine; engines answer in milliseconds.
	reserveTimeout = 400 * time.Millisecond
	// releaseAttempts is how often a release is sent that gets no response; after that the
	// reservation expires.
	releaseAttempts = 2
	// uncertainReleaseAttempts is how many releases are sent, uncertainReleaseInterval apart, when
	// a call to reserve got no response. Engines execute such a call up to several seconds later,
	// after the release that should undo it, and would then hold the memory until the reservation
	// expires.
	uncertainReleaseAttempts = 7
	uncertainReleaseInterval = time.Second
)

// reservationTTL returns how long a reservation lasts without a renewal.
func (g *Gateway) reservationTTL() time.Duration {
	return scaleDuration(g.settings.MemoryFreeWithin.D(), reservationTTLShare)
}

// memoryIdleLimit returns how long memory is held for a request that has not started.
func (g *Gateway) memoryIdleLimit() time.Duration {
	return scaleDuration(g.settings.MemoryIdleWithin.D(), idleLimitShare)
}

func scaleDuration(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// heldReservation is a reservation that may exist at its engine.
type heldReservation struct {
	Reservation
	// uncertain is set when a call to create or renew the reservation got no response.
	uncertain bool
}

// reservationSet holds the reservations of one attempt at its helpers.
type reservationSet struct {
	gateway      *Gateway
	reservations []*heldReservation
	helperRefs   []string
	// holders are the helpers that hold a reservation for certain.
	holders  []directory.Incarnation
	cancel   context.CancelFunc
	renewing sync.WaitGroup
}

// reserve reserves KV cache at the plan's first helpers, and in place of those that have too little at
// further ones. Helpers without a reservation still prefill their parts. It fails, and releases
// everything, unless the reservations hold the part of the request's KV cache that does not fit at the
// endpoint. A round of calls takes up to reserveTimeout; check is called before each round and after the last one,
// and its error ends them.
func (g *Gateway) reserve(ctx context.Context, c *call, plan *direct.Plan, attemptNumber int, check func() error) (*reservationSet, error) {
	r := &reservationSet{gateway: g}
	needed, tokens, held, asked := plan.MemoryTokens-plan.EndpointMemoryTokens, 0, 0, 0
	for count := plan.ReservingHelpers; count > 0 && asked+count <= len(plan.Helpers); count = missingHelpers(plan, needed-tokens) {
		if err := check(); err != nil {
			r.release()
			return nil, err
		}
		helpers := plan.Helpers[asked : asked+count]
		asked += count
		for i, err := range r.request(ctx, c, helpers, plan.HelperMemoryTokens, attemptNumber) {
			if err != nil {
				continue
			}
			held++
			tokens += plan.HelperMemoryTokens
			r.holders = append(r.holders, helpers[i].Incarnation)
		}
	}
	for _, helper := range plan.Helpers[asked:] {
		r.helperRefs = append(r.helperRefs, helper.Addr)
	}
	c.log.Add("memory_reserved", zap.Int("helpers", held), zap.Int("refused", asked-held), zap.Int("tokens", tokens), zap.Int("needed", needed))
	if err := check(); err != nil {
		r.release()
		return nil, err
	}
	if tokens < needed {
		r.release()
		return nil, errors.Wrapf(ErrNoMemory, "%d of %d helpers", held, asked)
	}
	renewCtx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.renewing.Add(1)
	go r.renew(renewCtx)
	return r, nil
}

// missingHelpers returns how many further helpers must reserve memory for the missing tokens; 0 for
// none.
func missingHelpers(plan *direct.Plan, missing int) int {
	return (max(missing, 0) + plan.HelperMemoryTokens - 1) / plan.HelperMemoryTokens
}

// request asks helpers to reserve KV cache, all at once, and returns the error of each. A reservation
// whose call got no response may exist and is released with the others.
func (r *reservationSet) request(ctx context.Context, c *call, helpers []*directory.EndpointState, tokens, attemptNumber int) []error {
	results := make([]error, len(helpers))
	requested := make([]*heldReservation, len(helpers))
	var wait sync.WaitGroup
	for i, helper := range helpers {
		requested[i] = &heldReservation{Reservation: r.gateway.newReservation(c, helper, tokens, attemptNumber)}
		wait.Go(func() {
			bounded, cancel := progress.WithRunningTimeout(ctx, reserveTimeout)
			defer cancel()
			results[i] = r.gateway.reserver.Reserve(bounded, requested[i].Reservation, r.gateway.reservationTTL())
		})
	}
	wait.Wait()
	for i, err := range results {
		if err == nil {
			r.reservations = append(r.reservations, requested[i])
			r.helperRefs = append(r.helperRefs, requested[i].Addr+"/"+requested[i].ID)
			continue
		}
		if !errors.Is(err, ErrNoMemory) {
			requested[i].uncertain = true
			r.reservations = append(r.reservations, requested[i])
		}
		r.helperRefs = append(r.helperRefs, requested[i].Addr)
	}
	return results
}

func (g *Gateway) newReservation(c *call, helper *directory.EndpointState, tokens, attemptNumber int) Reservation {
	id := c.ID + "-" + strconv.Itoa(attemptNumber) + "-" + helper.ID
	return Reservation{ID: id, Endpoint: helper.Incarnation, Addr: helper.Addr, Tokens: tokens}
}

// renew renews the reservations until they are released. It stops when more than a reservation's
// lifetime has passed since the last renewal: a process that was suspended for longer must not
// reserve memory again for a request that the engine has already cancelled.
func (r *reservationSet) renew(ctx context.Context) {
	defer r.renewing.Done()
	ticker := time.NewTicker(scaleDuration(r.gateway.reservationTTL(), renewIntervalShare))
	defer ticker.Stop()
	renewed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if gap := time.Since(renewed); gap > r.gateway.reservationTTL() {
			r.gateway.log.Warn("memory_lapsed", zap.String("reservation", r.reservations[0].ID), zap.Duration("gap_ms", gap))
			return
		}
		renewed = time.Now()
		var wait sync.WaitGroup
		for _, h := range r.reservations {
			if !r.gateway.restarted(h.Endpoint) {
				wait.Go(func() { r.renewReservation(h) })
			}
		}
		wait.Wait()
	}
}

// restarted reports whether another incarnation of an endpoint runs under the same ID. The new
// incarnation does not hold the reservations of the earlier one, and calls name only the ID: a
// renewal would reserve memory there that no request uses.
func (g *Gateway) restarted(incarnation directory.Incarnation) bool {
	present := g.snapshot.Load().Present(incarnation.ID)
	return present != nil && present.Incarnation != incarnation
}

// renewReservation renews one reservation. It uses a context of its own, because a call that is
// cancelled halfway when the request ends may be executed after the release.
func (r *reservationSet) renewReservation(h *heldReservation) {
	bounded, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	err := r.gateway.reserver.Renew(bounded, h.Reservation, r.gateway.reservationTTL())
	if err == nil {
		return
	}
	h.uncertain = h.uncertain || !errors.Is(err, ErrNoMemory)
	r.gateway.log.Warn("memory_not_renewed", zap.String("reservation", h.ID), eventlog.Error(err))
}

// release releases all reservations in the background, however the attempt ended. It first waits
// for renewals to finish, so that none follows a release. The process counts as busy until it is
// done.
func (r *reservationSet) release() {
	r.gateway.releasing.Add(1)
	go func() {
		defer r.gateway.releasing.Add(-1)
		if r.cancel != nil {
			r.cancel()
			r.renewing.Wait()
		}
		var wait sync.WaitGroup
		for _, h := range r.reservations {
			wait.Go(func() { r.releaseReservation(h) })
		}
		wait.Wait()
	}()
}

// releaseReservation releases one reservation. An uncertain one is released repeatedly, because the
// engine may create it after the first release.
func (r *reservationSet) releaseReservation(h *heldReservation) {
	attempts, interval := releaseAttempts, time.Duration(0)
	if h.uncertain {
		attempts, interval = uncertainReleaseAttempts, uncertainReleaseInterval
	}
	var err error
	for i := range attempts {
		if i > 0 {
			time.Sleep(interval)
		}
		if i >= releaseAttempts && !r.gateway.snapshot.Load().Registered(h.Endpoint.ID) {
			return // the engine is gone, and its memory with it
		}
		if err = r.sendRelease(h); err == nil && !h.uncertain {
			return
		}
	}
	if err != nil {
		r.gateway.log.Warn("memory_not_released", zap.String("reservation", h.ID), eventlog.Error(err))
	}
}

// sendRelease sends one release. A reservation that the engine does not have counts as released.
func (r *reservationSet) sendRelease(h *heldReservation) error {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	err := r.gateway.reserver.Release(ctx, h.Reservation)
	if errors.Is(err, ErrNoMemory) {
		return nil
	}
	return err
}
