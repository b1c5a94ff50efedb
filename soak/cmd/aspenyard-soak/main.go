// Command aspenyard-soak runs gateways as separate processes under random faults and checks that
// they violate no rule. It is not part of the product, which starts no processes; each gateway is
// this same binary, run as the product's command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"aspenyard.example/cli"
	"aspenyard.example/soak"
)

// productArgument as first argument makes this binary run as the product's command line.
const productArgument = "aspenyard"

// args are the command line flags.
type args struct {
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the first run"`
	Runs       int           `arg:"--runs" default:"1" help:"number of runs, with consecutive seeds"`
	For        time.Duration `arg:"--for" default:"20s" help:"how long faults are injected in each run"`
	Gateways   int           `arg:"--gateways" default:"8" help:"number of gateway processes, 1 to 300"`
	Engines    int           `arg:"--engines" default:"8" help:"number of model endpoints"`
	Kinds      []string      `arg:"--kinds" placeholder:"KIND" help:"inject only these kinds of faults"`
	FirstKinds int           `arg:"--first-kinds" placeholder:"N" help:"inject only the first N kinds of faults, as recorded with a seed"`
	Callers    int           `arg:"--callers" help:"number of callers; default 3 per gateway"`
	Untimed    bool          `arg:"--untimed" help:"do not check rules that have a time bound, for busy machines"`
	Keep       bool          `arg:"--keep" help:"keep the logs of runs without violations as well"`
}

// Description implements arg.Described: it returns the first line of the help text.
func (args) Description() string {
	return "runs gateways under random faults and checks what callers and endpoints observed"
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == productArgument {
		os.Args = append(os.Args[:1], os.Args[2:]...)
		os.Exit(cli.Main())
	}
	var a args
	parser := arg.MustParse(&a)
	if a.FirstKinds != 0 {
		kinds, err := soak.FirstFaultKinds(a.FirstKinds)
		if err != nil {
			parser.Fail(err.Error())
		}
		a.Kinds = kinds
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	violated := 0
	for i := range a.Runs {
		report, err := a.run(ctx, a.Seed+uint64(i))
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(2)
		}
		if len(report.Violations) > 0 {
			violated++
		}
	}
	fmt.Printf("%d runs, %d with rule violations\n", a.Runs, violated)
	if violated > 0 {
		os.Exit(1)
	}
}

// run performs one run, prints its report as JSON, and prints the log directory if the logs are
// kept. They are kept after violations and with --keep.
func (a *args) run(ctx context.Context, seed uint64) (*soak.Report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, Duration: a.For, Gateways: a.Gateways, Engines: a.Engines, Callers: a.Callers, FaultKinds: a.Kinds, CheckTimeBounds: !a.Untimed, Dir: dir,
		Command: []string{self, productArgument, "gateway", "--settings"},
	})
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return nil, err
	}
	if len(report.Violations) == 0 && !a.Keep {
		return report, os.RemoveAll(dir)
	}
	fmt.Println("logs:", dir)
	return report, nil
}
