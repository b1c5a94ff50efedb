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
	w := of(ts)
	p := w.proc(ts, plain[0])
	record := workRecord(plain[1], number(plain[2]))
	expect := uint64(number(opts["expect"]))
	if opts["expect"] == "" {
		var current catalogue.Record
		if w.get("http://"+p.addrs["operators"]+"/v1/catalogue/work/"+plain[1], &current) == nil {
			expect = current.Revision
		}
	}
	want := http.StatusOK
	if opts["status"] != "" {
		want = number(opts["status"])
	}
	if status, body := w.put(p, record, expect); status != want {
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
	w := of(ts)
	plain, _ := options(args)
	id, want := plain[len(plain)-2], number(plain[len(plain)-1])
	for _, name := range plain[:len(plain)-2] {
		p := w.proc(ts, name)
		check := func() string {
			var record catalogue.Record
			if err := w.get("http://"+p.addrs["operators"]+"/v1/catalogue/work/"+id, &record); err != nil {
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
	w := of(ts)
	n := len(args)
	id, want := args[n-3], number(args[n-2])
	span, err := time.ParseDuration(args[n-1])
	ts.Check(err)
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(poll / 4) {
		for _, name := range args[:n-3] {
			var record catalogue.Record
			err := w.get("http://"+w.proc(ts, name).addrs["operators"]+"/v1/catalogue/work/"+id, &record)
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
	w := of(ts)
	account := func(p *process) (record catalogue.Record, err error) {
		return record, w.get("http://"+p.addrs["operators"]+"/v1/catalogue/account/crew", &record)
	}
	record, err := account(w.proc(ts, plain[0]))
	ts.Check(err)
	revision := record.Revision
	record.Account.Limits.Concurrent, record.Revision = number(opts["concurrent"]), 0
	if status, body := w.put(w.proc(ts, plain[0]), &record, revision); status != http.StatusOK {
		ts.Fatalf("limit: %d %s", status, body)
	}
	await(ts, "limit", func() string {
		for name, p := range w.procs {
			if p.role != "entry" {
				continue
			}
			if has, err := account(p); err != nil || has.Account.Limits.Concurrent != number(opts["concurrent"]) {
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
	w := of(ts)
	var record struct{ PeakReads, PeakWrites, Refused, Reads, Writes int }
	ts.Check(w.get("http://"+w.proc(ts, "platform").addrs["listen"]+"/record", &record))
	encoded, _ := json.Marshal(record)
	ts.Logf("the platform's count: %s", encoded)
	if record.PeakReads > number(opts["reads"]) || record.PeakWrites > number(opts["writes"]) {
		ts.Fatalf("the platform was called too often: %s", encoded)
	}
}
