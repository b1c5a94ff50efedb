// Command aspenyard-mutate takes the mechanisms of the list out, one at a time, and sees that
// their tests fail.
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
	Only []string `arg:"--only" placeholder:"NAME" help:"only these mutations"`
	Root string   `arg:"--root" default:"." help:"the workspace"`
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

func runMutation(ctx context.Context, m *mutation.Mutation, root string) (mutation.Outcome, error) {
	dir, err := os.MkdirTemp("", "aspenyard-mutate-")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return m.Run(ctx, root, filepath.Join(dir, "workspace"))
}
