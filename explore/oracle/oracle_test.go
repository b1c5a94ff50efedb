package oracle

import (
	"go/build"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenyard.example/explore/plan"
)

// soundRecord returns a record of three requests, a stream and two plain ones, that breaks no rule.
func soundRecord() *Record {
	began := time.Unix(1_000_000, 0)
	r := &Record{
		Began: began, Ended: began.Add(20 * time.Second), DrainLimit: 4 * time.Second, Timeout: 10 * time.Second, MaxAttempts: 2,
		Gateways: []Gateway{{StartedAt: began}}, LeftAt: map[string]time.Time{}, ExitedAt: map[string]time.Time{}, Unreleased: map[string]int{},
	}
	for i, name := range []string{"stream", "once", "again", "again", "again", "again", "again", "again"} {
		route, at := plan.RouteNamed(name), began.Add(time.Duration(i+1)*time.Second)
		id := "q" + string(rune('0'+i))
		r.Requests = append(r.Requests, &Request{
			ID: id, Route: route, URI: "/" + name + "/a", Body: "b", BeganAt: at, SentAt: at, Whole: true, Deadline: 9 * time.Second, Kept: true,
			FirstByteAt: at.Add(time.Second), EndedAt: at.Add(time.Second), Status: 200, EchoedID: id, Stamped: true, Received: 5, ResponseBody: "whole", Complete: true,
		})
		r.Arrivals = append(r.Arrivals, &Arrival{
			ID: id, Endpoint: "i-1", Service: route.Service, Method: "POST", URI: "/" + name + "/a", Body: "b", Account: "acme", At: at, EndedAt: at.Add(time.Second), Ran: true, Status: 200, Text: "whole",
		})
	}
	return r
}

// cut lets a request's connection end without a response at a time after it was sent.
func cut(r *Request, after time.Duration) {
	r.Complete, r.Status, r.Received, r.ResponseBody, r.FirstByteAt, r.EndedAt = false, 0, 0, "", time.Time{}, r.SentAt.Add(after)
}

// violations are ways to break a rule of a sound record.
var violations = map[string]struct {
	rule  string
	spoil func(r *Record)
}{
	"no stamp":           {"MIXED", func(r *Record) { r.Requests[1].Stamped = false }},
	"another's response": {"MIXED", func(r *Record) { r.Requests[1].EchoedID = "q2" }},
	"part of a body":     {"MIXED", func(r *Record) { r.Requests[1].ResponseBody = "who" }},
	"no response":        {"MIXED", func(r *Record) { r.Requests[1].Malformed = "x" }},
	"a failure's stamp":  {"MIXED", func(r *Record) { r.Requests[1].Status = 500 }},
	"part of a stream":   {"ORDER", func(r *Record) { r.Requests[0].ResponseBody = "who" }},
	"events out of order": {"ORDER", func(r *Record) {
		r.Requests[0].ResponseBody, r.Requests[0].Complete = "hole", false
		r.Arrivals[0].BrokeOff = true
	}},
	"body changed":    {"UNASKED", func(r *Record) { r.Arrivals[1].Body = "c" }},
	"unknown request": {"UNASKED", func(r *Record) { r.Arrivals = append(r.Arrivals, &Arrival{ID: "x", Ran: true}) }},
	"key passed on":   {"UNASKED", func(r *Record) { r.Arrivals[1].Authorization = "k" }},
	"another service": {"ROUTE", func(r *Record) { r.Arrivals[1].Service = plan.ServiceBulk }},
	"runs twice":      {"TWICE", func(r *Record) { r.Arrivals = append(r.Arrivals, r.Arrivals[1]) }},
	"refused and run": {"REFUSED", func(r *Record) {
		r.Requests[1].Status, r.Requests[1].Stamped = 503, false
	}},
	"proper requests denied": {"DENIED", func(r *Record) {
		for _, q := range r.Requests[2:4] {
			q.Status, q.Stamped = 400, false
		}
	}},
	"more endpoints than allowed": {"BUDGET", func(r *Record) { r.Arrivals = append(r.Arrivals, r.Arrivals[2], r.Arrivals[2]) }},
	"cut by a stop": {"LOST", func(r *Record) {
		cut(r.Requests[1], time.Second)
		r.Gateways[0].StoppedAt = r.Requests[1].SentAt
		r.Arrivals[1].EndedAt = r.Requests[1].EndedAt
	}},
	"unanswered at the end of a drain": {"ANSWER", func(r *Record) {
		cut(r.Requests[1], 4*time.Second)
		r.Gateways[0].StoppedAt = r.Requests[1].SentAt
		r.Arrivals[1].EndedAt = r.Requests[1].EndedAt
	}},
	"cut beside a reload": {"LOST", func(r *Record) {
		cut(r.Requests[1], time.Second)
		r.Gateways[0].ReloadedAt = []time.Time{r.Requests[1].SentAt}
	}},
	"kept connections cut": {"LOST", func(r *Record) {
		for _, q := range r.Requests[2:6] {
			cut(q, time.Second)
		}
	}},
	"sent to one that leaves": {"DRAIN", func(r *Record) { r.LeftAt["i-1"] = r.Arrivals[7].At.Add(-2600 * time.Millisecond) }},
	"work for none": {"GONE", func(r *Record) {
		for i, q := range r.Requests[2:] {
			cut(q, time.Second)
			q.Left, r.Arrivals[i+2].EndedAt = true, q.EndedAt.Add(2*time.Second)
		}
	}},
	"past the time limit": {"CONFIG", func(r *Record) {
		r.Timeout = 500 * time.Millisecond
		for _, q := range r.Requests {
			q.FirstByteAt, q.EndedAt = q.SentAt.Add(2*time.Second), q.SentAt.Add(2*time.Second)
		}
	}},
	"a key that is gone": {"CONFIG", func(r *Record) { r.NoKeyAt = r.Requests[7].SentAt.Add(-3 * time.Second) }},
	"memory held":        {"LEAK", func(r *Record) { r.Unreleased["i-1"] = 1 }},
}

