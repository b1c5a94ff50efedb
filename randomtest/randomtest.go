// Package randomtest fixes the seed and the number of the random tests of all
// modules, so that a run gives the same verdict every time.
package randomtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs a test binary that uses rapid; it is called by TestMain.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
