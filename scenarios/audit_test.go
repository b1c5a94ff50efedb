package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/standin/service"
)

func (h *harness) serviceRecord(p *process) (service.Record, error) {
	var record service.Record
	return record, h.get("http://"+p.addrs["listen"]+"/record", &record)
}

// runs SERVICE key=K count=N waits until a service's record has N runs of a key;
// arrived=N waits for N calls to have arrived, run or not.
func runs(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	p := h.mustProcess(ts, plain[0])
	await(ts, "runs "+opts["key"], func() string {
		record, err := h.serviceRecord(p)
		if err != nil {
			return err.Error()
		}
		if opts["arrived"] != "" {
			if record.Arrived < parseNumber(opts["arrived"]) {
				return fmt.Sprintf("%d arrived", record.Arrived)
			}
			return ""
		}
		count := 0
		for _, run := range record.Runs {
			if run.Key == "crew/"+opts["key"] {
				count++
			}
		}
		if count != parseNumber(opts["count"]) {
			return fmt.Sprintf("%d runs of %s", count, opts["key"])
		}
		return ""
	})
}

// lookup ENTRY KEY ran=WORD [state=WORD] asks for the status of a key.
func lookup(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	p := h.mustProcess(ts, plain[0])
	request, err := http.NewRequest(http.MethodGet, "http://"+p.addrs["callers"]+"/v1/requests?key="+plain[1], nil)
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+accountKey)
	response, err := h.client.Do(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	var status struct{ State, Ran string }
	ts.Check(json.NewDecoder(response.Body).Decode(&status))
	if status.Ran != opts["ran"] || (opts["state"] != "" && status.State != opts["state"]) {
		ts.Fatalf("status of %s: state %q, ran %q", plain[1], status.State, status.Ran)
	}
}

// held NAME... waits until engines hold no memory.
func held(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	for _, name := range args {
		p := h.mustProcess(ts, name)
		await(ts, "held "+name, func() string {
			record, err := h.engineRecord(p)
			if err != nil {
				return err.Error()
			}
			if record.HeldTokens != 0 {
				return fmt.Sprintf("%d tokens are held", record.HeldTokens)
			}
			return ""
		})
	}
}

// audit compares, when all calls have ended, what the callers were told with the
// services' records: no key ran more than once; each run was asked for by a call
// that began before it and was not told "no"; each key that a caller was told
// "yes" of did run. No text differs from the engines', and no engine has a run of
// a prompt of which all calls were told "no".
func audit(ts *testscript.TestScript, _ bool, _ []string) {
	h := harnessOf(ts)
	ran := map[string][]service.Run{}
	for _, p := range h.processes {
		if p.role != "service" {
			continue
		}
		record, err := h.serviceRecord(p)
		ts.Check(err)
		for _, run := range record.Runs {
			key := strings.TrimPrefix(run.Key, "crew/")
			ran[key] = append(ran[key], run)
		}
	}
	byKey := map[string][]*callRecord{}
	unknown, silent, total := 0, 0, 0
	finishAll(ts, false, nil)
	for _, c := range h.calls {
		total++
		switch c.ran {
		case "unknown":
			unknown++
		case "":
			silent++
		}
		if problem := c.checkText(); problem != "" {
			ts.Fatalf("call %s (code %d, ran %q): %s", c.id, c.code, c.ran, problem)
		}
		if c.kind == "excuse-filing" && c.key != "" {
			byKey[c.key] = append(byKey[c.key], c)
		}
	}
	for key, calls := range byKey {
		if problem := auditKey(calls, ran[key]); problem != "" {
			ts.Fatalf("key %s: %s", key, problem)
		}
	}
	h.auditEngines(ts)
	ts.Logf("audit: %d calls, %d told unknown, %d without an answer", total, unknown, silent)
}

// auditEngines checks "did not run" against the engines' records.
func (h *harness) auditEngines(ts *testscript.TestScript) {
	toldNo := map[uint64]string{}
	for _, c := range h.calls {
		if c.promptHash != 0 && c.ran == "no" {
			toldNo[c.promptHash] = c.id
		}
	}
	for _, c := range h.calls {
		if c.ran != "no" {
			delete(toldNo, c.promptHash)
		}
	}
	for name, p := range h.processes {
		if p.role != "engine" {
			continue
		}
		record, err := h.engineRecord(p)
		ts.Check(err)
		for _, run := range record.Runs {
			if id, found := toldNo[run.PromptPrefixHash]; found {
				ts.Fatalf("call %s was told that it did not run, and %s ran its prompt (%d tokens)", id, name, run.PromptTokens)
			}
		}
	}
}

func auditKey(calls []*callRecord, runs []service.Run) string {
	if len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	for _, c := range calls {
		if c.ran == "yes" && len(runs) == 0 {
			return "a caller was told that it ran, and it did not"
		}
	}
	for _, run := range runs {
		asked := false
		for _, c := range calls {
			asked = asked || (c.ran != "no" && c.startedAt.UnixNano() < run.UnixNano)
		}
		if !asked {
			return "it ran, and every caller who had asked by then was told that it did not"
		}
	}
	return ""
}

func (c *callRecord) checkText() string {
	if isPlainService(c.kind) {
		return ""
	}
	if !strings.HasPrefix(c.expected, c.text) {
		return "got text that is not its own answer's"
	}
	if c.complete && c.status == http.StatusOK && c.text != c.expected {
		return "an incomplete answer was presented as complete"
	}
	return ""
}
