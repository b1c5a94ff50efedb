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

// edit ENTRY ID MAXTOKENS [expect=REVISION] [status=CODE] edits the kind of work
// ID, so that its revision is seen to spread.
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
		ts.Fatalf("edit: %d %s", status, bytes.TrimSpace(body))
	}
}

func workRecord(id string, maxTokens int) *catalogue.Record {
	return &catalogue.Record{Type: catalogue.TypeWork, ID: id, Owner: "ops", Work: &catalogue.Work{
		Class: "bulk", Model: "model-a", Repeatable: true, MaxOutputTokens: maxTokens,
	}}
}

// sees NODE... ID MAXTOKENS waits until nodes have the edit; entries are asked
// for the record, agents for its page through an entry's spread.
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
				return fmt.Sprintf("%s has %d", name, record.Work.MaxOutputTokens)
			}
			return ""
		}
		if neg {
			if check() == "" {
				ts.Fatalf("%s already has %d", name, want)
			}
			continue
		}
		await(ts, "sees", check)
	}
}

// keeps NODE... ID MAXTOKENS DURATION checks all through a time that entries have
// the edit: none goes back, not even for a moment.
func keeps(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	n := len(args)
	id, want := args[n-3], parseNumber(args[n-2])
	span, err := time.ParseDuration(args[n-1])
	ts.Check(err)
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(pollInterval / 4) {
		for _, name := range args[:n-3] {
			var record catalogue.Record
			err := h.get("http://"+h.mustProcess(ts, name).addrs["operators"]+"/v1/catalogue/work/"+id, &record)
			if err == nil && record.Work.MaxOutputTokens != want {
				ts.Fatalf("%s went back to %d", name, record.Work.MaxOutputTokens)
			}
		}
	}
}

// limit ENTRY concurrent=N edits the account's limit and waits until all entries
// have it.
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
		ts.Fatalf("limit: %d %s", status, body)
	}
	await(ts, "limit", func() string {
		for name, p := range h.processes {
			if p.role != "entry" {
				continue
			}
			if has, err := account(p); err != nil || has.Account.Limits.Concurrent != parseNumber(opts["concurrent"]) {
				return name + " lags"
			}
		}
		return ""
	})
}

// calls reads=N writes=N checks the platform's own count of calls: no second had
// more than these.
func storeCalls(ts *testscript.TestScript, _ bool, args []string) {
	_, opts := options(args)
	h := harnessOf(ts)
	var record struct{ PeakReads, PeakWrites, Refused, Reads, Writes int }
	ts.Check(h.get("http://"+h.mustProcess(ts, "platform").addrs["listen"]+"/record", &record))
	encoded, _ := json.Marshal(record)
	ts.Logf("the platform's count: %s", encoded)
	if record.PeakReads > parseNumber(opts["reads"]) || record.PeakWrites > parseNumber(opts["writes"]) {
		ts.Fatalf("the platform was called too often: %s", encoded)
	}
}
