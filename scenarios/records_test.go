package scenarios

import (
	"github.com/rogpeppe/go-internal/testscript"

	standin "aspenyard.example/standin/engine"
)

// mark ENGINE remembers the number of runs in an engine's record.
func mark(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	h.markedRuns[args[0]] = h.engineRuns(ts, args[0])
}

// unchanged ENGINE checks that the engine has had no further run since mark.
func unchanged(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	if now := h.engineRuns(ts, args[0]); now != h.markedRuns[args[0]] {
		ts.Fatalf("engine %s had %d runs and now has %d", args[0], h.markedRuns[args[0]], now)
	}
}

// cancelled ENGINE... least=N checks that at least N runs of the engines were cancelled.
func cancelled(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h, count := harnessOf(ts), 0
	for _, name := range plain {
		record, err := h.engineRecord(h.mustProcess(ts, name))
		ts.Check(err)
		for _, run := range record.Runs {
			if run.Cancelled {
				count++
			}
		}
	}
	if count < parseNumber(opts["least"]) {
		ts.Fatalf("%d runs were cancelled", count)
	}
}

// served ENGINE makes short calls through the entry n1 until a run of the engine has finished.
func served(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	entry := h.mustProcess(ts, "n1")
	await(ts, "served", func() string {
		record, err := h.engineRecord(h.mustProcess(ts, args[0]))
		ts.Check(err)
		for _, run := range record.Runs {
			if run.Finished {
				return ""
			}
		}
		startCall(ts, []string{entry.name, "line-plan"}, map[string]string{"as": "served", "deadline": "10s"})
		return "no run has finished"
	})
}

// total ENGINE... most=N checks that the engines had at most N runs together.
func total(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	sum := 0
	for _, name := range plain {
		sum += harnessOf(ts).engineRuns(ts, name)
	}
	ts.Logf("total: %d runs", sum)
	if sum > parseNumber(opts["most"]) {
		ts.Fatalf("%d runs on engines %v", sum, plain)
	}
}

// engineRuns returns the number of runs of an engine.
func (h *harness) engineRuns(ts *testscript.TestScript, name string) int {
	record, err := h.engineRecord(h.mustProcess(ts, name))
	ts.Check(err)
	return len(record.Runs)
}

// engineRecord returns the record that an engine keeps of what it did.
func (h *harness) engineRecord(p *process) (standin.Record, error) {
	var record standin.Record
	return record, h.get("http://"+p.addrs["listen"]+"/record", &record)
}
