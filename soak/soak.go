// Package soak runs gateways as separate processes, together with stand-ins for their platform
// and their callers. It injects faults from outside the processes at random times and checks,
// from what callers and endpoints observed, that the gateways violated no rule.
//
// Scripted tests cover single faults. This package covers faults that overlap, follow each other
// and occur at unfavourable moments. A seed fixes the schedule of the faults and the requests of
// the callers; the interleaving of the processes is left to the machine.
package soak

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Config describes one run.
type Config struct {
	// Seed determines the faults and the requests of the callers.
	Seed uint64
	// Duration is how long faults are injected; a run ends some seconds later. Default 20s.
	Duration time.Duration
	// Gateways is the number of gateway processes. Default 8; each takes about 20 MB.
	Gateways int
	// Engines is the number of engines of the model service, PlainEndpoints the number of
	// endpoints of each plain service. Defaults 8 and 2.
	Engines, PlainEndpoints int
	// Callers is the number of callers, each with one connection. Default 3 per gateway.
	Callers int
	// FaultKinds restricts the injected faults to these kinds; empty means all kinds. With fewer
	// kinds each fault occurs more often.
	FaultKinds []string
	// CheckTimeBounds also checks the rules that have a time bound. A machine that is busy with
	// other work can violate these without a fault of the program.
	CheckTimeBounds bool
	// Command starts a gateway; the path of its settings file is appended.
	Command []string
	// Dir is an existing directory for settings files and logs.
	Dir string
}

// Defaults and limits of a run.
const (
	defaultDuration       = 20 * time.Second
	defaultGateways       = 8
	defaultEngines        = 8
	defaultPlainEndpoints = 2
	callersPerGateway     = 3
	maxGateways           = 300 // a few hundred processes, which take 6 GB
	startTimeout          = 60 * time.Second
	recoveryTimeout       = 60 * time.Second
	cleanupDelay          = time.Second
	maxRecoveryTime       = 12 * time.Second // users' sites: requests are served again 12 s after the loss of all nodes
	pollInterval          = 50 * time.Millisecond
	loadAfterRecovery     = 2 * time.Second // how long callers send requests after the recovery
)

// setDefaults replaces zero fields by their defaults and returns an error for invalid ones.
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
		return errors.New("soak: Duration, Engines, PlainEndpoints and Callers must not be negative")
	case c.Gateways < 1 || c.Gateways > maxGateways:
		return errors.Errorf("soak: %d gateways, want 1 to %d", c.Gateways, maxGateways)
	case unknownKind(c.FaultKinds) != "":
		return errors.Errorf("soak: unknown kind of fault %q, known kinds: %s", unknownKind(c.FaultKinds), strings.Join(FaultKinds(), ", "))
	case len(c.Command) == 0 || c.Dir == "":
		return errors.New("soak: Command and Dir must be set")
	}
	return nil
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Requests is the number of requests that callers sent, Succeeded the number that got a
	// complete response with status 200, and Arrivals the number of requests that endpoints
	// received.
	Requests  int `json:"requests"`
	Succeeded int `json:"whole"`
	Arrivals  int `json:"arrivals"`
	// Faults counts the injected faults by kind. Statuses counts the requests by response
	// status, with "none" for requests without a complete response.
	Faults     map[string]int `json:"faults"`
	Statuses   map[string]int `json:"statuses"`
	Violations []Violation    `json:"violations"`
}

// Run performs one run. It returns an error if the run could not be performed; rule violations
// are in the report.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	if _, err := os.Stat(config.Dir); err != nil {
		return nil, errors.Wrap(err, "soak: log directory")
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

// checkRecovery kills all gateways at once, with every other seed all endpoints too, and waits until they serve
// requests again. It records a RECOVER violation if they do not in time.
func (h *harness) checkRecovery(ctx context.Context) {
	if h.config.Seed%2 == 1 {
		for i, p := range h.ports {
			go h.replaceEndpoint(&Fault{Kind: "all-lost", Port: i}, crashEndpoint, p.currentService())
		}
	}
	for _, g := range h.gateways {
		g.kill(h.record)
	}
	if err := h.awaitReady(ctx, recoveryTimeout); err != nil {
		h.record.addViolation("RECOVER", "after all gateways were killed: %v", err)
		return
	}
	readyAt := time.Now()
	limit := readyAt.Add(recoveryTimeout)
	if h.config.CheckTimeBounds {
		limit = readyAt.Add(maxRecoveryTime)
	}
	for ctx.Err() == nil && !h.record.servedSince(readyAt) {
		if time.Now().After(limit) {
			h.record.addViolation("RECOVER", "no request was served after all gateways were killed")
			return
		}
		time.Sleep(pollInterval)
	}
	sleep(ctx, loadAfterRecovery)
}

// awaitCleanup waits until endpoints have ended the runs and released the reservations that the
// callers left behind.
func (h *harness) awaitCleanup(ctx context.Context) {
	sleep(ctx, cleanupDelay)
	if h.config.CheckTimeBounds {
		sleep(ctx, maxHeldAfterUse)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// report copies the arrivals into the record, checks the rules and returns the report.
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
