// Package cli is the command line of the one binary.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"

	"aspenyard.example/gateway"
	"aspenyard.example/result"
)

// Exit codes of every command.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// version is set by the release build's -ldflags.
var version = "0.1.0-dev"

type nodeCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of this process, JSON"`
}

type versionCommand struct {
	Codes bool `arg:"--codes" help:"print the table of result codes as docs/RESULT-CODES.md has it"`
	Logs  bool `arg:"--logs" help:"print the table of log lines as docs/LOGS.md has it"`
}

type arguments struct {
	Entry      *nodeCommand       `arg:"subcommand:entry" help:"serve callers behind the platform's balancer"`
	Gateway    *nodeCommand       `arg:"subcommand:gateway" help:"serve callers by calling the endpoints directly"`
	Agent      *nodeCommand       `arg:"subcommand:agent" help:"stand beside one endpoint"`
	Check      *checkCommand      `arg:"subcommand:check" help:"check settings and catalogue files"`
	Catalogue  *catalogueCommand  `arg:"subcommand:catalogue" help:"read and edit the catalogue through any entry"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show what an entry knows of the system"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"tell a request's story from the gateways' logs"`
	Report     *reportCommand     `arg:"subcommand:report" help:"reports from the nodes' metrics"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"play sites, loads and policies in virtual time and compare them"`
	Bench      *benchCommand      `arg:"subcommand:bench" help:"measure policies, limits and the control plane"`
	Standin    *standinCommand    `arg:"subcommand:standin" help:"run a stand-in of an outside system"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run everything in one process with a small load"`
	Version    *versionCommand    `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "aspenyard serves language-model prompts of very unlike lengths under a hard cap on power."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done; 1 failed; 2 wrong usage; 3 a lost race between two edits."
}

// terminal is where a command writes.
type terminal struct {
	out, err io.Writer
}

func (t terminal) failf(format string, args ...any) int {
	fmt.Fprintf(t.err, "aspenyard: "+format+"\n", args...)
	return exitFailed
}

// json prints a command's result for programs.
func (t terminal) json(value any) int {
	_ = json.NewEncoder(t.out).Encode(value)
	return exitOK
}

// Main runs the command line of this process and returns its exit code.
func Main() int {
	return run(os.Args[1:], terminal{out: os.Stdout, err: os.Stderr})
}

func run(args []string, t terminal) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "aspenyard"}, &parsed)
	if err != nil {
		return t.failf("%v", err)
	}
	switch err := parser.Parse(args); {
	case err == arg.ErrHelp:
		_ = parser.WriteHelpForSubcommand(t.out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(t.err, parser.SubcommandNames()...)
		fmt.Fprintln(t.err, "error:", err)
		return exitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(t.out)
		return exitUsage
	}
	return parsed.runSubcommand(t)
}

func (a *arguments) runSubcommand(t terminal) int {
	switch {
	case a.Entry != nil:
		return a.Entry.runEntry(t)
	case a.Gateway != nil:
		return a.Gateway.runGateway(t)
	case a.Agent != nil:
		return a.Agent.runAgent(t)
	case a.Check != nil:
		return a.Check.run(t)
	case a.Catalogue != nil:
		return a.Catalogue.run(t)
	case a.Status != nil:
		return a.Status.run(t)
	case a.Explain != nil:
		return a.Explain.run(t)
	case a.Report != nil:
		return a.Report.run(t)
	case a.Experiment != nil:
		return a.Experiment.run(t)
	case a.Bench != nil:
		return a.Bench.run(t)
	case a.Standin != nil:
		return a.Standin.run(t)
	case a.Demo != nil:
		return a.Demo.run(t)
	default:
		return a.Version.run(t)
	}
}

func (v *versionCommand) run(t terminal) int {
	if v.Codes {
		fmt.Fprint(t.out, result.Markdown())
		return exitOK
	}
	if v.Logs {
		fmt.Fprint(t.out, gateway.EventsMarkdown())
		return exitOK
	}
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	fmt.Fprintf(t.out, "aspenyard %s (%s, %s %s/%s)\n", version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return exitOK
}

// notifySignals delivers interrupts and terminations; the context is for commands that
// simply stop.
func notifySignals() (context.Context, chan os.Signal, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	return ctx, ch, cancel
}
