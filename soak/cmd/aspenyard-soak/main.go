// Command aspenyard-soak runs the soak: gateways as separate processes under random
// faults. It is not part of the product, which starts no processes; each gateway is this
// same binary, run as the product's command line.
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

// productArgument is the first word that makes this binary behave as the productArgument.
const productArgument = "aspenyard"

type args struct {
	Seed       uint64        `arg:"--seed" default:"1" help:"the first run's seed"`
	Runs       int           `arg:"--runs" default:"1" help:"how many seeds, one after the other"`
	For        time.Duration `arg:"--for" default:"20s" help:"how long faults come, in each run"`
	Gateways   int           `arg:"--gateways" default:"8" help:"how many gateway processes, 1 to 300"`
	Engines    int           `arg:"--engines" default:"8" help:"how many model endpoints"`
	Kinds      []string      `arg:"--kinds" placeholder:"KIND" help:"only these kinds of faults"`
	FirstKinds int           `arg:"--first-kinds" placeholder:"N" help:"only the first N kinds of faults, as a kept seed says"`
	Callers    int           `arg:"--callers" help:"how many callers; 3 a gateway if left out"`
	Untimed    bool          `arg:"--untimed" help:"check no promise that has a bound in time, for busy machines"`
	Keep       bool          `arg:"--keep" help:"keep the logs of runs that broke no promise, too"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "runs gateways under random faults and checks what callers and endpoints saw"
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
	broken := 0
	for i := range a.Runs {
		report, err := a.run(ctx, a.Seed+uint64(i))
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(2)
		}
		if len(report.Violations) > 0 {
			broken++
		}
	}
	fmt.Printf("%d runs, %d with broken promises\n", a.Runs, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// run makes one run and prints its report, with where the logs are if any are kept.
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
