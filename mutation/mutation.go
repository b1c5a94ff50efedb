// Package mutation takes mechanisms out of a copy of the workspace, one at a time, and sees
// that the test which proves each of them fails. A test that cannot fail proves nothing, and
// one that could when it was written may no longer do so.
package mutation

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Mutation is one change that takes a mechanism out.
type Mutation struct {
	Name string `json:"name"`
	// File is changed, by its path in the workspace: Old, which stands in it once, becomes New.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
	// Package and Test must fail then.
	Package string `json:"package"`
	Test    string `json:"test"`
}

//go:embed mutations.json
var mutationsJSON []byte

// List gives the mutations of this workspace.
func List() ([]Mutation, error) {
	var list []Mutation
	decoder := json.NewDecoder(bytes.NewReader(mutationsJSON))
	decoder.DisallowUnknownFields()
	return list, errors.WithStack(decoder.Decode(&list))
}

// Apply gives the changed text of the mutation's file.
func (m *Mutation) Apply(text string) (string, error) {
	if n := strings.Count(text, m.Old); n != 1 {
		return "", errors.Errorf("%s: %d places in %s, one is needed", m.Name, n, m.File)
	}
	return strings.Replace(text, m.Old, m.New, 1), nil
}

// Outcome is what the test said of a mutation.
type Outcome string

// Outcomes.
const (
	// Killed: the test failed, as it must.
	Killed Outcome = "killed"
	// Survived: the test passed without the mechanism.
	Survived Outcome = "survived"
	// BuildFailed: the changed code does not build, which shows nothing.
	BuildFailed Outcome = "does not build"
)

// testTimeout bounds a test that hangs without its mechanism, which is a failure too.
const testTimeout = 90 * time.Second

// Run changes a copy of the workspace at root in a directory of its own and runs the test
// there, without and with the mutation. Error: it could not be tried, or the test fails
// without it.
func (m *Mutation) Run(ctx context.Context, root, dir string) (Outcome, error) {
	if err := copyWorkspace(root, dir); err != nil {
		return "", err
	}
	if out, err := m.runTest(ctx, dir); err != nil {
		return "", errors.Errorf("%s fails without the mutation: %s", m.Test, out)
	}
	path := filepath.Join(dir, m.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.WithStack(err)
	}
	changed, err := m.Apply(string(text))
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
		return "", errors.WithStack(err)
	}
	out, err := m.runTest(ctx, dir)
	switch {
	case err == nil:
		return Survived, nil
	case strings.Contains(out, "[build failed]") || strings.Contains(out, "[setup failed]"):
		return BuildFailed, nil
	}
	return Killed, ctx.Err()
}

// skippedEntries are entries of the workspace that no test needs.
var skippedEntries = []string{".git", "journal", "bin", "docs"}

func copyWorkspace(root, dir string) error {
	entries, err := os.ReadDir(root)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	for _, e := range entries {
		from, to := filepath.Join(root, e.Name()), filepath.Join(dir, e.Name())
		switch {
		case slices.Contains(skippedEntries, e.Name()):
		case e.IsDir():
			if err := os.CopyFS(to, os.DirFS(from)); err != nil {
				return errors.Wrap(err, "copy the workspace")
			}
		default:
			text, err := os.ReadFile(from)
			if err != nil {
				return errors.WithStack(err)
			}
			if err := os.WriteFile(to, text, 0o644); err != nil {
				return errors.WithStack(err)
			}
		}
	}
	return nil
}

// runTest runs the mutation's runTest and gives what it printed.
func (m *Mutation) runTest(ctx context.Context, dir string) (string, error) {
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-timeout", testTimeout.String(), "-run", "^"+m.Test+"$", m.Package)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err == nil && bytes.Contains(out, []byte("no tests to run")) {
		err = errors.Errorf("%s has no test %s", m.Package, m.Test)
	}
	return string(out), err
}
