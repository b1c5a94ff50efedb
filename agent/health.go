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
	"aspenyard.example/progress"
)

const (
	// probeInterval is the wait between health probes and probeTimeout the limit on one
	// probe. probeFailures consecutive failures mark the endpoint as down. Without probes, a
	// suspended endpoint, which keeps its connections open, would keep its callers waiting
	// until their deadlines.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = time.Second
	probeFailures = 2
	// sweepInterval is the wait between sweeps for sequences that no job owns.
	sweepInterval = time.Second
)

// endpointHealth is the result of the health probes. It is safe for concurrent use.
type endpointHealth struct {
	down atomic.Bool
}

func (h *endpointHealth) isUp() bool { return !h.down.Load() }

// monitorHealth probes the endpoint until ctx ends and tells the control thread whether it is
// down.
func (a *Agent) monitorHealth(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		probeCtx, cancel := progress.WithRunningTimeout(ctx, probeTimeout)
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

// sequenceID returns the ID of a reservation's sequence at the engine. It contains the
// agent's incarnation, so that a later agent recognizes sequences that are not its own.
func sequenceID(r attempt.Reservation) string {
	return strconv.FormatUint(r.Incarnation, 10) + "-" + strconv.FormatUint(r.Number, 10)
}

// parseSequenceID returns the reservation of a sequence ID, or false if the ID does not
// have the form of sequenceID's.
func parseSequenceID(id string) (attempt.Reservation, bool) {
	incarnation, number, found := strings.Cut(id, "-")
	if !found {
		return attempt.Reservation{}, false
	}
	i, errI := strconv.ParseUint(incarnation, 10, 64)
	n, errN := strconv.ParseUint(number, 10, 64)
	return attempt.Reservation{Incarnation: i, Number: n}, errI == nil && errN == nil
}

// sweepSequences cancels sequences at the engine that no job owns, until ctx ends. Such a
// sequence exists if its request reached the engine after the agent had abandoned the
// request. It would hold its memory forever.
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

// cancelUnownedSequences cancels the sequences that no job owned in two consecutive sweeps;
// suspects is the result of the sweep before. It returns the unowned sequences that remain:
// those seen for the first time and those that could not be cancelled.
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
