// Package soak runs gateways as separate processes between stand-ins of their platform
// and callers, injects faults from outside at random times, and checks from what callers
// and endpoints saw that no promise was broken.
//
// It exists because faults that come alone are proved by scripted tests, and those that
// come together, in series and at bad moments are not. A seed fixes the schedule of
// faults and what callers ask; how the processes interleave is the machine's.
package soak

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Config says what one run is made of.
type Config struct {
	// Seed fixes the faults and the callers' requests.
	Seed uint64
	// Duration is how long faults come; the end of a run takes some seconds more.
	// Default 20s.
	Duration time.Duration
	// Gateways is how many processes there are. Default 8; each takes about 20 MB.
	Gateways int
	// Engines and PlainEndpoints are how many endpoints each model service and each plain service
	// has. Defaults 8 and 2.
	Engines, PlainEndpoints int
	// Callers is how many callers there are, each with one connection. Default 3 a
	// gateway.
	Callers int
	// FaultKinds are the faults that come; all where it is empty. Fewer meet a fault more often.
	FaultKinds []string
	// CheckTimeBounds checks the promises that have a bound in time, too. A machine that is busy
	// with other things can break these without a fault of the program.
	CheckTimeBounds bool
	// Command starts a gateway; the path of its settings is appended.
	Command []string
	// Dir takes settings and logs. It must exist.
	Dir string
}

// Sizes of a run where Config leaves them out.
const (
	defaultDuration       = 20 * time.Second
	defaultGateways       = 8
	defaultEngines        = 8
	defaultPlainEndpoints = 2
	callersPerGateway     = 3
	maxGateways           = 300 // a few hundred processes, 6 GB
	startTimeout          = 60 * time.Second
	recoveryTimeout       = 60 * time.Second
	cleanupDelay          = time.Second
	maxRecoveryTime       = 12 * time.Second // the users' sites: back to work 12 s after a loss of all nodes
	pollInterval          = 50 * time.Millisecond
	loadAfterRecovery     = 2 * time.Second
)

func (c *Config) setDefaults() error {
	if c.Duration == 0 {
		c.Duration = defaultDuration
	}
	if c.Gateways == 0 {
		c.Gateways = defaultGateways
	}
	if c.Engines == 0 {
		c.Engines = defaultEngines
	}
	if c.PlainEndpoints == 0 {
		c.PlainEndpoints = defaultPlainEndpoints
	}
	if c.Callers == 0 {
		c.Callers = callersPerGateway * c.Gateways
	}
	switch {
	case c.Duration < 0 || c.Engines < 0 || c.PlainEndpoints < 0 || c.Callers < 0:
		return errors.New("soak: length, engines, apps and callers must not be negative")
	case c.Gateways < 1 || c.Gateways > maxGateways:
		return errors.Errorf("soak: %d gateways, 1 to %d are possible", c.Gateways, maxGateways)
	case unknownKind(c.FaultKinds) != "":
		return errors.Errorf("soak: no fault %q, there are %s", unknownKind(c.FaultKinds), strings.Join(FaultKinds(), ", "))
	case len(c.Command) == 0 || c.Dir == "":
		return errors.New("soak: no command or directory")
	}
	return nil
}

// Report is what a run brought.
type Report struct {
	Seed uint64 `json:"seed"`
	// Requests is how many attempts callers made, Whole how many were answered whole
	// with success, Arrivals how many arrived at endpoints.
	Requests  int `json:"requests"`
	Succeeded int `json:"whole"`
	Arrivals  int `json:"arrivals"`
	// Faults counts those injected, by kind; Statuses the answers, "none" for attempts
	// without a whole answer.
	Faults     map[string]int `json:"faults"`
	Statuses   map[string]int `json:"statuses"`
	Violations []Violation    `json:"violations"`
}

// Run makes one run. An error means that it could not be made; broken promises are in
// the report.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	if _, err := os.Stat(config.Dir); err != nil {
		return nil, errors.Wrap(err, "soak: directory for logs")
	}
	h, err := newHarness(config)
	if err != nil {
		return nil, err
	}
	defer h.close()
	if err := h.awaitReady(ctx, startTimeout); err != nil {
		return nil, err
	}
	callers := startCallers(ctx, h)
	h.runSchedule(ctx, GenerateSchedule(config.Seed, config.Duration, targetCounts{config.Gateways, len(h.ports)}, config.FaultKinds))
	h.checkRecovery(ctx)
	callers.stop()
	h.awaitCleanup(ctx)
	return h.report(), ctx.Err()
}

// checkRecovery kills every gateway at once and waits until they serve again.
func (h *harness) checkRecovery(ctx context.Context) {
	for _, g := range h.gateways {
		g.kill(h.record)
	}
	if err := h.awaitReady(ctx, recoveryTimeout); err != nil {
		h.record.addViolation("RECOVER", "after the loss of all gateways: %v", err)
		return
	}
	back := time.Now()
	limit := back.Add(recoveryTimeout)
	if h.config.CheckTimeBounds {
		limit = back.Add(maxRecoveryTime)
	}
	for ctx.Err() == nil && !h.record.servedSince(back) {
		if time.Now().After(limit) {
			h.record.addViolation("RECOVER", "nothing was served after the loss of all gateways")
			return
		}
		time.Sleep(pollInterval)
	}
	sleep(ctx, loadAfterRecovery)
}

// awaitCleanup waits until what callers left behind at endpoints has ended.
func (h *harness) awaitCleanup(ctx context.Context) {
	sleep(ctx, cleanupDelay)
	if h.config.CheckTimeBounds {
		sleep(ctx, maxHeldAfterUse)
	}
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (h *harness) report() *Report {
	r := h.record
	h.collectArrivals()
	report := &Report{Seed: h.config.Seed, Requests: len(r.Requests), Arrivals: len(r.Arrivals), Faults: h.faultCounts, Statuses: map[string]int{}}
	for _, req := range r.Requests {
		report.Statuses[req.statusLabel()]++
		if req.succeeded() {
			report.Succeeded++
		}
	}
	report.Violations = r.Check(h.config.CheckTimeBounds)
	return report
}
