package scenarios

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/catalogue"
)

// capHistory records the power caps of a script with the times from which they were in force.
type capHistory struct {
	changes []capChange
}

// capChange is a new power cap and the time from which it was in force.
type capChange struct {
	unixNano int64
	watts    int
}

// cap ENTRY WATTS [in-force=yes] edits the power cap of the site. With in-force it waits until an
// entry reports the new cap as in force; from then on the command watts checks against it.
func setCap(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	p := h.mustProcess(ts, plain[0])
	var record catalogue.Record
	ts.Check(h.get("http://"+p.addrs["operators"]+"/v1/catalogue/site/port", &record))
	revision := record.Revision
	record.Site.PowerCapWatts, record.Revision = uint64(parseNumber(plain[1])), 0
	if status, body := h.put(p, &record, revision); status != http.StatusOK {
		ts.Fatalf("cap: status %d: %s", status, body)
	}
	if opts["in-force"] != "yes" {
		return
	}
	await(ts, "cap in force", func() string {
		seen := "no entry has the power ledger"
		for _, other := range h.processes {
			if other.role != "entry" {
				continue
			}
			status, err := h.status(other)
			if err != nil || len(status.Sites) == 0 || !status.Sites[0].Known || status.Sites[0].CapWatts != parseNumber(plain[1]) {
				continue
			}
			seen = fmt.Sprintf("%+v", status.Sites[0])
			if status.Sites[0].InForceWatts <= parseNumber(plain[1]) {
				return ""
			}
		}
		return seen
	})
	if h.caps == nil {
		h.caps = &capHistory{}
	}
	h.caps.changes = append(h.caps.changes, capChange{time.Now().UnixNano(), parseNumber(plain[1])})
}

// watts cap=WATTS [over=WATTS] adds up the power draw in the records of the engines over time.
// The sum must never exceed the cap, which changes with each "cap ... in-force=yes". With over,
// the sum must have exceeded that value at some time, so that the check cannot pass on an idle
// site.
func watts(ts *testscript.TestScript, _ bool, args []string) {
	_, opts := options(args)
	h := harnessOf(ts)
	var steps []drawStep
	for name, p := range h.processes {
		if p.role != "engine" {
			continue
		}
		record, err := h.engineRecord(p)
		ts.Check(err)
		for _, at := range record.Watts {
			steps = append(steps, drawStep{at.UnixNano, name, at.Watts})
		}
	}
	limit := parseNumber(opts["cap"])
	var changes []capChange
	if h.caps != nil {
		changes = h.caps.changes
	}
	peak := peakDraw(steps, func(at int64) int { return capAt(limit, changes, at) }, func(at int64, sum, cap int) {
		ts.Fatalf("the engines drew %d W in total with a cap of %d W, %s ago", sum, cap, time.Since(time.Unix(0, at)))
	})
	ts.Logf("watts: peak %d W, cap %d W", peak, limit)
	if peak <= parseNumber(opts["over"]) {
		ts.Fatalf("the engines never drew more than %d W", peak)
	}
}

// drawing ENGINE... over=WATTS waits until the current draw of the engines is more than WATTS in
// total.
func drawing(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	await(ts, "drawing", func() string {
		sum := 0
		for _, name := range plain {
			record, err := h.engineRecord(h.mustProcess(ts, name))
			if err != nil {
				return err.Error()
			}
			if n := len(record.Watts); n > 0 {
				sum += record.Watts[n-1].Watts
			}
		}
		if sum > parseNumber(opts["over"]) {
			return ""
		}
		return fmt.Sprintf("the engines draw %d W", sum)
	})
}

// drawStep is a change of the power draw of an engine.
type drawStep struct {
	at     int64
	engine string
	watts  int
}

// capAt returns the cap that was in force at a time.
func capAt(limit int, changes []capChange, at int64) int {
	for _, change := range changes {
		if at >= change.unixNano {
			limit = change.watts
		}
	}
	return limit
}

// peakDraw goes through the steps in order of time and returns the highest total draw. It calls
// exceeded whenever the total is above the cap.
func peakDraw(steps []drawStep, cap func(at int64) int, exceeded func(at int64, sum, cap int)) int {
	sort.Slice(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	draw := map[string]int{}
	sum, peak := 0, 0
	for _, step := range steps {
		sum += step.watts - draw[step.engine]
		draw[step.engine] = step.watts
		peak = max(peak, sum)
		if limit := cap(step.at); sum > limit {
			exceeded(step.at, sum, limit)
		}
	}
	return peak
}

// granted ENTRY... least=WATTS waits until one of the entries, the one that keeps the power
// ledger, has granted at least WATTS in total and the agents have confirmed that they apply it.
func granted(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	await(ts, "granted", func() string {
		seen := "no entry has the power ledger"
		for _, name := range plain {
			status, err := h.status(h.mustProcess(ts, name))
			if err != nil || len(status.Sites) == 0 || !status.Sites[0].Known {
				continue
			}
			applied := 0
			for _, m := range status.Members {
				applied += m.LimitWatts
			}
			seen = fmt.Sprintf("%+v, agents apply %d W", status.Sites[0], applied)
			if status.Sites[0].CountedWatts >= parseNumber(opts["least"]) && applied >= parseNumber(opts["least"]) {
				return ""
			}
		}
		return seen
	})
}
