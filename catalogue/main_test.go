package catalogue

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of the random tests, so that a run gives
// the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
