package scenarios

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/attempt"
	"aspenyard.example/catalogue"
)

// ready ENTRY agents=N waits until an entry has the catalogue and hears N agents.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	p := h.mustProcess(ts, plain[0])
	await(ts, "ready "+p.name, func() string {
		status, err := h.status(p)
		if err != nil {
			return err.Error()
		}
		live := 0
		for _, m := range status.Members {
			if m.Role == "agent" && m.State == "live" {
				live++
			}
		}
		if live < parseNumber(opts["agents"]) {
			return fmt.Sprintf("%d agents live", live)
		}
		var record catalogue.Record
		if err := h.get("http://"+p.addrs["operators"]+"/v1/catalogue/account/crew", &record); err != nil {
			return err.Error()
		}
		return ""
	})
}

// member ENTRY NODE STATE waits until an entry has a node in a state.
func member(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	p := h.mustProcess(ts, args[0])
	began := time.Now()
	defer func() {
		ts.Logf("member: %s has %s as %s after %s", args[0], args[1], args[2], time.Since(began).Round(time.Millisecond))
	}()
	await(ts, "member "+args[1], func() string {
		status, err := h.status(p)
		if err != nil {
			return err.Error()
		}
		for _, m := range status.Members {
			if m.Node == args[1] {
				if m.State == args[2] {
					return ""
				}
				return "is " + m.State
			}
		}
		return "not known"
	})
}

// claim KEY STATE waits until the platform's store has a key's claim in a state.
func claim(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	name := attempt.ClaimKey("crew", args[0])
	await(ts, "claim "+args[0], func() string {
		var keys map[string]string
		if err := h.get("http://"+h.mustProcess(ts, "platform").addrs["listen"]+"/record/keys?prefix="+name, &keys); err != nil {
			return err.Error()
		}
		found, err := attempt.DecodeClaim([]byte(keys[name]))
		if err != nil || found == nil {
			return "no claim"
		}
		if string(found.State) != args[1] {
			return "is " + string(found.State)
		}
		return ""
	})
}

// metric NAME METRIC MIN [MAX] waits until a process shows a metric of at least
// MIN and at most MAX.
func metric(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	p := h.mustProcess(ts, args[0])
	least, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	most := math.Inf(1)
	if len(args) > 3 {
		most, err = strconv.ParseFloat(args[3], 64)
		ts.Check(err)
	}
	await(ts, "metric "+args[1], func() string {
		client := &http.Client{Timeout: 3 * time.Second}
		response, err := client.Get("http://" + p.addrs["operators"] + "/metrics")
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		var text bytes.Buffer
		_, _ = text.ReadFrom(response.Body)
		for _, line := range strings.Split(text.String(), "\n") {
			name, value, _ := strings.Cut(line, " ")
			got, err := strconv.ParseFloat(value, 64)
			if name == args[1] && err == nil && got >= least && got <= most {
				return ""
			}
		}
		return "not yet"
	})
}

// outage DURATION lets an outage, or the time after it, last: what is looked for
// is what happens in that time, so there is no condition to wait for.
func outage(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// spread ENTRY ID [except=NODE,...] waits until all nodes that an entry knows have
// the record at the entry's revision.
func spread(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	base := "http://" + h.mustProcess(ts, plain[0]).addrs["operators"] + "/v1/catalogue/work/" + plain[1]
	except := strings.Split(opts["except"], ",")
	began := time.Now()
	defer func() { ts.Logf("spread: seen after %s", time.Since(began).Round(time.Millisecond)) }()
	await(ts, "spread", func() string {
		var record catalogue.Record
		if err := h.get(base, &record); err != nil {
			return err.Error()
		}
		var answer struct {
			Nodes []struct {
				Node    string
				InForce bool `json:"in_force"`
			}
		}
		if err := h.get(fmt.Sprintf("%s/spread?revision=%d", base, record.Revision), &answer); err != nil {
			return err.Error()
		}
		for _, n := range answer.Nodes {
			if !n.InForce && !slices.Contains(except, n.Node) {
				return n.Node + " lags"
			}
		}
		return ""
	})
}

// race ENTRY ENTRY ID A B has two operators edit one record from the same revision
// through two entries at once: exactly one edit is accepted, and stays.
func race(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	var current catalogue.Record
	ts.Check(h.get("http://"+h.mustProcess(ts, args[0]).addrs["operators"]+"/v1/catalogue/work/"+args[2], &current))
	statuses := make([]int, 2)
	var editing sync.WaitGroup
	for i := range 2 {
		editing.Go(func() {
			record := workRecord(args[2], parseNumber(args[3+i]))
			statuses[i], _ = h.put(h.mustProcess(ts, args[i]), record, current.Revision)
		})
	}
	editing.Wait()
	slices.Sort(statuses)
	if !slices.Equal(statuses, []int{http.StatusOK, http.StatusConflict}) {
		ts.Fatalf("race: the edits got %v", statuses)
	}
}

// operate ENTRY ARGUMENTS... runs an operator's command of the binary against an
// entry; its output is then there for stdout and stderr. "! operate" wants it to
// fail. An argument @TYPE/ID stands for that record's present revision.
func operate(ts *testscript.TestScript, neg bool, args []string) {
	p := harnessOf(ts).mustProcess(ts, args[0])
	for i, arg := range args {
		if key, found := strings.CutPrefix(arg, "@"); found {
			var record catalogue.Record
			ts.Check(harnessOf(ts).get("http://"+p.addrs["operators"]+"/v1/catalogue/"+key, &record))
			args[i] = strconv.FormatUint(record.Revision, 10)
		}
	}
	full := append(append([]string(nil), args[1:]...), "--entry", p.addrs["operators"], "--key", operatorKey)
	err := ts.Exec("aspenyard", full...)
	if (err != nil) != neg {
		ts.Fatalf("aspenyard %s: %v", strings.Join(args[1:], " "), err)
	}
}
