package cli

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"

	"aspenyard.example/bench"
)

type benchCapacity struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

type benchCommand struct {
	Capacity *benchCapacity `arg:"subcommand:capacity" help:"measure the slopes that docs/CAPACITY.md is made of"`
}

func (c *benchCommand) run(t terminal) int {
	if c.Capacity != nil {
		return c.Capacity.run(t)
	}
	return t.failf("bench: one of capacity")
}

func (c *benchCapacity) run(t terminal) int {
	slopes, err := bench.Capacity()
	if err != nil {
		return t.failf("%v", err)
	}
	if c.JSON {
		_ = json.NewEncoder(t.out).Encode(slopes)
		return exitOK
	}
	fmt.Fprintf(t.out, "%s, %d processors\n", runtime.Version(), runtime.NumCPU())
	fmt.Fprintf(t.out, "%-58s %-18s %12s %10s %12s\n", "what", "size", "µs", "bytes", "heap bytes")
	fmt.Fprintln(t.out, strings.Repeat("-", 114))
	for _, s := range slopes {
		fmt.Fprintf(t.out, "%-58s %-18s %12.2f %10d %12d  %s\n", s.Name, s.Size, s.Microseconds, s.Bytes, s.HeapBytes, s.Note)
	}
	return exitOK
}
