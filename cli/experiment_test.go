package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const quickExperiment = `{"name":"quick","seeds":2,"random_sites":{"count":2,"seed":1},"policies":[{"name":"product"},{"name":"random","policy":"random"}]}`

func writeExperiment(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "quick.json")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExperimentIsRunAndWritten(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	c := &experimentCommand{File: writeExperiment(t, quickExperiment), Out: t.TempDir()}
	is.Equal(c.runUntilDone(context.Background(), terminal{out: &out, err: &errs}), exitOK)
	is.True(strings.Contains(out.String(), "| random sites | random | 4 |"))
	is.True(strings.Contains(errs.String(), "8 of 8 runs"))
	lines, err := os.ReadFile(filepath.Join(c.Out, "quick.jsonl"))
	is.NoErr(err)
	is.Equal(strings.Count(string(lines), "\n"), 8)
	page, err := os.ReadFile(filepath.Join(c.Out, "quick.md"))
	is.NoErr(err)
	is.True(strings.Contains(string(page), "![worth](quick.svg)"))
}

func TestInvalidExperimentNamesItsFields(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	c := &experimentCommand{File: writeExperiment(t, `{"name":"x","seeds":0,"policies":[]}`)}
	is.Equal(c.runUntilDone(context.Background(), terminal{out: &out, err: &errs}), exitFailed)
	for _, field := range []string{`"seeds"`, `"policies"`, `"sites"`} {
		is.True(strings.Contains(errs.String(), field))
	}
	c.File = filepath.Join(t.TempDir(), "none.json")
	is.Equal(c.runUntilDone(context.Background(), terminal{out: &out, err: &errs}), exitFailed)
}

// An interrupted experiment prints an error and exits with a failure.
func TestInterruptedExperimentFails(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := &experimentCommand{File: writeExperiment(t, quickExperiment), Quiet: true}
	is.Equal(c.runUntilDone(ctx, terminal{out: &out, err: &errs}), exitFailed)
	is.True(strings.Contains(errs.String(), "stopped before the end"))
}