// Guards against a check that finds nothing, and against checks that find what another rule is about.
func TestEachRuleIsFoundBroken(t *testing.T) {
	if findings := Judge(soundRecord()); len(findings) > 0 {
		t.Fatalf("a sound record: %v", findings)
	}
	for name, v := range violations {
		r := soundRecord()
		v.spoil(r)
		findings := Judge(r)
		if len(findings) == 0 || slices.ContainsFunc(findings, func(f Finding) bool { return f.Rule != v.rule }) {
			t.Errorf("%s: want %s, got %v", name, v.rule, findings)
		}
	}
}

// Guards against findings about what the rules excuse.
func TestWhatIsExcusedIsNoFinding(t *testing.T) {
	for name, spoil := range map[string]func(r *Record){
		"the endpoint breaks off": func(r *Record) {
			cut(r.Requests[1], time.Second)
			r.Gateways[0].StoppedAt, r.Arrivals[1].BrokeOff = r.Requests[1].SentAt, true
		},
		"the endpoint exits": func(r *Record) {
			cut(r.Requests[1], time.Second)
			r.Gateways[0].StoppedAt, r.ExitedAt["i-1"] = r.Requests[1].SentAt, r.Requests[1].EndedAt
		},
		"the caller's time limit": func(r *Record) {
			cut(r.Requests[1], 9*time.Second)
			r.Gateways[0].StoppedAt, r.Requests[1].Deadline = r.Requests[1].SentAt, 3*time.Second
		},
		"the caller leaves": func(r *Record) {
			cut(r.Requests[1], time.Second)
			r.Gateways[0].StoppedAt, r.Requests[1].Left = r.Requests[1].SentAt, true
		},
		"the store is disturbed": func(r *Record) {
			r.LeftAt["i-1"] = r.Arrivals[7].At.Add(-2500 * time.Millisecond)
			r.StoreDisturbed = []Span{{r.LeftAt["i-1"].Add(-time.Second), r.LeftAt["i-1"].Add(-time.Millisecond)}}
		},
		"sent on a connection that has just been closed": func(r *Record) {
			cut(r.Requests[1], time.Millisecond)
			r.Gateways[0].StoppedAt, r.Requests[1].Large, r.Arrivals[1].ID = r.Requests[1].SentAt.Add(-time.Second), true, r.Requests[0].ID
			r.Arrivals[1].Ran = false
		},
		"a caller that reads on after the drain": func(r *Record) {
			cut(r.Requests[1], 5*time.Second)
			r.Gateways[0].StoppedAt, r.Gateways[0].ReloadedAt = r.Requests[1].SentAt, []time.Time{r.Requests[1].SentAt}
			r.Requests[1].ReadOnAt = r.Requests[1].EndedAt
		},
		"a busy machine":    func(r *Record) { r.LeftAt["i-1"], r.Late = r.Arrivals[7].At.Add(-2500*time.Millisecond), time.Second },
		"another's address": func(r *Record) { r.Arrivals[1].Ran = false; r.Requests[1].Status, r.Requests[1].Stamped = 503, false },
	} {
		r := soundRecord()
		spoil(r)
		if findings := Judge(r); len(findings) > 0 {
			t.Errorf("%s: %v", name, findings)
		}
	}
}

// Guards against an oracle that judges gateways by their own code.
func TestTheOracleKnowsNothingOfGateways(t *testing.T) {
	for _, dir := range []string{".", "../plan", "../../standin/platform"} {
		pkg, err := build.ImportDir(filepath.FromSlash(dir), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range pkg.Imports {
			if rest, own := strings.CutPrefix(path, "aspenyard.example/"); own && rest != "explore/plan" && rest != "standin/platform" {
				t.Errorf("%s imports %s", dir, path)
			}
		}
	}
}
