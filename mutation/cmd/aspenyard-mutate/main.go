// Command aspenyard-mutate runs the mutation tests: it disables the listed mechanisms one at
// a time and fails unless the test of each of them fails.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"

	"github.com/alexflint/go-arg"

	"aspenyard.example/mutation"
)

type arguments struct {
	Only []string `arg:"--only" placeholder:"NAME" help:"run only these mutations"`
	Root string   `arg:"--root" default:"." help:"root directory of the workspace"`
	List bool     `arg:"--list" help:"list the mutations and run none"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, &args); err != nil {
		fmt.Fprintln(os.Stderr, "aspenyard-mutate:", err)
		os.Exit(1)
	}
}

// run runs the selected mutations and returns an error unless all are killed.
func run(ctx context.Context, args *arguments) error {
	list, err := mutation.List()
	if err != nil {
		return err
	}
	failed := 0
	for i := range list {
		m := &list[i]
		if len(args.Only) > 0 && !slices.Contains(args.Only, m.Name) {
			continue
		}
		if args.List {
			fmt.Printf("%s: %s must fail (%s)\n", m.Name, m.Test, m.File)
			continue
		}
		outcome, err := runMutation(ctx, m, args.Root)
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s: %s\n", m.Name, m.Test, outcome)
		if outcome != mutation.Killed {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d mutations were not killed", failed)
	}
	return nil
}

// runMutation runs one mutation in a temporary directory.
func runMutation(ctx context.Context, m *mutation.Mutation, root string) (mutation.Outcome, error) {
	dir, err := os.MkdirTemp("", "aspenyard-mutate-")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return m.Run(ctx, root, filepath.Join(dir, "workspace"))
}
