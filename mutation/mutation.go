// Package mutation runs mutation tests: it disables one mechanism at a time in a copy of the
// workspace and expects the test that covers the mechanism to fail. A test that cannot fail
// shows nothing, and one that could fail when it was written may no longer be able to.
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

// Mutation is a change of the source that disables one mechanism.
type Mutation struct {
	// Name identifies the mutation.
	Name string `json:"name"`
	// File is the path of the changed file in the workspace. Old, which must occur in it
	// exactly once, is replaced by New.
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
	// Test, in Package, must fail with the change.
	Package string `json:"package"`
	Test    string `json:"test"`
}

//go:embed mutations.json
var mutationsJSON []byte

// List returns the mutations of this workspace.
func List() ([]Mutation, error) {
	var list []Mutation
	decoder := json.NewDecoder(bytes.NewReader(mutationsJSON))
	decoder.DisallowUnknownFields()
	return list, errors.WithStack(decoder.Decode(&list))
}

// Apply returns the text of the mutation's file with the change. It is an error unless Old
// occurs exactly once.
func (m *Mutation) Apply(text string) (string, error) {
	if n := strings.Count(text, m.Old); n != 1 {
		return "", errors.Errorf("%s: old text occurs %d times in %s, must occur once", m.Name, n, m.File)
	}
	return strings.Replace(text, m.Old, m.New, 1), nil
}

// Outcome is the result of the test under a mutation.
type Outcome string

// The outcomes of a mutation. Only Killed shows that the test covers the mechanism.
const (
	// Killed means that the test failed, as expected.
	Killed Outcome = "killed"
	// Survived means that the test passed though the mechanism was disabled.
	Survived Outcome = "survived"
	// BuildFailed means that the changed code does not build, which says nothing about
	// the test.
	BuildFailed Outcome = "does not build"
)

// testTimeout bounds a test run. A test that hangs because its mechanism is disabled counts
// as failed.
const testTimeout = 90 * time.Second

// Run copies the workspace at root to dir and runs the test there, first without and then
// with the mutation. It returns an error if the mutation could not be tried or if the test
// fails without it.
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

// skippedEntries are top-level entries of the workspace that no test needs.
var skippedEntries = []string{".git", "journal", "bin", "docs"}

// copyWorkspace copies the workspace at root to dir.
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
				return errors.Wrap(err, "copy workspace")
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

// runTest runs the mutation's test and returns its output. A test that does not exist is an
// error.
func (m *Mutation) runTest(ctx context.Context, dir string) (string, error) {
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-timeout", testTimeout.String(), "-run", "^"+m.Test+"$", m.Package)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err == nil && bytes.Contains(out, []byte("no tests to run")) {
		err = errors.Errorf("%s has no test %s", m.Package, m.Test)
	}
	return string(out), err
}
