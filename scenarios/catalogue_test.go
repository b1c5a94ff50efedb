package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/catalogue"
)

// edit ENTRY ID MAXTOKENS [expect=REVISION] [status=CODE] edits the work record ID through an
// entry. MAXTOKENS identifies the edit, so that other commands can tell which nodes have it.
func edit(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	p := h.mustProcess(ts, plain[0])
	record := workRecord(plain[1], parseNumber(plain[2]))
	expect := uint64(parseNumber(opts["expect"]))
	if opts["expect"] == "" {
		var current catalogue.Record
		if h.get("http://"+p.addrs["operators"]+"/v1/catalogue/work/"+plain[1], &current) == nil {
			expect = current.Revision
		}
	}
	want := http.StatusOK
	if opts["status"] != "" {
		want = parseNumber(opts["status"])
	}
	if status, body := h.put(p, record, expect); status != want {
		ts.Fatalf("edit: status %d: %s", status, bytes.TrimSpace(body))
	}
}

// workRecord returns a work record with a limit on output tokens.
func workRecord(id string, maxTokens int) *catalogue.Record {
	return &catalogue.Record{Type: catalogue.TypeWork, ID: id, Owner: "ops", Work: &catalogue.Work{
		Class: "bulk", Model: "model-a", Repeatable: true, MaxOutputTokens: maxTokens,
	}}
}

// sees NODE... ID MAXTOKENS waits until entries have the edit. "! sees" checks that they do not
// have it yet.
func sees(ts *testscript.TestScript, neg bool, args []string) {
	h := harnessOf(ts)
	plain, _ := options(args)
	id, want := plain[len(plain)-2], parseNumber(plain[len(plain)-1])
	for _, name := range plain[:len(plain)-2] {
		p := h.mustProcess(ts, name)
		check := func() string {
			var record catalogue.Record
			if err := h.get("http://"+p.addrs["operators"]+"/v1/catalogue/work/"+id, &record); err != nil {
				return err.Error()
			}
			if record.Work.MaxOutputTokens != want {
				return fmt.Sprintf("%s has max_output_tokens %d", name, record.Work.MaxOutputTokens)
			}
			return ""
		}
		if neg {
			if check() == "" {
				ts.Fatalf("%s already has max_output_tokens %d", name, want)
			}
			continue
		}
		await(ts, "sees", check)
	}
}

// keeps NODE... ID MAXTOKENS DURATION checks throughout the duration that entries have the edit
// and never return to an older one.
func keeps(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	n := len(args)
	id, want := args[n-3], parseNumber(args[n-2])
	duration, err := time.ParseDuration(args[n-1])
	ts.Check(err)
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(pollInterval / 4) {
		for _, name := range args[:n-3] {
			var record catalogue.Record
			err := h.get("http://"+h.mustProcess(ts, name).addrs["operators"]+"/v1/catalogue/work/"+id, &record)
			if err == nil && record.Work.MaxOutputTokens != want {
				ts.Fatalf("%s reverted to max_output_tokens %d", name, record.Work.MaxOutputTokens)
			}
		}
	}
}

// limit ENTRY concurrent=N edits the client account's limit of concurrent requests and waits
// until all entries have it.
func limit(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := options(args)
	h := harnessOf(ts)
	account := func(p *process) (record catalogue.Record, err error) {
		return record, h.get("http://"+p.addrs["operators"]+"/v1/catalogue/account/crew", &record)
	}
	record, err := account(h.mustProcess(ts, plain[0]))
	ts.Check(err)
	revision := record.Revision
	record.Account.Limits.Concurrent, record.Revision = parseNumber(opts["concurrent"]), 0
	if status, body := h.put(h.mustProcess(ts, plain[0]), &record, revision); status != http.StatusOK {
		ts.Fatalf("limit: status %d: %s", status, body)
	}
	await(ts, "limit", func() string {
		for name, p := range h.processes {
			if p.role != "entry" {
				continue
			}
			if has, err := account(p); err != nil || has.Account.Limits.Concurrent != parseNumber(opts["concurrent"]) {
				return name + " does not have the limit yet"
			}
		}
		return ""
	})
}

// calls reads=N writes=N checks the platform's own count of store calls: there were at most that
// many in every second.
func storeCalls(ts *testscript.TestScript, _ bool, args []string) {
	_, opts := options(args)
	h := harnessOf(ts)
	var record struct{ PeakReads, PeakWrites, Refused, Reads, Writes int }
	ts.Check(h.get("http://"+h.mustProcess(ts, "platform").addrs["listen"]+"/record", &record))
	encoded, _ := json.Marshal(record)
	ts.Logf("store calls counted by the platform: %s", encoded)
	if record.PeakReads > parseNumber(opts["reads"]) || record.PeakWrites > parseNumber(opts["writes"]) {
		ts.Fatalf("too many store calls in a second: %s", encoded)
	}
}
