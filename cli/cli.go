// Package cli implements the command line of the aspenyard binary.
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

// Exit codes of all commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// version is set by -ldflags in release builds.
var version = "0.1.0-dev"

type nodeCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of this process, JSON"`
}

type versionCommand struct {
	Codes bool `arg:"--codes" help:"print the table of result codes as docs/RESULT-CODES.md has it"`
	Logs  bool `arg:"--logs" help:"print the table of log events as docs/LOGS.md has it"`
}

type arguments struct {
	Entry      *nodeCommand       `arg:"subcommand:entry" help:"run an entry: serve callers behind the platform's load balancer"`
	Gateway    *nodeCommand       `arg:"subcommand:gateway" help:"run a gateway: serve callers by calling the endpoints directly"`
	Agent      *nodeCommand       `arg:"subcommand:agent" help:"run the agent of one endpoint"`
	Check      *checkCommand      `arg:"subcommand:check" help:"validate settings, catalogue and experiment files"`
	Catalogue  *catalogueCommand  `arg:"subcommand:catalogue" help:"read and edit the catalogue through any entry"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show what an entry knows of the system"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"show what happened to a request, from the gateways' logs"`
	Report     *reportCommand     `arg:"subcommand:report" help:"make reports from metrics, logs and played days"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"simulate sites, loads and policies in virtual time and compare them"`
	Bench      *benchCommand      `arg:"subcommand:bench" help:"measure policies, limits and the control plane"`
	Standin    *standinCommand    `arg:"subcommand:standin" help:"run a stand-in for an external system"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run all parts in one process under a small load"`
	Version    *versionCommand    `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "aspenyard serves language-model prompts of widely varying lengths under a hard power cap."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success; 1 failure; 2 wrong usage; 3 conflict with another edit."
}

// terminal holds a command's standard output and standard error.
type terminal struct {
	out, err io.Writer
}

// failf prints an error message and returns the exit code of a failure.
func (t terminal) failf(format string, args ...any) int {
	fmt.Fprintf(t.err, "aspenyard: "+format+"\n", args...)
	return exitFailed
}

// json prints a command's result as JSON, on one line.
func (t terminal) json(value any) int {
	_ = json.NewEncoder(t.out).Encode(value)
	return exitOK
}

// Main runs the command line of this process and returns its exit code.
func Main() int {
	return run(os.Args[1:], terminal{out: os.Stdout, err: os.Stderr})
}

// run parses the arguments and runs the subcommand that they name.
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

// signalBuffer is how many signals wait while a process is busy with one. Further ones are dropped, and one that ends the
// process must not be.
const signalBuffer = 64

// notifySignals returns a channel that receives SIGINT and SIGTERM, and a context with
// its cancel function. The caller decides whether a signal cancels the context.
func notifySignals() (context.Context, chan os.Signal, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, signalBuffer)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	return ctx, ch, cancel
}
