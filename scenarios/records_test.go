package scenarios

import (
	"github.com/rogpeppe/go-internal/testscript"

	standin "aspenyard.example/standin/engine"
)

// mark ENGINE notes how many runs an engine's record has; unchanged ENGINE checks
// that it has no more.
func mark(ts *testscript.TestScript, _ bool, args []string) {
	w := of(ts)
	w.marks[args[0]] = w.engineRuns(ts, args[0])
}

func unchanged(ts *testscript.TestScript, _ bool, args []string) {
	w := of(ts)
	if now := w.engineRuns(ts, args[0]); now != w.marks[args[0]] {
		ts.Fatalf("%s had %d runs and has %d", args[0], w.marks[args[0]], now)
	}
}

// cancelled ENGINE... least=N checks that the engines' records have at least N runs
// that were cancelled.
func cancelled(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	w, count := of(ts), 0
	for _, name := range plain {
		record, err := w.engineRecord(w.proc(ts, name))
		ts.Check(err)
		for _, run := range record.Runs {
			if run.Cancelled {
				count++
			}
		}
	}
	if count < number(opts["least"]) {
		ts.Fatalf("%d runs were cancelled", count)
	}
}

// served ENGINE calls for short work through the first entry until the engine's
// record has a finished run.
func served(ts *testscript.TestScript, _ bool, args []string) {
	w := of(ts)
	entry := w.proc(ts, "n1")
	await(ts, "served", func() string {
		record, err := w.engineRecord(w.proc(ts, args[0]))
		ts.Check(err)
		for _, run := range record.Runs {
			if run.Finished {
				return ""
			}
		}
		callOnce(ts, []string{entry.name, "line-plan"}, map[string]string{"as": "served", "deadline": "10s"})
		return "no run has finished"
	})
}

// total ENGINE... most=N checks that engines' records have at most N runs together.
func total(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	sum := 0
	for _, name := range plain {
		sum += of(ts).engineRuns(ts, name)
	}
	ts.Logf("total: %d runs", sum)
	if sum > number(opts["most"]) {
		ts.Fatalf("%d runs on %v", sum, plain)
	}
}

func (w *world) engineRuns(ts *testscript.TestScript, name string) int {
	record, err := w.engineRecord(w.proc(ts, name))
	ts.Check(err)
	return len(record.Runs)
}

// engineRecord reads what an engine truly did.
func (w *world) engineRecord(p *process) (standin.Record, error) {
	var record standin.Record
	return record, w.get("http://"+p.addrs["listen"]+"/record", &record)
}
