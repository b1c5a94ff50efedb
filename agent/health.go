package agent

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"aspenyard.example/attempt"
	"aspenyard.example/membership"
)

const (
	// probeInterval and probeTimeout time the health probe; probeFailures in a
	// row mark the endpoint as down. A frozen endpoint keeps its connections open
	// and would otherwise hold its callers until their deadlines.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = time.Second
	probeFailures = 2
	// sweepInterval is how often the engine's list is compared with the table.
	sweepInterval = time.Second
)

// endpointHealth is the endpoint's state, for any thread.
type endpointHealth struct {
	down atomic.Bool
}

func (h *endpointHealth) isUp() bool { return !h.down.Load() }

// monitorHealth follows the endpoint's health until ctx ends.
func (a *Agent) monitorHealth(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := a.engine.Status(probeCtx)
		cancel()
		if err == nil {
			failures = 0
		} else {
			failures++
		}
		down := failures >= probeFailures
		if a.health.down.Swap(down) != down {
			a.log.Warn("endpoint health changed", zap.Bool("down", down), zap.Error(err))
		}
		a.loop.Post(func() { a.control.setDown(down) })
		membership.Sleep(ctx, probeInterval)
	}
}

// sequenceID names a reservation's sequence at the engine. It carries the
// incarnation, so that a successor knows what is not its own.
func sequenceID(r attempt.Reservation) string {
	return strconv.FormatUint(r.Incarnation, 10) + "-" + strconv.FormatUint(r.Number, 10)
}

func parseSequenceID(id string) (attempt.Reservation, bool) {
	incarnation, number, found := strings.Cut(id, "-")
	if !found {
		return attempt.Reservation{}, false
	}
	i, errI := strconv.ParseUint(incarnation, 10, 64)
	n, errN := strconv.ParseUint(number, 10, 64)
	return attempt.Reservation{Incarnation: i, Number: n}, errI == nil && errN == nil
}

// sweepSequences frees, until ctx ends, the sequences at the engine that no open order
// owns. Such a sequence would hold its memory for good: it is left when an order
// reached the engine after its sender had given it up.
func (a *Agent) sweepSequences(ctx context.Context) {
	if a.settings.Kind == "service" {
		return
	}
	suspects := map[string]bool{}
	for ctx.Err() == nil {
		membership.Sleep(ctx, sweepInterval)
		suspects = a.cancelUnownedSequences(ctx, suspects)
	}
}

// cancelUnownedSequences cancels sequences that nobody owned in two sweeps running, and
// returns those seen for the first time.
func (a *Agent) cancelUnownedSequences(ctx context.Context, suspects map[string]bool) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	sequences, err := a.engine.Sequences(ctx)
	if err != nil {
		return suspects
	}
	unowned := map[string]bool{}
	err = a.loop.Do(ctx, func() {
		for _, sequence := range sequences {
			reservation, ok := parseSequenceID(sequence.ID)
			if !ok || reservation.Incarnation != a.incarnation || a.control.jobs[reservation.Number] == nil {
				unowned[sequence.ID] = true
			}
		}
	})
	if err != nil {
		return suspects
	}
	for id := range unowned {
		if !suspects[id] {
			continue
		}
		a.log.Warn("cancel a sequence that nobody owns", zap.String("sequence", id))
		if a.engine.Cancel(ctx, id) == nil {
			delete(unowned, id)
		}
	}
	return unowned
}
