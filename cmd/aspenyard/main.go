// Command aspenyard is the project's only binary: it runs entries, gateways, agents and
// stand-ins, and has the operators' commands and the benchmarks.
//
// It is built with cgo, so that it is linked to the C library as the users' machines
// expect. The net package brings in that dependency, and CI checks that it does.
package main

import (
	"os"

	"aspenyard.example/cli"
)

func main() {
	os.Exit(cli.Main())
}
