package soak

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"aspenyard.example/cli"
)

// productArgument as first argument makes the test binary run as the product's command line: the
// gateways of a run are this same binary.
const productArgument = "aspenyard"

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == productArgument {
		os.Args = append(os.Args[:1], os.Args[2:]...)
		os.Exit(cli.Main())
	}
	os.Exit(m.Run())
}

// CI runs these short soaks without the rules that have a time bound, which are checked by hand
// on a machine without other load.
const (
	shortDuration = 6 * time.Second
	shortGateways = 4
)

// recordedKinds returns the kinds of faults of a line of seeds.txt: "28" means the first 28, "45-46" the 45th and the 46th.
func recordedKinds(t *testing.T, text string) []string {
	t.Helper()
	is := is.New(t)
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		first, last = "1", text
	}
	from, err := strconv.Atoi(first)
	is.NoErr(err)
	count, err := strconv.Atoi(last)
	is.NoErr(err)
	kinds, err := FirstFaultKinds(count)
	is.NoErr(err)
	return kinds[from-1:]
}

// runSeed runs one soak with the given kinds of faults; nil means all kinds.
func runSeed(t *testing.T, seed uint64, gateways int, length time.Duration, kinds []string) *Report {
	t.Helper()
	is := is.New(t)
	self, err := os.Executable()
	is.NoErr(err)
	report, err := Run(context.Background(), Config{
		Seed: seed, Duration: length, Gateways: gateways, FaultKinds: kinds, Dir: t.TempDir(), Command: []string{self, productArgument, "gateway", "--settings"},
	})
	is.NoErr(err)
	return report
}

func TestShortSoakHasNoViolations(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			report := runSeed(t, seed, shortGateways, shortDuration, nil)
			is.True(report.Succeeded > 0)
			for _, v := range report.Violations {
				t.Errorf("%s: %s", v.Rule, v.Detail)
			}
		})
	}
}

// The seeds in testdata/seeds.txt once showed a violation. Each is run again with the number of
// gateways, the length and the kinds of faults that it was found with.
func TestRegressionSeeds(t *testing.T) {
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var seed uint64
		var gateways int
		var length, kinds string
		if _, err := fmt.Sscan(line, &seed, &gateways, &length, &kinds); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		duration, err := time.ParseDuration(length)
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		t.Run(fmt.Sprint(seed, " ", kinds), func(t *testing.T) {
			t.Parallel()
			for _, v := range runSeed(t, seed, gateways, duration, recordedKinds(t, kinds)).Violations {
				t.Errorf("%s: %s", v.Rule, v.Detail)
			}
		})
	}
}

func TestInvalidConfigIsAnError(t *testing.T) {
	is := is.New(t)
	for _, c := range []Config{{Gateways: -1}, {Gateways: 1000}, {FaultKinds: []string{"flood"}, Command: []string{"x"}, Dir: "."}, {Duration: -1, Command: []string{"x"}, Dir: "."}, {Command: []string{"x"}, Dir: "/no/such/dir"}, {}} {
		_, err := Run(context.Background(), c)
		is.True(err != nil)
	}
}
