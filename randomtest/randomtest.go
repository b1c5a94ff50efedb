// Package randomtest sets the seed and the number of cases of the property-based tests of
// all modules, so that every run of a test gives the same result.
package randomtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package that uses rapid, with a fixed seed and 1,000 cases per
// property, and exits. It writes no files for failed cases. TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
