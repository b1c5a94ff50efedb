package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"aspenyard.example/bench/experiment"
)

type experimentCommand struct {
	File  string `arg:"positional,required" placeholder:"FILE" help:"sites, loads and policies, JSON (see examples/experiments)"`
	Out   string `arg:"--out" placeholder:"DIR" help:"directory for the runs' results (JSON lines) and a page with a plot, both named after FILE"`
	Quiet bool   `arg:"--quiet" help:"print no progress"`
}

func (c *experimentCommand) run(t terminal) int {
	ctx, interrupts, cancel := notifySignals()
	defer cancel()
	go func() {
		<-interrupts
		cancel()
	}()
	return c.runUntilDone(ctx, t)
}

// runUntilDone runs the experiment until it is complete or ctx ends. The results of the
// runs until then are reported and written.
func (c *experimentCommand) runUntilDone(ctx context.Context, t terminal) int {
	file, err := c.readFile()
	if err != nil {
		return t.failf("%s: %v", c.File, err)
	}
	output, err := c.createOutput()
	if err != nil {
		return t.failf("%v", err)
	}
	summary := experiment.NewSummary(file)
	var writeErr error
	completed := 0
	runErr := file.Run(ctx, func(result *experiment.RunResult, total int) {
		summary.Add(result)
		if output != nil && writeErr == nil {
			writeErr = json.NewEncoder(output).Encode(result)
		}
		completed++
		if !c.Quiet {
			fmt.Fprintf(t.err, "\r%d of %d runs", completed, total)
		}
	})
	if !c.Quiet {
		fmt.Fprintln(t.err)
	}
	if output != nil {
		if err := output.Close(); writeErr == nil {
			writeErr = err
		}
	}
	if writeErr != nil {
		return t.failf("write results: %v", writeErr)
	}
	return c.report(t, summary, runErr)
}

// report prints the table of results and writes the page, if one is asked for. runErr is
// set if the experiment was stopped early.
func (c *experimentCommand) report(t terminal, summary *experiment.Summary, runErr error) int {
	fmt.Fprint(t.out, experiment.Table(summary.Rows()))
	if c.Out != "" {
		if err := summary.WritePage(c.Out, c.name()); err != nil {
			return t.failf("%v", err)
		}
	}
	if runErr != nil {
		return t.failf("experiment stopped before the end: %v", runErr)
	}
	return exitOK
}

func (c *experimentCommand) readFile() (*experiment.File, error) {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return experiment.Decode(data)
}

// name returns the base name of the file, without its extension.
func (c *experimentCommand) name() string {
	base := filepath.Base(c.File)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

// createOutput creates the file for the runs' results; nil if no output is asked for.
func (c *experimentCommand) createOutput() (*os.File, error) {
	if c.Out == "" {
		return nil, nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return nil, errors.WithStack(err)
	}
	f, err := os.Create(filepath.Join(c.Out, c.name()+".jsonl"))
	return f, errors.WithStack(err)
}
