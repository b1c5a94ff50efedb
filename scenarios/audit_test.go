package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/standin/service"
)

// serviceRecord returns the record that a plain service keeps of what it did.
func (h *harness) serviceRecord(p *process) (service.Record, error) {
	var record service.Record
	return record, h.get("http://"+p.addrs["listen"]+"/record", &record)
}

// runs SERVICE key=K count=N waits until a service has run the request key K exactly N times;
// with arrived=N it waits until N calls have arrived at the service, whether or not they ran.
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
				return fmt.Sprintf("%d calls arrived", record.Arrived)
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

// lookup ENTRY KEY ran=WORD [state=WORD] checks the status that an entry reports for a request
// key.
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

// held NAME... waits until engines hold no KV cache.
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

// audit waits until all calls have ended and compares what callers were told with the records of
// the services and engines. A request key must not have run more than once. Each run must belong
// to a call that started before it and was not told "no". Each key of which a caller was told
// "yes" must have run. The text that a call received must be that of the engine, and an engine
// must not have run a prompt of which all calls were told "no".
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
	unknown, unanswered, total := 0, 0, 0
	finishAll(ts, false, nil)
	for _, c := range h.calls {
		total++
		switch c.ran {
		case "unknown":
			unknown++
		case "":
			unanswered++
		}
		if mismatch := c.checkText(); mismatch != "" {
			ts.Fatalf("call %s (code %d, ran %q): %s", c.id, c.code, c.ran, mismatch)
		}
		if c.kind == "excuse-filing" && c.key != "" {
			byKey[c.key] = append(byKey[c.key], c)
		}
	}
	for key, calls := range byKey {
		if mismatch := auditKey(calls, ran[key]); mismatch != "" {
			ts.Fatalf("key %s: %s", key, mismatch)
		}
	}
	h.auditEngines(ts)
	ts.Logf("audit: %d calls, %d told unknown, %d without a response", total, unknown, unanswered)
}

// auditEngines checks that no engine ran a prompt of which all calls were told that it did not
// run.
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
				ts.Fatalf("call %s was told that it did not run, but engine %s ran its prompt (%d tokens)", id, name, run.PromptTokens)
			}
		}
	}
}

// auditKey compares the calls that have the same request key with the runs of that key. It
// returns a description of a mismatch, or "".
func auditKey(calls []*callRecord, runs []service.Run) string {
	if len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	for _, c := range calls {
		if c.ran == "yes" && len(runs) == 0 {
			return "a caller was told that it ran, but it did not"
		}
	}
	for _, run := range runs {
		sent := false
		for _, c := range calls {
			sent = sent || (c.ran != "no" && c.startedAt.UnixNano() < run.UnixNano)
		}
		if !sent {
			return "it ran, but every caller that had sent it by then was told that it did not"
		}
	}
	return ""
}

// checkText checks that the text that a call received is a prefix of its expected text, and all
// of it if the response was complete.
func (c *callRecord) checkText() string {
	if isPlainService(c.kind) {
		return ""
	}
	if !strings.HasPrefix(c.expected, c.text) {
		return "the text received is not a prefix of the text expected"
	}
	if c.complete && c.status == http.StatusOK && c.text != c.expected {
		return "an incomplete response was presented as complete"
	}
	return ""
}
