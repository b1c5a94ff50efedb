// Command aspenyard is the one binary of the project: both roles, the operators'
// commands, the stand-ins and the benches.
//
// It is built with cgo, so that it is linked to the C library as the users'
// machines expect; the net package is what links it, and CI checks that it does.
package main

import (
	"os"

	"aspenyard.example/cli"
)

func main() {
	os.Exit(cli.Main())
}
